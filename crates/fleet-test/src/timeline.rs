//! Virtual time of the simulated fleets: events by their times, those of one time in the order in
//! which they were put there, and links on which no message overtakes another. Pure.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::Hash;

/// Microseconds of virtual time.
pub type Micros = u64;

/// Events in virtual time, and links that deliver in order.
pub struct Timeline<E, L> {
    /// The time of the last event.
    pub now: Micros,
    order: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, E>,
    numbers: u64,
    /// When the last message of a link's direction arrives.
    arrives: HashMap<L, Micros>,
}

impl<E, L: Eq + Hash> Timeline<E, L> {
    /// One that begins at a time.
    pub fn new(now: Micros) -> Self {
        let (order, events, arrives) = Default::default();
        Timeline {
            now,
            order,
            events,
            numbers: 0,
            arrives,
        }
    }

    /// Puts an event behind so much time from now.
    pub fn at(&mut self, after: Micros, event: E) {
        self.numbers += 1;
        self.order.push(Reverse((self.now + after, self.numbers)));
        self.events.insert(self.numbers, event);
    }

    /// A message on a link, behind all that are under way there.
    pub fn send(&mut self, link: L, delay: Micros, event: E) {
        let last = self.arrives.entry(link).or_default();
        *last = (self.now + delay).max(*last);
        let after = *last - self.now;
        self.at(after, event);
    }

    /// The next event up to a time, which it is then.
    pub fn next(&mut self, until: Micros) -> Option<E> {
        self.order.peek().filter(|Reverse((at, _))| *at <= until)?;
        let Reverse((at, number)) = self.order.pop()?;
        self.now = at;
        self.events.remove(&number)
    }
}

/// Plays each seed: the sum of what they gave, and those that broke a rule.
pub fn play_seeds<F: Default>(
    seeds: std::ops::Range<u64>,
    play: impl Fn(u64) -> F,
    broken: impl Fn(&F) -> bool,
    add: impl Fn(&mut F, &F),
) -> (F, Vec<u64>) {
    let (mut sum, mut found) = (F::default(), Vec::new());
    for seed in seeds {
        let own = play(seed);
        found.extend(broken(&own).then_some(seed));
        add(&mut sum, &own);
    }
    (sum, found)
}
