//! What the intent durability counts. The names in the log stand in `counter_text`.

use eideryard_event_log::RejectReason;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntentCounters {
    /// Intents that were written before a send.
    pub intents: u64,
    /// Sends that waited for their intent.
    pub waited: u64,
    /// Requests bound to the place where they may have run before.
    pub known_prior_location: u64,
    /// Requests that may have run before in an unknown place.
    pub unknown_prior_location: u64,
    /// Requests refused since the intent log is full.
    pub refused_full: u64,
    /// Requests refused since the store is slow or fails.
    pub refused_stalled: u64,
    /// Requests refused since no majority of voters answers.
    pub refused_no_majority: u64,
    /// Engines that were closed here by what a peer's endpoint list said.
    pub drains_from_peers: u64,
}

impl IntentCounters {
    /// Counts a refused request by its reason.
    pub(super) fn count_refusal(&mut self, reason: RejectReason) {
        match reason {
            RejectReason::IntentLogFull => self.refused_full += 1,
            RejectReason::NoMajority => self.refused_no_majority += 1,
            _ => self.refused_stalled += 1,
        }
    }
}
