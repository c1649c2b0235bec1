//! Measures the cost of decisions: the balancers of hollow gateways, with random requests in
//! virtual time.
//!
//! Engines answer after a request's work, however many requests they run, since only the gateway's
//! own cost is measured. Sockets, buffers and codecs are left out; they are part of the
//! measurements of real gateways.

use std::time::Duration;

use eideryard::balancer::Balancer;
use eideryard::interface::*;

use super::node::Node;
use crate::classes::safe_class;

pub(super) const SECOND: Micros = 1_000_000;
/// Virtual time before counting starts, and for which requests are counted.
const WARM_UP: Micros = 2 * SECOND;
const MEASURED_TIME: Micros = 4 * SECOND;
/// Cores of an engine, and threads per query of the class with the most. They determine how many
/// engines a subset has.
pub const CORES: f64 = 16.0;
const WIDEST: f64 = 2.0;
/// Largest number of gateways that each use all engines instead of a subset: two threads per core
/// of an engine, divided by the threads of a query.
pub const MAX_WITHOUT_SUBSETS: usize = (2.0 * CORES / WIDEST) as usize;
/// Number of zones in the target fleet.
pub const ZONES: u32 = 7;
/// Virtual time at which a run starts. Engines start at 0, so that all are warm.
pub(super) const STARTED: Micros = 1_000 * SECOND;

/// Size and load of a fleet of hollow gateways.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of gateways in the fleet, simulated or not.
    pub gateways: usize,
    /// Number of engines in the endpoint list.
    pub engines: usize,
    /// Number of gateways that are simulated.
    pub hollow: usize,
    /// Requests per second of one gateway.
    pub rate: f64,
    /// Whether requests need so much work that some wait and some are refused.
    pub overloaded: bool,
    /// Whether the load of engines is known from probes only, in which case each decision examines
    /// all engines.
    pub probed: bool,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Cost of the decisions of all hollow gateways.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Number of requests counted.
    pub requests: u64,
    /// Number of attempts sent.
    pub sent: u64,
    /// Number of requests that ended without an attempt.
    pub refused: u64,
    /// Number of requests without a final answer.
    pub unanswered: u64,
    /// Number of engines that the balancers examined for these requests.
    pub visits: u64,
    /// Time that the balancers took for these requests.
    pub time: Duration,
    /// Memory that the balancers and their endpoint lists take.
    pub bytes: u64,
    /// Number of gateways simulated.
    pub gateways: u64,
}

impl Cost {
    /// Mean number of engines that the balancer examined per request.
    pub fn visits_per_request(&self) -> f64 {
        self.visits as f64 / self.requests.max(1) as f64
    }

    /// Mean time of the balancer per request, in microseconds.
    pub fn micros_per_request(&self) -> f64 {
        self.time.as_secs_f64() * 1e6 / self.requests.max(1) as f64
    }

    /// Mean memory of one gateway's balancer, in bytes.
    pub fn bytes_per_gateway(&self) -> f64 {
        self.bytes as f64 / self.gateways.max(1) as f64
    }
}

/// Simulates a fleet's hollow gateways one after the other.
pub fn measure(fleet: Fleet) -> Cost {
    let list = endpoint_list(fleet.engines);
    let mut cost = Cost {
        gateways: fleet.hollow as u64,
        ..Cost::default()
    };
    for index in 0..fleet.hollow {
        let mut node = Node::new(fleet, index_in_fleet(&fleet, index), &list);
        measure_node(&mut node, &mut cost);
    }
    cost
}

/// Index in the fleet of a hollow gateway; they are evenly spaced.
fn index_in_fleet(fleet: &Fleet, index: usize) -> usize {
    index * fleet.gateways / fleet.hollow
}

fn measure_node(node: &mut Node, cost: &mut Cost) {
    node.send_requests_until(STARTED + WARM_UP + MEASURED_TIME);
    node.run_until(STARTED + WARM_UP);
    let before = node.counted();
    node.run_until(STARTED + WARM_UP + MEASURED_TIME);
    let after = node.counted();
    cost.requests += after.requests - before.requests;
    cost.visits += after.visits - before.visits;
    cost.time += after.spent - before.spent;
    cost.refused += node.refused();
    cost.sent += node.sent();
    node.finish();
    cost.unanswered += node.unanswered();
}

/// Measures the memory of the fleet's hollow gateways, with their endpoint lists and no requests.
pub fn measure_memory(fleet: Fleet) -> Cost {
    let list = endpoint_list(fleet.engines);
    let before = allocated_bytes();
    let nodes: Vec<Node> = (0..fleet.hollow)
        .map(|index| Node::new(fleet, index_in_fleet(&fleet, index), &list))
        .collect();
    let bytes = allocated_bytes().saturating_sub(before);
    Cost {
        bytes,
        gateways: nodes.len() as u64,
        ..Cost::default()
    }
}

/// The endpoint list of `engines` warm engines, distributed over the zones.
pub fn endpoint_list(engines: usize) -> Vec<Endpoint> {
    (0..engines).map(endpoint).collect()
}

/// The entry of one engine in that list.
pub fn endpoint(engine: usize) -> Endpoint {
    Endpoint {
        engine: engine_id(engine),
        zone: engine as u32 % ZONES,
        ..Endpoint::default()
    }
}

/// Id of an engine. Ids are scattered over the whole range, like those derived from names.
pub fn engine_id(engine: usize) -> EngineId {
    (engine as u32).wrapping_mul(0x9e37_79b1)
}

/// Creates the balancer of the fleet's first gateway, without any engine.
pub fn new_balancer(fleet: &Fleet) -> Balancer {
    Balancer::new(settings(fleet, 0), fleet.seed, STARTED)
}

/// Memory that this process has allocated, as the allocator counts it.
fn allocated_bytes() -> u64 {
    // SAFETY: the call only reads the allocator's counters.
    let allocated = unsafe { libc::mallinfo2() };
    (allocated.uordblks + allocated.hblkhd) as u64
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
