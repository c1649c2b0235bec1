//! Dispatch: the only module that sends attempts. Also computes the attempts' memory grants and
//! ranks.

use super::Balancer;
use crate::engine_state::{ColdSend, EngineState, Reservation};
use crate::interface::{Action, EngineId, Micros, RequestId};
use crate::request_state::{Attempt, AttemptState, PendingRequest};

/// Memory grant as a multiple of the memory estimate.
const GRANT_MARGIN: f64 = 1.25;
/// Rank of the report or load with the most memory on an engine; dashboards rank one higher.
const TOP_RANK: u8 = 2;

impl Balancer {
    /// Sends an attempt of a request to an engine, if the constraints allow it. No other function
    /// sends `Action::Send`.
    pub(super) fn send(&mut self, id: RequestId, engine_id: EngineId) {
        let pending = &self.requests[&id];
        let engine = &self.engines[&engine_id];
        if !self.is_send_allowed(pending, engine) {
            return;
        }
        let reservation = self.reservation(pending, engine);
        let grant_mb = self.memory_grant(pending, engine);
        let attempt = Attempt {
            endpoint: engine.endpoint,
            sent_at: self.now,
            state: AttemptState::InFlight,
            is_cancelled: false,
            has_errored: false,
        };
        let attempt_key = (id, pending.attempts.len());
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return;
        };
        if engine.in_flight.is_empty() {
            engine.last_activity = self.now;
        }
        engine.in_flight.insert(attempt_key, reservation);
        engine.update_totals();
        self.record_attempt(id, attempt);
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        self.queue.remove(pending);
        pending.grant_mb = grant_mb;
        pending.rank = None;
        let attempt_deadline = pending.end_deadline;
        self.update_ranks(engine_id);
        self.actions.push(Action::Send {
            request: id,
            engine: engine_id,
            attempt_deadline,
        });
    }

    /// Checks the constraints again when the host is about to write the first byte of an attempt:
    /// they may have changed since `Action::Send`. If this returns false, the host must not send
    /// the attempt, and must report `Outcome::NotSent` for it.
    pub fn may_begin(&mut self, now: Micros, id: RequestId, attempt: usize) -> bool {
        self.now = now;
        let Some(pending) = self.requests.get_mut(&id) else {
            return false;
        };
        if pending.attempts.len() != attempt + 1 {
            return false;
        }
        let Some(mut last_attempt) = pending.attempts.pop() else {
            return false;
        };
        self.remove_from_budgets(id, attempt, &last_attempt);
        let may_begin = !last_attempt.is_cancelled && self.may_still_send(id, &last_attempt);
        last_attempt.sent_at = now;
        self.record_attempt(id, last_attempt);
        may_begin
    }

    /// Returns whether the engine still runs the process that the attempt was meant for and the
    /// constraints still allow it.
    fn may_still_send(&self, id: RequestId, attempt: &Attempt) -> bool {
        let pending = &self.requests[&id];
        let Some(engine) = self.engines.get(&attempt.endpoint.engine) else {
            return false;
        };
        engine.endpoint.booted_at == attempt.endpoint.booted_at
            && self.is_send_allowed(pending, engine)
    }

    /// Adds an attempt to its request, and charges it to the retry and slow-start budgets at
    /// `attempt.sent_at`.
    fn record_attempt(&mut self, id: RequestId, attempt: Attempt) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&attempt.endpoint.engine) {
            if self.now < engine.cold_until {
                engine.cold_sends.push_back(ColdSend {
                    sent_at: attempt.sent_at,
                    work: self.class_estimates.mean_work(pending.request.class),
                    request: id,
                });
            }
        }
        if !pending.attempts.is_empty() {
            self.retry_budget.record_retry(attempt.sent_at);
        }
        pending.attempts.push(attempt);
    }

    /// Removes an attempt from the retry and slow-start budgets.
    pub(super) fn remove_from_budgets(&mut self, id: RequestId, number: usize, attempt: &Attempt) {
        if number > 0 {
            self.retry_budget.remove_retry(attempt.sent_at);
        }
        if let Some(engine) = self.engines.get_mut(&attempt.endpoint.engine) {
            engine.remove_cold_send(id, attempt.sent_at);
        }
    }

    /// Returns the memory and threads that an attempt will occupy on an engine.
    fn reservation(&self, pending: &PendingRequest, engine: &EngineState) -> Reservation {
        let class = pending.request.class;
        let memory_mb = if self.is_dashboard(class) {
            pending.memory_mb
        } else {
            self.charged_memory(pending, engine)
        };
        Reservation {
            class,
            group: pending.request.group,
            memory_mb,
            threads: self.settings.classes[class].threads,
            ideal_duration: pending.ideal_duration,
            sent_at: self.now,
            has_waited: false,
            progress: None,
        }
    }

    /// Returns the memory that a request is granted, in megabytes: `GRANT_MARGIN` times its
    /// corrected estimate or the client's, whichever is larger, up to the largest grant on the
    /// engine.
    fn memory_grant(&self, pending: &PendingRequest, engine: &EngineState) -> f64 {
        let client_estimate = pending.request.memory_mb.unwrap_or(0.0);
        let estimate = pending.memory_mb.max(client_estimate);
        let max_grant = self.settings.largest_share * self.kind(engine).memory_mb;
        (GRANT_MARGIN * estimate).min(max_grant)
    }

    /// Updates the ranks of the requests in flight on an engine: dashboards highest, then reports
    /// and loads by memory, largest first. A changed rank is sent as `Action::Grant`.
    pub(super) fn update_ranks(&mut self, engine_id: EngineId) {
        let Some(engine) = self.engines.get(&engine_id) else {
            return;
        };
        let mut by_memory: Vec<(f64, RequestId, usize)> = engine
            .in_flight
            .iter()
            .map(|(&(id, _), reservation)| (reservation.memory_mb, id, reservation.class))
            .collect();
        by_memory.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut next_rank = TOP_RANK;
        for (_, id, class) in by_memory {
            if self.is_dashboard(class) {
                self.set_rank(id, TOP_RANK + 1);
            } else {
                self.set_rank(id, next_rank);
                next_rank = next_rank.saturating_sub(1);
            }
        }
    }

    fn set_rank(&mut self, id: RequestId, rank: u8) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if pending.rank == Some(rank) || pending.has_ended {
            return;
        }
        pending.rank = Some(rank);
        self.actions.push(Action::Grant {
            request: id,
            grant_mb: pending.grant_mb,
            rank,
        });
    }
}
