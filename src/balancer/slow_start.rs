//! Slow start: how much a cold engine is sent.
//!
//! An engine that is sent more than a multiple of its present capacity over a window falls over.
//! Each gateway keeps to its share of that budget; where the share is below one query, requests
//! are admitted by a lot whose odds make the sum over all gateways fit.

use crate::engine_state::EngineState;
use crate::hash::{mix, unit_interval};
use crate::interface::{Micros, RequestId, Settings};
use crate::traffic::Traffic;

/// Part of the budget that is used: estimates scatter, and others round up as well.
const BUDGET_MARGIN: f64 = 0.6;
/// Standard deviations of chance that the budget leaves room for.
const CHANCE_DEVIATIONS: f64 = 3.0;
/// Share of busy cores at which capacity is counted.
const CAPACITY_BUSY_SHARE: f64 = 0.85;

/// Rules for engines that are warming up.
pub(super) struct SlowStart {
    peers: f64,
    start_capacity: f64,
    overload_multiple: f64,
    overload_window: Micros,
    warm_up_duration: Micros,
}

/// A request that may be sent to a cold engine.
pub(super) struct ColdCandidate<'a> {
    pub(super) request: RequestId,
    /// Usual work of its class.
    pub(super) usual_work: f64,
    pub(super) engine: &'a EngineState,
    /// Cores of that engine.
    pub(super) cores: f64,
}

impl SlowStart {
    pub(super) fn new(settings: &Settings) -> Self {
        SlowStart {
            peers: settings.peers,
            start_capacity: settings.start_capacity,
            overload_multiple: settings.overload_multiple,
            overload_window: settings.overload_window,
            warm_up_duration: settings.warm_up_duration,
        }
    }

    /// When an engine is warm that started at `booted_at`.
    pub(super) fn warm_at(&self, booted_at: Micros) -> Micros {
        booted_at + self.warm_up_duration
    }

    /// The part of its capacity that an engine has: it grows from a cold start on.
    pub(super) fn capacity_part(&self, engine: &EngineState, now: Micros) -> f64 {
        let cold_for = engine.cold_until.saturating_sub(now) as f64;
        let cold_part = cold_for / self.warm_up_duration.max(1) as f64;
        1.0 - (1.0 - self.start_capacity) * cold_part.min(1.0)
    }

    /// The earliest send that still counts.
    pub(super) fn window_start(&self, now: Micros) -> Micros {
        now.saturating_sub(self.overload_window)
    }

    /// Work that all gateways together may send a cold engine over the window.
    fn budget(&self, cores: f64) -> f64 {
        let capacity = self.start_capacity * CAPACITY_BUSY_SHARE * cores;
        self.overload_multiple * capacity * self.overload_window as f64
    }

    /// Whether a send fits this gateway's share of the budget.
    pub(super) fn fits_share(
        &self,
        candidate: &ColdCandidate<'_>,
        engine_share: f64,
        now: Micros,
    ) -> bool {
        let since = self.window_start(now);
        let sent: f64 = candidate
            .engine
            .cold_sends
            .iter()
            .filter(|send| send.sent_at >= since)
            .map(|send| send.work)
            .sum();
        let budget = BUDGET_MARGIN * self.budget(candidate.cores) * engine_share;
        sent + candidate.usual_work <= budget
    }

    /// Whether the lot that is drawn by request and engine admits a send.
    pub(super) fn is_admitted_by_lot(
        &self,
        candidate: &ColdCandidate<'_>,
        traffic: &Traffic,
    ) -> bool {
        let usual = candidate.usual_work;
        let budget = self.budget(candidate.cores);
        // The root of an expected sum that stays within the budget by so many deviations.
        let root = ((CHANCE_DEVIATIONS * CHANCE_DEVIATIONS * usual + 4.0 * budget).sqrt()
            - CHANCE_DEVIATIONS * usual.sqrt())
            / 2.0;
        let window = self.overload_window as f64;
        let demand = traffic.mean_work * window / traffic.mean_gap.max(1.0) * self.peers;
        let odds = BUDGET_MARGIN * root * root / demand;
        unit_interval(candidate.request ^ mix(candidate.engine.id() as u64)) < odds
    }
}
