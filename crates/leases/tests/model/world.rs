//! The simulated network and disks around the lease cores, and the injected bugs.

use std::collections::BTreeMap;

use eideryard_leases::{Config, FencingToken, LeaseCore, Message, Output, Task, VoterReadiness};

use crate::state::{
    Bug, InFlight, OnceDurable, State, UnflushedToken, World, SLOW_VOTER, START_TIME, TASK, VOTERS,
};

pub fn voter_core(voter: usize, disk: &BTreeMap<Task, FencingToken>, now: u64) -> LeaseCore {
    let config = Config {
        voter_count: VOTERS,
        voter_index: Some(voter),
        owner: 100 + voter as u64,
    };
    LeaseCore::new(config, disk.clone().into_iter(), now)
}

pub fn owner_core(owner: usize) -> LeaseCore {
    let config = Config {
        voter_count: VOTERS,
        voter_index: None,
        owner: owner as u64 + 1,
    };
    // The second owner knows the term of the first one, so it requests the next term.
    let first_term = FencingToken {
        term: owner as u64,
        owner: 0,
    };
    let stored = [(TASK, first_term)].into_iter().take(owner);
    let mut core = LeaseCore::new(config, stored, START_TIME);
    core.add_candidate(START_TIME, TASK);
    core
}

impl World {
    pub fn perform_owner_outputs(&self, state: &mut State, owner: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::ToVoter { voter, message } => state.in_flight.push(InFlight {
                    owner,
                    voter,
                    message,
                }),
                Output::LeaseAcquired { token, .. } => {
                    state.leases_acquired += 1;
                    state.greatest_acquired = token.max(state.greatest_acquired);
                }
                _ => {}
            }
        }
    }

    pub fn perform_voter_outputs(&self, state: &mut State, voter: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::StoreToken { task, token, then } => {
                    state.voters[voter].written.insert(task, token);
                    let then = self.defer_until_durable(state, voter, then);
                    state.voters[voter]
                        .unflushed
                        .push(UnflushedToken { task, token, then });
                }
                Output::ToRequester { requester, message } => {
                    self.send_to_owner(state, voter, requester as usize, message);
                }
                Output::Apply { token, .. } => self.apply_work(state, voter, token),
                Output::Fenced { .. } => state.has_rejected_work = true,
                _ => {}
            }
        }
    }

    pub fn defer_until_durable(
        &self,
        state: &mut State,
        voter: usize,
        then: Vec<Output>,
    ) -> Vec<OnceDurable> {
        let mut deferred = Vec::new();
        for output in then {
            match output {
                Output::ToRequester { requester, message } => {
                    let owner = requester as usize;
                    if self.bug == Bug::VotesBeforeDurable {
                        self.send_to_owner(state, voter, owner, message);
                    } else {
                        deferred.push(OnceDurable::Send { owner, message });
                    }
                }
                Output::Apply { token, .. } => deferred.push(OnceDurable::Apply(token)),
                _ => {}
            }
        }
        deferred
    }

    pub fn apply_work(&self, state: &mut State, voter: usize, token: FencingToken) {
        state.has_applied_late_work[voter] |= token < state.greatest_acquired;
        let greatest_applied = &mut state.voters[voter].greatest_applied;
        state.has_stale_work |= token < *greatest_applied;
        *greatest_applied = token.max(*greatest_applied);
    }

    pub fn flush(&self, state: &mut State, voter_index: usize) {
        let voter = &mut state.voters[voter_index];
        voter.disk = voter.written.clone();
        for unflushed in std::mem::take(&mut voter.unflushed) {
            state.voters[voter_index]
                .core
                .mark_durable(unflushed.task, unflushed.token);
            for next in unflushed.then {
                match next {
                    OnceDurable::Send { owner, message } => {
                        self.send_to_owner(state, voter_index, owner, message);
                    }
                    OnceDurable::Apply(token) => self.apply_work(state, voter_index, token),
                }
            }
        }
    }

    /// Delivers a voter's message to an owner. In the model, such a message arrives as soon as it
    /// is sent.
    pub fn send_to_owner(&self, state: &mut State, voter: usize, owner: usize, message: Message) {
        let receiver = &mut state.owners[owner];
        let outputs = receiver.core.on_voter_message(receiver.now, voter, message);
        self.perform_owner_outputs(state, owner, outputs);
    }

    pub fn deliver(&self, state: &mut State, owner: usize, voter: usize) -> Option<()> {
        let position = state
            .in_flight
            .iter()
            .position(|message| (message.owner, message.voter) == (owner, voter))?;
        let message = state.in_flight.remove(position).message;
        let receiver = &mut state.voters[voter];
        let outputs = match (&message, self.bug) {
            (Message::Work { token, .. }, Bug::NoFence) => vec![Output::Apply {
                task: TASK,
                token: *token,
                payload: Vec::new(),
            }],
            _ => receiver.core.on_requester_message(
                receiver.now,
                owner as u64,
                message,
                VoterReadiness::Ready,
            ),
        };
        self.perform_voter_outputs(state, voter, outputs);
        if voter != SLOW_VOTER {
            self.flush(state, voter);
        }
        Some(())
    }
}
