//! A simulated fleet with the cores that ship: virtual time, links, disks and engines, hundreds of
//! gateways in one thread. Everything comes of a seed. Figures from here are of simulated servers
//! and called so.
//!
//! Clients ask keyed requests at any gateway and come again elsewhere when they hear nothing;
//! gateways die, keepers are killed, wiped and paused, links break; engines of three cells drop
//! repeats of the keys that their own cell has seen. What the module would decide is reduced to its
//! rule on effects.

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
const WINDOW: Micros = 5 * S;
const SLACK: Micros = 2 * S;
const WAIT: Micros = 2 * S;
const LONGEST: Micros = WAIT + WINDOW + SLACK;
const CELLS: u32 = 3;
/// Gateways look at what time brings this often.
const LOOK: Micros = 250 * MS;
/// Clients ask within this time; then the fleet comes to rest.
pub const ASKS: Micros = 20 * S;
const RESTS: Micros = 14 * S;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Gateways, keepers among them.
    pub gateways: usize,
    /// Keepers that vote.
    pub keepers: usize,
    /// Keyed requests.
    pub requests: usize,
    /// Kills, pauses, cuts and wiped directories.
    pub faults: usize,
}

/// What is taken out, to show that the checks bite.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Without {
    /// All of it is there.
    Nothing,
    /// Gateways send with no word from keepers.
    Claims,
    /// A keeper that lost its disk votes at once.
    CatchUp,
}

enum Event {
    Deliver {
        link: (usize, usize),
        epoch: u64,
        to_keeper: bool,
        message: Message,
    },
    Link {
        link: (usize, usize),
        up: bool,
    },
    Look(usize),
    Flush {
        keeper: usize,
        start: u64,
    },
    Ask(usize),
    /// A client has waited for long enough.
    GiveUp {
        request: usize,
        gateway: usize,
        start: u64,
    },
    Run {
        key: usize,
        cell: u32,
    },
    /// An attempt ends at its gateway.
    Over {
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
    up: bool,
    paused_until: Micros,
    start: u64,
    identity: u64,
    disk: BTreeMap<Vec<u8>, ReplicaRecord>,
    voted: bool,
    /// Written and not durable, with what follows.
    unflushed: Vec<(Vec<u8>, Option<ReplicaRecord>, Vec<Output>)>,
    flushing: bool,
    /// Keys that the store holds as sent or about to be, as the ledger has them.
    local: HashMap<usize, Local>,
    /// Claims under way: the request, its cell, when it was asked, what is known.
    claims: HashMap<u64, (usize, u32, Micros, PriorRuns)>,
    numbers: u64,
    voted_at: Option<Micros>,
}

/// A key in a gateway's ledger: where and since when it may run, attempts without an end, and
/// whether one that ended may have run.
#[derive(Clone, Copy)]
struct Local {
    cell: u32,
    since: Micros,
    out: u32,
    ran: bool,
}

#[derive(Clone, Copy, Default)]
struct Request {
    tries: u32,
    done: bool,
    first: Micros,
    at: usize,
}

/// A simulated fleet that shares its intents.
pub struct Fleet {
    size: Size,
    without: Without,
    rng: StdRng,
    time: Timeline<Event, ((usize, usize), bool)>,
    gateways: Vec<Gateway>,
    /// Which links are up, how often each has been made, and until when it is cut.
    links: BTreeMap<(usize, usize), (bool, u64, Micros)>,
    requests: Vec<Request>,
    /// When each cell first saw a key.
    seen: HashMap<(usize, u32), Micros>,
    effects: HashMap<usize, u64>,
    figures: Figures,
    /// What happens to this key is told, and to keepers.
    traced: Option<usize>,
    /// What happened, where it is kept.
    pub story: Vec<String>,
}

fn key_of(request: usize) -> Vec<u8> {
    [&[0, 0][..], &(request as u64).to_be_bytes()].concat()
}

impl Fleet {
    /// One that comes of a seed.
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
                up: true,
                paused_until: 0,
                start: 1,
                identity,
                disk: BTreeMap::new(),
                voted: true,
                unflushed: Vec::new(),
                flushing: false,
                local: HashMap::new(),
                claims: HashMap::new(),
                numbers: 0,
                voted_at: None,
            };
            gateway.voted_at = Some(0);
            fleet.gateways.push(gateway);
            let first = fleet.rng.random_range(0..LOOK);
            fleet.at(first, Event::Look(at));
        }
        for gateway in 0..size.gateways {
            for keeper in (0..size.keepers).filter(|keeper| *keeper != gateway) {
                fleet.links.insert((gateway, keeper), (false, 0, 0));
                let after = fleet.rng.random_range(0..100 * MS);
                fleet.at(
                    after,
                    Event::Link {
                        link: (gateway, keeper),
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
            fleet.fault();
        }
        fleet
    }

    fn core(
        &self,
        at: usize,
        identity: u64,
        start: u64,
        whole: bool,
        disk: &BTreeMap<Vec<u8>, ReplicaRecord>,
    ) -> Core {
        let plan = Config {
            voters: self.size.keepers,
            voter_index: (at < self.size.keepers).then_some(at),
            max_retention: LONGEST,
            limits: Limits { max_keys: 100_000 },
            transfer_bytes_per_s: 1 << 20,
            send_without_majority: false,
        };
        let whole = whole || self.without == Without::CatchUp;
        Core::start(
            plan,
            Origin { identity, start },
            whole,
            disk.clone().into_iter(),
            self.time.now,
        )
    }

    fn at(&mut self, after: Micros, event: Event) {
        self.time.at(after, event);
    }

    /// One fault at a drawn time; half of those of processes are of keepers.
    fn fault(&mut self) {
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
                let keeper = self.rng.random_range(0..self.size.keepers);
                let gateway = if any == keeper {
                    (any + 1) % self.size.gateways
                } else {
                    any
                };
                Event::Cut {
                    link: (gateway, keeper),
                    until: self.time.now + after + lasts,
                }
            }
        };
        self.at(after, event);
    }

    /// A line of the story, where this key is told of, or all keys.
    fn tell(&mut self, key: Option<usize>, what: impl FnOnce() -> String) {
        if self.traced.is_some() && (key.is_none() || key == self.traced) {
            self.story
                .push(format!("{:>9.3} s {}", self.time.now as f64 / 1e6, what()));
        }
    }

    /// What led to the first second effect of a seed, step by step.
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

    /// Plays it to its end.
    pub fn run(mut self) -> Figures {
        self.play();
        self.sum()
    }

    fn play(&mut self) {
        let until = self.time.now + ASKS + RESTS;
        while let Some(event) = self.time.next(until) {
            self.happens(event);
        }
    }

    fn sum(mut self) -> Figures {
        self.figures.requests = self.requests.len() as u64;
        self.figures.effects = self.effects.values().sum();
        self.figures.effects_twice =
            self.effects.values().filter(|count| **count > 1).count() as u64;
        self.figures.unanswered = self.requests.iter().filter(|own| !own.done).count() as u64;
        let keepers = &self.gateways[..self.size.keepers];
        let keys: BTreeSet<&Vec<u8>> = keepers.iter().flat_map(|own| own.disk.keys()).collect();
        let print = |own: &Gateway, key: &[u8]| {
            own.core.replicas().get(key).map_or(0, |copy| {
                eideryard_replication::replica_set::fingerprint_of(key, copy, self.time.now)
            })
        };
        let differs = |key: &&&Vec<u8>| {
            keepers
                .iter()
                .any(|own| print(own, key) != print(&keepers[0], key))
        };
        self.figures.differ = keys.iter().filter(differs).count() as u64;
        for own in &self.gateways {
            let Counters {
                transferred_bytes,
                repaired,
                ..
            } = own.core.counters();
            self.figures.caught_up_bytes += transferred_bytes;
            self.figures.mended += repaired;
        }
        self.figures
    }
}

/// Plays seeds one after the other, and sums what counts and keeps the worst of what lasts.
pub fn play(size: Size, seeds: std::ops::Range<u64>, without: Without) -> (Figures, Vec<u64>) {
    let broken = |own: &Figures| own.effects_twice + own.unanswered + own.differ > 0;
    timeline::play_seeds(
        seeds,
        |seed| Fleet::new(size, seed, without).run(),
        broken,
        Figures::add,
    )
}

#[cfg(test)]
mod tests;
