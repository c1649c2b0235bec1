//! Counters of [`IntentDurability`](super::IntentDurability). `counter_text` defines the names
//! under which they are logged.

use eideryard_event_log::RejectReason;

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntentCounters {
    /// Intents that were written before a send.
    pub intents: u64,
    /// Sends that waited until their intent was durable.
    pub waited: u64,
    /// Arriving requests that may already have run in a known zone and cell.
    pub known_prior_location: u64,
    /// Arriving requests that may already have run in an unknown zone and cell.
    pub unknown_prior_location: u64,
    /// Requests refused because the intent log is full.
    pub refused_full: u64,
    /// Requests refused because the store is slow or fails.
    pub refused_stalled: u64,
    /// Requests refused because no majority of voters answers.
    pub refused_no_majority: u64,
    /// Engines that got no new attempts because they are draining or removed in a peer's endpoint
    /// list.
    pub drains_from_peers: u64,
}

impl IntentCounters {
    /// Counts a refused request by the reason of the refusal.
    pub(super) fn count_refusal(&mut self, reason: RejectReason) {
        match reason {
            RejectReason::IntentLogFull => self.refused_full += 1,
            RejectReason::NoMajority => self.refused_no_majority += 1,
            _ => self.refused_stalled += 1,
        }
    }
}
