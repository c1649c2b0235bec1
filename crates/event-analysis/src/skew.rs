//! Estimates how far the clocks of gateways are apart: all of them apply the same numbered events
//! of the discovery service at about the same time.

use std::collections::BTreeMap;

use eideryard::interface::Micros;

use crate::state::{Fact, TimedFact};

/// Events of the discovery service that are remembered.
const MAX_EVENTS: usize = 256;
/// Smaller differences come from the network and the program, not from the clocks.
pub const MIN_SIGNIFICANT_SKEW: Micros = 100_000;
/// Fewer common events than this allow no estimate.
const MIN_EVENTS: usize = 3;

/// When each source applied the latest events of the discovery service.
#[derive(Default)]
pub struct ClockSkew {
    /// By event number, then by source.
    events: BTreeMap<u64, BTreeMap<usize, Micros>>,
}

impl ClockSkew {
    /// Adds a fact.
    pub fn add(&mut self, fact: &TimedFact) {
        let Fact::DiscoveryEvent { number } = fact.fact else {
            return;
        };
        let times = self.events.entry(number).or_default();
        times.entry(fact.source).or_insert(fact.at);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_first();
        }
    }

    /// By how many microseconds the clock of `source` is ahead of that of `other`, and the number
    /// of events that both applied. It is the median, so that single late events don't matter.
    pub fn micros_ahead(&self, source: usize, other: usize) -> Option<(i64, usize)> {
        let mut differences = Vec::new();
        for times in self.events.values() {
            if let (Some(at), Some(other_at)) = (times.get(&source), times.get(&other)) {
                differences.push(*at as i64 - *other_at as i64);
            }
        }
        if differences.len() < MIN_EVENTS {
            return None;
        }
        differences.sort_unstable();
        Some((differences[differences.len() / 2], differences.len()))
    }
}
