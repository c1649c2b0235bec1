//! The votes that a voter grants. With a vote, the voter promises to reject lower tokens. The
//! promise is durable before the vote is sent.

use std::collections::BTreeMap;

use crate::fence::Fences;
use crate::fencing_token::{FencingToken, Task};
use crate::{Micros, LEASE_DURATION};

/// The leases that a voter has granted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voter {
    /// Time at which the last granted lease of each task expires, by the voter's clock.
    lease_expiry: BTreeMap<Task, Micros>,
}

/// A voter's answer to a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteDecision {
    /// The vote is granted, but the new token must be durable before the vote is sent.
    GrantedOnceDurable,
    /// The vote is granted for a token that the voter has granted before, as in a renewal.
    Granted,
    /// The vote is denied, because the term is not higher than the highest known one, or because
    /// the lease of another gateway has not expired.
    Denied {
        /// Highest known token of the task.
        greatest: FencingToken,
        /// Time until the lease of that token's owner expires.
        remaining: Micros,
    },
}

impl Voter {
    /// Restores a voter when its gateway starts. It is not known which leases have expired, so all
    /// are treated as if they had just been granted.
    pub fn restore(fences: &Fences, now: Micros) -> Self {
        let expiry = now + LEASE_DURATION;
        Voter {
            lease_expiry: fences.tokens().map(|(task, _)| (task, expiry)).collect(),
        }
    }

    /// Decides on a vote request. If the vote is granted, its token becomes the highest known one
    /// of the task.
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
        // The last owner itself may get a new term at once, because no other gateway holds the
        // lease.
        let is_held_by_other = remaining > 0 && token.owner != greatest.owner;
        // A term has only one owner: the second candidate for a term has to request a higher one.
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

    /// Drops the lease of a task whose token is no longer stored.
    pub fn forget(&mut self, task: Task) {
        self.lease_expiry.remove(&task);
    }

    /// Ends a lease that its owner has given up, so that the next owner need not wait until the
    /// lease expires.
    pub fn release(&mut self, fences: &Fences, task: Task, token: FencingToken) {
        if fences.greatest(task) == token {
            self.lease_expiry.remove(&task);
        }
    }
}
