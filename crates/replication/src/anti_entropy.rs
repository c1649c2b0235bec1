//! When a voter may vote, and the budget of state transfers.
//!
//! A voter that has all records that it ever acknowledged votes at once. One that may have lost
//! some, because its store is new, wiped, damaged or restored, first gets the records of the other
//! voters, or waits until everything that it may have lost has expired.
//!
//! Of N voters a write was acknowledged by M, a majority. A voter that may have been among them has
//! the write again once M others that vote have sent all their records: at least M - 1 of the N - 1
//! others hold it, and M - 1 and M of N - 1 overlap.

use std::collections::BTreeSet;

use crate::Micros;

/// A state request is repeated when no part of its answer has come for so long.
pub const TRANSFER_TIMEOUT: Micros = 1_000_000;
/// Interval between comparisons with one other voter.
pub const SCRUB_INTERVAL: Micros = 3_000_000;

/// How far this gateway is from voting.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReplicationProgress {
    /// It is no voter: it holds no records for others.
    Requester,
    /// It votes.
    Voting,
    /// It is a voter that may lack records.
    CatchingUp {
        /// Time at which all that it may have lost has expired.
        until: Micros,
        /// Voting voters that have sent all their records since it asked.
        complete_from: BTreeSet<usize>,
    },
}

/// Number of other voters whose records a voter needs before it votes again.
pub fn needed_transfers(voters: usize) -> usize {
    voters / 2 + 1
}

impl ReplicationProgress {
    /// Whether this gateway votes.
    pub fn is_voting(&self) -> bool {
        *self == ReplicationProgress::Voting
    }

    /// `voter` has sent all its records. Returns whether this gateway votes from now on.
    pub fn on_transfer_complete(&mut self, voter: usize, is_voting: bool, voters: usize) -> bool {
        let ReplicationProgress::CatchingUp { complete_from, .. } = self else {
            return false;
        };
        if is_voting {
            complete_from.insert(voter);
        }
        let is_done = complete_from.len() >= needed_transfers(voters);
        if is_done {
            *self = ReplicationProgress::Voting;
        }
        is_done
    }

    /// Ends catching up once all that may be lost has expired. Returns whether this gateway votes
    /// from now on.
    pub fn poll(&mut self, now: Micros) -> bool {
        let has_expired =
            matches!(self, ReplicationProgress::CatchingUp { until, .. } if *until <= now);
        if has_expired {
            *self = ReplicationProgress::Voting;
        }
        has_expired
    }
}

/// Token bucket of bytes that a voter sends in state transfers, over all receivers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TransferBudget {
    bytes_per_s: u64,
    available: u64,
    refilled_at: Micros,
}

/// The bucket holds this part of a second's bytes.
const BURSTS_PER_S: u64 = 4;

/// The budget is spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExhausted {
    /// Delay after which to ask again, in milliseconds.
    pub retry_after_ms: u64,
}

impl TransferBudget {
    /// A full bucket.
    pub fn new(bytes_per_s: u64) -> Self {
        TransferBudget {
            bytes_per_s,
            available: bytes_per_s / BURSTS_PER_S,
            refilled_at: 0,
        }
    }

    fn refill(&mut self, now: Micros) {
        let elapsed = u128::from(now.saturating_sub(self.refilled_at));
        let gained = u128::from(self.bytes_per_s) * elapsed / 1_000_000;
        if gained > 0 {
            let capacity = u128::from(self.bytes_per_s / BURSTS_PER_S);
            self.available = (u128::from(self.available) + gained).min(capacity) as u64;
            self.refilled_at = now;
        }
    }

    /// Bytes that may be sent now.
    pub fn available(&mut self, now: Micros) -> Result<usize, BudgetExhausted> {
        self.refill(now);
        match self.available {
            0 => Err(BudgetExhausted {
                retry_after_ms: 1_000 / BURSTS_PER_S,
            }),
            available => Ok(available as usize),
        }
    }

    /// Takes bytes that were sent.
    pub fn spend(&mut self, bytes: usize) {
        self.available = self.available.saturating_sub(bytes as u64);
    }
}
