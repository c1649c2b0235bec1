//! Simulates task ownership in a fleet of hundreds of gateways with the production lease code, in
//! virtual time: links delay messages, processes pause, end and restart. The seed determines the
//! whole run. Figures are of simulated servers and must be labelled as such.

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
/// One second in virtual time.
const S: Micros = 1_000_000;
const TIMER_INTERVAL: Micros = 4 * MS;
/// How often an owner submits work for each of its tasks.
const WORK_INTERVAL: Micros = S;
/// How long a fleet is simulated, in microseconds.
pub const DURATION: Micros = 24 * S;
/// When one in [`Size::lost_one_in`] gateways ends and doesn't restart, counted from the start of
/// the simulation.
const LOSS_AT: Micros = 12 * S;
/// A lost task whose new owner's first work is applied later than this counts as late.
pub const NEW_OWNER_WITHIN: Micros = 6 * S;
/// A task that has a new owner by then got it in the first vote: the old owner's last work was at
/// most one second earlier, its lease expires after two seconds, and the first candidate waits some
/// hundred milliseconds before it asks for votes.
const FIRST_VOTE_BY: Micros = 3 * S;

/// Size of a simulated fleet, and the faults in it.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of gateways, voters included.
    pub gateways: usize,
    /// Number of voters; they are the first gateways.
    pub voters: usize,
    /// Number of tasks; every gateway is a candidate for each.
    pub tasks: u32,
    /// Number of faults: pauses of any gateway for 0.5 to 8 s, and kills of voters that restart.
    pub faults: usize,
    /// One in so many gateways ends half way and doesn't restart; 0 for none. Voters stay.
    pub lost_one_in: usize,
}

enum Event {
    Deliver {
        from: usize,
        to: usize,
        to_voter: bool,
        incarnations: (u64, u64),
        message: Message,
    },
    LeaseTimer(usize),
    Flush {
        voter: usize,
        incarnation: u64,
    },
    Pause {
        gateway: usize,
        lasts: Micros,
    },
    Kill {
        voter: usize,
        down: Micros,
    },
    Restart(usize),
    LoseGateways,
}

struct Gateway {
    core: LeaseCore,
    is_up: bool,
    incarnation: u64,
    /// End of the current pause; 0 if none.
    paused_until: Micros,
    /// Highest durable token of each task, which a restart keeps.
    disk: BTreeMap<Task, FencingToken>,
    unflushed: Vec<(Task, FencingToken, Vec<Output>)>,
    is_flushing: bool,
    worked_at: HashMap<Task, Micros>,
    /// Highest token whose work this voter applied. Kept apart from the voter's own state, which a
    /// restart loses.
    applied_tokens: HashMap<Task, FencingToken>,
}

/// A simulated fleet whose gateways compete for the leases of tasks.
pub struct Fleet {
    size: Size,
    rng: StdRng,
    time: Timeline<Event, (usize, usize, bool)>,
    gateways: Vec<Gateway>,
    /// Current owner of each task.
    owned: BTreeMap<Task, usize>,
    /// Owner of each task just before gateways are lost.
    owned_before: BTreeMap<Task, usize>,
    handovers: Handovers,
    figures: Figures,
}

fn tasks(size: &Size) -> impl Iterator<Item = Task> {
    (0..size.tasks).map(|number| Task { kind: 1, number })
}

impl Fleet {
    /// Creates a fleet and schedules its faults, both drawn from `seed`.
    pub fn new(size: Size, seed: u64) -> Self {
        let mut fleet = Fleet {
            size,
            rng: StdRng::seed_from_u64(seed),
            time: Timeline::new(S),
            gateways: Vec::new(),
            owned: BTreeMap::new(),
            owned_before: BTreeMap::new(),
            handovers: Handovers::default(),
            figures: Figures::default(),
        };
        for at in 0..size.gateways {
            let gateway = Gateway {
                core: fleet.new_core(at, 1, &BTreeMap::new()),
                is_up: true,
                incarnation: 1,
                paused_until: 0,
                disk: BTreeMap::new(),
                unflushed: Vec::new(),
                is_flushing: false,
                worked_at: HashMap::new(),
                applied_tokens: HashMap::new(),
            };
            fleet.gateways.push(gateway);
            let first = fleet.rng.random_range(0..TIMER_INTERVAL);
            fleet.schedule(first, Event::LeaseTimer(at));
        }
        for _ in 0..size.faults {
            let after = fleet.rng.random_range(2 * S..DURATION - 6 * S);
            let event = if fleet.rng.random_bool(0.7) {
                Event::Pause {
                    gateway: fleet.rng.random_range(0..size.gateways),
                    lasts: fleet.rng.random_range(500 * MS..8 * S),
                }
            } else {
                Event::Kill {
                    voter: fleet.rng.random_range(0..size.voters),
                    down: fleet.rng.random_range(100 * MS..2 * S),
                }
            };
            fleet.schedule(after, event);
        }
        fleet.schedule(LOSS_AT, Event::LoseGateways);
        fleet
    }

    fn new_core(
        &self,
        at: usize,
        incarnation: u64,
        disk: &BTreeMap<Task, FencingToken>,
    ) -> LeaseCore {
        let config = Config {
            voter_count: self.size.voters,
            voter_index: (at < self.size.voters).then_some(at),
            owner: at as u64 + 1 + incarnation * 1_000_000,
        };
        let mut core = LeaseCore::new(config, disk.clone().into_iter(), self.time.now);
        for task in tasks(&self.size) {
            core.add_candidate(self.time.now, task);
        }
        core
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.time.at(after, event);
    }

    /// Simulates the whole duration and returns the figures.
    pub fn run(mut self) -> Figures {
        let until = self.time.now + DURATION;
        while let Some(event) = self.time.next(until) {
            self.on_event(event);
        }
        self.handovers.finish(until, &mut self.figures);
        let moved_tasks = self.owned_before.iter().filter(|(task, owner)| {
            self.gateways[**owner].is_up && self.owned.get(task).is_some_and(|now| now != *owner)
        });
        self.figures.moved_percent = moved_tasks.count() as u64 * 100 / u64::from(self.size.tasks);
        let mut tasks_by_owner: HashMap<usize, u64> = HashMap::new();
        self.owned
            .values()
            .for_each(|owner| *tasks_by_owner.entry(*owner).or_default() += 1);
        self.figures.most_owned = tasks_by_owner.values().copied().max().unwrap_or(0);
        self.figures
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn on_event(&mut self, event: Event) {
        match event {
            Event::Deliver {
                from,
                to,
                to_voter,
                incarnations,
                message,
            } => {
                let wait = self.gateways[to].paused_until.saturating_sub(self.time.now);
                if wait > 0 {
                    return self.schedule(
                        wait,
                        Event::Deliver {
                            from,
                            to,
                            to_voter,
                            incarnations,
                            message,
                        },
                    );
                }
                let (sender, receiver) = (&self.gateways[from], &self.gateways[to]);
                if !sender.is_up
                    || !receiver.is_up
                    || (sender.incarnation, receiver.incarnation) != incarnations
                {
                    return;
                }
                let core = &mut self.gateways[to].core;
                let outputs = if to_voter {
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
            Event::LeaseTimer(at) => {
                let wait = self.gateways[at].paused_until.saturating_sub(self.time.now);
                if wait > 0 {
                    return self.schedule(wait, Event::LeaseTimer(at));
                }
                if self.gateways[at].is_up {
                    self.run_lease_timer(at);
                }
                self.schedule(TIMER_INTERVAL, Event::LeaseTimer(at));
            }
            Event::Flush { voter, incarnation } => self.flush(voter, incarnation),
            Event::Pause { gateway, lasts } => {
                let until = self.time.now + lasts;
                let state = &mut self.gateways[gateway];
                state.paused_until = state.paused_until.max(until);
            }
            Event::Kill { voter, down } => {
                if self.gateways[voter].is_up {
                    self.gateways[voter].is_up = false;
                    self.schedule(down, Event::Restart(voter));
                }
            }
            Event::Restart(voter) => {
                let (incarnation, disk) = (
                    self.gateways[voter].incarnation + 1,
                    self.gateways[voter].disk.clone(),
                );
                let core = self.new_core(voter, incarnation, &disk);
                let state = &mut self.gateways[voter];
                (
                    state.core,
                    state.incarnation,
                    state.is_up,
                    state.paused_until,
                ) = (core, incarnation, true, 0);
                (state.unflushed, state.is_flushing) = (Vec::new(), false);
            }
            Event::LoseGateways => {
                self.owned_before = self.owned.clone();
                let lost_one_in = self.size.lost_one_in;
                // Voters stay, so that a majority remains.
                for at in (self.size.voters..self.size.gateways)
                    .filter(|at| lost_one_in > 0 && at % lost_one_in == 0)
                {
                    self.gateways[at].is_up = false;
                }
                let gateways = &self.gateways;
                self.owned.retain(|_, owner| gateways[*owner].is_up);
                let lost = self
                    .owned_before
                    .keys()
                    .copied()
                    .filter(|task| !self.owned.contains_key(task));
                self.handovers = Handovers::begin(self.time.now, lost, &mut self.figures);
            }
        }
    }

    fn run_lease_timer(&mut self, at: usize) {
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
            let state = &mut self.gateways[at];
            if state
                .worked_at
                .get(&task)
                .is_some_and(|last| self.time.now < last + WORK_INTERVAL)
            {
                continue;
            }
            state.worked_at.insert(task, self.time.now);
            self.figures.worked += 1;
            let outputs = state.core.submit_work(self.time.now, task, vec![1]);
            self.perform(at, outputs);
        }
    }

    fn send(&mut self, from: usize, to: usize, to_voter: bool, message: Message) {
        if from == to || to >= self.gateways.len() {
            return;
        }
        self.figures.messages += 1;
        let delay = if self.rng.random_bool(0.02) {
            self.rng.random_range(10 * MS..400 * MS)
        } else {
            self.rng.random_range(200..2 * MS)
        };
        let incarnations = (
            self.gateways[from].incarnation,
            self.gateways[to].incarnation,
        );
        let event = Event::Deliver {
            from,
            to,
            to_voter,
            incarnations,
            message,
        };
        self.time.send((from, to, to_voter), delay, event);
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn perform(&mut self, at: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::ToVoter { voter, message } => {
                    if let Message::VoteRequest { task, .. } = message {
                        self.handovers.record_vote_request(self.time.now, task, at);
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
                    let state = &mut self.gateways[at];
                    state.unflushed.push((task, token, then));
                    if !std::mem::replace(&mut state.is_flushing, true) {
                        let incarnation = state.incarnation;
                        let flush_time = self.rng.random_range(300..4 * MS);
                        self.schedule(
                            flush_time,
                            Event::Flush {
                                voter: at,
                                incarnation,
                            },
                        );
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
                        .record_applied(self.time.now, task, &mut self.figures);
                    let highest = self.gateways[at].applied_tokens.entry(task).or_default();
                    self.figures.stale_applied += u64::from(token < *highest);
                    let is_second_owner =
                        token.term == highest.term && token.owner != highest.owner;
                    self.figures.two_owners += u64::from(is_second_owner);
                    *highest = token.max(*highest);
                }
                Output::Fenced { .. } => self.figures.fenced += 1,
                Output::LeaseAcquired { task, .. } => {
                    self.owned.insert(task, at);
                    self.handovers.record_acquired(self.time.now, task, at);
                    let all_owned = self.owned.len() == self.size.tasks as usize;
                    let elapsed = if self.time.now > S + LOSS_AT {
                        self.time.now - S - LOSS_AT
                    } else {
                        self.time.now - S
                    };
                    let figure = if self.time.now > S + LOSS_AT {
                        &mut self.figures.again_after_ms
                    } else {
                        &mut self.figures.owned_after_ms
                    };
                    if all_owned && *figure == 0 {
                        *figure = elapsed / MS;
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

    fn flush(&mut self, voter: usize, incarnation: u64) {
        let state = &mut self.gateways[voter];
        if state.incarnation != incarnation || !state.is_up {
            return;
        }
        if state.paused_until > self.time.now {
            let wait = state.paused_until - self.time.now;
            return self.schedule(wait, Event::Flush { voter, incarnation });
        }
        state.is_flushing = false;
        for (task, token, then) in std::mem::take(&mut state.unflushed) {
            let durable = self.gateways[voter].disk.entry(task).or_default();
            *durable = token.max(*durable);
            self.gateways[voter].core.mark_durable(task, token);
            self.perform(voter, then);
        }
    }
}

/// Simulates `seeds` one after the other. Returns the combined figures, counts as sums and times as
/// maxima, and the seeds that broke a rule.
pub fn play(size: Size, seeds: std::ops::Range<u64>) -> (Figures, Vec<u64>) {
    let is_broken = |figures: &Figures| figures.stale_applied + figures.two_owners > 0;
    timeline::play_seeds(
        seeds,
        |seed| Fleet::new(size, seed).run(),
        is_broken,
        Figures::add,
    )
}

#[cfg(test)]
mod tests;
