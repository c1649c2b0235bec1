//! The state of one gateway with respect to one task: it waits for its turn, requests votes, owns
//! the task and renews its lease, and notices by its clock that the lease has expired.

use std::collections::BTreeSet;

use crate::fencing_token::{candidate_weight, FencingToken, Task};
use crate::{Micros, LEASE_DURATION, LEASE_MARGIN, RENEW_INTERVAL};

/// Candidates of the least weight request votes this much later than those of the greatest.
const MAX_TURN_DELAY: Micros = 1_500_000;
/// Votes that have not arrived after this time are not waited for.
const VOTE_TIMEOUT: Micros = 400_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Waiting {
        until: Micros,
    },
    RequestingVotes {
        token: FencingToken,
        requested_at: Micros,
        votes: BTreeSet<usize>,
        denials: BTreeSet<usize>,
    },
    Owning {
        token: FencingToken,
        until: Micros,
        renewal: Option<Renewal>,
        renewed_at: Micros,
    },
    /// The gateway shuts down.
    Stopped,
}

/// A renewal under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Renewal {
    requested_at: Micros,
    votes: BTreeSet<usize>,
}

/// One gateway as candidate for, or owner of, one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    task: Task,
    owner: u64,
    majority: usize,
    stage: Stage,
    greatest_term: u64,
}

/// What a candidate's caller must act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// Nothing.
    None,
    /// All voters are to be asked for a vote for this token.
    RequestVotes(FencingToken),
    /// The lease was acquired.
    Acquired(FencingToken),
    /// The lease expired before it was renewed, or another gateway has a greater token.
    Lost(FencingToken),
    /// No majority was reached: those who voted for the token may vote for others at once.
    Withdrew(FencingToken),
}

/// A voter's refusal, as its message carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// The token that was requested.
    pub token: FencingToken,
    /// The greatest token that the voter knows.
    pub greatest: FencingToken,
    /// How long the lease of that token's owner still holds.
    pub remaining: Micros,
}

impl Candidate {
    /// A candidate that waits for its turn. `greatest` is the greatest known token of the task.
    pub fn new(
        task: Task,
        owner: u64,
        majority: usize,
        greatest: FencingToken,
        now: Micros,
    ) -> Self {
        Candidate {
            task,
            owner,
            majority,
            stage: Stage::Waiting {
                until: now + turn_delay(task, owner),
            },
            greatest_term: greatest.term,
        }
    }

    fn wait(&mut self, now: Micros, remaining: Micros) {
        self.stage = Stage::Waiting {
            until: now + remaining + turn_delay(self.task, self.owner),
        };
    }

    /// The token under which this gateway owns the task, as far as its clock knows. Work sent under
    /// it may still arrive too late; the fences of its receivers reject it then.
    pub fn held_token(&self, now: Micros) -> Option<FencingToken> {
        match self.stage {
            Stage::Owning { token, until, .. } if now < until => Some(token),
            _ => None,
        }
    }

    /// When [`Candidate::on_timer`] has something to do. It is exact: among hundreds of candidates
    /// some turns lie close together, and two that request votes at once may split them.
    pub fn deadline(&self) -> Micros {
        match &self.stage {
            Stage::Waiting { until } => *until,
            Stage::RequestingVotes { requested_at, .. } => requested_at + VOTE_TIMEOUT,
            Stage::Owning {
                until, renewed_at, ..
            } => (renewed_at + RENEW_INTERVAL).min(*until),
            Stage::Stopped => Micros::MAX,
        }
    }

    /// Acts on the passing of time. `unix_ms` keeps terms growing where every voter lost its store;
    /// no guarantee rests on it.
    pub fn on_timer(&mut self, now: Micros, unix_ms: u64) -> Transition {
        match &mut self.stage {
            Stage::Waiting { until } if now >= *until => self.request_votes(now, unix_ms),
            Stage::RequestingVotes {
                token,
                requested_at,
                ..
            } if now >= *requested_at + VOTE_TIMEOUT => {
                let token = *token;
                self.wait(now, VOTE_TIMEOUT);
                Transition::Withdrew(token)
            }
            Stage::Owning { token, until, .. } if now >= *until => {
                // The process stood still, or no majority renewed the lease.
                let token = *token;
                self.wait(now, 0);
                Transition::Lost(token)
            }
            Stage::Owning {
                token,
                renewal,
                renewed_at,
                ..
            } if now >= *renewed_at + RENEW_INTERVAL => {
                *renewed_at = now;
                *renewal = Some(Renewal {
                    requested_at: now,
                    votes: BTreeSet::new(),
                });
                Transition::RequestVotes(*token)
            }
            _ => Transition::None,
        }
    }

    fn request_votes(&mut self, now: Micros, unix_ms: u64) -> Transition {
        self.greatest_term = (self.greatest_term + 1).max(unix_ms);
        let token = FencingToken {
            term: self.greatest_term,
            owner: self.owner,
        };
        self.stage = Stage::RequestingVotes {
            token,
            requested_at: now,
            votes: BTreeSet::new(),
            denials: BTreeSet::new(),
        };
        Transition::RequestVotes(token)
    }

    /// A voter has granted its vote for a token.
    pub fn on_vote_granted(
        &mut self,
        now: Micros,
        voter: usize,
        granted: FencingToken,
    ) -> Transition {
        let majority = self.majority;
        match &mut self.stage {
            Stage::RequestingVotes {
                token,
                requested_at,
                votes,
                ..
            } if *token == granted => {
                votes.insert(voter);
                let until = *requested_at + LEASE_DURATION - LEASE_MARGIN;
                // A majority that arrives after the lease would have expired does not count.
                if votes.len() < majority || now >= until {
                    return Transition::None;
                }
                let renewed_at = *requested_at;
                self.stage = Stage::Owning {
                    token: granted,
                    until,
                    renewal: None,
                    renewed_at,
                };
                Transition::Acquired(granted)
            }
            Stage::Owning {
                token,
                until,
                renewal: Some(renewal),
                ..
            } if *token == granted => {
                renewal.votes.insert(voter);
                if renewal.votes.len() >= majority {
                    let renewed_until = renewal.requested_at + LEASE_DURATION - LEASE_MARGIN;
                    *until = (*until).max(renewed_until);
                }
                Transition::None
            }
            _ => Transition::None,
        }
    }

    /// A voter has promised a greater token to another gateway.
    pub fn on_vote_denied(&mut self, now: Micros, voter: usize, denial: Denial) -> Transition {
        self.greatest_term = self.greatest_term.max(denial.greatest.term);
        match &mut self.stage {
            Stage::RequestingVotes { token, denials, .. } if *token == denial.token => {
                denials.insert(voter);
                if denials.len() < self.majority {
                    return Transition::None;
                }
                self.wait(now, denial.remaining);
                Transition::Withdrew(denial.token)
            }
            Stage::Owning { token, .. }
                if *token == denial.token && denial.greatest > denial.token =>
            {
                self.wait(now, denial.remaining);
                Transition::Lost(denial.token)
            }
            _ => Transition::None,
        }
    }

    /// A token of the task was seen; if it is greater, another gateway owns the task.
    pub fn on_token_seen(&mut self, now: Micros, seen: FencingToken) -> Transition {
        self.greatest_term = self.greatest_term.max(seen.term);
        match self.stage {
            Stage::Owning { token, .. } if seen > token => {
                self.wait(now, LEASE_DURATION);
                Transition::Lost(token)
            }
            Stage::Waiting { until } if seen.owner != self.owner => {
                let after_lease = now + LEASE_DURATION + turn_delay(self.task, self.owner);
                self.stage = Stage::Waiting {
                    until: until.max(after_lease),
                };
                Transition::None
            }
            _ => Transition::None,
        }
    }

    /// Stops for good. Returns the token to release, if the task was owned.
    pub fn stop(&mut self) -> Option<FencingToken> {
        match std::mem::replace(&mut self.stage, Stage::Stopped) {
            Stage::Owning { token, .. } => Some(token),
            _ => None,
        }
    }
}

/// How long after the earliest possible time a candidate requests votes.
fn turn_delay(task: Task, owner: u64) -> Micros {
    ((1.0 - candidate_weight(task, owner)) * MAX_TURN_DELAY as f64) as Micros
}
