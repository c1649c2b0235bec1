//! Applies the entries that the gateway logs outside the balancer.

use eideryard::interface::{Micros, RequestId};
use eideryard_event_log::{
    AnswerKind, ClientRequest, FleetEvent, HostEvent, ListedEngine, OpenRequest, RejectReason,
};
use hdrhistogram::Histogram;

use super::fact::{Attempt, Fact};
use super::request::Request;
use super::run::{GatewayRun, MAX_OPEN};
use super::FactSink;

/// Upper bound of the latency histograms in milliseconds: an hour. The lower bound is 1 ms.
const MAX_LATENCY_MS: u64 = 3_600_000;
/// Number of significant decimal digits in the latency histograms.
const LATENCY_DIGITS: u8 = 2;
/// Maximum number of classes that have a histogram.
const MAX_CLASSES: usize = 256;
/// Maximum number of peers, of rejected peers and of leases stored for one gateway.
const MAX_PEERS: usize = 400;

/// The final answer of a request, as [`HostEvent::Answered`] states it.
#[derive(Clone, Copy)]
struct Answer {
    request: RequestId,
    class: usize,
    tenant: usize,
    kind: AnswerKind,
    is_late: bool,
}

impl GatewayRun {
    pub(super) fn on_host_event(
        &mut self,
        event: &HostEvent,
        is_in_state: bool,
        sink: &mut FactSink<'_>,
    ) {
        match event {
            HostEvent::SegmentStarted { .. } => self.on_segment_started(),
            HostEvent::StateComplete => self.on_state_complete(),
            HostEvent::Names(names) => self.names = names.clone(),
            HostEvent::Tally(_) => self.are_totals_exact = true,
            HostEvent::Engine(listed) => self.on_engine(listed, is_in_state, sink),
            HostEvent::OpenRequest(open) => self.on_open_request(open),
            HostEvent::Connected {
                connection,
                address,
            } => {
                if self.connections.len() < MAX_OPEN {
                    self.connections.insert(*connection, *address);
                }
            }
            HostEvent::Disconnected { connection } => {
                self.connections.remove(connection);
            }
            HostEvent::RequestReceived(received) => self.on_request_received(received, sink.at),
            HostEvent::RequestRejected {
                reason,
                class,
                tenant,
            } => on_request_rejected(*reason, *class, *tenant, sink),
            HostEvent::Answered {
                request,
                class,
                tenant,
                kind,
                is_late,
            } => {
                let answer = Answer {
                    request: *request,
                    class: *class,
                    tenant: *tenant,
                    kind: *kind,
                    is_late: *is_late,
                };
                self.on_answered(answer, sink);
            }
            HostEvent::RetryAttached { class, tenant } => sink.emit(Fact::RequestReceived {
                class: *class,
                tenant: *tenant,
                address: None,
            }),
            event => self.on_status_event(event, is_in_state, sink),
        }
    }

    /// Applies events about the gateway as a whole.
    fn on_status_event(&mut self, event: &HostEvent, is_in_state: bool, sink: &mut FactSink<'_>) {
        match event {
            HostEvent::DiscoveryLink { is_up } => self.on_discovery_link(*is_up, is_in_state, sink),
            HostEvent::DiscoveryEvent { number } => {
                sink.emit(Fact::DiscoveryEvent { number: *number });
            }
            HostEvent::Stopping => {
                self.is_stopping = true;
                sink.emit(Fact::Stopping);
            }
            HostEvent::Ended { counters } => {
                self.final_counters = Some(counters.clone());
                sink.emit(Fact::Ended);
            }
            HostEvent::Gap { from, entries, .. } => {
                self.missing_entries += entries;
                sink.emit(Fact::EntriesMissing {
                    from: *from,
                    entries: Some(*entries),
                });
            }
            HostEvent::Fleet(event) => self.on_fleet_event(event),
            // Other events neither change the state nor result in a fact.
            _ => {}
        }
    }

    // ---- The state at the start of a segment ----

    fn on_segment_started(&mut self) {
        self.previous_requests = std::mem::take(&mut self.open_requests);
        self.connections.clear();
        for engine in self.engines.values_mut() {
            engine.clear_load();
        }
    }

    /// Restores the answered requests whose attempts are still running, because the state at the
    /// start of a segment doesn't repeat these requests.
    fn on_state_complete(&mut self) {
        for (id, request) in std::mem::take(&mut self.previous_requests) {
            if !request.is_answered {
                continue;
            }
            self.add_load_of(&request);
            self.open_requests.insert(id, request);
        }
    }

    fn on_open_request(&mut self, open: &OpenRequest) {
        let id = open.client_request.request;
        let connection = open.client_request.connection;
        let address = self.connections.get(&connection).copied();
        let mut request = Request::received(&open.client_request, address, open.arrived_at);
        request.class = open.class;
        request.tenant = open.tenant;
        request.has_arrived = true;
        if let Some(previous) = self.previous_requests.remove(&id) {
            request.grant_mb = previous.grant_mb;
            request.rank = previous.rank;
            request.attempts = previous.attempts;
        } else if let Some(running) = open.running {
            request.attempts.push(Attempt {
                engine: running.engine,
                sent_at: running.sent_at,
                ended: None,
            });
        }
        let attempts = open.attempts as usize;
        request.earlier_attempts = attempts.saturating_sub(request.attempts.len());
        self.add_load_of(&request);
        self.add_open_request(id, request);
    }

    /// Adds the load of a request's running attempts to their engines.
    fn add_load_of(&mut self, request: &Request) {
        let load = request.load(self.names.threads_of_class(request.class));
        for attempt in request.running_attempts() {
            let engine = self.engines.entry(attempt.engine).or_default();
            engine.add_load(load);
        }
    }

    // ---- Requests ----

    fn on_request_received(&mut self, received: &ClientRequest, at: Micros) {
        let address = self.connections.get(&received.connection).copied();
        let request = Request::received(received, address, at);
        self.add_open_request(received.request, request);
    }

    fn on_answered(&mut self, answer: Answer, sink: &mut FactSink<'_>) {
        let request = self.open_requests.get(&answer.request);
        let duration = request.map(|request| sink.at.saturating_sub(request.arrived_at));
        sink.emit(Fact::RequestEnded {
            request: answer.request,
            id: request.map(|request| request.id),
            class: answer.class,
            tenant: answer.tenant,
            kind: answer.kind,
            is_late: answer.is_late,
            duration,
            attempt_count: request.map_or(0, Request::attempt_count),
            last_attempts: request.map(Request::last_attempts).unwrap_or_default(),
        });
        if answer.kind == AnswerKind::Served {
            self.add_latency(answer.class, duration);
        }
        if let Some(request) = self.open_requests.get_mut(&answer.request) {
            request.is_answered = true;
            // If a request ends at once, its answer is logged before its arrival at the balancer.
            if request.has_arrived {
                self.close_request(answer.request);
            }
        }
    }

    fn add_latency(&mut self, class: usize, duration: Option<Micros>) {
        if class >= MAX_CLASSES {
            return;
        }
        while self.latency.len() <= class {
            let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_DIGITS);
            // This can't fail because the bounds are valid constants.
            self.latency.extend(histogram.ok());
        }
        if let Some(duration) = duration {
            self.latency[class].saturating_record(duration / 1000);
        }
    }

    // ---- Engines and discovery ----

    fn on_engine(&mut self, listed: &ListedEngine, is_in_state: bool, sink: &mut FactSink<'_>) {
        let previous = self.engines.get(&listed.engine);
        let has_address = !listed.address.is_empty();
        let is_restarted = previous.is_some_and(|engine| {
            let has_moved = has_address && engine.address != listed.address;
            listed.booted_at > engine.booted_at || has_moved
        });
        let is_changed = previous
            .is_none_or(|engine| engine.phase != listed.phase || engine.name != listed.name);
        let engine = self.engines.entry(listed.engine).or_default();
        if is_restarted {
            // The outcomes of the previous process say nothing about the new one.
            engine.recent_outcomes.clear();
            engine.is_quarantined = false;
        }
        engine.name.clone_from(&listed.name);
        if has_address {
            engine.address.clone_from(&listed.address);
        }
        engine.phase = listed.phase;
        engine.booted_at = listed.booted_at;
        if (is_changed || is_restarted) && !is_in_state {
            sink.emit(Fact::EndpointChanged {
                engine: listed.engine,
                phase: listed.phase,
                is_restarted,
            });
        }
    }

    fn on_discovery_link(&mut self, is_up: bool, is_in_state: bool, sink: &mut FactSink<'_>) {
        let is_changed = self.is_discovery_up != is_up;
        self.is_discovery_up = is_up;
        if is_changed && !is_in_state {
            sink.emit(Fact::DiscoveryLinkChanged { is_up });
        }
    }

    // ---- The group of gateways ----

    fn on_fleet_event(&mut self, event: &FleetEvent) {
        match event {
            FleetEvent::PeerState { name, state } => {
                if self.peers.len() < MAX_PEERS || self.peers.contains_key(name) {
                    self.peers.insert(name.clone(), state.clone());
                }
                self.rejected_peers.remove(name);
            }
            FleetEvent::PeerRejected { name, reason } => {
                if self.rejected_peers.len() < MAX_PEERS {
                    self.rejected_peers.insert(name.clone(), reason.clone());
                }
            }
            FleetEvent::VotingChanged { is_voter } => self.is_voter = Some(*is_voter),
            FleetEvent::MajorityChanged { is_reachable } => {
                self.has_majority = Some(*is_reachable);
            }
            FleetEvent::LeaseChanged {
                task,
                term,
                is_held,
            } => {
                if *is_held && self.leases.len() < MAX_PEERS {
                    self.leases.insert(*task, *term);
                } else {
                    self.leases.remove(task);
                }
            }
            FleetEvent::WorkReceived { is_accepted, .. } => {
                self.rejected_work += u64::from(!is_accepted);
            }
        }
    }
}

fn on_request_rejected(
    reason: RejectReason,
    class: Option<usize>,
    tenant: Option<usize>,
    sink: &mut FactSink<'_>,
) {
    let is_refusal = !matches!(
        reason,
        RejectReason::Invalid | RejectReason::ClientDisconnected
    );
    if is_refusal {
        sink.emit(Fact::RequestRefused { class, tenant });
    }
}
