//! All deadlines of the program, in one ordered structure. Whoever sets one keeps its key and takes
//! it back when it no longer matters; equal times fire in the order set.

use eideryard::interface::Micros;
use std::collections::BTreeMap;

use crate::table::Key;

#[cfg(test)]
mod tests;

/// What can fall due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Due {
    /// A timer that the module set, by its tag.
    Timer(u64),
    /// An attempt of a request has had its time.
    Attempt(Key, usize),
    /// A client's connection should have asked for something, or be over.
    Client(Key),
    /// A connection to an engine should be up, or was idle for long enough.
    Conn(Key),
    /// A probe on a connection should be answered.
    Probe(Key, u64),
    /// The bulletin should have said something, or may be called again.
    Bulletin,
    /// Descriptors may be free again for clients that wait.
    Accept,
    /// After SIGTERM: a phase of the shutdown is over.
    Shutdown,
}

pub type DeadlineKey = (Micros, u64);

pub struct Deadlines {
    ahead: BTreeMap<DeadlineKey, Due>,
    set: u64,
}

impl Deadlines {
    pub fn new() -> Self {
        Deadlines {
            ahead: BTreeMap::new(),
            set: 0,
        }
    }

    pub fn set(&mut self, at: Micros, what: Due) -> DeadlineKey {
        self.set += 1;
        self.ahead.insert((at, self.set), what);
        (at, self.set)
    }

    /// Sets one in the place of another that its owner keeps the key of.
    pub fn renew(&mut self, kept: &mut Option<DeadlineKey>, at: Micros, what: Due) {
        self.take_back(kept.take());
        *kept = Some(self.set(at, what));
    }

    pub fn take_back(&mut self, key: Option<DeadlineKey>) {
        key.map(|key| self.ahead.remove(&key));
    }

    pub fn len(&self) -> usize {
        self.ahead.len()
    }

    pub fn next(&self) -> Option<Micros> {
        self.ahead.first_key_value().map(|((at, _), _)| *at)
    }

    /// The first that is due, which is then no longer set.
    pub fn due(&mut self, now: Micros) -> Option<Due> {
        let first = self
            .ahead
            .first_entry()
            .filter(|entry| entry.key().0 <= now)?;
        Some(first.remove())
    }
}
