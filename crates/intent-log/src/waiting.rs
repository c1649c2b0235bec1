//! Sends that wait: until their intent is durable, and for the word of others where there are any.
//! Decides which go, which have waited for too long, and when no more may wait.

use std::collections::BTreeMap;

use eideryard::interface::{Micros, PriorAttempt};

use crate::state::STALL_TIMEOUT;

/// What waits counts as out and takes room from others: once a send has waited for the disk for so
/// long, only a few may.
const SLOW: Micros = 100_000;
const FEW: usize = 4;
/// A send that waited goes only so long before the window of an earlier run ends: the way to the
/// engine takes time too.
const MARGIN: Micros = 100_000;

struct One<T> {
    since: Micros,
    /// The question whose answer it waits for.
    word: Option<u64>,
    what: T,
}

/// By the tickets of their writes, which rise with time.
pub struct Waits<T> {
    sends: BTreeMap<u64, One<T>>,
    words: BTreeMap<u64, u64>,
    /// A send waited for the disk for too long: until this ticket is durable none is taken.
    stalled_at: Option<u64>,
}

/// Why one that waited for too long is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Late {
    /// The disk has not written it, or this process stood still.
    Disk,
    /// No word came.
    Word,
}

/// What has become of sends that waited.
#[derive(Debug, PartialEq, Eq)]
pub struct Ready<T> {
    pub go: Vec<T>,
    pub late: Vec<(T, Late)>,
}

impl<T> Default for Waits<T> {
    fn default() -> Self {
        Waits {
            sends: BTreeMap::new(),
            words: BTreeMap::new(),
            stalled_at: None,
        }
    }
}

impl<T> Waits<T> {
    pub fn put(&mut self, now: Micros, ticket: u64, word: Option<u64>, what: T) {
        for word in word.into_iter() {
            _ = self.words.insert(word, ticket);
        }
        self.sends.insert(
            ticket,
            One {
                since: now,
                word,
                what,
            },
        );
    }

    pub fn len(&self) -> usize {
        self.sends.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// The word is that it may go.
    pub fn granted(&mut self, word: u64) {
        let send = self
            .words
            .remove(&word)
            .and_then(|ticket| self.sends.get_mut(&ticket));
        for send in send.into_iter() {
            send.word = None;
        }
    }

    /// The word is another one: it waits no more.
    pub fn take(&mut self, word: u64) -> Option<T> {
        let ticket = self.words.remove(&word)?;
        self.sends.remove(&ticket).map(|send| send.what)
    }

    /// Those that are durable and granted go. What has waited for too long doesn't, though it could
    /// now: this process may have stood still, and others may have been told in the meantime that
    /// it never would.
    pub fn work(&mut self, now: Micros, durable: u64) -> Ready<T> {
        let (mut go, mut late) = (Vec::new(), Vec::new());
        self.stalled_at.take_if(|ticket| *ticket <= durable);
        while let Some(first) = self
            .sends
            .first_entry()
            .filter(|own| own.get().since + STALL_TIMEOUT <= now)
        {
            let (ticket, send) = first.remove_entry();
            send.word
                .into_iter()
                .for_each(|word| _ = self.words.remove(&word));
            if ticket > durable {
                self.stalled_at = self.stalled_at.max(Some(ticket));
            }
            let why = if ticket <= durable && send.word.is_some() {
                Late::Word
            } else {
                Late::Disk
            };
            late.push((send.what, why));
        }
        let written = self
            .sends
            .range(..=durable)
            .filter(|(_, send)| send.word.is_none());
        let written: Vec<u64> = written.map(|(ticket, _)| *ticket).collect();
        go.extend(
            written
                .iter()
                .filter_map(|ticket| self.sends.remove(ticket))
                .map(|send| send.what),
        );
        Ready { go, late }
    }

    /// No more may wait for the disk: it has not written for too long, or is slow and enough wait
    /// already.
    pub fn is_held_up(&self, now: Micros, durable: u64) -> bool {
        let mut unwritten = self.sends.range(durable + 1..);
        let oldest = unwritten.next().map(|(_, send)| send.since);
        let stalled = oldest.is_some_and(|since| since + STALL_TIMEOUT <= now);
        let slow = oldest.is_some_and(|since| since + SLOW <= now) && unwritten.count() >= FEW;
        self.stalled_at.is_some_and(|ticket| ticket > durable) || stalled || slow
    }

    /// When [`Waits::work`] has something to do though nothing comes.
    pub fn due(&self) -> Option<Micros> {
        self.sends
            .values()
            .next()
            .map(|send| send.since + STALL_TIMEOUT)
    }
}

/// Whether a send that waited is still within the window of what may have run before it.
pub fn in_time(now: Micros, window: Micros, known: &[PriorAttempt]) -> bool {
    known.iter().all(|ran| now + MARGIN < ran.since + window)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sends_go_when_durable_and_granted_and_not_after_their_time() {
        let mut waits = Waits::default();
        waits.put(0, 1, None, "disk");
        waits.put(0, 2, Some(7), "both");
        waits.put(10, 3, Some(8), "word");
        waits.put(20, 4, Some(9), "told");
        assert_eq!(waits.work(30, 0).go, Vec::<&str>::new());
        assert_eq!(waits.work(30, 1).go, ["disk"]);
        waits.granted(7);
        assert_eq!(
            waits.work(40, 1).go,
            Vec::<&str>::new(),
            "it is granted, not durable"
        );
        assert_eq!(waits.take(9), Some("told"));
        assert_eq!(
            waits.work(50, 3),
            Ready {
                go: vec!["both"],
                late: vec![]
            }
        );
        // Granted and durable, but looked at too late.
        waits.granted(8);
        let late = waits.work(10 + STALL_TIMEOUT, 4);
        assert_eq!((late.go.len(), late.late), (0, vec![("word", Late::Disk)]));
        waits.put(100, 5, Some(10), "unanswered");
        assert_eq!(
            waits.work(100 + STALL_TIMEOUT, 5).late,
            [("unanswered", Late::Word)]
        );
        assert!(waits.is_empty() && waits.words.is_empty() && waits.due().is_none());
    }

    #[test]
    fn a_slow_disk_holds_up_all_but_a_few_and_a_stalled_one_all_until_it_writes() {
        let mut waits = Waits::default();
        (1..=4).for_each(|ticket| waits.put(0, ticket, None, ticket));
        assert!(!waits.is_held_up(2 * SLOW, 0), "few may wait");
        waits.put(0, 5, None, 5);
        assert!(
            !waits.is_held_up(SLOW - 1, 0)
                && waits.is_held_up(SLOW, 0)
                && !waits.is_held_up(SLOW, 4)
        );
        assert_eq!(waits.work(STALL_TIMEOUT, 0).late.len(), 5);
        assert!(
            waits.is_held_up(STALL_TIMEOUT, 4),
            "nothing waits, but it has not written"
        );
        waits.work(STALL_TIMEOUT, 5);
        assert!(!waits.is_held_up(STALL_TIMEOUT, 5));
        let ran = PriorAttempt {
            zone: 0,
            cell: 0,
            since: 1_000,
        };
        assert!(in_time(1_000, 2 * MARGIN, &[ran]) && !in_time(1_000 + MARGIN, 2 * MARGIN, &[ran]));
    }
}
