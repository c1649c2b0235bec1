//! Handles client calls: a request gets a slot in the request table, or an immediate answer.

use eideryard::interface::{Event, Micros, PriorAttempt, Request};
use eideryard_event_log::{AnswerKind, HostEvent, RejectReason};
use eideryard_intent_log::state::RETRY_AFTER;
use eideryard_result_spool::run_registry::end_of_wait;

use super::Gateway;
use crate::clients::{CallEndReason, CallId, ClientEvent};
use crate::error_reply::{ErrorKind, ErrorReply};
use crate::requests::{AnswerState, Call, CallError, InsertError, RequestLabels};
use crate::result_spool::{Delivery, ResultOwner, Waiter};
use crate::table::Key;

impl Gateway {
    pub(super) fn handle_client_events(&mut self) {
        for event in std::mem::take(&mut self.client_events) {
            match event {
                ClientEvent::Call { client, id, call } => self.handle_call(client, id, call),
                ClientEvent::ResultQuery { client, id, query } => {
                    self.handle_result_query(client, id, query);
                }
                ClientEvent::RequestCancelled(request) => {
                    self.counters.abandoned += 1;
                    if self.is_awaited_by_others(request) {
                        self.detach_spooled_request(request, AnswerKind::Abandoned);
                    } else {
                        self.handle_client_left(request, AnswerKind::Abandoned);
                    }
                }
                ClientEvent::ConnectionRejected(request) => self.fail_rejected_request(request),
                ClientEvent::CallEnded { call, reason } => self.end_attached_call(call, reason),
                ClientEvent::Disconnected(request) => {
                    self.counters.undelivered += 1;
                    if self.is_spooled(request) {
                        self.detach_spooled_request(request, AnswerKind::Undelivered);
                    } else {
                        self.handle_client_left(request, AnswerKind::Undelivered);
                    }
                }
            }
        }
    }

    /// Accepts a request, unless it is invalid, is attached to an earlier run with the same key, or
    /// is rejected because memory is full or its intent can't be made durable.
    fn handle_call(&mut self, client: Key, id: u32, call: Result<Call, CallError>) {
        self.counters.received += 1;
        let call_id = CallId { client, id };
        let call = match (self.clients.accepts_requests(client), call) {
            (Some(true), Ok(call)) => call,
            (Some(true), Err(error)) => return self.answer_invalid(call_id, error),
            (Some(false), _) => return self.answer_invalid(call_id, CallError::ConnectionClosing),
            (None, _) => {
                self.counters.undelivered += 1;
                self.record_rejection(RejectReason::ClientDisconnected, None);
                return;
            }
        };
        let is_spooled = call.wants_pages && self.result_spool.is_some();
        if is_spooled && self.attach_to_run(call_id, &call) {
            return;
        }
        if is_spooled && !self.admit_to_spool(call_id, &call) {
            return;
        }
        match self.prior_attempts(&call) {
            Ok(prior_attempts) => self.accept_request(call_id, call, prior_attempts, is_spooled),
            Err(reason) => self.answer_not_durable(call_id, call.labels(), reason),
        }
    }

    /// Attaches a call to an earlier run with the same key, if there is one. The call then gets
    /// that run's result and needs neither a slot nor an attempt. Returns whether an earlier run
    /// was found.
    fn attach_to_run(&mut self, call_id: CallId, call: &Call) -> bool {
        let now = self.clock.now();
        let answer_by = self.answer_by(end_of_wait(now, call.wait));
        let (Some(key), Some(result_spool)) = (&call.key, &mut self.result_spool) else {
            return false;
        };
        if !result_spool.is_known_run(key) {
            return false;
        }
        let labels = call.labels();
        let waiter = Waiter {
            client: call_id.client,
            call_id: call_id.id,
            counted_as: Some(labels),
        };
        let delivery = result_spool.attach_call(key, waiter, answer_by, now);
        let attached = HostEvent::RetryAttached {
            class: labels.class,
            tenant: labels.tenant,
        };
        self.event_recorder.record_host_event(now, &attached);
        if let Some(delivery) = delivery {
            self.deliver(&delivery);
        }
        true
    }

    /// Returns the time by which a call has to be answered: its own deadline, or an earlier one
    /// that the shutdown sets.
    fn answer_by(&self, deadline: Micros) -> Micros {
        match self.shutdown.answer_deadline() {
            Some(answer_deadline) => deadline.min(answer_deadline),
            None => deadline,
        }
    }

    /// Checks whether the request's result is expected to fit into the result spool. If not,
    /// rejects the request and returns false.
    fn admit_to_spool(&mut self, call_id: CallId, call: &Call) -> bool {
        let owner = ResultOwner {
            labels: call.labels(),
            address: self.clients.address_of(call_id.client),
        };
        let now = self.clock.now();
        let Some(result_spool) = &mut self.result_spool else {
            return true;
        };
        let Err(rejection) = result_spool.admit(owner, now) else {
            return true;
        };
        self.count_rejected_request(RejectReason::StatementMemoryFull, owner.labels);
        let reply = ErrorReply {
            retry_after: rejection.retry_after.filter(|_| self.may_send_retry_after),
            ..ErrorReply::with_reason(ErrorKind::TryLater, rejection.reason.as_str())
        };
        self.answer_call(call_id, &reply);
        false
    }

    /// Returns prior attempts of this request that may have run, or the reason why its intent can't
    /// be made durable now.
    fn prior_attempts(&mut self, call: &Call) -> Result<Vec<PriorAttempt>, RejectReason> {
        let now = self.clock.now();
        match &mut self.intent_durability {
            Some(intent_durability) => {
                intent_durability.admit_request(now, call.class, call.key.as_deref(), call.is_retry)
            }
            None => Ok(Vec::new()),
        }
    }

    /// Puts a request into the request table and reports it to the balancer.
    fn accept_request(
        &mut self,
        call_id: CallId,
        call: Call,
        prior_attempts: Vec<PriorAttempt>,
        is_spooled: bool,
    ) {
        let now = self.clock.now();
        let labels = call.labels();
        let deadline = now + call.wait;
        let answer_by = self.answer_by(deadline);
        // The balancer orders requests that have the same ordering key; if a request has no
        // ordering key, its idempotency key is used instead.
        let order_key = call.order_key.as_deref().or(call.key.as_deref());
        let mut arrived = Request {
            id: 0,
            class: call.class,
            tenant: call.tenant,
            key: order_key.map(str::to_string),
            deadline: answer_by,
            work: call.work,
            memory_mb: call.memory_mb,
            group: call.group.unwrap_or(0),
            prior_attempts: prior_attempts.clone(),
        };
        let CallId { client, id } = call_id;
        let request = match self.requests.insert(client, id, now, deadline, call) {
            Ok(request) => request,
            Err(InsertError::DuplicateId) => return self.answer_invalid(call_id, CallError::Id),
            Err(InsertError::StatementMemoryFull) => {
                self.count_rejected_request(RejectReason::StatementMemoryFull, labels);
                self.answer_call(call_id, &ErrorReply::new(ErrorKind::TryLater));
                return;
            }
        };
        self.clients.assign_request(client, id, request);
        if let Some(slot) = self.requests.get_mut(request) {
            slot.prior_attempts = prior_attempts;
        }
        if is_spooled {
            self.begin_spooling(request);
        }
        self.request_span(request)
            .in_scope(|| tracing::debug!("taken"));
        self.record_request_received(request);
        arrived.id = request.number();
        self.events.push_back(Event::Arrived(arrived));
    }

    /// Registers the run of a request with the result spool.
    fn begin_spooling(&mut self, key: Key) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Some(result_spool) = &mut self.result_spool else {
            return;
        };
        request.is_spooled = true;
        let owner = ResultOwner {
            labels: request.labels(),
            address: self.clients.address_of(request.client),
        };
        let name = request.key.as_ref().unwrap_or(&request.id);
        result_spool.begin_run(key.number(), name, Waiter::of_request(request), owner, now);
    }

    /// Rejects a request because its intent can't be made durable now.
    fn answer_not_durable(&mut self, call_id: CallId, labels: RequestLabels, reason: RejectReason) {
        self.count_rejected_request(reason, labels);
        let reply = ErrorReply {
            retry_after: self.may_send_retry_after.then_some(RETRY_AFTER),
            ..ErrorReply::with_reason(ErrorKind::TryLater, reason.name())
        };
        self.answer_call(call_id, &reply);
    }

    /// Answers an invalid request with an error that names the invalid field.
    fn answer_invalid(&mut self, call_id: CallId, error: CallError) {
        let field = error.wire_word();
        tracing::debug!("invalid request rejected: field {field}");
        self.counters.invalid += 1;
        self.record_rejection(RejectReason::Invalid, None);
        let reply = ErrorReply {
            field: Some(field),
            ..ErrorReply::new(ErrorKind::Invalid)
        };
        self.answer_call(call_id, &reply);
    }

    fn count_rejected_request(&mut self, reason: RejectReason, labels: RequestLabels) {
        self.counters.refused += 1;
        self.counters.statement_memory_full += 1;
        self.record_rejection(reason, Some(labels));
    }

    fn answer_call(&mut self, call_id: CallId, reply: &ErrorReply<'_>) {
        let CallId { client, id } = call_id;
        self.clients
            .answer(client, id, |output| reply.write(output, id));
    }

    /// Ends the wait of a call that is attached to a run; the run continues. Other calls without a
    /// slot were answered when they arrived.
    fn end_attached_call(&mut self, call: CallId, reason: CallEndReason) {
        let result_spool = self.result_spool.as_mut();
        let waiter = result_spool.and_then(|spool| spool.remove_attached_call(call));
        let Some(waiter) = waiter else {
            return;
        };
        match reason {
            CallEndReason::Cancelled => self.count_delivery(&waiter, AnswerKind::Abandoned),
            CallEndReason::Disconnected => self.count_delivery(&waiter, AnswerKind::Undelivered),
            CallEndReason::Rejected => {
                self.deliver(&Delivery::failed(waiter, "its connection is closing"));
            }
        }
    }

    /// Fails a request whose connection is rejected. Its run continues if other calls wait for it.
    fn fail_rejected_request(&mut self, key: Key) {
        let reply = ErrorReply::new(ErrorKind::Failed);
        if self.is_awaited_by_others(key) {
            self.answer_and_detach(key, &reply);
            return;
        }
        self.push_client_left(key);
        self.answer_error(key, &reply);
    }

    /// Queues the event that the client of a request has left. The request's slot is freed only
    /// once the balancer has handled the event.
    pub(super) fn push_client_left(&mut self, key: Key) {
        if let Some(request) = self.requests.get_mut(key) {
            request.awaits_balancer = true;
            let request = key.number();
            self.events.push_back(Event::ClientLeft { request });
        }
    }

    /// Frees the slot of a request, after the balancer has handled that its client has left.
    pub(super) fn release_left_request(&mut self, key: Key) {
        if let Some(request) = self.requests.get_mut(key) {
            request.awaits_balancer = false;
            self.requests.release(key, &mut self.deadlines);
        }
    }

    /// Ends a request whose client no longer waits for the answer.
    fn handle_client_left(&mut self, key: Key, kind: AnswerKind) {
        self.end_spooled_run(key, ErrorKind::TryLater);
        self.record_unanswered(key, kind);
        if let Some(request) = self.requests.get_mut(key) {
            request.answer_state = AnswerState::Ended;
            self.push_client_left(key);
        }
    }
}
