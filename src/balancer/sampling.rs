//! Random sampling of a few candidate engines for a request if shares are below one query, and the
//! probes that request their load reports.
//!
//! Load reports are delayed: if every gateway chose the engine with the best report, all gateways
//! would choose the same engine at once. Choosing among a few random candidates limits this effect.

use super::{Balancer, MAINTENANCE_TICKS};
use crate::engine_state::EngineState;
use crate::interface::{Action, EngineId, RequestId};
use crate::request_state::PendingRequest;

/// Number of engines drawn for a request. A choice between two spreads requests well even if
/// reports are delayed.
const CANDIDATES: usize = 2;
/// Upper limit on the cost of probes, as a fraction of the total priority weight of all requests.
const MAX_PROBE_COST: f64 = 0.02;
/// Redraws of candidates of queued requests that each arrival adds to the budget.
const REDRAWS_PER_ARRIVAL: f64 = 1.0;
/// Capacity of the token bucket for redraws and of the one for probes.
const MAX_TOKENS: f64 = 6.0;
/// Age up to which a load report counts as fresh, as a fraction of the latency time constant.
const FRESH_REPORT_AGE: f64 = 0.1;

/// Token buckets for probes and redraws, filled by arrivals.
pub(super) struct SamplingBudget {
    probe_tokens: f64,
    redraw_tokens: f64,
    probes_per_arrival: f64,
}

impl SamplingBudget {
    /// Creates the buckets. `probe_tariff` is the cost of sending one probe per request, as a
    /// fraction of the total priority weight of all requests.
    pub(super) fn new(probe_tariff: f64) -> Self {
        SamplingBudget {
            probe_tokens: 0.0,
            redraw_tokens: 0.0,
            probes_per_arrival: (MAX_PROBE_COST / probe_tariff).min(2.0 * CANDIDATES as f64),
        }
    }

    /// Sets the number of probes that are available before the first request or report: the maximum
    /// if shares are below one query, else none.
    pub(super) fn set_start_probes(&mut self, is_share_below_one_query: bool) {
        self.probe_tokens = if is_share_below_one_query {
            MAX_TOKENS
        } else {
            0.0
        };
    }

    pub(super) fn record_arrival(&mut self) {
        self.probe_tokens = MAX_TOKENS.min(self.probe_tokens + self.probes_per_arrival);
        self.redraw_tokens = (self.redraw_tokens + REDRAWS_PER_ARRIVAL).min(MAX_TOKENS);
    }
}

impl Balancer {
    /// Draws the candidate engines of a request and probes those without a fresh load report. Does
    /// nothing unless shares are below one query.
    pub(super) fn draw_candidates(&mut self, id: RequestId) {
        if !self.subsetting.is_share_below_one_query() {
            return;
        }
        let draws = [(); CANDIDATES].map(|_| self.rng.f64());
        let candidates = self.select_candidates(id, &draws);
        for engine in &candidates {
            self.probe_unless_fresh(*engine);
        }
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.candidates = candidates;
            pending.sampled_at = self.now;
        }
    }

    /// Selects a different engine for each random number in [0, 1), as far as there are enough
    /// engines. Only available engines are eligible. Engines that the request's group has an
    /// affinity to come first.
    fn select_candidates(&self, id: RequestId, draws: &[f64]) -> Vec<EngineId> {
        let pending = &self.requests[&id];
        let order = self.affinity_order(pending);
        let affinity_count = order.affinity_count;
        let mut engines = order.engines;
        let should_avoid_affinity = self.should_avoid_affinity(pending.request.class);
        if should_avoid_affinity && engines.len() > affinity_count {
            engines.drain(..affinity_count);
        }
        engines.retain(|id| {
            let engine = &self.engines[id];
            self.is_send_allowed(pending, engine) && self.is_available(pending, engine)
        });
        let is_first_draw = pending.sampled_at == 0;
        let mut candidates = Vec::new();
        for (index, draw) in draws.iter().enumerate().take(engines.len()) {
            // From the second draw on, the last candidate may be any engine, since the engines that
            // the group has an affinity to had no room.
            let should_prefer_affinity =
                !should_avoid_affinity && (is_first_draw || index + 1 < CANDIDATES);
            let eligible = if should_prefer_affinity {
                let affinity_left = affinity_count - index.min(affinity_count - 1);
                affinity_left.min(engines.len())
            } else {
                engines.len()
            };
            candidates.push(engines.remove((draw * eligible as f64) as usize));
        }
        candidates
    }

    /// Probes an engine if its last report isn't fresh, no probe is pending and the settings and
    /// the budget allow one.
    fn probe_unless_fresh(&mut self, id: EngineId) {
        let report_age = (self.now - self.engines[&id].reported_at) as f64;
        let is_fresh = report_age <= FRESH_REPORT_AGE * self.load_estimates.latency_time_constant();
        let has_budget = self.sampling_budget.probe_tokens >= 1.0;
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        let is_probed = engine.probe_sent_at > 0;
        if !self.settings.may_probe || is_fresh || !has_budget || is_probed {
            return;
        }
        engine.probe_sent_at = self.now;
        self.sampling_budget.probe_tokens -= 1.0;
        self.actions.push(Action::Probe { engine: id });
    }

    /// Draws new candidates for queued requests, earliest objective first, at a rate limited by
    /// arrivals: otherwise the whole backlog would be sent to the first engine that reports room.
    pub(super) fn redraw_candidates(&mut self) {
        let waiting: Vec<RequestId> = self
            .queue
            .ids()
            .filter(|id| !self.is_waiting_for_probes(&self.requests[id]))
            .collect();
        let count = self.sampling_budget.redraw_tokens as usize;
        for id in waiting.into_iter().take(count) {
            self.sampling_budget.redraw_tokens -= 1.0;
            self.draw_candidates(id);
        }
    }

    /// Returns whether a probe of one of the request's candidates is pending, until a timeout after
    /// the draw.
    fn is_waiting_for_probes(&self, pending: &PendingRequest) -> bool {
        let timeout = MAINTENANCE_TICKS * self.settings.tick;
        let is_probed = |engine: &EngineState| engine.probe_sent_at > 0;
        self.now <= pending.sampled_at + timeout
            && pending
                .candidates
                .iter()
                .any(|id| self.engines.get(id).is_some_and(is_probed))
    }

    /// Returns whether a request may be placed now: if shares are below one query, its candidates
    /// must have been drawn and their probes must have ended.
    pub(super) fn is_ready_to_place(&self, pending: &PendingRequest) -> bool {
        !self.subsetting.is_share_below_one_query()
            || !pending.candidates.is_empty() && !self.is_waiting_for_probes(pending)
    }
}
