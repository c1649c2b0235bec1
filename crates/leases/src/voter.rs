//! The votes that a voter grants. Each is a promise of its fence, durable before it is sent.

use std::collections::BTreeMap;

use crate::fence::Fences;
use crate::fencing_token::{FencingToken, Task};
use crate::{Micros, LEASE_DURATION};

/// The leases that a voter has granted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voter {
    /// When the last granted lease of each task expires, by this clock.
    lease_expiry: BTreeMap<Task, Micros>,
}

/// How a voter answers a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteDecision {
    /// Granted; the fence's token was raised and must be durable before the vote is sent.
    GrantedOnceDurable,
    /// Granted for a token that was promised before.
    Granted,
    /// Denied.
    Denied {
        /// Greatest known token of the task.
        greatest: FencingToken,
        /// How long the lease of its owner still holds.
        remaining: Micros,
    },
}

impl Voter {
    /// A voter after a start. Which leases still hold is not known, so all are taken to have just
    /// been granted.
    pub fn restore(fences: &Fences, now: Micros) -> Self {
        let expiry = now + LEASE_DURATION;
        Voter {
            lease_expiry: fences.tokens().map(|(task, _)| (task, expiry)).collect(),
        }
    }

    /// Decides on a request for a vote; if it is granted, the fence is raised to its token.
    pub fn on_vote_request(
        &mut self,
        fences: &mut Fences,
        now: Micros,
        task: Task,
        token: FencingToken,
    ) -> VoteDecision {
        let greatest = fences.greatest(task);
        let expiry = self.lease_expiry.get(&task).copied().unwrap_or(0);
        let remaining = expiry.saturating_sub(now);
        // The last owner itself gets a new term at once: nobody else is harmed by it.
        let is_held_by_other = remaining > 0 && token.owner != greatest.owner;
        // A term has one owner: of two that request the same one the second needs a greater.
        let is_outdated = token.term <= greatest.term && token != greatest;
        if is_outdated || (token > greatest && is_held_by_other) {
            return VoteDecision::Denied {
                greatest,
                remaining,
            };
        }
        self.lease_expiry.insert(task, now + LEASE_DURATION);
        if fences.raise(task, token) {
            VoteDecision::GrantedOnceDurable
        } else {
            VoteDecision::Granted
        }
    }

    /// Forgets a task whose token is no longer stored.
    pub fn forget(&mut self, task: Task) {
        self.lease_expiry.remove(&task);
    }

    /// The owner gives up its lease: the next one need not wait for it to expire.
    pub fn release(&mut self, fences: &Fences, task: Task, token: FencingToken) {
        if fences.greatest(task) == token {
            self.lease_expiry.remove(&task);
        }
    }
}
