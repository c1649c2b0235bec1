//! A simulated fleet of hundreds of gateways in one thread, with the replication core of the
//! program and simulated time, links, disks and engines. All random numbers derive from one seed.
//! Figures of this module are of simulated servers and must be labelled so.
//!
//! Clients send keyed requests to random gateways and retry at others if no answer comes. Gateways
//! and voters are killed, wiped and paused, and links break. The engines of each of three cells
//! drop repeats of keys that their own cell has seen. Of the balancer, only its rule on effects is
//! simulated.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use eideryard_intent_log::Location;
use eideryard_replication::core::Counters;
use eideryard_replication::replica_set::Limits;
use eideryard_replication::{
    Config, Core, Message, Origin, Output, Peer, PriorRun, PriorRuns, ReplicaRecord, Verdict,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::timeline::{self, Micros, Timeline};

mod events;
mod figures;
mod links;
mod processes;
mod requests;

pub use figures::Figures;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Engines drop repeats of a key for this time.
const WINDOW: Micros = 5 * S;
/// Time beyond window and wait for which entries are kept.
const SLACK: Micros = 2 * S;
/// Clients wait for an answer for this time.
const WAIT: Micros = 2 * S;
const MAX_RETENTION: Micros = WAIT + WINDOW + SLACK;
const CELLS: u32 = 3;
/// Interval at which gateways poll their core for timers.
const POLL_INTERVAL: Micros = 250 * MS;
/// Clients send requests up to this time after the start of a run; faults begin within it, too.
pub const ASKS: Micros = 20 * S;
/// Time without new requests at the end, so that retries finish and replicas become equal.
const RESTS: Micros = 14 * S;

/// The size of a simulated fleet and its load.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of gateways, including the voters.
    pub gateways: usize,
    /// Number of voters: the gateways with the lowest numbers.
    pub keepers: usize,
    /// Number of keyed requests, each with its own key.
    pub requests: usize,
    /// Number of faults: kills with and without loss of the disk, pauses and link cuts.
    pub faults: usize,
}

/// A protection that is disabled, to show that the checks detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Without {
    /// All protections are active.
    Nothing,
    /// Gateways send requests without a claim at the voters.
    Claims,
    /// A voter that lost its disk votes before it has caught up.
    CatchUp,
}

enum Event {
    Deliver {
        link: (usize, usize),
        epoch: u64,
        to_voter: bool,
        message: Message,
    },
    Link {
        link: (usize, usize),
        up: bool,
    },
    Poll(usize),
    Flush {
        voter: usize,
        start: u64,
    },
    Ask(usize),
    /// A client's wait for an answer is over.
    GiveUp {
        request: usize,
        gateway: usize,
        start: u64,
    },
    Run {
        key: usize,
        cell: u32,
    },
    /// The end of an attempt reaches its gateway.
    AttemptEnded {
        gateway: usize,
        start: u64,
        key: usize,
        cell: u32,
    },
    Kill {
        gateway: usize,
        wiped: bool,
        down: Micros,
    },
    Start(usize),
    Pause {
        gateway: usize,
        until: Micros,
    },
    Cut {
        link: (usize, usize),
        until: Micros,
    },
}

struct Gateway {
    core: Core,
    is_up: bool,
    paused_until: Micros,
    start: u64,
    identity: u64,
    disk: BTreeMap<Vec<u8>, ReplicaRecord>,
    /// Whether its disk has the state of a voter; false after the loss of the disk until it votes
    /// again.
    has_voted: bool,
    /// Writes that are not durable yet: key, new value or removal, and the outputs to perform once
    /// the write is durable.
    unflushed: Vec<(Vec<u8>, Option<ReplicaRecord>, Vec<Output>)>,
    is_flushing: bool,
    /// The gateway's own intents by key: keys that it has sent or is about to send.
    local: HashMap<usize, LocalIntent>,
    /// Pending claims by number: request, cell, time of the claim, and prior runs known then.
    claims: HashMap<u64, (usize, u32, Micros, PriorRuns)>,
    last_claim: u64,
    /// When the gateway started after the loss of its disk; `Some(0)` once it votes again.
    catch_up_began: Option<Micros>,
}

/// The intent of a gateway for a key.
#[derive(Clone, Copy)]
struct LocalIntent {
    cell: u32,
    /// Since when the key may run.
    since: Micros,
    /// Attempts without an end.
    in_flight: u32,
    /// Whether an ended attempt may have run.
    may_have_run: bool,
}

#[derive(Clone, Copy, Default)]
struct Request {
    tries: u32,
    is_done: bool,
    first_sent: Micros,
    /// The gateway of the present try; `usize::MAX` between tries.
    gateway: usize,
}

/// A simulated fleet that replicates its intents.
pub struct Fleet {
    size: Size,
    without: Without,
    rng: StdRng,
    time: Timeline<Event, ((usize, usize), bool)>,
    gateways: Vec<Gateway>,
    /// For each link: whether it is up, how often it was established, and until when it is cut.
    links: BTreeMap<(usize, usize), (bool, u64, Micros)>,
    requests: Vec<Request>,
    /// When a key last took effect in a cell.
    seen: HashMap<(usize, u32), Micros>,
    /// Number of effects by key.
    effects: HashMap<usize, u64>,
    figures: Figures,
    /// If set, events on this key and events without a key are written to the story.
    traced: Option<usize>,
    /// The traced events, as lines of text.
    pub story: Vec<String>,
}

fn key_of(request: usize) -> Vec<u8> {
    [&[0, 0][..], &(request as u64).to_be_bytes()].concat()
}

impl Fleet {
    /// Creates a fleet; its events and random numbers depend only on the arguments.
    pub fn new(size: Size, seed: u64, without: Without) -> Self {
        let mut fleet = Fleet {
            size,
            without,
            rng: StdRng::seed_from_u64(seed),
            time: Timeline::new(S),
            gateways: Vec::new(),
            links: BTreeMap::new(),
            requests: vec![Request::default(); size.requests],
            seen: HashMap::new(),
            effects: HashMap::new(),
            figures: Figures::default(),
            traced: None,
            story: Vec::new(),
        };
        for at in 0..size.gateways {
            let identity = fleet.rng.random();
            let mut gateway = Gateway {
                core: fleet.core(at, identity, 1, true, &BTreeMap::new()),
                is_up: true,
                paused_until: 0,
                start: 1,
                identity,
                disk: BTreeMap::new(),
                has_voted: true,
                unflushed: Vec::new(),
                is_flushing: false,
                local: HashMap::new(),
                claims: HashMap::new(),
                last_claim: 0,
                catch_up_began: None,
            };
            gateway.catch_up_began = Some(0);
            fleet.gateways.push(gateway);
            let first = fleet.rng.random_range(0..POLL_INTERVAL);
            fleet.at(first, Event::Poll(at));
        }
        for gateway in 0..size.gateways {
            for voter in (0..size.keepers).filter(|voter| *voter != gateway) {
                fleet.links.insert((gateway, voter), (false, 0, 0));
                let after = fleet.rng.random_range(0..100 * MS);
                fleet.at(
                    after,
                    Event::Link {
                        link: (gateway, voter),
                        up: true,
                    },
                );
            }
        }
        for request in 0..size.requests {
            let after = fleet.rng.random_range(S..ASKS);
            fleet.at(after, Event::Ask(request));
        }
        for _ in 0..size.faults {
            fleet.add_fault();
        }
        fleet
    }

    fn core(
        &self,
        at: usize,
        identity: u64,
        start: u64,
        has_state: bool,
        disk: &BTreeMap<Vec<u8>, ReplicaRecord>,
    ) -> Core {
        let config = Config {
            voters: self.size.keepers,
            voter_index: (at < self.size.keepers).then_some(at),
            max_retention: MAX_RETENTION,
            limits: Limits { max_keys: 100_000 },
            transfer_bytes_per_s: 1 << 20,
            send_without_majority: false,
        };
        let has_state = has_state || self.without == Without::CatchUp;
        Core::start(
            config,
            Origin { identity, start },
            has_state,
            disk.clone().into_iter(),
            self.time.now,
        )
    }

    fn at(&mut self, after: Micros, event: Event) {
        self.time.at(after, event);
    }

    /// Queues a fault at a random time. The gateway of a fault is a voter in at least half of the
    /// cases.
    fn add_fault(&mut self) {
        let after = self.rng.random_range(2 * S..ASKS);
        let any = if self.rng.random_bool(0.5) {
            self.rng.random_range(0..self.size.keepers)
        } else {
            self.rng.random_range(0..self.size.gateways)
        };
        let lasts = self.rng.random_range(100 * MS..4 * S);
        let event = match self.rng.random_range(0..8) {
            0 | 1 => Event::Kill {
                gateway: any,
                wiped: false,
                down: lasts,
            },
            2 => Event::Kill {
                gateway: any,
                wiped: true,
                down: lasts,
            },
            3 => Event::Pause {
                gateway: any,
                until: self.time.now + after + lasts,
            },
            _ => {
                let voter = self.rng.random_range(0..self.size.keepers);
                let gateway = if any == voter {
                    (any + 1) % self.size.gateways
                } else {
                    any
                };
                Event::Cut {
                    link: (gateway, voter),
                    until: self.time.now + after + lasts,
                }
            }
        };
        self.at(after, event);
    }

    /// Adds a line to the story if a key is traced and `key` is that key or `None`.
    fn trace(&mut self, key: Option<usize>, what: impl FnOnce() -> String) {
        if self.traced.is_some() && (key.is_none() || key == self.traced) {
            self.story
                .push(format!("{:>9.3} s {}", self.time.now as f64 / 1e6, what()));
        }
    }

    /// Plays a seed twice: first to find the lowest key that took effect twice, then to trace it.
    /// Returns the story, empty if no key took effect twice.
    pub fn story_of(size: Size, seed: u64, without: Without) -> Vec<String> {
        let mut first = Fleet::new(size, seed, without);
        first.play();
        let twice = first
            .effects
            .iter()
            .filter(|(_, count)| **count > 1)
            .map(|(key, _)| *key)
            .min();
        let Some(key) = twice else { return Vec::new() };
        let mut again = Fleet::new(size, seed, without);
        again.traced = Some(key);
        again.play();
        again.story
    }

    /// Plays the fleet to its end and returns the figures.
    pub fn run(mut self) -> Figures {
        self.play();
        self.into_figures()
    }

    fn play(&mut self) {
        let until = self.time.now + ASKS + RESTS;
        while let Some(event) = self.time.next(until) {
            self.handle(event);
        }
    }

    fn into_figures(mut self) -> Figures {
        self.figures.requests = self.requests.len() as u64;
        self.figures.effects = self.effects.values().sum();
        self.figures.effects_twice =
            self.effects.values().filter(|count| **count > 1).count() as u64;
        self.figures.unanswered = self
            .requests
            .iter()
            .filter(|request| !request.is_done)
            .count() as u64;
        let voters = &self.gateways[..self.size.keepers];
        let keys: BTreeSet<&Vec<u8>> = voters.iter().flat_map(|voter| voter.disk.keys()).collect();
        let fingerprint = |voter: &Gateway, key: &[u8]| {
            voter.core.replicas().get(key).map_or(0, |copy| {
                eideryard_replication::replica_set::fingerprint_of(key, copy, self.time.now)
            })
        };
        let differs = |key: &&&Vec<u8>| {
            voters
                .iter()
                .any(|voter| fingerprint(voter, key) != fingerprint(&voters[0], key))
        };
        self.figures.differ = keys.iter().filter(differs).count() as u64;
        for gateway in &self.gateways {
            let Counters {
                transferred_bytes,
                repaired,
                ..
            } = gateway.core.counters();
            self.figures.caught_up_bytes += transferred_bytes;
            self.figures.mended += repaired;
        }
        self.figures
    }
}

/// Plays seeds one after the other. Returns the combined figures (see [`Figures::add`]) and the
/// seeds that broke a rule.
pub fn play(size: Size, seeds: std::ops::Range<u64>, without: Without) -> (Figures, Vec<u64>) {
    let is_broken =
        |figures: &Figures| figures.effects_twice + figures.unanswered + figures.differ > 0;
    timeline::play_seeds(
        seeds,
        |seed| Fleet::new(size, seed, without).run(),
        is_broken,
        Figures::add,
    )
}

#[cfg(test)]
mod tests;
