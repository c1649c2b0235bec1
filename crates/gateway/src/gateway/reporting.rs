//! Writes to the event log and to the program's log, and saves the last checkpoint at the end of
//! the process.

use eideryard::interface::EngineId;
use eideryard_discovery::DiscoveryEvent;
use eideryard_event_log::entry::RunningAttempt;
use eideryard_event_log::{AnswerKind, ClientRequest, HostEvent, OpenRequest, RejectReason};

use super::{DiscoveryState, Gateway};
use crate::clients::ConnectionChange;
use crate::requests::{Request, RequestLabels};
use crate::table::Key;

impl Gateway {
    /// Creates the tracing span for log lines about a request.
    pub(super) fn request_span(&self, key: Key) -> tracing::Span {
        let request = self.requests.get(key);
        let class = request.and_then(|request| self.names.classes.get(request.class));
        tracing::debug_span!("request", id = request.map(|request| &*request.id), class)
    }

    /// Enters the tracing span for log lines about an attempt at an engine.
    pub(super) fn attempt_span(&self, key: Key, engine: EngineId) -> tracing::span::EnteredSpan {
        let request = self.request_span(key);
        let engine = self.engine_names.get(&engine);
        tracing::debug_span!(parent: &request, "attempt", engine).entered()
    }

    /// Records the current state if a new segment of the event log has begun, so that each segment
    /// can be read without previous ones.
    pub(super) fn record_state(&mut self) {
        let now = self.clock.now();
        if !self.event_recorder.needs_segment(now) {
            return;
        }
        let engines = self.last_listed.values().cloned().map(HostEvent::Engine);
        let connections = self
            .clients
            .addresses()
            .map(|(key, address)| HostEvent::Connected {
                connection: key.number(),
                address,
            });
        let requests = self
            .requests
            .awaited()
            .map(|(key, request)| HostEvent::OpenRequest(open_request(key, request)));
        let link = HostEvent::DiscoveryLink {
            is_up: self.discovery.is_receiving(),
        };
        let fleet = self
            .intent_durability
            .iter()
            .flat_map(|intent_durability| intent_durability.fleet_state())
            .map(HostEvent::Fleet);
        let state = engines
            .chain(connections)
            .chain(requests)
            .chain([link])
            .chain(fleet);
        self.event_recorder.start_segment(now, state);
    }

    /// Records client connections that were opened, are closing or have closed since the last call.
    pub(super) fn record_connection_changes(&mut self) {
        let now = self.clock.now();
        for (key, change) in self.clients.changes.drain(..) {
            let connection = key.number();
            let host = match change {
                ConnectionChange::Opened(address) => HostEvent::Connected {
                    connection,
                    address,
                },
                ConnectionChange::Closing(why) => HostEvent::ConnectionClosing {
                    connection,
                    reason: why,
                },
                ConnectionChange::Closed => HostEvent::Disconnected { connection },
            };
            self.event_recorder.record_host_event(now, &host);
        }
    }

    pub(super) fn discovery_state(&self) -> DiscoveryState {
        DiscoveryState {
            is_receiving: self.discovery.is_receiving(),
            event_count: self.counters.discovery_events,
        }
    }

    /// Records changes of the connection to service discovery since `before`, and the sequence
    /// numbers of the received items.
    pub(super) fn record_discovery_changes(
        &mut self,
        before: &DiscoveryState,
        items: &[DiscoveryEvent],
    ) {
        let now = self.clock.now();
        let is_receiving = self.discovery.is_receiving();
        if is_receiving != before.is_receiving {
            let link = HostEvent::DiscoveryLink {
                is_up: is_receiving,
            };
            self.event_recorder.record_host_event(now, &link);
        }
        if self.counters.discovery_events != before.event_count {
            for item in items {
                let list_event = HostEvent::DiscoveryEvent {
                    number: item.number,
                };
                self.event_recorder.record_host_event(now, &list_event);
            }
        }
    }

    /// Records a request that was accepted.
    pub(super) fn record_request_received(&mut self, key: Key) {
        if !self.event_recorder.is_enabled() {
            return;
        }
        if let Some(request) = self.requests.get(key) {
            let received = HostEvent::RequestReceived(client_request(key, request));
            self.event_recorder
                .record_host_event(self.clock.now(), &received);
        }
    }

    /// Records that an accepted request ended without an answer; `kind` is the reason.
    pub(super) fn record_unanswered(&mut self, key: Key, kind: AnswerKind) {
        self.record_answer(key, kind, false);
    }

    /// Records the answer to an accepted request.
    pub(super) fn record_answer(&mut self, key: Key, kind: AnswerKind, is_late: bool) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let answered = HostEvent::Answered {
            request: key.number(),
            class: request.class,
            tenant: request.tenant,
            kind,
            is_late,
        };
        self.event_recorder
            .record_host_event(self.clock.now(), &answered);
    }

    /// Records a request that was rejected on arrival. `labels` is `None` if the request is
    /// invalid or its client has disconnected.
    pub(super) fn record_rejection(&mut self, reason: RejectReason, labels: Option<RequestLabels>) {
        let rejected = HostEvent::RequestRejected {
            reason,
            class: labels.map(|labels| labels.class),
            tenant: labels.map(|labels| labels.tenant),
        };
        self.event_recorder
            .record_host_event(self.clock.now(), &rejected);
    }

    /// Saves the last checkpoint, and writes the last entries of the event log and of the program's
    /// log.
    pub fn finish(&mut self) {
        let now = self.clock.now();
        if let Some(intent_durability) = &mut self.intent_durability {
            intent_durability.save_checkpoint(now, &self.balancer.learned_state());
        }
        self.record_connection_changes();
        let counters = self
            .counters
            .named_values()
            .map(|(name, value)| (name.to_string(), value))
            .collect();
        let ended = HostEvent::Ended { counters };
        self.event_recorder
            .record_host_event(self.clock.now(), &ended);
        self.log_counters();
    }

    /// Logs all counters and table sizes at info level.
    pub fn log_counters(&self) {
        let tables = self
            .table_sizes()
            .into_iter()
            .map(|(name, size)| format!("{name}={size}"));
        let counters = &self.counters;
        let tables = tables.collect::<Vec<_>>().join(" ");
        let result_spool = match &self.result_spool {
            Some(spool) => format!(
                "; {}",
                crate::counter_text::format_result_spool(&spool.counters)
            ),
            None => String::new(),
        };
        let intents = match &self.intent_durability {
            Some(intent_durability) => {
                crate::counter_text::format_intent_durability(intent_durability)
            }
            None => String::new(),
        };
        tracing::info!("counters: {counters}; tables {tables}{result_spool}{intents}");
    }

    /// Returns the size of each table whose length depends on the traffic, with the name under
    /// which the size is logged. A size that keeps growing through a long day indicates a leak.
    fn table_sizes(&self) -> Vec<(&'static str, usize)> {
        let (engines, connections) = self.engines.sizes();
        let (requests, ids) = self.requests.sizes();
        let mut tables = vec![
            ("clients", self.clients.len()),
            ("requests", requests),
            ("ids", ids),
            ("engines", engines),
            ("engine_conns", connections),
            ("engine_names", self.engine_names.len()),
            ("deadlines", self.deadlines.len()),
        ];
        if let Some(result_spool) = &self.result_spool {
            tables.extend(result_spool.sizes());
        }
        if let Some(intent_durability) = &self.intent_durability {
            tables.extend(intent_durability.sizes());
        }
        tables
    }
}

/// Returns the properties of a request that the event log records in addition to the balancer's
/// event.
fn client_request(key: Key, request: &Request) -> ClientRequest {
    let id = u64::from_str_radix(&request.id, 16).unwrap_or_default();
    ClientRequest {
        request: key.number(),
        id,
        connection: request.client.number(),
    }
}

fn open_request(key: Key, request: &Request) -> OpenRequest {
    let in_flight = request
        .attempts
        .iter()
        .rev()
        .find(|attempt| attempt.connection.is_some());
    OpenRequest {
        client_request: client_request(key, request),
        class: request.class,
        tenant: request.tenant,
        arrived_at: request.received_at,
        deadline: request.deadline,
        attempts: request.attempts.len() as u64,
        running: in_flight.map(|attempt| RunningAttempt {
            engine: attempt.engine,
            sent_at: attempt.sent_at,
        }),
    }
}
