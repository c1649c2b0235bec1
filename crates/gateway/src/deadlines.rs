//! All deadlines of the main loop, in one ordered structure. Whoever sets a deadline holds its key
//! and cancels it when it no longer matters; equal times expire in the order in which they were
//! set.

use eideryard::interface::Micros;
use std::collections::BTreeMap;

use crate::table::Key;

#[cfg(test)]
mod tests;

/// What a deadline is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deadline {
    /// A timer that the balancer set, by its tag.
    BalancerTimer(u64),
    /// The attempt of that index of a request must have ended.
    Attempt(Key, usize),
    /// A client's connection must have sent a request, or have closed.
    ClientConnection(Key),
    /// A connection to an engine must be up, or was idle for long enough.
    EngineConnection(Key),
    /// The probe of that number on a connection must be answered.
    Probe(Key, u64),
    /// Service discovery must have sent something, or the retry delay is over.
    Discovery,
    /// Descriptors may be free again for clients that wait to connect.
    AcceptRetry,
    /// A phase of the shutdown begins.
    Shutdown,
}

/// Identifies a deadline that was set: its time, and its number among all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlineKey {
    at: Micros,
    sequence: u64,
}

/// All deadlines that were set and have neither expired nor been cancelled.
pub struct Deadlines {
    pending: BTreeMap<DeadlineKey, Deadline>,
    last_sequence: u64,
}

impl Deadlines {
    /// No deadline is set.
    pub fn new() -> Self {
        Deadlines {
            pending: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Sets a deadline.
    pub fn set(&mut self, at: Micros, deadline: Deadline) -> DeadlineKey {
        self.last_sequence += 1;
        let key = DeadlineKey {
            at,
            sequence: self.last_sequence,
        };
        self.pending.insert(key, deadline);
        key
    }

    /// Sets a deadline in place of the one whose key is in `slot`.
    pub fn replace(&mut self, slot: &mut Option<DeadlineKey>, at: Micros, deadline: Deadline) {
        self.cancel(slot.take());
        *slot = Some(self.set(at, deadline));
    }

    /// Cancels a deadline, if there is one and it has not expired.
    pub fn cancel(&mut self, key: Option<DeadlineKey>) {
        if let Some(key) = key {
            self.pending.remove(&key);
        }
    }

    /// How many deadlines are set.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// The time of the first deadline.
    pub fn next(&self) -> Option<Micros> {
        let (key, _) = self.pending.first_key_value()?;
        Some(key.at)
    }

    /// Removes and returns the first deadline that has expired.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Deadline> {
        let first = self.pending.first_entry()?;
        if first.key().at > now {
            return None;
        }
        Some(first.remove())
    }
}
