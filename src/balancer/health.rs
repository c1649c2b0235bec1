//! Engine health: passes responses, outcomes, load reports and probe results to outlier detection
//! and to the load estimates.

use super::load_estimate::ReportContext;
use super::outlier_detection::{QuarantineReason, SHORT_PAUSE};
use super::{Balancer, MAINTENANCE_TICKS};
use crate::engine_state::AttemptKey;
use crate::interface::{EngineId, LoadReport, Micros, Outcome, ProbeEnded};

impl Balancer {
    pub(super) fn record_activity(&mut self, engine: EngineId) {
        self.outlier_detection.record_activity(
            &mut self.engines,
            engine,
            self.now,
            &mut self.actions,
        );
    }

    pub(super) fn record_outcome(&mut self, engine: EngineId, outcome: Outcome) {
        self.outlier_detection.record_outcome(
            &mut self.engines,
            engine,
            outcome,
            self.now,
            &mut self.actions,
        );
    }

    /// Quarantines silent engines and cancels their attempts, so that the requests can be retried
    /// on other engines.
    pub(super) fn quarantine_silent_engines(&mut self) {
        let silent = self
            .outlier_detection
            .silent_engines(&self.engines, self.now);
        for id in silent {
            self.outlier_detection.quarantine(
                &mut self.engines,
                id,
                QuarantineReason::Silence,
                self.now,
                &mut self.actions,
            );
            let Some(engine) = self.engines.get_mut(&id) else {
                continue;
            };
            if engine.probation_left == 0 {
                continue;
            }
            engine.is_silent = true;
            let in_flight: Vec<AttemptKey> = engine.in_flight.keys().copied().collect();
            for (request, attempt) in in_flight {
                self.cancel_for_retry(request, attempt);
            }
        }
    }

    /// Updates the load estimates with the plausible figures of a load report from an engine.
    pub(super) fn on_load_report(&mut self, id: EngineId, report: &LoadReport) {
        let report = self.figure_limits.checked_report(*report);
        let cores = self
            .engines
            .get(&id)
            .map_or(1.0, |engine| self.kind(engine).cores);
        let context = ReportContext {
            cores,
            threads_per_query: self.traffic.mean_work / self.traffic.mean_ideal_duration.max(1.0),
            pressure_duration: MAINTENANCE_TICKS * self.settings.tick,
            now: self.now,
        };
        if let Some(engine) = self.engines.get_mut(&id) {
            self.load_estimates.apply_report(engine, &report, &context);
        }
    }

    /// Processes the result of a probe: applies its load report, or excludes the engine for a while
    /// if the probe failed. An answer shows only that the process runs, not that queries succeed,
    /// so it doesn't count as a good outcome.
    pub(super) fn on_probed(&mut self, probed: &ProbeEnded) {
        let pause_ends = self.now + self.engine_pause();
        let Some(engine) = self.engines.get_mut(&probed.engine) else {
            return;
        };
        engine.probe_sent_at = 0;
        let has_failed = matches!(
            probed.outcome,
            Outcome::NoConnection | Outcome::Broken | Outcome::TimedOut
        );
        if has_failed {
            engine.quarantined_until = engine.quarantined_until.max(pause_ends);
        }
        if let Some(report) = &probed.report {
            self.on_load_report(probed.engine, report);
        }
    }

    /// Returns how long an engine is excluded after it was at capacity or failed a probe.
    pub(super) fn engine_pause(&self) -> Micros {
        let latency_time_constant = self.load_estimates.latency_time_constant();
        // If shares are below one query, a gateway rarely learns that an engine is at capacity, so
        // the pause is longer.
        let fraction = if self.subsetting.is_share_below_one_query() {
            1.0
        } else {
            SHORT_PAUSE
        };
        (latency_time_constant * fraction) as Micros
    }
}
