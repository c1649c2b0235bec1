//! End of an attempt: releases its reservation, updates the estimates and closes, retries or ends
//! the request.

use super::load_estimate::EndedRun;
use super::Balancer;
use crate::engine_state::Reservation;
use crate::interface::{AttemptEnded, EngineId, Micros, Outcome, RequestId, ResourceUsage};
use crate::request_state::{AttemptState, PendingRequest};

/// If the share of bad outcomes across all engines is higher than this, attempts per request are
/// limited to the inverse of the share.
const MAX_HEALTHY_BAD_SHARE: f64 = 0.3;
/// After its pause, an engine that was at capacity counts as under pressure for the latency time
/// constant divided by this.
const CAPACITY_PRESSURE_DIVISOR: Micros = 3;

/// Returns whether an attempt with this outcome may have run, or may still be running, on its
/// engine.
fn execution_state_after(outcome: Outcome) -> AttemptState {
    match outcome {
        Outcome::AtCapacity | Outcome::NoConnection | Outcome::NotSent => AttemptState::NeverRan,
        Outcome::Answered
        | Outcome::Error
        | Outcome::TimedOut
        | Outcome::Broken
        | Outcome::Cancelled => AttemptState::MayHaveRun,
    }
}

impl Balancer {
    /// Processes the end of an attempt. Attempts of removed requests are ignored.
    pub(super) fn on_attempt_ended(&mut self, ended: &AttemptEnded) {
        let id = ended.request;
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = pending.attempts.get_mut(ended.attempt) else {
            return;
        };
        attempt.state = execution_state_after(ended.outcome);
        attempt.has_errored = ended.outcome == Outcome::Error;
        let attempt = *attempt;
        pending.has_ended |= ended.is_request_complete;
        if ended.outcome == Outcome::NotSent {
            self.remove_from_budgets(id, ended.attempt, &attempt);
        }
        let engine = attempt.endpoint.engine;
        self.learn_from_attempt(engine, ended);
        self.pause_key_after_uncertain_end(ended);
        self.update_ranks(engine);
        self.continue_request(id);
    }

    /// Releases the attempt's reservation and updates the estimates of its class and engine.
    fn learn_from_attempt(&mut self, engine: EngineId, ended: &AttemptEnded) {
        let reservation = self.release_reservation(engine, ended);
        if let Some(reservation) = reservation.filter(|_| ended.outcome == Outcome::Answered) {
            let usage = self.checked_usage(ended, &reservation);
            if let Some(usage) = &usage {
                let request = &self.requests[&ended.request].request;
                self.class_estimates.record_usage(request, usage);
            }
            self.learn_slowdown(engine, &reservation, ended.spent, usage);
        }
        // An error is attributed to the engine or to the request once the request is closed.
        if ended.outcome != Outcome::Error && !ended.is_already_reported {
            self.record_outcome(engine, ended.outcome);
        }
        if let Some(report) = &ended.report {
            self.on_load_report(engine, report);
        }
    }

    /// Returns the usage that an answer reports, unless it is implausible.
    fn checked_usage(
        &self,
        ended: &AttemptEnded,
        reservation: &Reservation,
    ) -> Option<ResourceUsage> {
        let spent = ended.spent.max(self.settings.tick) as f64;
        let max_work = spent * reservation.threads;
        self.figure_limits.checked_usage(ended.usage?, max_work)
    }

    /// Removes and returns the attempt's reservation. An engine at capacity is also excluded for a
    /// while. Because it rejects attempts at once, their reservations are freed, and it would
    /// otherwise attract the whole queue.
    fn release_reservation(
        &mut self,
        engine: EngineId,
        ended: &AttemptEnded,
    ) -> Option<Reservation> {
        let pause_ends = self.now + self.engine_pause();
        let pressure_duration =
            self.load_estimates.latency_time_constant() as Micros / CAPACITY_PRESSURE_DIVISOR;
        let engine = self.engines.get_mut(&engine)?;
        let attempt_key = (ended.request, ended.attempt);
        let reservation = engine.in_flight.remove(&attempt_key)?;
        if ended.outcome == Outcome::Error {
            engine.unattributed_errors += 1;
        }
        if ended.outcome == Outcome::AtCapacity {
            engine.quarantined_until = engine.quarantined_until.max(pause_ends);
            engine.pressure_until = pause_ends + pressure_duration;
            engine.cut_bounds();
        }
        engine.update_totals();
        Some(reservation)
    }

    /// Updates an engine's slowdown and bounds with an answered attempt. The duration of an attempt
    /// that waited for memory or a load doesn't count.
    fn learn_slowdown(
        &mut self,
        engine: EngineId,
        reservation: &Reservation,
        spent: Micros,
        usage: Option<ResourceUsage>,
    ) {
        let ideal = match usage {
            Some(usage) => usage.work / reservation.threads,
            None => reservation.ideal_duration,
        };
        let run = EndedRun {
            spent: spent as f64,
            ideal,
        };
        let run = (!reservation.has_waited).then_some(run);
        let latency_time_constant = self.load_estimates.latency_time_constant();
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.update_slowdown(self.now, latency_time_constant, run);
            engine.adapt_bounds(self.now);
        }
    }

    /// Delays the next request with the same key if the attempt may still be running on its engine.
    fn pause_key_after_uncertain_end(&mut self, ended: &AttemptEnded) {
        let may_still_run = matches!(
            ended.outcome,
            Outcome::TimedOut | Outcome::Broken | Outcome::Cancelled
        );
        if !may_still_run {
            return;
        }
        let paused_until = self.now + self.settings.ordering_delay + self.settings.tick;
        if let Some(key) = &self.requests[&ended.request].request.key {
            self.key_ordering.pause(key, paused_until);
        }
    }

    /// Closes, retries or ends a request after one of its attempts has ended.
    fn continue_request(&mut self, id: RequestId) {
        let pending = &self.requests[&id];
        if pending.has_ended {
            self.close_request(id);
        } else if pending.has_errors_on_several_engines() {
            self.end_request(id, self.settings.max_retry_after);
        } else if pending.has_attempt_in_flight() {
            // Another attempt is in flight; the request is decided when that one ends.
        } else if self.may_retry(pending) {
            self.queue.insert(pending);
        } else {
            self.end_request(id, 0);
        }
    }

    /// Returns whether limits, deadline and overall engine health allow another attempt.
    fn may_retry(&self, pending: &PendingRequest) -> bool {
        // The higher the share of bad outcomes, the fewer attempts are allowed, so that retries
        // don't add to an overload. Attempts that this gateway cancelled don't count.
        let counted_attempts = pending
            .attempts
            .iter()
            .filter(|attempt| !attempt.is_cancelled);
        let bad_share = self.outlier_detection.fleet_bad_share();
        let max_counted_attempts = if bad_share > MAX_HEALTHY_BAD_SHARE {
            (1.0 / bad_share) as usize
        } else {
            usize::MAX
        };
        pending.attempts.len() < self.settings.max_attempts
            && counted_attempts.count() <= max_counted_attempts
            && self.may_repeat(pending)
            && self.now < pending.end_deadline
            && self.retry_budget.has_room_for_retry(self.now)
    }
}
