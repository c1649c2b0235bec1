//! Handles engines' answers: sends results to clients and reports the outcomes of attempts to the
//! balancer.

use eideryard::interface::{AttemptEnded, Event, Outcome, ProbeEnded};
use eideryard_event_log::AnswerKind;
use eideryard_msgpack_rpc::write_result;

use super::Gateway;
use crate::engines::{AttemptEnd, EngineContext, EngineEvent};
use crate::error_reply::{ErrorKind, ErrorReply};
use crate::requests::AnswerState;
use crate::table::Key;

impl Gateway {
    pub(super) fn handle_engine_events(&mut self) {
        for event in std::mem::take(&mut self.engine_events) {
            match event {
                EngineEvent::AttemptEnded(end) => self.end_attempt(end),
                EngineEvent::ResultComplete { pages, end } => {
                    self.answer_result(end.request, &pages);
                    self.end_attempt(end);
                }
                EngineEvent::ResultPage { request, rows } => self.handle_result_page(request, rows),
                EngineEvent::SpooledResultComplete(end) => {
                    self.handle_spooled_result(end.request);
                    self.end_attempt(end);
                }
                EngineEvent::Progress {
                    request,
                    attempt,
                    progress,
                } => self.events.push_back(Event::ProgressReported {
                    request: request.number(),
                    attempt,
                    progress,
                }),
                EngineEvent::ProbeEnded {
                    engine,
                    outcome,
                    report,
                } => {
                    let now = self.clock.now();
                    if let (Some(intent_durability), Some(report)) =
                        (&mut self.intent_durability, &report)
                    {
                        intent_durability.publish_report(now, engine, report);
                    }
                    self.events.push_back(Event::ProbeEnded(ProbeEnded {
                        engine,
                        outcome,
                        report,
                    }));
                }
            }
        }
    }

    /// Sends a result to the client, unless the request already has a final answer.
    fn answer_result(&mut self, key: Key, pages: &[Vec<u8>]) {
        let pages = pages.iter().map(Vec::as_slice);
        let is_sent = self.answer(key, AnswerKind::Served, |output, call_id| {
            write_result(output, call_id, pages);
        });
        if is_sent {
            self.counters.served += 1;
        }
    }

    /// Ends a request and sends its final answer, unless its client has one or no longer waits.
    /// Returns whether the answer is queued for the client.
    fn answer(
        &mut self,
        key: Key,
        kind: AnswerKind,
        write: impl FnOnce(&mut Vec<u8>, u32),
    ) -> bool {
        let Some(request) = self.requests.get_mut(key) else {
            return false;
        };
        let answer_state = std::mem::replace(&mut request.answer_state, AnswerState::Ended);
        if answer_state != AnswerState::Awaited {
            return false;
        }
        let is_late = self.clock.now() > request.deadline;
        self.counters.answered_late += u64::from(is_late);
        let call_id = request.call_id;
        let is_sent = self
            .clients
            .answer(request.client, call_id, |output| write(output, call_id));
        self.counters.undelivered += u64::from(!is_sent);
        let kind = if is_sent {
            kind
        } else {
            AnswerKind::Undelivered
        };
        self.request_span(key)
            .in_scope(|| tracing::debug!(late = is_late, "{}", kind.name()));
        self.record_answer(key, kind, is_late);
        is_sent
    }

    /// Answers a request with an error, counts it as refused or failed, and releases its slot.
    pub(super) fn answer_error(&mut self, key: Key, reply: &ErrorReply<'_>) {
        self.end_spooled_run(key, reply.kind);
        self.write_error(key, reply);
        self.requests.release(key, &mut self.deadlines);
    }

    /// Answers a request with an error, and counts it as refused or failed.
    pub(super) fn write_error(&mut self, key: Key, reply: &ErrorReply<'_>) {
        let is_rejected = reply.kind == ErrorKind::TryLater;
        let kind = if is_rejected {
            AnswerKind::Refused
        } else {
            AnswerKind::Failed
        };
        let is_sent = self.answer(key, kind, |output, call_id| reply.write(output, call_id));
        if is_sent && is_rejected {
            self.counters.refused += 1;
        } else if is_sent {
            self.counters.failed += 1;
        }
    }

    /// Ends an attempt: closes its intent and reports its outcome to the balancer.
    pub(super) fn end_attempt(&mut self, end: AttemptEnd) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(end.request) else {
            return;
        };
        let is_request_complete = request.has_ended();
        let Some(attempt) = request.attempts.get_mut(end.attempt) else {
            return;
        };
        let engine = attempt.engine;
        attempt.connection = None;
        attempt.awaits_durability = false;
        self.deadlines.cancel(attempt.deadline.take());
        if let Some(intent_durability) = &mut self.intent_durability {
            if std::mem::take(&mut attempt.has_intent) {
                let never_ran = matches!(
                    end.outcome,
                    Outcome::AtCapacity | Outcome::NoConnection | Outcome::NotSent
                );
                let key = request.key.as_deref();
                intent_durability.on_attempt_ended(now, request.class, key, never_ran);
            }
        }
        self.counters.attempts.count(end.outcome);
        self.events.push_back(Event::AttemptEnded(AttemptEnded {
            request: end.request.number(),
            attempt: end.attempt,
            outcome: end.outcome,
            spent: now.saturating_sub(attempt.sent_at),
            is_request_complete,
            is_already_reported: end.is_already_reported,
            usage: end.usage,
            report: end.report,
        }));
        if tracing::enabled!(tracing::Level::DEBUG) {
            let _span = self.attempt_span(end.request, engine);
            let outcome = end.outcome;
            tracing::debug!(?outcome, "attempt {} ended", end.attempt);
        }
        self.requests.release(end.request, &mut self.deadlines);
    }

    /// Cancels an attempt. The attempt ends with `outcome`, or with [`Outcome::NotSent`] if no byte
    /// of it can have reached the engine.
    pub(super) fn cancel_attempt(&mut self, key: Key, attempt: usize, outcome: Outcome) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let Some(cancelled) = request.attempts.get(attempt) else {
            return;
        };
        if cancelled.awaits_durability {
            let end = AttemptEnd::new(key, attempt, Outcome::NotSent);
            return self.end_attempt(end);
        }
        let Some(connection) = cancelled.connection else {
            return;
        };
        let mut context = EngineContext {
            now: self.clock.now(),
            deadlines: &mut self.deadlines,
            counters: &mut self.counters,
            events: &mut self.engine_events,
        };
        let may_have_begun = self
            .engines
            .cancel_attempt(connection, &request.id, &mut context);
        let outcome = if may_have_begun {
            outcome
        } else {
            Outcome::NotSent
        };
        self.end_attempt(AttemptEnd::new(key, attempt, outcome));
    }
}
