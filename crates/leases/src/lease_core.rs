//! All lease state of one gateway. Every gateway may own tasks and has a fence. A gateway that is a
//! voter also grants votes.

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

/// Maximum number of tasks whose tokens a gateway stores. When it is exceeded, the tasks with the
/// oldest tokens are removed.
pub const MAX_TASKS: usize = 4096;
/// Minimum interval between two checks of all timers.
const POLL_INTERVAL: Micros = 2_000;
/// Additional delay, after the [`POLL_INTERVAL`], until a recovering voter checks its timers again.
const RECOVERING_POLL_DELAY: Micros = 100_000;

/// The role of one gateway in its fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Number of voters in the fleet.
    pub voter_count: usize,
    /// Index of this gateway among the voters; `None` if it is not a voter.
    pub voter_index: Option<usize>,
    /// ID of this gateway's current incarnation, which its tokens contain.
    pub owner: u64,
}

/// Whether a voter still knows all tokens that it ever granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterReadiness {
    /// The voter may grant and request votes.
    Ready,
    /// Tokens may be missing from the voter's store, so it neither grants nor requests votes.
    Recovering,
}

/// Counters since the start of the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Leases that this gateway acquired.
    pub acquired: u64,
    /// Leases of this gateway that expired or were taken over by another gateway.
    pub lost: u64,
    /// Pieces of work that this gateway's fence admitted.
    pub applied: u64,
    /// Pieces of work that this gateway's fence rejected.
    pub fenced: u64,
    /// Pieces of work that this gateway sent and another gateway's fence rejected.
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
    /// Creates the state when the gateway starts, with the tokens in the gateway's store.
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

    /// Makes this gateway a candidate for a task. Does nothing if it is already a candidate for
    /// this task or for [`MAX_TASKS`] tasks.
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

    /// Ends the candidacies for tasks that no longer exist.
    pub fn remove_candidates(&mut self, is_removed: impl Fn(Task) -> bool) {
        self.candidates.retain(|task, _| !is_removed(*task));
    }

    /// Returns the token under which this gateway owns a task according to its clock, or `None` if
    /// it does not own the task.
    pub fn held_token(&self, now: Micros, task: Task) -> Option<FencingToken> {
        self.candidates.get(&task)?.held_token(now)
    }

    /// Iterates over all tasks that this gateway owns according to its clock, with their tokens.
    pub fn held_tokens(&self, now: Micros) -> impl Iterator<Item = (Task, FencingToken)> + '_ {
        self.candidates
            .iter()
            .filter_map(move |(task, candidate)| Some((*task, candidate.held_token(now)?)))
    }

    /// Returns the fence of this gateway, with the highest known token of each task.
    pub fn fences(&self) -> &Fences {
        &self.fences
    }

    /// Returns the counters since the start of the gateway.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Records that the token of an [`Output::StoreToken`] is durable. Afterwards the caller
    /// performs the outputs in `then`.
    pub fn mark_durable(&mut self, task: Task, token: FencingToken) {
        self.fences.mark_durable(task, token);
    }

    /// Returns a message with all known tokens, for a peer that joins or catches up; `None` if no
    /// token is known.
    pub fn tokens_message(&self) -> Option<Message> {
        let tokens: Vec<_> = self.fences.tokens().collect();
        (!tokens.is_empty()).then_some(Message::Tokens { tokens })
    }

    /// Performs the actions that are due at `now`. `unix_ms`, the Unix time, keeps terms increasing
    /// even if every voter has lost its store.
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

    /// Returns the time at which [`LeaseCore::on_timer`] should be called next. Successive
    /// deadlines are at least `POLL_INTERVAL` apart.
    pub fn deadline(&self) -> Micros {
        let next = self.candidates.values().map(Candidate::deadline).min();
        next.unwrap_or(Micros::MAX)
            .max(self.polled_at + POLL_INTERVAL)
    }

    /// Gives up all tasks when the gateway shuts down, so that other gateways can acquire them at
    /// once.
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

    /// Returns the indexes of all voters except this gateway.
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

    /// Gives up a token, at this gateway and at the other voters.
    fn release(&mut self, task: Task, token: FencingToken) -> Vec<Output> {
        self.voter.release(&self.fences, task, token);
        self.send_to_other_voters(&Message::Release { task, token })
    }
}
