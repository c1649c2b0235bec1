//! The part of a gateway that is a candidate for tasks or owns them: it requests and counts votes,
//! and sends the gateway's work to the voters.

use super::{LeaseCore, Message, Output};
use crate::candidate::{Denial, Transition};
use crate::fencing_token::{FencingToken, Task};
use crate::voter::VoteDecision;
use crate::Micros;

impl LeaseCore {
    /// Sends work of a task to all voters and applies it at this gateway. Returns no outputs if
    /// this gateway doesn't own the task now.
    pub fn submit_work(&mut self, now: Micros, task: Task, payload: Vec<u8>) -> Vec<Output> {
        let Some(token) = self.held_token(now, task) else {
            return Vec::new();
        };
        let message = Message::Work {
            task,
            token,
            payload: payload.clone(),
        };
        let mut outputs = self.send_to_other_voters(&message);
        outputs.extend(self.admit_work(None, task, token, payload));
        outputs
    }

    /// Handles a message from a voter to which this gateway has connected.
    pub fn on_voter_message(&mut self, now: Micros, voter: usize, message: Message) -> Vec<Output> {
        match message {
            Message::VoteGranted { task, token } => self.on_vote_granted(now, voter, task, token),
            Message::VoteDenied {
                task,
                token,
                greatest,
                remaining,
            } => {
                let denial = Denial {
                    token,
                    greatest,
                    remaining,
                };
                self.on_vote_denied(now, voter, task, denial)
            }
            Message::StaleToken { task, greatest, .. } => {
                self.counters.rejected += 1;
                self.on_token_seen(now, task, greatest)
            }
            // Every voter may forward the same work, so each copy passes through the fence and none
            // is forwarded again.
            Message::Work {
                task,
                token,
                payload,
            } => {
                let mut outputs = self.on_token_seen(now, task, token);
                outputs.extend(self.admit_work(None, task, token, payload));
                outputs.retain(|output| !matches!(output, Output::ToAllRequesters { .. }));
                outputs
            }
            Message::Tokens { tokens } => self.on_tokens(now, tokens),
            _ => Vec::new(),
        }
    }

    /// Counts this voter's vote for itself, once the token of the vote is durable.
    pub fn on_own_vote(&mut self, now: Micros, task: Task, token: FencingToken) -> Vec<Output> {
        match self.config.voter_index {
            Some(voter) => self.on_vote_granted(now, voter, task, token),
            None => Vec::new(),
        }
    }

    fn on_vote_granted(
        &mut self,
        now: Micros,
        voter: usize,
        task: Task,
        token: FencingToken,
    ) -> Vec<Output> {
        let Some(candidate) = self.candidates.get_mut(&task) else {
            return Vec::new();
        };
        let transition = candidate.on_vote_granted(now, voter, token);
        self.apply_transition(now, task, transition)
    }

    fn on_vote_denied(
        &mut self,
        now: Micros,
        voter: usize,
        task: Task,
        denial: Denial,
    ) -> Vec<Output> {
        let Some(candidate) = self.candidates.get_mut(&task) else {
            return Vec::new();
        };
        let transition = candidate.on_vote_denied(now, voter, denial);
        self.apply_transition(now, task, transition)
    }

    pub(super) fn on_token_seen(
        &mut self,
        now: Micros,
        task: Task,
        token: FencingToken,
    ) -> Vec<Output> {
        let Some(candidate) = self.candidates.get_mut(&task) else {
            return Vec::new();
        };
        let transition = candidate.on_token_seen(now, token);
        self.apply_transition(now, task, transition)
    }

    pub(super) fn apply_transition(
        &mut self,
        now: Micros,
        task: Task,
        transition: Transition,
    ) -> Vec<Output> {
        match transition {
            Transition::None => Vec::new(),
            Transition::Acquired(token) => {
                self.counters.acquired += 1;
                vec![Output::LeaseAcquired { task, token }]
            }
            Transition::Lost(token) => {
                self.counters.lost += 1;
                vec![Output::LeaseLost { task, token }]
            }
            Transition::Withdrew(token) => self.release(task, token),
            Transition::RequestVotes(token) => self.request_votes(now, task, token),
        }
    }

    fn request_votes(&mut self, now: Micros, task: Task, token: FencingToken) -> Vec<Output> {
        let mut outputs = self.send_to_other_voters(&Message::VoteRequest { task, token });
        if self.config.voter_index.is_none() {
            return outputs;
        }
        let decision = self
            .voter
            .on_vote_request(&mut self.fences, now, task, token);
        let own_vote = Output::VoteForSelf { task, token };
        match decision {
            VoteDecision::Granted => outputs.push(own_vote),
            VoteDecision::GrantedOnceDurable => outputs.push(Output::StoreToken {
                task,
                token,
                then: vec![own_vote],
            }),
            VoteDecision::Denied { .. } => {}
        }
        outputs
    }
}
