//! Random choice of a few engines for a request where shares are below one query, and the probes
//! that this takes.
//!
//! Reports are late: were the best engine of all chosen by them, every gateway would choose it at
//! once. Choice among a few bounds that.

use super::{Balancer, MAINTENANCE_TICKS};
use crate::engine_state::EngineState;
use crate::interface::{Action, EngineId, RequestId};
use crate::request_state::PendingRequest;

/// Engines drawn for a request: choice between two spreads well even by late reports.
const CANDIDATES: usize = 2;
/// Part of all worth that probes may cost.
const PROBE_SPEND: f64 = 0.02;
/// Further draws that each arrival pays for.
const REDRAWS_PER_ARRIVAL: f64 = 1.0;
/// Draws or probes that may be saved up.
const MAX_SAVED: f64 = 6.0;
/// Age up to which a report is fresh, in parts of the latency memory.
const FRESH_REPORT_AGE: f64 = 0.1;

/// Probes and further draws that may be made; each arrival adds some.
pub(super) struct SamplingBudget {
    probes: f64,
    redraws: f64,
    probes_per_arrival: f64,
}

impl SamplingBudget {
    /// `probe_tariff`: part of all worth that one probe a request costs.
    pub(super) fn new(probe_tariff: f64) -> Self {
        SamplingBudget {
            probes: 0.0,
            redraws: 0.0,
            probes_per_arrival: (PROBE_SPEND / probe_tariff).min(2.0 * CANDIDATES as f64),
        }
    }

    /// Before anything is known, probes are at hand at once where other gateways are many.
    pub(super) fn set_start_probes(&mut self, share_below_one_query: bool) {
        self.probes = if share_below_one_query {
            MAX_SAVED
        } else {
            0.0
        };
    }

    pub(super) fn record_arrival(&mut self) {
        self.probes = MAX_SAVED.min(self.probes + self.probes_per_arrival);
        self.redraws = (self.redraws + REDRAWS_PER_ARRIVAL).min(MAX_SAVED);
    }
}

impl Balancer {
    /// Draws the engines that a request is placed among, and probes those without a fresh report.
    pub(super) fn draw_candidates(&mut self, id: RequestId) {
        if !self.subsetting.share_below_one_query() {
            return;
        }
        let lots = [(); CANDIDATES].map(|_| self.rng.f64());
        let candidates = self.select_candidates(id, &lots);
        for engine in &candidates {
            self.probe_unless_fresh(*engine);
        }
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.candidates = candidates;
            pending.sampled_at = self.now;
        }
    }

    /// Turns numbers drawn from [0, 1) into engines.
    fn select_candidates(&self, id: RequestId, lots: &[f64]) -> Vec<EngineId> {
        let pending = &self.requests[&id];
        let order = self.affinity_order(pending);
        let affinity_count = order.affinity_count;
        let mut engines = order.engines;
        let avoids_affinity = self.avoids_affinity(pending.request.class);
        if avoids_affinity && engines.len() > affinity_count {
            engines.drain(..affinity_count);
        }
        engines.retain(|id| {
            let engine = &self.engines[id];
            self.rules_allow(pending, engine) && self.is_available(pending, engine)
        });
        let is_first_draw = pending.sampled_at == 0;
        let mut candidates = Vec::new();
        for (turn, lot) in lots.iter().enumerate().take(engines.len()) {
            // Once the affinity engines had no room the last candidate is any engine.
            let prefers_affinity = !avoids_affinity && (is_first_draw || turn + 1 < CANDIDATES);
            let eligible = if prefers_affinity {
                let left = affinity_count - turn.min(affinity_count - 1);
                left.min(engines.len())
            } else {
                engines.len()
            };
            candidates.push(engines.remove((lot * eligible as f64) as usize));
        }
        candidates
    }

    fn probe_unless_fresh(&mut self, id: EngineId) {
        let report_age = (self.now - self.engines[&id].reported_at) as f64;
        let is_fresh = report_age <= FRESH_REPORT_AGE * self.load_estimates.latency_memory();
        let has_budget = self.sampling_budget.probes >= 1.0;
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        let is_probed = engine.probe_sent_at > 0;
        if !self.settings.may_probe || is_fresh || !has_budget || is_probed {
            return;
        }
        engine.probe_sent_at = self.now;
        self.sampling_budget.probes -= 1.0;
        self.actions.push(Action::Probe { engine: id });
    }

    /// Draws again for queued requests, earliest objective first, at a rate that follows arrivals:
    /// a backlog that looks at every report would rush as one into the first engine with room.
    pub(super) fn redraw_candidates(&mut self) {
        let waiting: Vec<RequestId> = self
            .queue
            .ids()
            .filter(|id| !self.waits_for_probes(&self.requests[id]))
            .collect();
        let count = self.sampling_budget.redraws as usize;
        for id in waiting.into_iter().take(count) {
            self.sampling_budget.redraws -= 1.0;
            self.draw_candidates(id);
        }
    }

    fn waits_for_probes(&self, pending: &PendingRequest) -> bool {
        let timeout = MAINTENANCE_TICKS * self.settings.tick;
        let is_probed = |engine: &EngineState| engine.probe_sent_at > 0;
        self.now <= pending.sampled_at + timeout
            && pending
                .candidates
                .iter()
                .any(|id| self.engines.get(id).is_some_and(is_probed))
    }

    /// Whether a request may be placed now: where shares are below one query its engines have to
    /// be drawn, and their probes over.
    pub(super) fn is_ready_to_place(&self, pending: &PendingRequest) -> bool {
        !self.subsetting.share_below_one_query()
            || !pending.candidates.is_empty() && !self.waits_for_probes(pending)
    }
}
