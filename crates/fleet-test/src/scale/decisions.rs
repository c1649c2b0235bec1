//! Hollow gateways: the decision module under drawn traffic in virtual time, with what each
//! decision costs.
//!
//! Engines answer after the work that a request names, however many run there: what is measured is
//! the gateway's own cost. Left out: sockets, buffers, codecs; the real gateways have them.

use std::time::Duration;

use eideryard::balancer::Balancer;
use eideryard::interface::*;

use super::node::Node;
use crate::classes::safe_class;

pub(super) const SECOND: Micros = 1_000_000;
/// Virtual time that is played before anything is counted, and while it is.
const WARM_UP: Micros = 2 * SECOND;
const COUNTED: Micros = 4 * SECOND;
/// Cores of an engine, and threads of the widest class: what decides how many engines a subset has.
pub const CORES: f64 = 16.0;
const WIDEST: f64 = 2.0;
/// Two threads a core of an engine over the widest class's: up to so many gateways use all engines
/// each.
pub const MAX_WITHOUT_SUBSETS: usize = (2.0 * CORES / WIDEST) as usize;
/// Zones of the target.
pub const ZONES: u32 = 7;
/// Engines start so long before the run: all are warm.
pub(super) const STARTED: Micros = 1_000 * SECOND;

/// What a fleet of hollow gateways is made of.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Gateways in all.
    pub gateways: usize,
    /// Engines that the list names.
    pub engines: usize,
    /// Of the gateways, how many are played.
    pub hollow: usize,
    /// Requests a second of one gateway.
    pub rate: f64,
    /// Engines take so long that requests are held and refused.
    pub overloaded: bool,
    /// Only probes tell how many queries an engine holds, so each gateway looks at all engines.
    pub probed: bool,
    /// What all random numbers come of.
    pub seed: u64,
}

/// What the decisions of all hollow gateways took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Requests that were counted.
    pub requests: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Requests that ended without an attempt.
    pub refused: u64,
    /// Requests without an end.
    pub unanswered: u64,
    /// Engines looked at.
    pub visits: u64,
    /// Processor time of the module.
    pub time: Duration,
    /// Memory that the gateways and their lists take.
    pub bytes: u64,
    /// Gateways that were played.
    pub gateways: u64,
}

impl Cost {
    /// Engines looked at for a request.
    pub fn visits_a_request(&self) -> f64 {
        self.visits as f64 / self.requests.max(1) as f64
    }

    /// Processor time of the module for a request.
    pub fn micros_a_request(&self) -> f64 {
        self.time.as_secs_f64() * 1e6 / self.requests.max(1) as f64
    }

    /// Memory of one gateway's module.
    pub fn bytes_a_gateway(&self) -> f64 {
        self.bytes as f64 / self.gateways.max(1) as f64
    }
}

/// Plays a fleet's hollow gateways one after the other.
pub fn play(fleet: Fleet) -> Cost {
    let list = list(fleet.engines);
    let mut cost = Cost {
        gateways: fleet.hollow as u64,
        ..Cost::default()
    };
    for index in 0..fleet.hollow {
        let mut node = Node::new(fleet, place_of(&fleet, index), &list);
        play_one(&mut node, &mut cost);
    }
    cost
}

/// Every hollow gateway has another place among all of the fleet.
fn place_of(fleet: &Fleet, index: usize) -> usize {
    index * fleet.gateways / fleet.hollow
}

fn play_one(node: &mut Node, cost: &mut Cost) {
    node.asks_until(STARTED + WARM_UP + COUNTED);
    node.play_until(STARTED + WARM_UP);
    let before = node.counted();
    node.play_until(STARTED + WARM_UP + COUNTED);
    let after = node.counted();
    cost.requests += after.requests - before.requests;
    cost.visits += after.visits - before.visits;
    cost.time += after.spent - before.spent;
    cost.refused += node.refused();
    cost.sent += node.sent();
    node.finish();
    cost.unanswered += node.unanswered();
}

/// The fleet's hollow gateways side by side, with their lists and nothing to do.
pub fn idle(fleet: Fleet) -> Cost {
    let list = list(fleet.engines);
    let before = allocated_bytes();
    let nodes: Vec<Node> = (0..fleet.hollow)
        .map(|index| Node::new(fleet, place_of(&fleet, index), &list))
        .collect();
    let bytes = allocated_bytes().saturating_sub(before);
    Cost {
        bytes,
        gateways: nodes.len() as u64,
        ..Cost::default()
    }
}

/// The entries of so many warm engines, spread over the zones.
pub fn list(engines: usize) -> Vec<Endpoint> {
    (0..engines).map(entry).collect()
}

/// One of them.
pub fn entry(engine: usize) -> Endpoint {
    Endpoint {
        engine: number(engine),
        zone: engine as u32 % ZONES,
        ..Endpoint::default()
    }
}

/// Numbers of engines look drawn, as those that come of names do.
pub fn number(engine: usize) -> EngineId {
    (engine as u32).wrapping_mul(0x9e37_79b1)
}

/// One gateway of the fleet that knows no engine yet.
pub fn module(fleet: &Fleet) -> Balancer {
    Balancer::new(settings(fleet, 0), fleet.seed, STARTED)
}

/// Memory that this process has allocated, by the allocator's own account.
fn allocated_bytes() -> u64 {
    // SAFETY: the call only reads the allocator's counters.
    let counted = unsafe { libc::mallinfo2() };
    (counted.uordblks + counted.hblkhd) as u64
}

pub(super) fn settings(fleet: &Fleet, index: usize) -> Settings {
    Settings {
        classes: vec![safe_class(SECOND, 1.0), safe_class(SECOND, WIDEST)],
        tenants: Vec::new(),
        kinds: vec![MachineKind {
            cores: CORES,
            memory_mb: 64_000.0,
        }],
        peers: fleet.gateways as f64,
        gateway_index: Some(index as f64),
        zone: 0,
        tick: 1_000,
        discovery: Discovery::Push,
        progress_interval: 0,
        largest_share: 0.4,
        max_attempts: 4,
        may_cancel: true,
        may_hedge: false,
        may_probe: true,
        counts_by_probe: fleet.probed,
        may_send_retry_after: true,
        max_retry_after: SECOND,
        overload_multiple: 3.0,
        overload_window: SECOND,
        start_capacity: 0.4,
        warm_up_duration: 10 * SECOND,
        ordering_delay: 0,
        retry_budget: None,
        poll_interval: 10 * SECOND,
        over_quota_weight: 0.2,
        cross_zone_tariff: 0.0,
        probe_tariff: 0.01,
    }
}
