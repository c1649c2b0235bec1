//! The state of one gateway as a candidate for one task. It waits, requests votes, owns the task
//! and renews its lease, and detects by its clock that the lease has expired.

use std::collections::BTreeSet;

use crate::fencing_token::{candidate_weight, FencingToken, Task};
use crate::{Micros, LEASE_DURATION, LEASE_MARGIN, RENEW_INTERVAL};

/// How much later a candidate with the lowest weight requests votes than a candidate with the
/// highest weight. Because of the different delays, candidates rarely compete.
const MAX_REQUEST_DELAY: Micros = 1_500_000;
/// Time after which a candidate withdraws its request if no majority has voted for it.
const VOTE_TIMEOUT: Micros = 400_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// The candidate requests votes at `until`.
    Waiting { until: Micros },
    RequestingVotes {
        token: FencingToken,
        requested_at: Micros,
        votes: BTreeSet<usize>,
        denials: BTreeSet<usize>,
    },
    Owning {
        token: FencingToken,
        /// Time at which the owner stops acting unless the lease is renewed.
        until: Micros,
        renewal: Option<Renewal>,
        /// Time at which the lease or its last renewal was requested.
        renewed_at: Micros,
    },
    /// The gateway is shutting down.
    Stopped,
}

/// A renewal for which votes are being collected.
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

/// Change of a candidate's state that its caller must handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// Nothing has to be done.
    None,
    /// A vote for this token has to be requested from all voters.
    RequestVotes(FencingToken),
    /// The lease was acquired under this token.
    Acquired(FencingToken),
    /// The lease under this token was lost: it expired before it was renewed, or another gateway
    /// has a higher token.
    Lost(FencingToken),
    /// The request for this token is withdrawn, because no majority was reached. The voters that
    /// granted the request may vote for other candidates at once.
    Withdrew(FencingToken),
}

/// A voter's denial of a vote, as received in its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// The token for which the vote was requested.
    pub token: FencingToken,
    /// The highest token that the voter knows.
    pub greatest: FencingToken,
    /// Time until the lease of that token's owner expires, by the voter's clock.
    pub remaining: Micros,
}

impl Candidate {
    /// Creates a candidate that waits before it requests votes. `greatest` is the highest known
    /// token of the task, and `majority` the number of votes that the candidate needs.
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
                until: now + request_delay(task, owner),
            },
            greatest_term: greatest.term,
        }
    }

    /// Schedules the next vote request: once a lease that remains valid for `remaining` has expired
    /// and this candidate's delay has passed.
    fn wait(&mut self, now: Micros, remaining: Micros) {
        self.stage = Stage::Waiting {
            until: now + remaining + request_delay(self.task, self.owner),
        };
    }

    /// Returns the token under which this gateway owns the task according to its clock, or `None`
    /// if it does not own the task. Work that is sent with the token may arrive after the lease has
    /// expired; the fences of its receivers reject the work if there is a new owner.
    pub fn held_token(&self, now: Micros) -> Option<FencingToken> {
        match self.stage {
            Stage::Owning { token, until, .. } if now < until => Some(token),
            _ => None,
        }
    }

    /// Returns the time at which [`Candidate::on_timer`] should be called next. The caller must not
    /// round the time: among hundreds of candidates some request votes shortly after each other,
    /// and if two do so at once, the votes may be split between them.
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

    /// Performs the actions that are due at `now`. `unix_ms`, the Unix time, keeps terms increasing
    /// even if every voter has lost its store; no guarantee depends on the Unix time.
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
                // The process was paused, or no majority renewed the lease in time.
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

    /// Counts a vote that a voter has granted for a token.
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
                // A majority does not count if it arrives when the lease would have expired.
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

    /// Handles the denial of a vote: the voter has granted a lease or a higher token to another
    /// gateway.
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

    /// Handles a received token of the task. If it is higher than this gateway's token, another
    /// gateway owns the task.
    pub fn on_token_seen(&mut self, now: Micros, seen: FencingToken) -> Transition {
        self.greatest_term = self.greatest_term.max(seen.term);
        match self.stage {
            Stage::Owning { token, .. } if seen > token => {
                self.wait(now, LEASE_DURATION);
                Transition::Lost(token)
            }
            Stage::Waiting { until } if seen.owner != self.owner => {
                let after_lease = now + LEASE_DURATION + request_delay(self.task, self.owner);
                self.stage = Stage::Waiting {
                    until: until.max(after_lease),
                };
                Transition::None
            }
            _ => Transition::None,
        }
    }

    /// Stops the candidate permanently. Returns the token to release if the task was owned.
    pub fn stop(&mut self) -> Option<FencingToken> {
        match std::mem::replace(&mut self.stage, Stage::Stopped) {
            Stage::Owning { token, .. } => Some(token),
            _ => None,
        }
    }
}

/// Returns how long a candidate delays its vote request, depending on its weight.
fn request_delay(task: Task, owner: u64) -> Micros {
    ((1.0 - candidate_weight(task, owner)) * MAX_REQUEST_DELAY as f64) as Micros
}
