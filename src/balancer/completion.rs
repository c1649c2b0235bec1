//! Completion: the only module that ends requests and removes their state.

use super::Balancer;
use crate::interface::{Action, Effect, Micros, Outcome, RequestId, Scope};
use crate::request_state::{AttemptState, PendingRequest};

impl Balancer {
    /// Refuses a request if that is allowed, else fails it. Does nothing if the request has ended
    /// or its answer has begun. No other function sends `Action::Refuse` or `Action::Fail`.
    pub(super) fn end_request(&mut self, id: RequestId, retry_after: Micros) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if pending.has_ended || pending.is_streaming {
            return;
        }
        pending.has_ended = true;
        let action = if self.may_refuse(id) {
            Action::Refuse {
                request: id,
                retry_after: self.bounded_retry_after(retry_after),
            }
        } else {
            Action::Fail { request: id }
        };
        self.actions.push(action);
        self.close_request(id);
    }

    /// Returns whether a request may be refused: a refusal promises the client that resending the
    /// request is safe.
    fn may_refuse(&self, id: RequestId) -> bool {
        let pending = &self.requests[&id];
        let class = &self.settings.classes[pending.request.class];
        let is_deduplicated_everywhere =
            class.effect == Effect::IdempotentWithKey && class.scope == Scope::All;
        let may_have_run = pending.possible_runs().next().is_some();
        !may_have_run || class.effect == Effect::Idempotent || is_deduplicated_everywhere
    }

    /// Limits a retry-after hint to what the settings allow. Returns 0 if the refusal must not
    /// contain a hint.
    fn bounded_retry_after(&self, retry_after: Micros) -> Micros {
        if self.settings.may_send_retry_after {
            retry_after.min(self.settings.max_retry_after)
        } else {
            0
        }
    }

    /// Marks a request as ended, removes it from the queue, cancels its attempts unless its answer
    /// has begun, and removes its state once no attempt is in flight.
    pub(super) fn close_request(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.has_ended = true;
        self.queue.remove(pending);
        if self.settings.may_cancel && !pending.is_streaming {
            cancel_attempts(pending, &mut self.actions);
        }
        if !pending.has_attempt_in_flight() {
            self.remove_request(id);
        }
    }

    fn remove_request(&mut self, id: RequestId) {
        let Some(pending) = self.requests.remove(&id) else {
            return;
        };
        self.attribute_errors(&pending);
        if let Some(key) = &pending.request.key {
            self.key_ordering.remove(key, id);
        }
    }

    /// Counts the errors of a request against its engine, unless several engines returned an error
    /// for it: a request that no engine can run must not lead to the quarantine of one engine after
    /// another.
    fn attribute_errors(&mut self, pending: &PendingRequest) {
        for engine_id in pending.engines_with_errors() {
            if let Some(engine) = self.engines.get_mut(&engine_id) {
                engine.unattributed_errors = (engine.unattributed_errors - 1).max(0);
            }
            if !pending.has_errors_on_several_engines() {
                self.record_outcome(engine_id, Outcome::Error);
            }
        }
    }
}

fn cancel_attempts(pending: &mut PendingRequest, actions: &mut Vec<Action>) {
    let request = pending.request.id;
    for (number, attempt) in pending.attempts.iter_mut().enumerate() {
        if attempt.state == AttemptState::InFlight && !attempt.is_cancelled {
            attempt.is_cancelled = true;
            actions.push(Action::Cancel {
                request,
                attempt: number,
            });
        }
    }
}
