//! How far the clocks of gateways are apart: each takes in the same numbered events of the bulletin
//! at about the same time.

use std::collections::BTreeMap;

use eideryard::interface::Micros;

use crate::state::{Fact, LoggedText};

/// Events of the bulletin that are remembered.
const MAX_EVENTS: usize = 256;
/// Differences below this are the network's and the program's, not the clocks'.
pub const NOISE: Micros = 100_000;
/// Fewer events than this prove nothing.
const MIN_EVENTS: usize = 3;

#[derive(Default)]
pub struct Skew {
    events: BTreeMap<u64, BTreeMap<usize, Micros>>,
}

impl Skew {
    pub fn take(&mut self, said: &LoggedText) {
        let Fact::RosterEvent { number } = said.fact else {
            return;
        };
        self.events
            .entry(number)
            .or_default()
            .entry(said.source)
            .or_insert(said.at);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_first();
        }
    }

    /// By how much the clock of one source is ahead of another's, in microseconds, with the number
    /// of events that both heard: the median, so that one that came late to one of them doesn't
    /// count.
    pub fn ahead(&self, source: usize, of: usize) -> Option<(i64, usize)> {
        let both = self
            .events
            .values()
            .filter_map(|at| Some(*at.get(&source)? as i64 - *at.get(&of)? as i64));
        let mut apart: Vec<i64> = both.collect();
        apart.sort_unstable();
        (apart.len() >= MIN_EVENTS).then(|| (apart[apart.len() / 2], apart.len()))
    }
}
