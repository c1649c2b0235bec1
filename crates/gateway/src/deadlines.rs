//! All deadlines of the program, in one ordered structure. Whoever sets one keeps its key and takes
//! it back when it no longer matters; equal times fire in the order set.

use eideryard::interface::Micros;
use std::collections::BTreeMap;

use crate::table::Key;

#[cfg(test)]
mod tests;

/// What can fall due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deadline {
    /// A timer that the balancer set, by its tag.
    BalancerTimer(u64),
    /// An attempt of a request has had its time.
    Attempt(Key, usize),
    /// A client's connection should have asked for something, or be over.
    ClientConnection(Key),
    /// A connection to an engine should be up, or was idle for long enough.
    EngineConnection(Key),
    /// A probe on a connection should be answered.
    Probe(Key, u64),
    /// Service discovery should have said something, or may be called again.
    Discovery,
    /// Descriptors may be free again for clients that wait.
    Accept,
    /// After SIGTERM: a phase of the shutdown is over.
    Shutdown,
}

pub type DeadlineKey = (Micros, u64);

pub struct Deadlines {
    pending: BTreeMap<DeadlineKey, Deadline>,
    sequence: u64,
}

impl Deadlines {
    pub fn new() -> Self {
        Deadlines {
            pending: BTreeMap::new(),
            sequence: 0,
        }
    }

    pub fn set(&mut self, at: Micros, deadline: Deadline) -> DeadlineKey {
        self.sequence += 1;
        self.pending.insert((at, self.sequence), deadline);
        (at, self.sequence)
    }

    /// Sets one in the place of another that its owner keeps the key of.
    pub fn replace(&mut self, slot: &mut Option<DeadlineKey>, at: Micros, deadline: Deadline) {
        self.cancel(slot.take());
        *slot = Some(self.set(at, deadline));
    }

    pub fn cancel(&mut self, key: Option<DeadlineKey>) {
        key.map(|key| self.pending.remove(&key));
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }

    pub fn next(&self) -> Option<Micros> {
        self.pending.first_key_value().map(|((at, _), _)| *at)
    }

    /// The first that is due, which is then no longer set.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Deadline> {
        let first = self
            .pending
            .first_entry()
            .filter(|entry| entry.key().0 <= now)?;
        Some(first.remove())
    }
}
