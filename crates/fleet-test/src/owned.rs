//! Tasks and their owners in a simulated fleet of hundreds, with the cores that ship: virtual time,
//! links that delay and break, processes that stand still or end. Everything comes of a seed;
//! figures are of simulated servers and called so.

use std::collections::{BTreeMap, HashMap};

use eideryard_leases::{Config, FencingToken, LeaseCore, Message, Output, Task, VoterReadiness};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::timeline::{self, Micros, Timeline};

mod figures;
mod handover;

pub use figures::Figures;
use handover::Handovers;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const LOOK: Micros = 4 * MS;
/// An owner works once a second.
const WORKS: Micros = S;
/// How long a fleet is played.
pub const LASTS: Micros = 24 * S;
/// A part of the gateways goes for good then.
const GOES: Micros = 12 * S;
/// A new owner is wanted within this.
pub const NEW_OWNER_WITHIN: Micros = 6 * S;
/// A task that has a new owner by then got it by its first vote: the last work of the old one was a
/// second ago at the most, its lease ends after two, and the first that votes waits some hundred
/// milliseconds.
const FIRST_VOTE_BY: Micros = 3 * S;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Gateways, keepers among them.
    pub gateways: usize,
    /// Keepers that vote.
    pub keepers: usize,
    /// Tasks that every gateway wants.
    pub tasks: u32,
    /// Pauses of 0.5 to 8 s, and kills of keepers that start again.
    pub faults: usize,
    /// One of so many gateways goes half way; 0: none.
    pub goes: usize,
}

enum Event {
    Deliver {
        from: usize,
        to: usize,
        to_keeper: bool,
        starts: (u64, u64),
        message: Message,
    },
    Look(usize),
    Flush {
        keeper: usize,
        start: u64,
    },
    Pause {
        gateway: usize,
        lasts: Micros,
    },
    Kill {
        keeper: usize,
        down: Micros,
    },
    Start(usize),
    Goes,
}

struct Gateway {
    core: LeaseCore,
    up: bool,
    start: u64,
    paused_until: Micros,
    disk: BTreeMap<Task, FencingToken>,
    unflushed: Vec<(Task, FencingToken, Vec<Output>)>,
    flushing: bool,
    worked_at: HashMap<Task, Micros>,
    /// What counted here, whatever it remembers itself.
    counted: HashMap<Task, FencingToken>,
}

/// A simulated fleet with tasks.
pub struct Fleet {
    size: Size,
    rng: StdRng,
    time: Timeline<Event, (usize, usize, bool)>,
    gateways: Vec<Gateway>,
    owned: BTreeMap<Task, usize>,
    before: BTreeMap<Task, usize>,
    handovers: Handovers,
    figures: Figures,
}

fn tasks(size: &Size) -> impl Iterator<Item = Task> {
    (0..size.tasks).map(|number| Task { kind: 1, number })
}

impl Fleet {
    /// One that comes of a seed.
    pub fn new(size: Size, seed: u64) -> Self {
        let mut fleet = Fleet {
            size,
            rng: StdRng::seed_from_u64(seed),
            time: Timeline::new(S),
            gateways: Vec::new(),
            owned: BTreeMap::new(),
            before: BTreeMap::new(),
            handovers: Handovers::default(),
            figures: Figures::default(),
        };
        for at in 0..size.gateways {
            let gateway = Gateway {
                core: fleet.core(at, 1, &BTreeMap::new()),
                up: true,
                start: 1,
                paused_until: 0,
                disk: BTreeMap::new(),
                unflushed: Vec::new(),
                flushing: false,
                worked_at: HashMap::new(),
                counted: HashMap::new(),
            };
            fleet.gateways.push(gateway);
            let first = fleet.rng.random_range(0..LOOK);
            fleet.at(first, Event::Look(at));
        }
        for _ in 0..size.faults {
            let after = fleet.rng.random_range(2 * S..LASTS - 6 * S);
            let event = if fleet.rng.random_bool(0.7) {
                Event::Pause {
                    gateway: fleet.rng.random_range(0..size.gateways),
                    lasts: fleet.rng.random_range(500 * MS..8 * S),
                }
            } else {
                Event::Kill {
                    keeper: fleet.rng.random_range(0..size.keepers),
                    down: fleet.rng.random_range(100 * MS..2 * S),
                }
            };
            fleet.at(after, event);
        }
        fleet.at(GOES, Event::Goes);
        fleet
    }

    fn core(&self, at: usize, start: u64, disk: &BTreeMap<Task, FencingToken>) -> LeaseCore {
        let config = Config {
            voter_count: self.size.keepers,
            voter_index: (at < self.size.keepers).then_some(at),
            owner: at as u64 + 1 + start * 1_000_000,
        };
        let mut core = LeaseCore::new(config, disk.clone().into_iter(), self.time.now);
        for task in tasks(&self.size) {
            core.add_candidate(self.time.now, task);
        }
        core
    }

    fn at(&mut self, after: Micros, event: Event) {
        self.time.at(after, event);
    }

    /// Plays it to its end.
    pub fn run(mut self) -> Figures {
        let until = self.time.now + LASTS;
        while let Some(event) = self.time.next(until) {
            self.happens(event);
        }
        self.handovers.end(until, &mut self.figures);
        let moved = self.before.iter().filter(|(task, owner)| {
            self.gateways[**owner].up && self.owned.get(task).is_some_and(|now| now != *owner)
        });
        self.figures.moved_percent = moved.count() as u64 * 100 / u64::from(self.size.tasks);
        let mut each: HashMap<usize, u64> = HashMap::new();
        self.owned
            .values()
            .for_each(|owner| *each.entry(*owner).or_default() += 1);
        self.figures.most_owned = each.values().copied().max().unwrap_or(0);
        self.figures
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn happens(&mut self, event: Event) {
        match event {
            Event::Deliver {
                from,
                to,
                to_keeper,
                starts,
                message,
            } => {
                let wait = self.gateways[to].paused_until.saturating_sub(self.time.now);
                if wait > 0 {
                    return self.at(
                        wait,
                        Event::Deliver {
                            from,
                            to,
                            to_keeper,
                            starts,
                            message,
                        },
                    );
                }
                let (a, b) = (&self.gateways[from], &self.gateways[to]);
                if !a.up || !b.up || (a.start, b.start) != starts {
                    return;
                }
                let core = &mut self.gateways[to].core;
                let outputs = if to_keeper {
                    core.on_requester_message(
                        self.time.now,
                        from as u64,
                        message,
                        VoterReadiness::Ready,
                    )
                } else {
                    core.on_voter_message(self.time.now, from, message)
                };
                self.perform(to, outputs);
            }
            Event::Look(at) => {
                let wait = self.gateways[at].paused_until.saturating_sub(self.time.now);
                if wait > 0 {
                    return self.at(wait, Event::Look(at));
                }
                if self.gateways[at].up {
                    self.look(at);
                }
                self.at(LOOK, Event::Look(at));
            }
            Event::Flush { keeper, start } => self.flush(keeper, start),
            Event::Pause { gateway, lasts } => {
                let until = self.time.now + lasts;
                let own = &mut self.gateways[gateway];
                own.paused_until = own.paused_until.max(until);
            }
            Event::Kill { keeper, down } => {
                if self.gateways[keeper].up {
                    self.gateways[keeper].up = false;
                    self.at(down, Event::Start(keeper));
                }
            }
            Event::Start(keeper) => {
                let (start, disk) = (
                    self.gateways[keeper].start + 1,
                    self.gateways[keeper].disk.clone(),
                );
                let core = self.core(keeper, start, &disk);
                let own = &mut self.gateways[keeper];
                (own.core, own.start, own.up, own.paused_until) = (core, start, true, 0);
                (own.unflushed, own.flushing) = (Vec::new(), false);
            }
            Event::Goes => {
                self.before = self.owned.clone();
                let gone = self.size.goes;
                // Keepers stay: a majority stands.
                for at in
                    (self.size.keepers..self.size.gateways).filter(|at| gone > 0 && at % gone == 0)
                {
                    self.gateways[at].up = false;
                }
                let gateways = &self.gateways;
                self.owned.retain(|_, owner| gateways[*owner].up);
                let lost = self
                    .before
                    .keys()
                    .copied()
                    .filter(|task| !self.owned.contains_key(task));
                self.handovers = Handovers::begin(self.time.now, lost, &mut self.figures);
            }
        }
    }

    fn look(&mut self, at: usize) {
        let outputs = self.gateways[at].core.on_timer(
            self.time.now,
            self.time.now / MS,
            VoterReadiness::Ready,
        );
        self.perform(at, outputs);
        let owned: Vec<Task> = self.gateways[at]
            .core
            .held_tokens(self.time.now)
            .map(|(task, _)| task)
            .collect();
        for task in owned {
            let own = &mut self.gateways[at];
            if own
                .worked_at
                .get(&task)
                .is_some_and(|last| self.time.now < last + WORKS)
            {
                continue;
            }
            own.worked_at.insert(task, self.time.now);
            self.figures.worked += 1;
            let outputs = own.core.submit_work(self.time.now, task, vec![1]);
            self.perform(at, outputs);
        }
    }

    fn send(&mut self, from: usize, to: usize, to_keeper: bool, message: Message) {
        if from == to || to >= self.gateways.len() {
            return;
        }
        self.figures.messages += 1;
        let delay = if self.rng.random_bool(0.02) {
            self.rng.random_range(10 * MS..400 * MS)
        } else {
            self.rng.random_range(200..2 * MS)
        };
        let starts = (self.gateways[from].start, self.gateways[to].start);
        let event = Event::Deliver {
            from,
            to,
            to_keeper,
            starts,
            message,
        };
        self.time.send((from, to, to_keeper), delay, event);
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn perform(&mut self, at: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::ToVoter { voter, message } => {
                    if let Message::VoteRequest { task, .. } = message {
                        self.handovers.asks(self.time.now, task, at);
                    }
                    self.send(at, voter, true, message);
                }
                Output::ToRequester { requester, message } => {
                    self.send(at, requester as usize, false, message);
                }
                Output::ToAllRequesters { except, message } => {
                    let gateways = 0..self.gateways.len();
                    for requester in gateways.filter(|at| Some(*at as u64) != except) {
                        self.send(at, requester, false, message.clone());
                    }
                }
                Output::StoreToken { task, token, then } => {
                    let own = &mut self.gateways[at];
                    own.unflushed.push((task, token, then));
                    if !std::mem::replace(&mut own.flushing, true) {
                        let start = own.start;
                        let takes = self.rng.random_range(300..4 * MS);
                        self.at(takes, Event::Flush { keeper: at, start });
                    }
                }
                Output::RemoveToken(task) => _ = self.gateways[at].disk.remove(&task),
                Output::VoteForSelf { task, token } => {
                    let outputs = self.gateways[at]
                        .core
                        .on_own_vote(self.time.now, task, token);
                    self.perform(at, outputs);
                }
                Output::Apply { task, token, .. } => {
                    self.figures.applied += 1;
                    self.handovers
                        .applied(self.time.now, task, &mut self.figures);
                    let counted = self.gateways[at].counted.entry(task).or_default();
                    self.figures.stale_applied += u64::from(token < *counted);
                    let two = token.term == counted.term && token.owner != counted.owner;
                    self.figures.two_owners += u64::from(two);
                    *counted = token.max(*counted);
                }
                Output::Fenced { .. } => self.figures.fenced += 1,
                Output::LeaseAcquired { task, .. } => {
                    self.owned.insert(task, at);
                    self.handovers.won(self.time.now, task, at);
                    let all = self.owned.len() == self.size.tasks as usize;
                    let took = if self.time.now > S + GOES {
                        self.time.now - S - GOES
                    } else {
                        self.time.now - S
                    };
                    let figure = if self.time.now > S + GOES {
                        &mut self.figures.again_after_ms
                    } else {
                        &mut self.figures.owned_after_ms
                    };
                    if all && *figure == 0 {
                        *figure = took / MS;
                    }
                }
                Output::LeaseLost { task, .. } => {
                    self.figures.lapsed += 1;
                    if self.owned.get(&task) == Some(&at) {
                        self.owned.remove(&task);
                    }
                }
            }
        }
    }

    fn flush(&mut self, keeper: usize, start: u64) {
        let own = &mut self.gateways[keeper];
        if own.start != start || !own.up {
            return;
        }
        if own.paused_until > self.time.now {
            let wait = own.paused_until - self.time.now;
            return self.at(wait, Event::Flush { keeper, start });
        }
        own.flushing = false;
        for (task, token, then) in std::mem::take(&mut own.unflushed) {
            let known = self.gateways[keeper].disk.entry(task).or_default();
            *known = token.max(*known);
            self.gateways[keeper].core.mark_durable(task, token);
            self.perform(keeper, then);
        }
    }
}

/// Plays seeds one after the other: sums of what counts, the worst of what lasts.
pub fn play(size: Size, seeds: std::ops::Range<u64>) -> (Figures, Vec<u64>) {
    let broken = |own: &Figures| own.stale_applied + own.two_owners > 0;
    timeline::play_seeds(
        seeds,
        |seed| Fleet::new(size, seed).run(),
        broken,
        Figures::add,
    )
}

#[cfg(test)]
mod tests;
