//! The state of an engine as one gateway sees it.

use std::collections::VecDeque;

use eideryard::interface::{Micros, Outcome, Phase};

/// Outcomes of an engine that are kept.
pub const MAX_RECENT_OUTCOMES: usize = 12;
/// Ranks of requests; higher ones count as the last.
const RANKS: usize = 4;

/// An engine, and what one gateway runs there.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Its name in the discovery service.
    pub name: String,
    /// Host and port.
    pub address: String,
    /// Whether it takes queries, drains or was removed.
    pub phase: Phase,
    /// When its process started.
    pub booted_at: Micros,
    /// Attempts of this gateway that run there.
    pub in_flight: usize,
    /// Memory granted to them.
    pub granted_mb: f64,
    /// Queries of all gateways that the engine's last report counted.
    pub reported_in_flight: Option<f64>,
    /// Threads of this gateway's attempts.
    pub threads: f64,
    /// This gateway's attempts by rank.
    pub in_flight_by_rank: [u32; RANKS],
    /// Whether the gateway holds it in quarantine.
    pub is_quarantined: bool,
    /// Ended attempts, indexed by [`Outcome`].
    pub outcomes: [u64; 8],
    /// Attempts sent.
    pub sent: u64,
    /// The last outcomes, the oldest first.
    pub recent_outcomes: VecDeque<Outcome>,
    /// When it last answered an attempt.
    pub last_answer_at: Option<Micros>,
}

/// What one running attempt takes of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptLoad {
    pub rank: u8,
    pub grant_mb: f64,
    pub threads: f64,
}

impl Engine {
    pub(super) fn add_load(&mut self, load: AttemptLoad) {
        self.in_flight += 1;
        self.threads += load.threads;
        self.granted_mb += load.grant_mb;
        *self.rank_mut(load.rank) += 1;
    }

    pub(super) fn remove_load(&mut self, load: AttemptLoad) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.threads = (self.threads - load.threads).max(0.0);
        self.granted_mb = (self.granted_mb - load.grant_mb).max(0.0);
        let in_flight = self.rank_mut(load.rank);
        *in_flight = in_flight.saturating_sub(1);
    }

    pub(super) fn clear_load(&mut self) {
        self.in_flight = 0;
        self.granted_mb = 0.0;
        self.threads = 0.0;
        self.in_flight_by_rank = [0; RANKS];
    }

    pub(super) fn add_outcome(&mut self, outcome: Outcome, at: Micros) {
        self.outcomes[outcome as usize] += 1;
        self.recent_outcomes.push_back(outcome);
        if self.recent_outcomes.len() > MAX_RECENT_OUTCOMES {
            self.recent_outcomes.pop_front();
        }
        if outcome == Outcome::Answered {
            self.last_answer_at = Some(at);
        }
    }

    fn rank_mut(&mut self, rank: u8) -> &mut u32 {
        let index = usize::from(rank).min(RANKS - 1);
        &mut self.in_flight_by_rank[index]
    }
}
