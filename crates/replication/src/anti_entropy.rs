//! When a keeper votes. One that has all that it ever acknowledged does at once. One that lost some
//! of it, by a new, wiped, damaged or restored store, first gets what the others have, or waits
//! until whatever it may have lost is over.
//!
//! Of N keepers a write was acknowledged by M, a majority. One that may have been among them misses
//! nothing of it once it has heard M others that vote: of the N - 1 others at least M - 1 hold it,
//! and M - 1 and M of N - 1 share one.

use std::collections::BTreeSet;

use crate::Micros;

/// A keeper that was asked is asked again after this, where its answer has not come.
pub const PATIENCE: Micros = 1_000_000;
/// Copies are compared with one other keeper's so often.
pub const SCRUB: Micros = 3_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReplicationProgress {
    /// It has no copies for others.
    Asker,
    Votes,
    CatchesUp {
        /// What it may have lost is over then.
        until: Micros,
        /// Keepers that vote and have sent all that they had since it asked.
        heard: BTreeSet<usize>,
    },
}

/// Others that one which lost its copies must hear before it votes.
pub fn needed(keepers: usize) -> usize {
    keepers / 2 + 1
}

impl ReplicationProgress {
    pub fn votes(&self) -> bool {
        *self == ReplicationProgress::Votes
    }

    /// A keeper has sent all that it had. True: now this one votes.
    pub fn heard(&mut self, keeper: usize, votes: bool, keepers: usize) -> bool {
        let ReplicationProgress::CatchesUp { heard, .. } = self else {
            return false;
        };
        if votes {
            heard.insert(keeper);
        }
        let done = heard.len() >= needed(keepers);
        if done {
            *self = ReplicationProgress::Votes;
        }
        done
    }

    /// What it may have lost is over. True: now this one votes.
    pub fn work(&mut self, now: Micros) -> bool {
        let over = matches!(self, ReplicationProgress::CatchesUp { until, .. } if *until <= now);
        if over {
            *self = ReplicationProgress::Votes;
        }
        over
    }
}

/// Bytes of catch-up that a keeper sends a second, to all that ask together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    bytes_per_s: u64,
    left: u64,
    at: Micros,
}

/// So much may go at once after a pause.
const BURST: u64 = 4;

impl Budget {
    pub fn new(bytes_per_s: u64) -> Self {
        Budget {
            bytes_per_s,
            left: bytes_per_s / BURST,
            at: 0,
        }
    }

    fn fill(&mut self, now: Micros) {
        let gained = self.bytes_per_s as u128 * u128::from(now.saturating_sub(self.at)) / 1_000_000;
        if gained > 0 {
            self.left = (self.left as u128 + gained).min((self.bytes_per_s / BURST) as u128) as u64;
            self.at = now;
        }
    }

    /// How many bytes may go now; 0: in how many milliseconds to ask again.
    pub fn may(&mut self, now: Micros) -> Result<usize, u64> {
        self.fill(now);
        match self.left {
            0 => Err(1_000 / BURST),
            left => Ok(left as usize),
        }
    }

    pub fn went(&mut self, bytes: usize) {
        self.left = self.left.saturating_sub(bytes as u64);
    }
}
