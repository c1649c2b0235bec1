//! All deadlines of the program, in one ordered structure. Whoever sets one keeps its key and takes it back
//! when it no longer matters; equal times fire in the order set.

use eideryard::interface::Micros;
use std::collections::BTreeMap;

use crate::table::Key;

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
    /// After SIGTERM: clients come no more; and what is still open must end.
    LastClients,
    LastAnswers,
    Leave,
}

pub type DeadlineKey = (Micros, u64);

pub struct Deadlines {
    ahead: BTreeMap<DeadlineKey, Due>,
    set: u64,
}

impl Deadlines {
    pub fn new() -> Self {
        Deadlines { ahead: BTreeMap::new(), set: 0 }
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
        let first = self.ahead.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(first.remove())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deadlines_fire_in_order_once_and_not_when_taken_back() {
        let mut due = Deadlines::new();
        due.set(20, Due::Timer(1));
        due.set(10, Due::Timer(2));
        let gone = due.set(10, Due::Timer(3));
        due.set(10, Due::Timer(4));
        due.take_back(Some(gone));
        due.take_back(None);
        assert_eq!((due.next(), due.due(9)), (Some(10), None));
        assert_eq!([due.due(10), due.due(10), due.due(10)], [Some(Due::Timer(2)), Some(Due::Timer(4)), None]);
        assert_eq!((due.due(30), due.next()), (Some(Due::Timer(1)), None));
    }
}
