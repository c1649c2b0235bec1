//! What signs of life, outcomes, reports and probes say of an engine, passed to the parts that keep
//! it.

use super::load_estimate::ReportContext;
use super::outlier_detection::{Symptom, SHORT_PAUSE};
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

    /// Quarantines silent engines and cancels what they hold, to be tried elsewhere.
    pub(super) fn quarantine_silent_engines(&mut self) {
        let silent = self
            .outlier_detection
            .silent_engines(&self.engines, self.now);
        for id in silent {
            self.outlier_detection.quarantine(
                &mut self.engines,
                id,
                Symptom::Silence,
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

    /// Takes in what an engine reported of itself.
    pub(super) fn on_load_report(&mut self, id: EngineId, report: &LoadReport) {
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
            self.load_estimates.apply_report(engine, report, &context);
        }
    }

    /// Takes in how a probe ended: its report counts, a failure closes the engine for a while. That
    /// the process runs proves nothing of its queries, so an answer is no good outcome.
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

    /// How long an engine is closed that was at capacity or failed a probe.
    pub(super) fn engine_pause(&self) -> Micros {
        let latency_memory = self.load_estimates.latency_memory();
        // Where shares are below one query a gateway learns of it rarely.
        let part = if self.subsetting.share_below_one_query() {
            1.0
        } else {
            SHORT_PAUSE
        };
        (latency_memory * part) as Micros
    }
}
