//! All deadlines of the main loop, ordered by time. Setting a deadline returns a key for cancelling
//! it. Deadlines with the same time expire in the order in which they were set.

use eideryard::interface::Micros;
use std::collections::BTreeMap;

use crate::table::Key;

#[cfg(test)]
mod tests;

/// What the main loop has to check or do when a deadline expires.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deadline {
    /// The balancer's timer with this tag fires.
    BalancerTimer(u64),
    /// The attempt with this index among the request's attempts must have ended.
    Attempt(Key, usize),
    /// The client must have sent a complete message, or have closed its lingering connection.
    ClientConnection(Key),
    /// A connection to an engine must have been established, or must have received the rest of an
    /// answer, or has reached the idle timeout.
    EngineConnection(Key),
    /// The probe with this number on a connection must have been answered.
    Probe(Key, u64),
    /// Service discovery must have sent a byte, or the delay before reconnecting is over.
    Discovery,
    /// Accepting connections is attempted again after descriptors ran out.
    AcceptRetry,
    /// The next phase of the shutdown begins.
    Shutdown,
}

/// Identifies a deadline that was set: its time, and a sequence number that makes it unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlineKey {
    at: Micros,
    sequence: u64,
}

/// The deadlines that have neither expired nor been cancelled.
pub struct Deadlines {
    pending: BTreeMap<DeadlineKey, Deadline>,
    last_sequence: u64,
}

impl Deadlines {
    /// Creates an empty set.
    pub fn new() -> Self {
        Deadlines {
            pending: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Adds a deadline that expires at the time `at`; returns the key for [`Deadlines::cancel`].
    pub fn set(&mut self, at: Micros, deadline: Deadline) -> DeadlineKey {
        self.last_sequence += 1;
        let key = DeadlineKey {
            at,
            sequence: self.last_sequence,
        };
        self.pending.insert(key, deadline);
        key
    }

    /// Cancels the deadline whose key is in `slot`, adds a new one and stores its key in `slot`.
    pub fn replace(&mut self, slot: &mut Option<DeadlineKey>, at: Micros, deadline: Deadline) {
        self.cancel(slot.take());
        *slot = Some(self.set(at, deadline));
    }

    /// Cancels a deadline; does nothing without a key or if the deadline has already expired.
    pub fn cancel(&mut self, key: Option<DeadlineKey>) {
        if let Some(key) = key {
            self.pending.remove(&key);
        }
    }

    /// Returns the number of pending deadlines.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the time of the earliest deadline; `None` if there is none.
    pub fn next(&self) -> Option<Micros> {
        let (key, _) = self.pending.first_key_value()?;
        Some(key.at)
    }

    /// Removes and returns the earliest deadline if it has expired at `now`.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Deadline> {
        let first = self.pending.first_entry()?;
        if first.key().at > now {
            return None;
        }
        Some(first.remove())
    }
}
