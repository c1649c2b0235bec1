//! Decides when a voter may vote, and bounds the bandwidth of state transfers.
//!
//! A voter that has all records that it ever acknowledged votes immediately. A voter that may have
//! lost records, because its store is new, wiped, damaged or restored, first fetches the records of
//! other voters, or waits until everything that this voter may have lost has expired.
//!
//! A write is acknowledged by a majority, M of N voters. A voter that lost such a write has it
//! again once M other voting voters have sent all their records: at least M - 1 of the N - 1 others
//! have the write, and any M - 1 and any M of N - 1 voters overlap in at least one voter.

use std::collections::BTreeSet;

use crate::Micros;

/// Time without any part of the reply after which a state request is repeated.
pub const TRANSFER_TIMEOUT: Micros = 1_000_000;
/// Interval between scrubs. Each scrub compares this voter's records with one other voter's.
pub const SCRUB_INTERVAL: Micros = 3_000_000;

/// Whether this gateway votes, or what it is waiting for before it votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReplicationProgress {
    /// Not a voter; stores no replica records of other gateways.
    Requester,
    /// A voter that has all records that it ever acknowledged.
    Voting,
    /// A voter that may have lost records and does not vote yet.
    CatchingUp {
        /// Time at which everything that this voter may have lost has expired.
        until: Micros,
        /// Voting voters that have sent all their records since this gateway started.
        complete_from: BTreeSet<usize>,
    },
}

/// Returns the number of other voters that must send all their records before a voter that may have
/// lost records votes again, in a fleet of `voters` voters.
pub fn required_transfers(voters: usize) -> usize {
    voters / 2 + 1
}

impl ReplicationProgress {
    /// Returns whether this gateway votes.
    pub fn is_voting(&self) -> bool {
        *self == ReplicationProgress::Voting
    }

    /// Records that `voter` has sent all its records. They count only if `is_voting`, which says
    /// whether `voter` itself votes. `voters` is the number of voters in the fleet. Returns whether
    /// this gateway starts to vote.
    pub fn on_transfer_complete(&mut self, voter: usize, is_voting: bool, voters: usize) -> bool {
        let ReplicationProgress::CatchingUp { complete_from, .. } = self else {
            return false;
        };
        if is_voting {
            complete_from.insert(voter);
        }
        let is_done = complete_from.len() >= required_transfers(voters);
        if is_done {
            *self = ReplicationProgress::Voting;
        }
        is_done
    }

    /// Ends the catch-up if everything that may have been lost has expired. Returns whether this
    /// gateway starts to vote.
    pub fn poll(&mut self, now: Micros) -> bool {
        let has_expired =
            matches!(self, ReplicationProgress::CatchingUp { until, .. } if *until <= now);
        if has_expired {
            *self = ReplicationProgress::Voting;
        }
        has_expired
    }
}

/// Token bucket for the bytes that a voter sends in state transfers, shared by all receivers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TransferBudget {
    bytes_per_s: u64,
    available: u64,
    refilled_at: Micros,
}

/// The capacity of the bucket is a second's budget divided by this.
const BURSTS_PER_S: u64 = 4;

/// Error that is returned if no bytes may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExhausted {
    /// Delay after which the bucket is full again, in milliseconds.
    pub retry_after_ms: u64,
}

impl TransferBudget {
    /// Creates a full bucket that is refilled with `bytes_per_s`.
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

    /// Refills the bucket and returns the number of bytes that may be sent now.
    ///
    /// # Errors
    ///
    /// The bucket is empty.
    pub fn available(&mut self, now: Micros) -> Result<usize, BudgetExhausted> {
        self.refill(now);
        match self.available {
            0 => Err(BudgetExhausted {
                retry_after_ms: 1_000 / BURSTS_PER_S,
            }),
            available => Ok(available as usize),
        }
    }

    /// Takes sent bytes out of the bucket. They may exceed [`TransferBudget::available`], since the
    /// last entry of a part is sent whole.
    pub fn spend(&mut self, bytes: usize) {
        self.available = self.available.saturating_sub(bytes as u64);
    }
}
