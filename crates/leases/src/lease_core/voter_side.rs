//! The part of a gateway that serves other gateways: it votes if this gateway is a voter, and
//! passes the work of other gateways through the fence.

use super::{LeaseCore, Message, Output, VoterReadiness, MAX_TASKS};
use crate::fence::Admission;
use crate::fencing_token::{FencingToken, Task};
use crate::voter::VoteDecision;
use crate::Micros;

impl LeaseCore {
    /// Handles a message from a gateway that has connected to this one; `requester` is the ID of
    /// the link.
    pub fn on_requester_message(
        &mut self,
        now: Micros,
        requester: u64,
        message: Message,
        readiness: VoterReadiness,
    ) -> Vec<Output> {
        match message {
            Message::VoteRequest { task, token } if readiness == VoterReadiness::Ready => {
                self.on_vote_request(now, requester, task, token)
            }
            Message::Release { task, token } => {
                self.voter.release(&self.fences, task, token);
                Vec::new()
            }
            Message::Work {
                task,
                token,
                payload,
            } => {
                let mut outputs = self.on_token_seen(now, task, token);
                outputs.extend(self.admit_work(Some(requester), task, token, payload));
                outputs
            }
            Message::Tokens { tokens } => self.on_tokens(now, tokens),
            _ => Vec::new(),
        }
    }

    fn on_vote_request(
        &mut self,
        now: Micros,
        requester: u64,
        task: Task,
        token: FencingToken,
    ) -> Vec<Output> {
        let decision = self
            .voter
            .on_vote_request(&mut self.fences, now, task, token);
        let granted = Output::ToRequester {
            requester,
            message: Message::VoteGranted { task, token },
        };
        match decision {
            VoteDecision::Granted => {
                let mut outputs = self.on_token_seen(now, task, token);
                outputs.push(granted);
                outputs
            }
            VoteDecision::GrantedOnceDurable => {
                let mut outputs = self.on_token_seen(now, task, token);
                outputs.push(Output::StoreToken {
                    task,
                    token,
                    then: vec![granted],
                });
                outputs
            }
            VoteDecision::Denied {
                greatest,
                remaining,
            } => {
                let message = Message::VoteDenied {
                    task,
                    token,
                    greatest,
                    remaining,
                };
                vec![Output::ToRequester { requester, message }]
            }
        }
    }

    /// Passes work through the fence. `requester` is the ID of the link on which the owner sent the
    /// work; `None` if the work is this gateway's own or was forwarded by a voter.
    pub(super) fn admit_work(
        &mut self,
        requester: Option<u64>,
        task: Task,
        token: FencingToken,
        payload: Vec<u8>,
    ) -> Vec<Output> {
        match self.fences.admit(task, token) {
            Admission::Stale { greatest } => self.reject_work(requester, task, token, greatest),
            Admission::Admitted => self.apply_work(requester, task, token, payload),
            Admission::AdmittedOnceDurable => {
                let then = self.apply_work(requester, task, token, payload);
                vec![Output::StoreToken { task, token, then }]
            }
        }
    }

    fn reject_work(
        &mut self,
        requester: Option<u64>,
        task: Task,
        token: FencingToken,
        greatest: FencingToken,
    ) -> Vec<Output> {
        self.counters.fenced += 1;
        let mut outputs = Vec::new();
        if let Some(requester) = requester {
            let message = Message::StaleToken {
                task,
                token,
                greatest,
            };
            outputs.push(Output::ToRequester { requester, message });
        }
        outputs.push(Output::Fenced {
            task,
            token,
            greatest,
        });
        outputs
    }

    fn apply_work(
        &mut self,
        requester: Option<u64>,
        task: Task,
        token: FencingToken,
        payload: Vec<u8>,
    ) -> Vec<Output> {
        self.counters.applied += 1;
        let mut outputs = vec![Output::Apply {
            task,
            token,
            payload: payload.clone(),
        }];
        if self.config.voter_index.is_some() {
            outputs.push(Output::ToAllRequesters {
                except: requester,
                message: Message::Work {
                    task,
                    token,
                    payload,
                },
            });
        }
        outputs
    }

    /// Handles a message with all tokens that a peer knows.
    pub(super) fn on_tokens(
        &mut self,
        now: Micros,
        tokens: Vec<(Task, FencingToken)>,
    ) -> Vec<Output> {
        let mut outputs = Vec::new();
        for (task, token) in tokens.into_iter().take(MAX_TASKS) {
            outputs.extend(self.on_token_seen(now, task, token));
            if self.fences.raise(task, token) {
                outputs.push(Output::StoreToken {
                    task,
                    token,
                    then: Vec::new(),
                });
            }
        }
        outputs
    }
}
