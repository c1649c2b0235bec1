//! The way of spooled results: pages arrive from engines, clients query them.

use eideryard::interface::Event;
use eideryard_event_log::{AnswerKind, HostEvent};
use eideryard_msgpack_rpc::write_part;

use super::Gateway;
use crate::clients::ResultQuery;
use crate::error_reply::{ErrorKind, ErrorReply};
use crate::result_spool::{Delivery, ResultPart, Waiter};
use crate::table::Key;

impl Gateway {
    /// The client of a request whose result is spooled has disconnected: the run continues, so that
    /// the client can ask for its result later. False: the request isn't spooled.
    pub(super) fn detach_spooled_request(&mut self, key: Key) -> bool {
        let Some(request) = self.requests.get_mut(key) else {
            return false;
        };
        if !request.is_spooled {
            return false;
        }
        request.is_answered = true;
        if let Some(result_spool) = &mut self.result_spool {
            result_spool.detach(key.number(), &Waiter::of_request(request));
        }
        self.record_unanswered(key, AnswerKind::Undelivered);
        true
    }

    /// The next page of a result has arrived. A request whose result can't be kept fails at once.
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
                self.events.push_back(Event::ClientLeft {
                    request: key.number(),
                });
                let reply = ErrorReply::with_reason(ErrorKind::Failed, reason.word());
                self.answer_error(key, &reply);
            }
        }
    }

    /// A result is complete: everybody who waits for it gets it.
    pub(super) fn handle_spooled_result(&mut self, key: Key) {
        let now = self.clock.now();
        self.incoming_results.remove(&key);
        let Some(result_spool) = &mut self.result_spool else {
            return;
        };
        let deliveries = result_spool.complete(key.number(), now);
        if let Some(request) = self.requests.get_mut(key) {
            if !request.is_answered {
                request.is_answered = true;
                let is_late = now > request.deadline;
                self.counters.late += u64::from(is_late);
                self.counters.served += 1;
                self.record_answer(key, AnswerKind::Served, is_late);
            }
        }
        for delivery in deliveries {
            self.deliver(&delivery);
        }
    }

    /// A run ended without a result, by `TryLater` or another error: all others who wait for it are
    /// told the same as its own client.
    pub(super) fn end_spooled_run(&mut self, key: Key, error: ErrorKind) {
        self.incoming_results.remove(&key);
        let now = self.clock.now();
        let own_client = self.requests.get(key).map(Waiter::of_request);
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
        for waiter in result_spool.end_without_result(key.number(), is_rejected, now) {
            if Some(waiter) != own_client {
                self.deliver(&Delivery::Error {
                    waiter,
                    kind,
                    reason: "the run that it asked for ended so".into(),
                });
            }
        }
    }

    /// A client asks for a spooled result or releases it.
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
                result_spool.release(&token, &id, now);
                self.clients.answer(client, call_id, |output| {
                    write_part(output, call_id, std::iter::empty(), &[]);
                });
                None
            }
        };
        if let Some(delivery) = delivery {
            self.deliver(&delivery);
        }
    }

    /// Sends a part of a result, or an error, to a client who waits for it. Where the connection
    /// has ended, the client asks again or not at all.
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
            write_part(output, call_id, rows, &fields);
        })
    }

    /// Counts the answer of a waiter that is a request of its own.
    fn count_delivery(&mut self, waiter: &Waiter, kind: AnswerKind) {
        let Some(labels) = waiter.counted_as else {
            return;
        };
        match kind {
            AnswerKind::Served => self.counters.served += 1,
            AnswerKind::Refused => self.counters.refused += 1,
            AnswerKind::Failed => self.counters.failed += 1,
            _ => self.counters.lost += 1,
        }
        let answered = HostEvent::Answered {
            request: 0,
            class: labels.class,
            tenant: labels.tenant,
            kind,
            is_late: false,
        };
        self.event_recorder.record_host(self.clock.now(), &answered);
    }

    /// Lets the result spool work, and requests pages of results that there is room for now.
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
