//! Handles progress reports from attempts in flight. An attempt that has a bad query plan or is
//! waiting for a load is cancelled, so that the request can be retried on another engine.

use super::reported_figures::checked_share;
use super::Balancer;
use crate::engine_state::ProgressMark;
use crate::interface::{Action, EngineId, Micros, Progress, RequestId};

/// An attempt has a bad plan if its remaining time exceeds this multiple of the duration of a new
/// attempt.
const BAD_PLAN_MULTIPLE: f64 = 3.0;
/// Lower limit on the completed share of the work when the remaining time is computed.
const MIN_SHARE_DONE: f64 = 1e-6;
/// An attempt that is waiting for a load is cancelled only if its request then has at least this
/// many attempts left, as a reserve for other failures.
const RESERVED_ATTEMPTS: usize = 2;

impl Balancer {
    /// Processes a progress report of an attempt in flight.
    pub(super) fn on_progress(&mut self, id: RequestId, attempt: usize, progress: Progress) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let Some(sent_attempt) = pending.attempts.get(attempt) else {
            return;
        };
        let engine = sent_attempt.endpoint.engine;
        self.record_activity(engine);
        match progress {
            Progress::Share(share) => {
                let Some(share) = checked_share(share) else {
                    return;
                };
                if self.detect_bad_plan(engine, id, attempt, share) {
                    self.cancel_for_retry(id, attempt);
                }
            }
            Progress::WaitsForMemory => self.mark_waiting(engine, id, attempt),
            Progress::WaitsForLoad => self.on_waits_for_load(engine, id, attempt),
            Progress::Spilling(_) => {}
        }
    }

    /// Records the completed share of the work, and returns whether the attempt has a bad plan: the
    /// attempt is far slower than expected on its engine, and a new attempt would still end in
    /// time.
    fn detect_bad_plan(
        &mut self,
        engine: EngineId,
        id: RequestId,
        attempt: usize,
        share: f64,
    ) -> bool {
        let now = self.now;
        let latency_time_constant = self.load_estimates.latency_time_constant();
        // A cold engine runs every query slowly, which doesn't show a bad plan.
        let capacity_fraction = self
            .engines
            .get(&engine)
            .map_or(1.0, |engine| self.slow_start.capacity_fraction(engine, now));
        let Some(engine) = self.engines.get_mut(&engine) else {
            return false;
        };
        let slowdown = engine.slowdown.max(1.0) / capacity_fraction;
        let Some(reservation) = engine.in_flight.get_mut(&(id, attempt)) else {
            return false;
        };
        let elapsed = (now - reservation.sent_at) as f64;
        let remaining = elapsed * (1.0 - share).max(0.0) / share.max(MIN_SHARE_DONE);
        let fresh_duration = reservation.ideal_duration * slowdown;
        let has_waited = reservation.has_waited;
        reservation.progress = Some(ProgressMark {
            elapsed,
            done: share * reservation.ideal_duration,
        });
        engine.update_slowdown(now, latency_time_constant, None);
        !has_waited
            && remaining > BAD_PLAN_MULTIPLE * fresh_duration
            && now + fresh_duration as Micros <= self.requests[&id].end_deadline
    }

    fn mark_waiting(&mut self, engine: EngineId, id: RequestId, attempt: usize) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            if let Some(reservation) = engine.in_flight.get_mut(&(id, attempt)) {
                reservation.has_waited = true;
            }
        }
    }

    /// Records the load that blocks the attempt and cancels the attempt for a retry. The attempt
    /// hasn't done any work yet, so no work is lost.
    fn on_waits_for_load(&mut self, engine: EngineId, id: RequestId, attempt: usize) {
        self.mark_waiting(engine, id, attempt);
        let Some(engine) = self.engines.get_mut(&engine) else {
            return;
        };
        let Some(reservation) = engine.in_flight.get(&(id, attempt)) else {
            return;
        };
        engine.active_loads.insert(reservation.group, self.now);
        if attempt + RESERVED_ATTEMPTS < self.settings.max_attempts {
            self.cancel_for_retry(id, attempt);
        }
    }

    /// Cancels an attempt so that its request can be retried on another engine, if cancelling and
    /// another attempt are allowed.
    pub(super) fn cancel_for_retry(&mut self, id: RequestId, attempt: usize) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let may_retry = self.may_repeat(pending)
            && pending.attempts.len() < self.settings.max_attempts
            && !pending.is_streaming;
        if !may_retry || !self.settings.may_cancel || pending.attempts[attempt].is_cancelled {
            return;
        }
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.attempts[attempt].is_cancelled = true;
            self.actions.push(Action::Cancel {
                request: id,
                attempt,
            });
        }
    }
}
