//! Slow start: limits the work that is sent to a cold engine.
//!
//! A cold engine fails if it is sent more than a multiple of its current capacity within a window.
//! Each gateway stays within its share of that budget. If the share is below one query, each
//! gateway admits requests at random, with a probability that keeps the sum over all gateways
//! within the budget.

use crate::engine_state::EngineState;
use crate::hash::{mix, unit_interval};
use crate::interface::{Micros, RequestId, Settings};
use crate::traffic::Traffic;

/// Fraction of the budget that is used. The rest is a margin, since estimates scatter and other
/// gateways round up as well.
const BUDGET_MARGIN: f64 = 0.6;
/// Number of standard deviations by which randomly admitted work may exceed its mean and still stay
/// within the budget.
const CHANCE_DEVIATIONS: f64 = 3.0;
/// Share of busy cores that counts as an engine's full capacity.
const CAPACITY_BUSY_SHARE: f64 = 0.85;

/// Limits for engines that are warming up, from the settings.
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
    /// Mean work of the request's class, in microseconds of thread time summed over all threads.
    pub(super) mean_work: f64,
    pub(super) engine: &'a EngineState,
    /// Number of cores of the engine.
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

    /// Returns the time at which an engine that started at `booted_at` is warm. A start that is
    /// more than a warm-up ahead of `now` is implausible and counts as one a warm-up ahead.
    pub(super) fn warm_up_end(&self, booted_at: Micros, now: Micros) -> Micros {
        let latest_start = now + self.warm_up_duration;
        booted_at.min(latest_start) + self.warm_up_duration
    }

    /// Returns an engine's current capacity as a fraction of its full capacity. The fraction grows
    /// linearly from `start_capacity` to 1 while the engine warms up.
    pub(super) fn capacity_fraction(&self, engine: &EngineState, now: Micros) -> f64 {
        let remaining_cold_time = engine.cold_until.saturating_sub(now) as f64;
        let cold_fraction = remaining_cold_time / self.warm_up_duration.max(1) as f64;
        1.0 - (1.0 - self.start_capacity) * cold_fraction.min(1.0)
    }

    /// Returns the start of the overload window that ends at `now`; earlier sends don't count.
    pub(super) fn window_start(&self, now: Micros) -> Micros {
        now.saturating_sub(self.overload_window)
    }

    /// Returns the work that all gateways together may send to a cold engine within the window.
    fn budget(&self, cores: f64) -> f64 {
        let capacity = self.start_capacity * CAPACITY_BUSY_SHARE * cores;
        self.overload_multiple * capacity * self.overload_window as f64
    }

    /// Returns whether a send stays within this gateway's share of the engine's budget.
    pub(super) fn is_within_share(
        &self,
        candidate: &ColdCandidate<'_>,
        engine_share: f64,
        now: Micros,
    ) -> bool {
        let window_start = self.window_start(now);
        let sent: f64 = candidate
            .engine
            .cold_sends
            .iter()
            .filter(|send| send.sent_at >= window_start)
            .map(|send| send.work)
            .sum();
        let budget = BUDGET_MARGIN * self.budget(candidate.cores) * engine_share;
        sent + candidate.mean_work <= budget
    }

    /// Returns whether a send is admitted at random. The random number is a hash of request and
    /// engine, so that repeated calls for the same send don't raise its probability.
    pub(super) fn is_admitted_by_hash(
        &self,
        candidate: &ColdCandidate<'_>,
        traffic: &Traffic,
    ) -> bool {
        let mean_work = candidate.mean_work;
        let budget = self.budget(candidate.cores);
        // The square root of the largest expected work for which the budget is at least the
        // expected work plus `CHANCE_DEVIATIONS` standard deviations, each of which is
        // sqrt(mean_work * expected work).
        let root = ((CHANCE_DEVIATIONS * CHANCE_DEVIATIONS * mean_work + 4.0 * budget).sqrt()
            - CHANCE_DEVIATIONS * mean_work.sqrt())
            / 2.0;
        let window = self.overload_window as f64;
        let expected_work = traffic.mean_work * window / traffic.mean_gap.max(1.0) * self.peers;
        let admission_probability = BUDGET_MARGIN * root * root / expected_work;
        unit_interval(candidate.request ^ mix(candidate.engine.id() as u64)) < admission_probability
    }
}
