//! The state of an engine as one gateway sees it.

use std::collections::VecDeque;

use eideryard::interface::{Micros, Outcome, Phase};

/// Maximum number of recent outcomes stored for each engine.
pub const MAX_RECENT_OUTCOMES: usize = 12;
/// Number of ranks that are counted separately; higher ranks are counted as the highest of them.
const RANKS: usize = 4;

/// An engine and the attempts that one gateway runs on it.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Name that the discovery service lists; empty if the log has not stated it yet.
    pub name: String,
    /// Host and port; empty if not known.
    pub address: String,
    /// Phase that the discovery service last listed: ready, draining or removed.
    pub phase: Phase,
    /// Start time of the engine's process, as the discovery service lists it.
    pub booted_at: Micros,
    /// Number of this gateway's attempts that are running on the engine.
    pub in_flight: usize,
    /// Memory granted to the running attempts, in MB.
    pub granted_mb: f64,
    /// Number of running queries of all gateways in the engine's last load report; `None` before
    /// the first report that states it.
    pub reported_in_flight: Option<f64>,
    /// Number of threads that the running attempts use.
    pub threads: f64,
    /// Number of running attempts by rank.
    pub in_flight_by_rank: [u32; RANKS],
    /// Whether the gateway has the engine in quarantine.
    pub is_quarantined: bool,
    /// Number of ended attempts, indexed by [`Outcome`].
    pub outcomes: [u64; 8],
    /// Number of attempts sent.
    pub sent: u64,
    /// Last outcomes of the engine's current process, the oldest first; at most
    /// [`MAX_RECENT_OUTCOMES`].
    pub recent_outcomes: VecDeque<Outcome>,
    /// Time of the last answer to an attempt; `None` before the first.
    pub last_answer_at: Option<Micros>,
}

/// The engine's resources that one running attempt uses.
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
