//! Hollow gateways: the decision module under drawn traffic in virtual time, with what each decision costs.
//!
//! Engines answer after the work that a request names, however many run there: what is measured is the
//! gateway's own cost. Left out: sockets, buffers, codecs; the real gateways have them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eideryard::decide::Gateway;
use eideryard::interface::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::classes::safe_class;
use crate::timeline::{Micros, Timeline};

const SECOND: Micros = 1_000_000;
/// Virtual time that is played before anything is counted, and while it is.
const WARM_UP: Micros = 2 * SECOND;
const COUNTED: Micros = 4 * SECOND;
/// Work of a request where engines keep up, and where they don't.
const LIGHT_WORK: f64 = 20_000.0;
const HEAVY_WORK: f64 = 2_500_000.0;
const WAIT: Micros = 4 * SECOND;
const GROUPS: u64 = 200;
/// Cores of an engine, and threads of the widest class: what decides how many engines a subset has.
pub const CORES: f64 = 16.0;
const WIDEST: f64 = 2.0;
/// Two threads a core of an engine over the widest class's: up to so many gateways use all engines each.
pub const MOST_WITHOUT_SUBSETS: usize = (2.0 * CORES / WIDEST) as usize;
/// Zones of the target.
const ZONES: u32 = 7;
/// Engines start so long before the run: all are warm.
const STARTED: Micros = 1_000 * SECOND;

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

enum Happens {
    Arrives,
    Timer(u64),
    Ends { request: RequestId, attempt: usize },
}

struct Asked {
    attempts: usize,
    sent_at: Micros,
    over: bool,
}

struct Node {
    module: Gateway,
    time: Timeline<Happens, ()>,
    rng: StdRng,
    asked: HashMap<RequestId, Asked>,
    next: RequestId,
    spent: Duration,
}

/// Plays a fleet's hollow gateways one after the other.
pub fn play(fleet: Fleet) -> Cost {
    let list = list(fleet.engines);
    let mut cost = Cost { gateways: fleet.hollow as u64, ..Cost::default() };
    for index in 0..fleet.hollow {
        Node::new(&fleet, index, &list).run(&fleet, &mut cost);
    }
    cost
}

/// The fleet's hollow gateways side by side, with their lists and nothing to do.
pub fn idle(fleet: Fleet) -> Cost {
    let list = list(fleet.engines);
    let before = allocated_bytes();
    let nodes: Vec<Node> = (0..fleet.hollow).map(|index| Node::new(&fleet, index, &list)).collect();
    let bytes = allocated_bytes().saturating_sub(before);
    Cost { bytes, gateways: nodes.len() as u64, ..Cost::default() }
}

/// The entries of so many warm engines, spread over the zones.
pub fn list(engines: usize) -> Vec<Entry> {
    let entry = |number: usize| Entry {
        engine: self::number(number),
        zone: number as u32 % ZONES,
        ..Entry::default()
    };
    (0..engines).map(entry).collect()
}

/// Numbers of engines look drawn, as those that come of names do.
pub fn number(engine: usize) -> EngineId {
    (engine as u32).wrapping_mul(0x9e37_79b1)
}

/// One gateway of the fleet that knows no engine yet.
pub fn module(fleet: &Fleet) -> Gateway {
    Gateway::new(settings(fleet, 0), fleet.seed, STARTED)
}

impl Node {
    fn new(fleet: &Fleet, index: usize, list: &[Entry]) -> Self {
        // Every node has another place on the ring.
        let place = index * fleet.gateways / fleet.hollow;
        let set = settings(fleet, place % fleet.gateways);
        let seed = fleet.seed.wrapping_add(place as u64);
        let mut node = Node {
            module: Gateway::new(set, seed, STARTED),
            time: Timeline::new(STARTED),
            rng: StdRng::seed_from_u64(seed),
            asked: HashMap::new(),
            next: 0,
            spent: Duration::ZERO,
        };
        node.handle(fleet, Event::FullList(list.to_vec()));
        node
    }

    fn run(&mut self, fleet: &Fleet, cost: &mut Cost) {
        self.arrival(fleet);
        self.play_until(fleet, STARTED + WARM_UP);
        let (requests, visits) = (self.next, self.module.visits());
        self.spent = Duration::ZERO;
        self.play_until(fleet, STARTED + WARM_UP + COUNTED);
        cost.requests += self.next - requests;
        cost.visits += self.module.visits() - visits;
        cost.time += self.spent;
        cost.refused += self.asked.values().filter(|asked| asked.over && asked.attempts == 0).count() as u64;
        cost.sent += self.asked.values().map(|asked| asked.attempts as u64).sum::<u64>();
        // What is still open gets its time.
        self.play_until(fleet, STARTED + WARM_UP + COUNTED + WAIT + SECOND);
        cost.unanswered += self.asked.values().filter(|asked| !asked.over).count() as u64;
    }

    fn play_until(&mut self, fleet: &Fleet, until: Micros) {
        while let Some(happens) = self.time.next(until) {
            match happens {
                Happens::Arrives => self.arrives(fleet),
                Happens::Timer(tag) => self.handle(fleet, Event::Timer { tag }),
                Happens::Ends { request, attempt } => self.ends(fleet, request, attempt),
            }
        }
    }

    fn arrival(&mut self, fleet: &Fleet) {
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / fleet.rate * SECOND as f64;
        if self.time.now < STARTED + WARM_UP + COUNTED {
            self.time.at(wait as Micros + 1, Happens::Arrives);
        }
    }

    fn arrives(&mut self, fleet: &Fleet) {
        self.arrival(fleet);
        self.next += 1;
        self.asked.insert(self.next, Asked { attempts: 0, sent_at: 0, over: false });
        let work = if fleet.overloaded { HEAVY_WORK } else { LIGHT_WORK };
        let request = Request {
            id: self.next,
            class: self.rng.random_range(0..2),
            deadline: self.time.now + WAIT,
            work: Some(work),
            memory_mb: Some(40.0),
            group: self.rng.random_range(0..GROUPS),
            ..Request::default()
        };
        self.handle(fleet, Event::Arrived(request));
    }

    fn ends(&mut self, fleet: &Fleet, request: RequestId, attempt: usize) {
        let Some(asked) = self.asked.get_mut(&request) else { return };
        asked.over = true;
        let spent = self.time.now - asked.sent_at;
        let bill = Some(Bill { work: spent as f64, memory_mb: 40.0 });
        let (outcome, complete, told) = (Outcome::Answered, true, false);
        let ended = Ended { request, attempt, outcome, spent, complete, told, bill, report: None };
        self.handle(fleet, Event::Ended(ended));
    }

    fn handle(&mut self, fleet: &Fleet, event: Event) {
        let mut actions = Vec::new();
        let began = Instant::now();
        self.module.handle(self.time.now, event, &mut actions);
        self.spent += began.elapsed();
        for action in actions {
            match action {
                Action::Send { request, .. } => self.sends(fleet, request),
                Action::SetTimer { after, tag } => self.time.at(after.max(1), Happens::Timer(tag)),
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    self.asked.entry(request).and_modify(|asked| asked.over = true);
                }
                Action::Probe { engine } => {
                    let report = LoadReport { in_flight: Some(1.0), ..LoadReport::default() };
                    let probed = Probed { engine, outcome: Outcome::Answered, report: Some(report) };
                    self.handle(fleet, Event::Probed(probed));
                }
                _ => {}
            }
        }
    }

    fn sends(&mut self, fleet: &Fleet, request: RequestId) {
        let now = self.time.now;
        let Some(asked) = self.asked.get_mut(&request) else { return };
        let attempt = asked.attempts;
        (asked.attempts, asked.sent_at) = (attempt + 1, now);
        let began = Instant::now();
        let begins = self.module.begins(now, request, attempt);
        self.spent += began.elapsed();
        let takes = if fleet.overloaded { HEAVY_WORK } else { LIGHT_WORK } as Micros;
        if begins {
            return self.time.at(takes, Happens::Ends { request, attempt });
        }
        let (outcome, spent, complete, told) = (Outcome::Unsent, 0, false, false);
        let ended = Ended { request, attempt, outcome, spent, complete, told, bill: None, report: None };
        self.handle(fleet, Event::Ended(ended));
    }
}

/// Memory that this process has allocated, by the allocator's own account.
fn allocated_bytes() -> u64 {
    // SAFETY: the call only reads the allocator's counters.
    let counted = unsafe { libc::mallinfo2() };
    (counted.uordblks + counted.hblkhd) as u64
}

fn settings(fleet: &Fleet, index: usize) -> Settings {
    Settings {
        classes: vec![safe_class(SECOND, 1.0), safe_class(SECOND, WIDEST)],
        tenants: Vec::new(),
        kinds: vec![Kind { cores: CORES, memory_mb: 64_000.0 }],
        peers: fleet.gateways as f64,
        index: Some(index as f64),
        zone: 0,
        tick: 1_000,
        discovery: Discovery::Push,
        note_period: 0,
        largest_share: 0.4,
        max_attempts: 4,
        may_cancel: true,
        may_duplicate: false,
        may_probe: true,
        counts_by_probe: fleet.probed,
        may_advise: true,
        max_advice: SECOND,
        fall_multiple: 3.0,
        fall_window: SECOND,
        start_capacity: 0.4,
        warm_within: 10 * SECOND,
        order_pause: 0,
        attempt_budget: None,
        ask_every: 10 * SECOND,
        over_share_worth: 0.2,
        cross_zone_tariff: 0.0,
        probe_tariff: 0.01,
    }
}
