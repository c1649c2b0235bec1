//! Virtual time of the simulated fleets: a queue of events by time (events of the same time in the
//! order of their insertion), and links that deliver messages in order. No I/O.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::Hash;

/// Microseconds of virtual time.
pub type Micros = u64;

/// A queue of events `E` in virtual time, with links `L` that deliver in order.
pub struct Timeline<E, L> {
    /// The present virtual time: that of the last event taken.
    pub now: Micros,
    order: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, E>,
    last_number: u64,
    /// When the last message of each link arrives.
    last_arrivals: HashMap<L, Micros>,
}

impl<E, L: Eq + Hash> Timeline<E, L> {
    /// Creates an empty queue whose present time is `now`.
    pub fn new(now: Micros) -> Self {
        let (order, events, last_arrivals) = Default::default();
        Timeline {
            now,
            order,
            events,
            last_number: 0,
            last_arrivals,
        }
    }

    /// Queues an event for `after` microseconds from now.
    pub fn at(&mut self, after: Micros, event: E) {
        self.last_number += 1;
        self.order
            .push(Reverse((self.now + after, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    /// Queues the arrival of a message after `delay`, or with the last message of the link if that
    /// arrives later.
    pub fn send(&mut self, link: L, delay: Micros, event: E) {
        let last = self.last_arrivals.entry(link).or_default();
        *last = (self.now + delay).max(*last);
        let after = *last - self.now;
        self.at(after, event);
    }

    /// Takes the next event and moves the present time to it. `None` if there is no event up to
    /// `until`.
    pub fn next(&mut self, until: Micros) -> Option<E> {
        self.order.peek().filter(|Reverse((at, _))| *at <= until)?;
        let Reverse((at, number)) = self.order.pop()?;
        self.now = at;
        self.events.remove(&number)
    }
}

/// Plays each seed; returns the sum of the results and the seeds that broke a rule.
pub fn play_seeds<F: Default>(
    seeds: std::ops::Range<u64>,
    play: impl Fn(u64) -> F,
    is_broken: impl Fn(&F) -> bool,
    add: impl Fn(&mut F, &F),
) -> (F, Vec<u64>) {
    let (mut sum, mut broken_seeds) = (F::default(), Vec::new());
    for seed in seeds {
        let result = play(seed);
        broken_seeds.extend(is_broken(&result).then_some(seed));
        add(&mut sum, &result);
    }
    (sum, broken_seeds)
}
