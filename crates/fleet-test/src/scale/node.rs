//! One hollow gateway: the decision module with drawn requests, in virtual time of its own.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eideryard::balancer::Balancer;
use eideryard::interface::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::decisions::{self, Fleet, SECOND, STARTED};
use crate::timeline::Timeline;

/// Work of a request where engines keep up, and where they don't.
const LIGHT_WORK: f64 = 20_000.0;
const HEAVY_WORK: f64 = 2_500_000.0;
const WAIT: Micros = 4 * SECOND;
const GROUPS: u64 = 200;

enum Happens {
    Arrives,
    Timer(u64),
    Ends { request: RequestId, attempt: usize },
}

/// A request without an end.
#[derive(Default)]
struct Open {
    attempts: usize,
    sent_at: Micros,
}

/// What a hollow gateway counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counted {
    /// Requests that arrived.
    pub requests: u64,
    /// Engines looked at for these.
    pub visits: u64,
    /// Time of the module for these.
    pub spent: Duration,
}

/// A hollow gateway.
pub struct Node {
    fleet: Fleet,
    module: Balancer,
    time: Timeline<Happens, ()>,
    rng: StdRng,
    open: HashMap<RequestId, Open>,
    sent: u64,
    refused: u64,
    asks_until: Micros,
    next: RequestId,
    list_visits: u64,
    spent: Duration,
}

impl Node {
    /// The gateway at a place among all of the fleet.
    pub fn new(fleet: Fleet, place: usize, list: &[Endpoint]) -> Self {
        let set = decisions::settings(&fleet, place % fleet.gateways);
        let seed = fleet.seed.wrapping_add(place as u64);
        let mut node = Node {
            fleet,
            module: Balancer::new(set, seed, STARTED),
            time: Timeline::new(STARTED),
            rng: StdRng::seed_from_u64(seed),
            open: HashMap::new(),
            sent: 0,
            refused: 0,
            asks_until: 0,
            next: 0,
            list_visits: 0,
            spent: Duration::ZERO,
        };
        node.listed(Event::EndpointSnapshot(list.to_vec()));
        node
    }

    /// From now on requests arrive, until a time.
    pub fn asks_until(&mut self, until: Micros) {
        self.asks_until = until;
        self.arrival();
    }

    /// What was counted so far.
    pub fn counted(&self) -> Counted {
        Counted {
            requests: self.next,
            visits: self.module.engine_visits() - self.list_visits,
            spent: self.spent,
        }
    }

    /// Requests that ended without an attempt.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Attempts that were sent.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Requests without an end.
    pub fn unanswered(&self) -> u64 {
        self.open.len() as u64
    }

    /// Lets what is still open have its time.
    pub fn finish(&mut self) {
        self.asks_until = self.time.now;
        self.play_until(self.time.now + WAIT + SECOND);
    }

    /// Takes what the list says. What that costs is no part of what is counted for requests.
    pub fn listed(&mut self, event: Event) {
        let before = self.counted();
        self.handle(event);
        self.list_visits += self.counted().visits - before.visits;
        self.spent = before.spent;
    }

    /// Engines that the list names.
    pub fn listed_engines(&self) -> usize {
        self.module.listed_engine_count()
    }

    /// Plays until a time.
    pub fn play_until(&mut self, until: Micros) {
        while let Some(happens) = self.time.next(until) {
            match happens {
                Happens::Arrives => self.arrives(),
                Happens::Timer(tag) => self.handle(Event::Timer { tag }),
                Happens::Ends { request, attempt } => self.ends(request, attempt),
            }
        }
    }

    fn arrival(&mut self) {
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / self.fleet.rate * SECOND as f64;
        if self.time.now < self.asks_until {
            self.time.at(wait as Micros + 1, Happens::Arrives);
        }
    }

    fn arrives(&mut self) {
        self.arrival();
        self.next += 1;
        self.open.insert(self.next, Open::default());
        let work = if self.fleet.overloaded {
            HEAVY_WORK
        } else {
            LIGHT_WORK
        };
        let request = Request {
            id: self.next,
            class: self.rng.random_range(0..2),
            deadline: self.time.now + WAIT,
            work: Some(work),
            memory_mb: Some(40.0),
            group: self.rng.random_range(0..GROUPS),
            ..Request::default()
        };
        self.handle(Event::Arrived(request));
    }

    fn ends(&mut self, request: RequestId, attempt: usize) {
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        let spent = self.time.now - open.sent_at;
        let bill = Some(ResourceUsage {
            work: spent as f64,
            memory_mb: 40.0,
        });
        let (outcome, is_request_complete, told) = (Outcome::Answered, true, false);
        let ended = AttemptEnded {
            request,
            attempt,
            outcome,
            spent,
            is_request_complete,
            is_already_reported: told,
            usage: bill,
            report: None,
        };
        self.handle(Event::AttemptEnded(ended));
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        let began = Instant::now();
        self.module.handle(self.time.now, event, &mut actions);
        self.spent += began.elapsed();
        for action in actions {
            match action {
                Action::Send { request, .. } => self.sends(request),
                Action::SetTimer { after, tag } => self.time.at(after.max(1), Happens::Timer(tag)),
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

    fn sends(&mut self, request: RequestId) {
        let now = self.time.now;
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let attempt = open.attempts;
        (open.attempts, open.sent_at) = (attempt + 1, now);
        self.sent += 1;
        let began = Instant::now();
        let begins = self.module.may_begin(now, request, attempt);
        self.spent += began.elapsed();
        let takes = if self.fleet.overloaded {
            HEAVY_WORK
        } else {
            LIGHT_WORK
        } as Micros;
        if begins {
            return self.time.at(takes, Happens::Ends { request, attempt });
        }
        let (outcome, spent, is_request_complete, told) = (Outcome::NotSent, 0, false, false);
        let ended = AttemptEnded {
            request,
            attempt,
            outcome,
            spent,
            is_request_complete,
            is_already_reported: told,
            usage: None,
            report: None,
        };
        self.handle(Event::AttemptEnded(ended));
    }
}
