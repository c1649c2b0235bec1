//! Handles the results from [`IntentDurability`] and from the fleet: sends whose intents are
//! durable, refused sends, shared probes, engine drains and hints from peers.

use eideryard_event_log::RejectReason;
use eideryard_intent_log::state::RETRY_AFTER;

use super::*;
use crate::intent_durability::{
    PendingSend, ProbeWork, RefusedSend, SendResults, SendWithPriorRuns,
};

impl Gateway {
    /// Polls [`IntentDurability`] and handles its results.
    pub(in crate::gateway) fn poll_intent_durability(&mut self) {
        let now = self.clock.now();
        let Some(durability) = &mut self.intent_durability else {
            return;
        };
        if durability.is_checkpoint_due(now) {
            durability.save_checkpoint(now, &self.balancer.learned_state());
        }
        let results = durability.poll(now);
        let fleet_events = durability.take_fleet_events();
        let drains = durability.take_drains();
        let hint = durability.take_peer_hint();
        let probe_work = durability.take_probe_work(now);
        for event in fleet_events {
            self.event_recorder
                .record_host_event(now, &HostEvent::Fleet(event));
        }
        let has_changes = !results.is_empty()
            || !drains.is_empty()
            || hint.is_some()
            || !probe_work.due_engines.is_empty()
            || !probe_work.reports.is_empty();
        self.handle_peer_drains(drains);
        self.apply_probe_work(probe_work);
        if let Some((learned, age)) = hint {
            self.events
                .push_back(Event::CheckpointRestored { learned, age });
        }
        self.apply_send_results(now, results);
        if has_changes {
            self.run_balancer();
            self.flush();
        }
        if let Some(durability) = &mut self.intent_durability {
            durability.flush();
        }
    }

    fn apply_probe_work(&mut self, probe_work: ProbeWork) {
        for engine in probe_work.due_engines {
            // A failed probe is not shared: whether an engine is reachable is specific to each
            // gateway.
            let _ = self.with_engines(|engines, context| engines.probe(engine, context));
        }
        for (engine, report) in probe_work.reports {
            self.push_probe_result(engine, Outcome::Answered, Some(report));
        }
    }

    fn apply_send_results(&mut self, now: Micros, results: SendResults) {
        for send in results.ready {
            self.dispatch_durable_send(now, send);
        }
        for send in results.with_prior_runs {
            self.end_with_prior_runs(send);
        }
        for refused in results.refused {
            self.refuse_send(now, &refused);
        }
    }

    /// Sends an attempt whose intent has become durable, if the retry window is still open.
    fn dispatch_durable_send(&mut self, now: Micros, send: PendingSend) {
        let key = send.request;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(send.attempt) else {
            return;
        };
        // An attempt that was cancelled while it waited is not sent.
        if !std::mem::take(&mut attempt.awaits_durability) {
            return;
        }
        let is_within_window = self.intent_durability.as_ref().is_none_or(|durability| {
            durability.is_within_window(now, request.class, &request.prior_attempts)
        });
        if is_within_window {
            self.dispatch(now, key, send.attempt, send.engine, send.attempt_deadline);
        } else {
            self.end_unsent_attempt(key, send.attempt);
        }
    }

    /// Ends a send because other gateways may have run its request. The prior runs are reported to
    /// the balancer before the outcome of the attempt, so that the balancer considers them for the
    /// next attempt.
    fn end_with_prior_runs(&mut self, found: SendWithPriorRuns) {
        let PendingSend {
            request, attempt, ..
        } = found.send;
        if self.requests.get(request).is_none() {
            return;
        }
        self.add_prior_attempts(request, found.prior_attempts);
        self.cancel_attempt(request, attempt, Outcome::NotSent);
    }

    /// Ends a send that waited too long or got no majority for its claim. The request is refused if
    /// it has no other attempt.
    fn refuse_send(&mut self, now: Micros, refused: &RefusedSend) {
        let PendingSend {
            request, attempt, ..
        } = refused.send;
        let is_only_attempt = self
            .requests
            .get(request)
            .is_some_and(|state| state.attempts.len() == 1 && state.attempts[0].awaits_durability);
        // The balancer must handle `ClientLeft` before the end of the attempt. Otherwise the
        // balancer would send another attempt of a request that no longer exists in this gateway's
        // table, and would never get the outcome of that attempt.
        if is_only_attempt {
            self.push_client_left(request);
        }
        self.cancel_attempt(request, attempt, Outcome::NotSent);
        if is_only_attempt {
            self.refuse_with_reason(now, request, refused.reason);
        }
    }

    /// Refuses a request with a reason, and with a retry-after hint if the settings allow one.
    fn refuse_with_reason(&mut self, now: Micros, request: Key, reason: RejectReason) {
        let event = HostEvent::RefusalExplained {
            request: request.number(),
            reason,
        };
        self.event_recorder.record_host_event(now, &event);
        let reply = ErrorReply {
            retry_after: self.may_send_retry_after.then_some(RETRY_AFTER),
            ..ErrorReply::with_reason(ErrorKind::TryLater, reason.name())
        };
        self.answer_error(request, &reply);
    }
}
