//! The lease state of one gateway. As a voter it grants votes, as any gateway it may own tasks, and
//! everywhere it keeps the fence.

use std::collections::BTreeMap;

use crate::candidate::Candidate;
use crate::fence::Fences;
use crate::fencing_token::{FencingToken, Task};
use crate::voter::Voter;
use crate::Micros;

mod messages;
mod requester_side;
mod voter_side;

pub use messages::{Message, Output};

/// Tasks that a gateway remembers; beyond that the oldest is forgotten.
pub const MAX_TASKS: usize = 4096;
/// Timers are examined no more often than this.
const POLL_INTERVAL: Micros = 2_000;
/// A voter that may lack promises examines its timers again after this time.
const RECOVERING_POLL_DELAY: Micros = 100_000;

/// The place of a gateway in its fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Number of voters in the fleet.
    pub voter_count: usize,
    /// Index of this gateway among the voters, if it is one.
    pub voter_index: Option<usize>,
    /// This incarnation of this gateway, as tokens name it.
    pub owner: u64,
}

/// Whether a voter has everything that it ever promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterReadiness {
    /// It may vote.
    Ready,
    /// It may lack promises: it neither grants nor requests votes.
    Recovering,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Leases acquired.
    pub acquired: u64,
    /// Leases that expired or were taken over.
    pub lost: u64,
    /// Pieces of work that were applied here.
    pub applied: u64,
    /// Pieces of work that the fence here rejected.
    pub fenced: u64,
    /// Pieces of this gateway's own work that another gateway's fence rejected.
    pub rejected: u64,
}

/// All lease state of one gateway; see the [example](crate#example).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseCore {
    config: Config,
    fences: Fences,
    voter: Voter,
    candidates: BTreeMap<Task, Candidate>,
    polled_at: Micros,
    counters: Counters,
}

impl LeaseCore {
    /// State after a start, with the tokens that the store holds.
    pub fn new(
        config: Config,
        stored: impl Iterator<Item = (Task, FencingToken)>,
        now: Micros,
    ) -> Self {
        let fences = Fences::restore(stored);
        let voter = Voter::restore(&fences, now);
        LeaseCore {
            config,
            fences,
            voter,
            candidates: BTreeMap::new(),
            polled_at: now,
            counters: Counters::default(),
        }
    }

    fn majority(&self) -> usize {
        self.config.voter_count / 2 + 1
    }

    /// From now on this gateway may own a task.
    pub fn add_candidate(&mut self, now: Micros, task: Task) {
        if self.candidates.len() >= MAX_TASKS {
            return;
        }
        let owner = self.config.owner;
        let majority = self.majority();
        let greatest = self.fences.greatest(task);
        self.candidates
            .entry(task)
            .or_insert_with(|| Candidate::new(task, owner, majority, greatest, now));
    }

    /// Drops the candidates for tasks that no longer exist.
    pub fn remove_candidates(&mut self, is_removed: impl Fn(Task) -> bool) {
        self.candidates.retain(|task, _| !is_removed(*task));
    }

    /// The token to act under now, if this gateway owns a task as far as it knows.
    pub fn held_token(&self, now: Micros, task: Task) -> Option<FencingToken> {
        self.candidates.get(&task)?.held_token(now)
    }

    /// All tasks that this gateway owns as far as it knows, with their tokens.
    pub fn held_tokens(&self, now: Micros) -> impl Iterator<Item = (Task, FencingToken)> + '_ {
        self.candidates
            .iter()
            .filter_map(move |(task, candidate)| Some((*task, candidate.held_token(now)?)))
    }

    /// The greatest token of each task that is known here.
    pub fn fences(&self) -> &Fences {
        &self.fences
    }

    /// What was counted since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// A token of [`Output::StoreToken`] is durable. The caller carries out its `then` afterwards.
    pub fn mark_durable(&mut self, task: Task, token: FencingToken) {
        self.fences.mark_durable(task, token);
    }

    /// All tokens that were promised or seen, for a peer that joins or catches up; nothing if there
    /// are none.
    pub fn tokens_message(&self) -> Option<Message> {
        let tokens: Vec<_> = self.fences.tokens().collect();
        (!tokens.is_empty()).then_some(Message::Tokens { tokens })
    }

    /// Acts on the passing of time. `unix_ms` keeps terms growing where every voter lost its store.
    pub fn on_timer(
        &mut self,
        now: Micros,
        unix_ms: u64,
        readiness: VoterReadiness,
    ) -> Vec<Output> {
        if now < self.deadline() {
            return Vec::new();
        }
        self.polled_at = now;
        let mut outputs = self.trim_tasks();
        let is_voter = self.config.voter_index.is_some();
        if is_voter && readiness == VoterReadiness::Recovering {
            self.polled_at += RECOVERING_POLL_DELAY;
            return outputs;
        }
        let mut transitions = Vec::new();
        for (task, candidate) in &mut self.candidates {
            transitions.push((*task, candidate.on_timer(now, unix_ms)));
        }
        for (task, transition) in transitions {
            outputs.extend(self.apply_transition(now, task, transition));
        }
        outputs
    }

    fn trim_tasks(&mut self) -> Vec<Output> {
        let removed = self.fences.trim(MAX_TASKS);
        for task in &removed {
            self.voter.forget(*task);
        }
        removed.into_iter().map(Output::RemoveToken).collect()
    }

    /// When [`LeaseCore::on_timer`] has something to do, but no more often than every
    /// `POLL_INTERVAL`.
    pub fn deadline(&self) -> Micros {
        let next = self.candidates.values().map(Candidate::deadline).min();
        next.unwrap_or(Micros::MAX)
            .max(self.polled_at + POLL_INTERVAL)
    }

    /// The gateway shuts down: its tasks are free at once.
    pub fn stop(&mut self) -> Vec<Output> {
        let mut released = Vec::new();
        for (task, candidate) in &mut self.candidates {
            if let Some(token) = candidate.stop() {
                released.push((*task, token));
            }
        }
        let mut outputs = Vec::new();
        for (task, token) in released {
            outputs.extend(self.release(task, token));
            outputs.push(Output::LeaseLost { task, token });
        }
        outputs
    }

    /// The indexes of all voters but this gateway.
    fn other_voters(&self) -> impl Iterator<Item = usize> {
        let voter_index = self.config.voter_index;
        (0..self.config.voter_count).filter(move |voter| Some(*voter) != voter_index)
    }

    fn send_to_other_voters(&self, message: &Message) -> Vec<Output> {
        self.other_voters()
            .map(|voter| Output::ToVoter {
                voter,
                message: message.clone(),
            })
            .collect()
    }

    /// Gives up a token here and at the other voters.
    fn release(&mut self, task: Task, token: FencingToken) -> Vec<Output> {
        self.voter.release(&self.fences, task, token);
        self.send_to_other_voters(&Message::Release { task, token })
    }
}
