//! The end of an attempt: its reservation is released, estimates learn from it, and its request is
//! closed, tried again or ended.

use super::load_estimate::EndedRun;
use super::Balancer;
use crate::engine_state::Reservation;
use crate::interface::{AttemptEnded, EngineId, Micros, Outcome, RequestId, ResourceUsage};
use crate::request_state::{AttemptState, PendingRequest};

/// Share of bad outcomes on all engines from which attempts are limited, to its inverse.
const MAX_HEALTHY_BAD_SHARE: f64 = 0.3;
/// Part of the latency memory for which an engine at capacity counts as under pressure.
const CAPACITY_PRESSURE_DIVISOR: Micros = 3;

/// What the end of an attempt may have left running.
fn execution_state(outcome: Outcome) -> AttemptState {
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
    /// Takes in how an attempt ended.
    pub(super) fn on_attempt_ended(&mut self, ended: &AttemptEnded) {
        let id = ended.request;
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = pending.attempts.get_mut(ended.attempt) else {
            return;
        };
        attempt.state = execution_state(ended.outcome);
        attempt.has_errored = ended.outcome == Outcome::Error;
        let attempt = *attempt;
        pending.has_ended |= ended.is_request_complete;
        if ended.outcome == Outcome::NotSent {
            self.forget_attempt(id, ended.attempt, &attempt);
        }
        let engine = attempt.endpoint.engine;
        self.learn_from_attempt(engine, ended);
        self.pause_key_after(ended);
        self.update_ranks(engine);
        self.continue_request(id);
    }

    /// Releases the attempt's reservation and updates all estimates of class and engine.
    fn learn_from_attempt(&mut self, engine: EngineId, ended: &AttemptEnded) {
        let reservation = self.release_reservation(engine, ended);
        if let Some(reservation) = reservation.filter(|_| ended.outcome == Outcome::Answered) {
            if let Some(usage) = &ended.usage {
                let request = &self.requests[&ended.request].request;
                self.class_estimates.record_usage(request, usage);
            }
            self.learn_slowdown(engine, &reservation, ended.spent, ended.usage);
        }
        // An error is attributed to engine or request when the request is closed.
        if ended.outcome != Outcome::Error && !ended.is_already_reported {
            self.record_outcome(engine, ended.outcome);
        }
        if let Some(report) = &ended.report {
            self.on_load_report(engine, report);
        }
    }

    /// Takes the reservation off; an engine at capacity is also closed for a while, since what
    /// refuses at once frees its reservations and would draw the whole queue.
    fn release_reservation(
        &mut self,
        engine: EngineId,
        ended: &AttemptEnded,
    ) -> Option<Reservation> {
        let pause_ends = self.now + self.engine_pause();
        let pressure = self.load_estimates.latency_memory() as Micros / CAPACITY_PRESSURE_DIVISOR;
        let engine = self.engines.get_mut(&engine)?;
        let attempt_key = (ended.request, ended.attempt);
        let reservation = engine.in_flight.remove(&attempt_key)?;
        if ended.outcome == Outcome::Error {
            engine.unattributed_errors += 1;
        }
        if ended.outcome == Outcome::AtCapacity {
            engine.quarantined_until = engine.quarantined_until.max(pause_ends);
            engine.pressure_until = pause_ends + pressure;
            engine.cut_bounds();
        }
        engine.update_totals();
        Some(reservation)
    }

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
        let latency_memory = self.load_estimates.latency_memory();
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.update_slowdown(self.now, latency_memory, run);
            engine.adapt_bounds(self.now);
        }
    }

    /// An attempt that may still run holds the next request of its key back.
    fn pause_key_after(&mut self, ended: &AttemptEnded) {
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

    /// Decides what follows after an attempt of a request.
    fn continue_request(&mut self, id: RequestId) {
        let pending = &self.requests[&id];
        if pending.has_ended {
            self.close_request(id);
        } else if pending.has_errors_on_several_engines() {
            self.end_request(id, self.settings.max_retry_after);
        } else if pending.has_attempt_in_flight() {
            // That attempt's end decides.
        } else if self.may_retry(pending) {
            self.queue.insert(pending);
        } else {
            self.end_request(id, 0);
        }
    }

    /// Whether rules, time and the health of the engines allow another attempt.
    fn may_retry(&self, pending: &PendingRequest) -> bool {
        // The more bad outcomes, the fewer attempts: retries must not add to an overload. Attempts
        // that this gateway cancelled don't count.
        let tried = pending
            .attempts
            .iter()
            .filter(|attempt| !attempt.is_cancelled);
        let bad_share = self.outlier_detection.fleet_bad_share();
        let max_tried = if bad_share > MAX_HEALTHY_BAD_SHARE {
            (1.0 / bad_share) as usize
        } else {
            usize::MAX
        };
        pending.attempts.len() < self.settings.max_attempts
            && tried.count() <= max_tried
            && self.may_repeat(pending)
            && self.now < pending.end_deadline
            && self.retry_budget.allows_retry(self.now)
    }
}
