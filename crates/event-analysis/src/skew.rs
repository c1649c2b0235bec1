//! Estimates the differences between the gateways' clocks. All gateways apply the same numbered
//! events of the discovery service at about the same time, so the difference between the times that
//! two gateways logged for an event is about the difference between their clocks.

use std::collections::BTreeMap;

use eideryard::interface::Micros;

use crate::state::{Fact, TimedFact};

/// Maximum number of events of the discovery service that are stored; the oldest are dropped.
const MAX_EVENTS: usize = 256;
/// Differences up to this are caused by delays of the network and the program rather than by the
/// clocks.
pub const MIN_SIGNIFICANT_SKEW: Micros = 100_000;
/// Minimum number of events that both gateways applied for an estimate.
const MIN_EVENTS: usize = 3;

/// The times at which each source applied the latest events of the discovery service.
#[derive(Default)]
pub struct ClockSkew {
    /// Times by number of the event, then by index of the source.
    events: BTreeMap<u64, BTreeMap<usize, Micros>>,
}

impl ClockSkew {
    /// Adds a fact if it is an event of the discovery service; ignores other facts.
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

    /// Returns by how many microseconds the clock of `source` is ahead of the clock of `other`
    /// (negative if it is behind), and the number of events that both applied. The difference is a
    /// median, so single late events don't matter. Returns `None` if there are too few common
    /// events.
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
