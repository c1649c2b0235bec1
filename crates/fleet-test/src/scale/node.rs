//! One hollow gateway: a balancer with random requests, in its own virtual time.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eideryard::balancer::Balancer;
use eideryard::interface::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::decisions::{self, Fleet, SECOND, STARTED};
use crate::timeline::Timeline;

/// Work of a request: the first value lets engines keep up, the second overloads them.
const LIGHT_WORK: f64 = 20_000.0;
const HEAVY_WORK: f64 = 2_500_000.0;
const CLIENT_TIMEOUT: Micros = 4 * SECOND;
const GROUPS: u64 = 200;

enum NodeEvent {
    RequestArrives,
    Timer(u64),
    CallEnds { request: RequestId, attempt: usize },
}

/// A request that has not ended.
#[derive(Default)]
struct OpenRequest {
    attempts: usize,
    sent_at: Micros,
}

/// What one hollow gateway counted since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeCounts {
    /// Requests that arrived.
    pub requests: u64,
    /// Engines that the balancer examined for requests.
    pub visits: u64,
    /// Time that the balancer took for requests.
    pub spent: Duration,
}

/// A hollow gateway, with its balancer and its open requests.
pub struct Node {
    fleet: Fleet,
    balancer: Balancer,
    time: Timeline<NodeEvent, ()>,
    rng: StdRng,
    open: HashMap<RequestId, OpenRequest>,
    sent: u64,
    refused: u64,
    requests_until: Micros,
    last_id: RequestId,
    list_visits: u64,
    spent: Duration,
}

impl Node {
    /// Creates the gateway with the number `position`, modulo the size of the fleet, and gives it
    /// the endpoint list.
    pub fn new(fleet: Fleet, position: usize, list: &[Endpoint]) -> Self {
        let settings = decisions::settings(&fleet, position % fleet.gateways);
        let seed = fleet.seed.wrapping_add(position as u64);
        let mut node = Node {
            fleet,
            balancer: Balancer::new(settings, seed, STARTED),
            time: Timeline::new(STARTED),
            rng: StdRng::seed_from_u64(seed),
            open: HashMap::new(),
            sent: 0,
            refused: 0,
            requests_until: 0,
            last_id: 0,
            list_visits: 0,
            spent: Duration::ZERO,
        };
        node.handle_list_event(Event::EndpointSnapshot(list.to_vec()));
        node
    }

    /// Lets requests arrive from now until the virtual time `until`.
    pub fn send_requests_until(&mut self, until: Micros) {
        self.requests_until = until;
        self.schedule_arrival();
    }

    /// The counts so far.
    pub fn counted(&self) -> NodeCounts {
        NodeCounts {
            requests: self.last_id,
            visits: self.balancer.engine_visits() - self.list_visits,
            spent: self.spent,
        }
    }

    /// Number of requests that ended without an attempt.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Number of attempts sent.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Number of requests that have not ended.
    pub fn unanswered(&self) -> u64 {
        self.open.len() as u64
    }

    /// Stops new requests, and simulates until the deadline of every open request has passed.
    pub fn finish(&mut self) {
        self.requests_until = self.time.now;
        self.run_until(self.time.now + CLIENT_TIMEOUT + SECOND);
    }

    /// Hands an event of the endpoint list to the balancer. Its cost isn't counted for requests.
    pub fn handle_list_event(&mut self, event: Event) {
        let before = self.counted();
        self.handle(event);
        self.list_visits += self.counted().visits - before.visits;
        self.spent = before.spent;
    }

    /// Number of engines that the balancer knows from the list.
    pub fn listed_engines(&self) -> usize {
        self.balancer.listed_engine_count()
    }

    /// Simulates until the virtual time `until`.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(event) = self.time.next(until) {
            match event {
                NodeEvent::RequestArrives => self.on_arrival(),
                NodeEvent::Timer(tag) => self.handle(Event::Timer { tag }),
                NodeEvent::CallEnds { request, attempt } => self.on_call_end(request, attempt),
            }
        }
    }

    fn schedule_arrival(&mut self) {
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / self.fleet.rate * SECOND as f64;
        if self.time.now < self.requests_until {
            self.time.at(wait as Micros + 1, NodeEvent::RequestArrives);
        }
    }

    fn on_arrival(&mut self) {
        self.schedule_arrival();
        self.last_id += 1;
        self.open.insert(self.last_id, OpenRequest::default());
        let work = if self.fleet.overloaded {
            HEAVY_WORK
        } else {
            LIGHT_WORK
        };
        let request = Request {
            id: self.last_id,
            class: self.rng.random_range(0..2),
            deadline: self.time.now + CLIENT_TIMEOUT,
            work: Some(work),
            memory_mb: Some(40.0),
            group: self.rng.random_range(0..GROUPS),
            ..Request::default()
        };
        self.handle(Event::Arrived(request));
    }

    fn on_call_end(&mut self, request: RequestId, attempt: usize) {
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        let spent = self.time.now - open.sent_at;
        let usage = Some(ResourceUsage {
            work: spent as f64,
            memory_mb: 40.0,
        });
        let (outcome, is_request_complete, is_already_reported) = (Outcome::Answered, true, false);
        let ended = AttemptEnded {
            request,
            attempt,
            outcome,
            spent,
            is_request_complete,
            is_already_reported,
            usage,
            report: None,
        };
        self.handle(Event::AttemptEnded(ended));
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        let began = Instant::now();
        self.balancer.handle(self.time.now, event, &mut actions);
        self.spent += began.elapsed();
        for action in actions {
            match action {
                Action::Send { request, .. } => self.send_attempt(request),
                Action::SetTimer { after, tag } => {
                    self.time.at(after.max(1), NodeEvent::Timer(tag));
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    let open = self.open.remove(&request);
                    self.refused += u64::from(open.is_some_and(|open| open.attempts == 0));
                }
                Action::Probe { engine } => {
                    let report = LoadReport {
                        in_flight: Some(1.0),
                        ..LoadReport::default()
                    };
                    let probed = ProbeEnded {
                        engine,
                        outcome: Outcome::Answered,
                        report: Some(report),
                    };
                    self.handle(Event::ProbeEnded(probed));
                }
                _ => {}
            }
        }
    }

    fn send_attempt(&mut self, request: RequestId) {
        let now = self.time.now;
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let attempt = open.attempts;
        (open.attempts, open.sent_at) = (attempt + 1, now);
        self.sent += 1;
        let began = Instant::now();
        let may_begin = self.balancer.may_begin(now, request, attempt);
        self.spent += began.elapsed();
        let call_duration = if self.fleet.overloaded {
            HEAVY_WORK
        } else {
            LIGHT_WORK
        } as Micros;
        if may_begin {
            return self
                .time
                .at(call_duration, NodeEvent::CallEnds { request, attempt });
        }
        let (outcome, spent, is_request_complete, is_already_reported) =
            (Outcome::NotSent, 0, false, false);
        let ended = AttemptEnded {
            request,
            attempt,
            outcome,
            spent,
            is_request_complete,
            is_already_reported,
            usage: None,
            report: None,
        };
        self.handle(Event::AttemptEnded(ended));
    }
}
