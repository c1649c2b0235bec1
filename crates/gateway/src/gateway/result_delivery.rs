//! Handles spooled results: receives pages from engines and sends these pages to the clients that
//! query them.

use eideryard_event_log::{AnswerKind, HostEvent};
use eideryard_msgpack_rpc::write_partial_result;

use super::Gateway;
use crate::clients::ResultQuery;
use crate::error_reply::{ErrorKind, ErrorReply};
use crate::requests::AnswerState;
use crate::result_spool::{Delivery, ResultPart, Waiter};
use crate::table::Key;

impl Gateway {
    /// Returns whether the result of a request goes to the result spool.
    pub(super) fn is_spooled(&self, key: Key) -> bool {
        let request = self.requests.get(key);
        request.is_some_and(|request| request.is_spooled)
    }

    /// Returns whether calls of other clients are attached to the run of a request.
    pub(super) fn is_awaited_by_others(&self, key: Key) -> bool {
        let (Some(request), Some(result_spool)) = (self.requests.get(key), &self.result_spool)
        else {
            return false;
        };
        result_spool.has_other_waiters(key.number(), &Waiter::of_request(request))
    }

    /// Handles a client that no longer waits for its spooled result; `kind` is the reason. The run
    /// continues, also with further attempts, for calls that are attached to it now or later.
    pub(super) fn detach_spooled_request(&mut self, key: Key, kind: AnswerKind) {
        self.record_unanswered(key, kind);
        self.detach_from_run(key);
    }

    /// Answers a request with an error, but continues its run for the calls that are attached to
    /// it.
    pub(super) fn answer_and_detach(&mut self, key: Key, reply: &ErrorReply<'_>) {
        self.write_error(key, reply);
        self.detach_from_run(key);
    }

    fn detach_from_run(&mut self, key: Key) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.answer_state = AnswerState::Detached;
        if let Some(result_spool) = &mut self.result_spool {
            result_spool.detach_client(key.number(), &Waiter::of_request(request));
        }
    }

    /// Adds a page to a spooled result. If the spool can't store it, the request fails at once.
    pub(super) fn handle_result_page(&mut self, key: Key, rows: Vec<u8>) {
        let now = self.clock.now();
        let Some(result_spool) = &mut self.result_spool else {
            return;
        };
        match result_spool.add_page(key.number(), rows, now) {
            Ok(()) => {
                self.incoming_results.insert(key);
            }
            Err(reason) => {
                self.push_client_left(key);
                let reply = ErrorReply::with_reason(ErrorKind::Failed, reason.as_str());
                self.answer_error(key, &reply);
            }
        }
    }

    /// Handles the end of a spooled result: sends its first part to all waiting clients.
    pub(super) fn handle_spooled_result(&mut self, key: Key) {
        let now = self.clock.now();
        self.incoming_results.remove(&key);
        let Some(result_spool) = &mut self.result_spool else {
            return;
        };
        let deliveries = result_spool.complete_run(key.number(), now);
        if let Some(request) = self.requests.get_mut(key) {
            let answer_state = std::mem::replace(&mut request.answer_state, AnswerState::Ended);
            if answer_state == AnswerState::Awaited {
                let is_late = now > request.deadline;
                self.counters.answered_late += u64::from(is_late);
                self.counters.served += 1;
                self.record_answer(key, AnswerKind::Served, is_late);
            }
        }
        for delivery in deliveries {
            self.deliver(&delivery);
        }
    }

    /// Ends a spooled run that has no result. All attached clients get the same kind of error
    /// (`TryLater` or `Failed`) as the client whose request started the run. The caller answers
    /// that client.
    pub(super) fn end_spooled_run(&mut self, key: Key, error: ErrorKind) {
        self.incoming_results.remove(&key);
        let now = self.clock.now();
        let starting_client = self.requests.get(key).map(Waiter::of_request);
        let Some(result_spool) = &mut self.result_spool else {
            return;
        };
        if !result_spool.is_spooled(key.number()) {
            return;
        }
        let is_rejected = error == ErrorKind::TryLater;
        let kind = if is_rejected {
            ErrorKind::TryLater
        } else {
            ErrorKind::Failed
        };
        for waiter in result_spool.end_run_without_result(key.number(), is_rejected, now) {
            if Some(waiter) != starting_client {
                self.deliver(&Delivery::Error {
                    waiter,
                    kind,
                    reason: "the run that it asked for ended so".into(),
                });
            }
        }
    }

    /// Handles a client's query for a spooled result, or its release of a result.
    pub(super) fn handle_result_query(&mut self, client: Key, call_id: u32, query: ResultQuery) {
        let now = self.clock.now();
        let waiter = Waiter {
            client,
            call_id,
            counted_as: None,
        };
        let Some(result_spool) = &mut self.result_spool else {
            return;
        };
        let delivery = match query {
            ResultQuery::Page { token, id } => result_spool.page_by_token(&token, &id, waiter, now),
            ResultQuery::Reattach { id } => result_spool.reattach(&id, waiter, now),
            ResultQuery::Release { token, id } => {
                result_spool.release_result(&token, &id, now);
                self.clients.answer(client, call_id, |output| {
                    write_partial_result(output, call_id, std::iter::empty(), &[]);
                });
                None
            }
        };
        if let Some(delivery) = delivery {
            self.deliver(&delivery);
        }
    }

    /// Sends a part of a result, or an error, to a waiting client. If the connection has closed,
    /// the message is dropped: the client has to resend its query.
    pub(super) fn deliver(&mut self, delivery: &Delivery) {
        let waiter = delivery.waiter();
        let (is_sent, kind) = match delivery {
            Delivery::Part(part) => (self.send_part(part), AnswerKind::Served),
            Delivery::Error { kind, reason, .. } => {
                let reply = ErrorReply::with_reason(*kind, reason);
                let is_sent = self
                    .clients
                    .answer(waiter.client, waiter.call_id, |output| {
                        reply.write(output, waiter.call_id);
                    });
                let answer_kind = if *kind == ErrorKind::TryLater {
                    AnswerKind::Refused
                } else {
                    AnswerKind::Failed
                };
                (is_sent, answer_kind)
            }
        };
        let kind = if is_sent {
            kind
        } else {
            AnswerKind::Undelivered
        };
        self.count_delivery(&waiter, kind);
    }

    fn send_part(&mut self, part: &ResultPart) -> bool {
        let Waiter {
            client, call_id, ..
        } = part.waiter;
        let fields = [
            ("token", part.token.as_str()),
            ("more", if part.has_more { "1" } else { "0" }),
        ];
        let rows = part.rows.iter().map(Vec::as_slice);
        self.clients.answer(client, call_id, |output| {
            write_partial_result(output, call_id, rows, &fields);
        })
    }

    /// Counts and records an answer if the waiting call counts as a separate request.
    pub(super) fn count_delivery(&mut self, waiter: &Waiter, kind: AnswerKind) {
        let Some(labels) = waiter.counted_as else {
            return;
        };
        match kind {
            AnswerKind::Served => self.counters.served += 1,
            AnswerKind::Refused => self.counters.refused += 1,
            AnswerKind::Failed => self.counters.failed += 1,
            AnswerKind::Abandoned => self.counters.abandoned += 1,
            _ => self.counters.undelivered += 1,
        }
        let answered = HostEvent::Answered {
            request: 0,
            class: labels.class,
            tenant: labels.tenant,
            kind,
            is_late: false,
        };
        self.event_recorder
            .record_host_event(self.clock.now(), &answered);
    }

    /// Polls the result spool, and requests more pages from engines if the spool has room for them
    /// now.
    pub(super) fn poll_result_spool(&mut self) {
        let now = self.clock.now();
        let Some(result_spool) = &mut self.result_spool else {
            return;
        };
        let deliveries = result_spool.poll(now);
        for key in &self.incoming_results {
            let Some(request) = self.requests.get(*key) else {
                continue;
            };
            let free_bytes = result_spool.free_bytes(key.number());
            for attempt in &request.attempts {
                if let Some(connection) = attempt.connection {
                    self.engines
                        .request_pages(connection, &request.id, free_bytes);
                }
            }
        }
        for delivery in deliveries {
            self.deliver(&delivery);
        }
        self.flush();
    }
}
