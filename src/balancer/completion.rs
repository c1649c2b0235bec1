//! Completion: the only place that ends a request, and how one is forgotten.

use super::Balancer;
use crate::interface::{Action, Effect, Micros, Outcome, RequestId, Scope};
use crate::request_state::{AttemptState, PendingRequest};

impl Balancer {
    /// Ends a request: refused where that is allowed, else failed. Nothing else ends one.
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

    /// A refusal promises that asking again is safe.
    fn may_refuse(&self, id: RequestId) -> bool {
        let pending = &self.requests[&id];
        let class = &self.settings.classes[pending.request.class];
        let is_known_to_all =
            class.effect == Effect::IdempotentWithKey && class.scope == Scope::All;
        let may_have_run = pending.possible_runs().next().is_some();
        !may_have_run || class.effect == Effect::Idempotent || is_known_to_all
    }

    fn bounded_retry_after(&self, retry_after: Micros) -> Micros {
        if self.settings.may_send_retry_after {
            retry_after.min(self.settings.max_retry_after)
        } else {
            0
        }
    }

    /// Closes a request that is over: it leaves the queue, its attempts are cancelled, and it is
    /// forgotten once none is in flight.
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
            self.forget_request(id);
        }
    }

    fn forget_request(&mut self, id: RequestId) {
        let Some(pending) = self.requests.remove(&id) else {
            return;
        };
        self.attribute_errors(&pending);
        if let Some(key) = &pending.request.key {
            self.key_ordering.remove(key, id);
        }
    }

    /// Errors are an engine's fault where no other engine made one of the same request. A request
    /// that no engine can run must not shut out one after the other.
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
