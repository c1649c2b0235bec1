//! The gateway's main loop, around the balancer: what sockets, deadlines and service discovery
//! report becomes events for the balancer, and its actions are carried out in their order. Nothing
//! is decided here.
//!
//! [`Gateway`] owns the parts; each submodule holds one way through them. A request goes through
//! `request_intake` (received from a client), `actions` (sent to an engine), `attempt_outcomes` and
//! `result_delivery` (answered). An update of the engines goes through `endpoint_updates`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use eideryard::balancer::Balancer;
use eideryard::interface::{Action, Endpoint, EngineId, Event, Micros, Outcome, ProbeEnded};
use eideryard_event_log::{HostEvent, ListedEngine};

use crate::clients::{ClientContext, ClientEvent, Clients};
use crate::clock::Clock;
use crate::config::Config;
use crate::connection::{PendingWakes, WakeReason};
use crate::counters::Counters;
use crate::deadlines::{Deadline, Deadlines};
use crate::discovery_watch::DiscoveryWatch;
use crate::engines::{AttemptEnd, EngineContext, EngineEvent, Engines, StartPermission};
use crate::error_reply::{ErrorKind, ErrorReply};
use crate::event_recorder::EventRecorder;
use crate::intent_durability::IntentDurability;
use crate::requests::{Names, Requests};
use crate::result_spool::ResultSpoolDriver;
use crate::shutdown::Shutdown;
use crate::table::Key;

mod actions;
mod attempt_outcomes;
mod endpoint_updates;
mod reporting;
mod request_intake;
mod result_delivery;
mod shutdown_steps;
mod startup;

/// How long connecting clients wait in the queue before another attempt whether a descriptor is
/// free again.
const ACCEPT_RETRY_DELAY: Micros = 20_000;

/// One gateway: all its parts, and the events and actions between them.
pub struct Gateway {
    balancer: Balancer,
    clock: Clock,
    deadlines: Deadlines,
    clients: Clients,
    engines: Engines,
    discovery: DiscoveryWatch,
    requests: Requests,
    names: Names,
    counters: Counters,
    event_recorder: EventRecorder,
    result_spool: Option<Box<ResultSpoolDriver>>,
    intent_durability: Option<Box<IntentDurability>>,
    /// Requests whose results are arriving for the result spool.
    incoming_results: BTreeSet<Key>,
    /// Events that the balancer has not handled yet.
    events: VecDeque<Event>,
    actions: Vec<Action>,
    may_send_retry_after: bool,
    longest_wait: Micros,
    engine_names: BTreeMap<EngineId, String>,
    /// What service discovery last reported of each engine, as the event log holds it.
    last_listed: BTreeMap<EngineId, ListedEngine>,
    /// The endpoints as the balancer last got them, with the drains that peers reported.
    last_endpoints: BTreeMap<EngineId, Endpoint>,
    client_events: Vec<ClientEvent>,
    engine_events: Vec<EngineEvent>,
    shutdown: Shutdown,
}

/// The state of the connection to service discovery before something was done with it.
struct DiscoveryState {
    is_receiving: bool,
    event_count: u64,
}

impl Gateway {
    /// How long the event loop may wait for sockets and signals; `None`: for ever.
    pub fn next_wait(&self, pending: &[WakeReason]) -> Option<Duration> {
        if !pending.is_empty() {
            return Some(Duration::ZERO);
        }
        let now = self.clock.now();
        let result_spool = self.result_spool.as_ref();
        let intent_durability = self.intent_durability.as_ref();
        let next_deadlines = [
            self.deadlines.next(),
            self.event_recorder.next_deadline(),
            result_spool.and_then(|result_spool| result_spool.next_deadline(now)),
            intent_durability.and_then(|intent_durability| intent_durability.deadline(now)),
        ];
        let next = next_deadlines.into_iter().flatten().min()?;
        Some(Duration::from_micros(next.saturating_sub(self.clock.now())))
    }

    /// Handles everything that a wait brought. Sockets come first and deadlines after them: an
    /// answer that has arrived is not late only because this process was delayed.
    pub fn poll(&mut self, wakes: &mut PendingWakes) {
        let mut unfinished = PendingWakes::new();
        for wake in wakes.drain(..) {
            self.handle_wake(wake, &mut unfinished);
        }
        // Answers and requests for pages need no decision, so they don't wait for the balancer.
        self.flush();
        self.run_balancer();
        while let Some(deadline) = self.deadlines.pop_expired(self.clock.now()) {
            self.handle_deadline(deadline);
            self.run_balancer();
        }
        self.poll_result_spool();
        self.poll_intent_durability();
        if !self.events.is_empty() {
            self.run_balancer();
        }
        self.poll_shutdown();
        self.record_connection_changes();
        self.record_state();
        self.event_recorder.flush(self.clock.now());
        wakes.append(&mut unfinished);
        let unfinished_clients = self.clients.unfinished_reads.drain(..);
        wakes.extend(unfinished_clients.map(WakeReason::Client));
    }

    fn handle_wake(&mut self, wake: WakeReason, unfinished: &mut PendingWakes) {
        match wake {
            WakeReason::Listener => {
                self.accept();
            }
            WakeReason::Client(key) => {
                self.with_clients(|clients, context| clients.read(key, context));
                self.handle_client_events();
            }
            WakeReason::Engine(key) => {
                if self.with_engines(|engines, context| engines.read(key, context)) {
                    unfinished.push(wake);
                }
                self.handle_engine_events();
            }
            WakeReason::Discovery => {
                if self.read_discovery() {
                    unfinished.push(wake);
                }
            }
            // Polled whenever the main loop wakes.
            WakeReason::ResultSpool | WakeReason::IntentDurability => {}
            WakeReason::Stop => self.begin_shutdown(),
            WakeReason::Reload => self.reload(),
            WakeReason::LogCounters => self.log_counters(),
        }
    }

    fn handle_deadline(&mut self, deadline: Deadline) {
        match deadline {
            Deadline::BalancerTimer(tag) => self.events.push_back(Event::Timer { tag }),
            Deadline::Attempt(request, attempt) => {
                self.cancel_attempt(request, attempt, Outcome::TimedOut);
            }
            Deadline::ClientConnection(key) => {
                self.with_clients(|clients, context| clients.handle_deadline(key, context));
                self.handle_client_events();
            }
            Deadline::EngineConnection(key) => {
                self.with_engines(|engines, context| {
                    engines.handle_connection_deadline(key, context);
                });
            }
            Deadline::Probe(key, number) => {
                self.with_engines(|engines, context| {
                    engines.handle_probe_deadline(key, number, context);
                });
            }
            Deadline::Discovery => {
                let before = self.discovery_state();
                let now = self.clock.now();
                self.discovery
                    .handle_deadline(now, &mut self.deadlines, &mut self.counters);
                self.record_discovery_changes(&before, &[]);
            }
            Deadline::AcceptRetry => {
                self.accept();
            }
            // The steps of the shutdown are taken at the end of each poll.
            Deadline::Shutdown => {}
        }
        self.handle_engine_events();
    }

    /// Accepts all connections that wait. False: some still wait.
    fn accept(&mut self) -> bool {
        let has_accepted_all = self.with_clients(Clients::accept);
        if !has_accepted_all {
            let retry_at = self.clock.now() + ACCEPT_RETRY_DELAY;
            self.deadlines.set(retry_at, Deadline::AcceptRetry);
        }
        self.record_connection_changes();
        self.handle_client_events();
        has_accepted_all
    }

    /// Hands all events to the balancer, carries out its actions, and writes what they queued.
    fn run_balancer(&mut self) {
        loop {
            while let Some(event) = self.events.pop_front() {
                let now = self.clock.now();
                self.event_recorder.record_event(now, &event);
                let mut actions = std::mem::take(&mut self.actions);
                self.balancer.handle(now, event, &mut actions);
                for action in actions.drain(..) {
                    self.execute_action(now, action);
                }
                self.actions = actions;
            }
            self.flush();
            if self.events.is_empty() {
                return;
            }
        }
    }

    /// Writes what waits for clients and engines. While the balancer has events to handle, no
    /// attempt begins: that a client has left or an engine drains may be among them.
    fn flush(&mut self) {
        self.with_clients(Clients::flush);
        self.handle_client_events();
        let now = self.clock.now();
        let balancer = &mut self.balancer;
        let mut may_begin =
            |request: Key, attempt| balancer.may_begin(now, request.number(), attempt);
        let may_begin: Option<StartPermission<'_>> = if self.events.is_empty() {
            Some(&mut may_begin)
        } else {
            None
        };
        let mut context = EngineContext {
            now,
            deadlines: &mut self.deadlines,
            counters: &mut self.counters,
            events: &mut self.engine_events,
        };
        self.engines.flush(may_begin, &mut context);
        self.handle_engine_events();
    }

    /// Calls a function of the clients' connections with what it uses besides.
    fn with_clients<T>(
        &mut self,
        function: impl FnOnce(&mut Clients, &mut ClientContext<'_>) -> T,
    ) -> T {
        let mut context = ClientContext {
            now: self.clock.now(),
            names: &self.names,
            deadlines: &mut self.deadlines,
            counters: &mut self.counters,
            events: &mut self.client_events,
        };
        function(&mut self.clients, &mut context)
    }

    /// Calls a function of the engines' connections with what it uses besides.
    fn with_engines<T>(
        &mut self,
        function: impl FnOnce(&mut Engines, &mut EngineContext<'_>) -> T,
    ) -> T {
        let mut context = EngineContext {
            now: self.clock.now(),
            deadlines: &mut self.deadlines,
            counters: &mut self.counters,
            events: &mut self.engine_events,
        };
        function(&mut self.engines, &mut context)
    }

    /// SIGHUP: reads the configuration again, and connects to service discovery at the address that
    /// it names now. Everything else in it applies from the next start on. An invalid file changes
    /// nothing.
    fn reload(&mut self) {
        let now = self.clock.now();
        match Config::from_environment() {
            Ok(config) => {
                self.counters.reloads += 1;
                self.event_recorder
                    .record_host_event(now, &HostEvent::ConfigReloaded { succeeded: true });
                tracing::info!("reloaded; the bulletin is at {}", config.discovery_address);
                self.discovery
                    .change_address(config.discovery_address, now, &mut self.deadlines);
            }
            Err(error) => {
                self.counters.reloads_failed += 1;
                self.event_recorder
                    .record_host_event(now, &HostEvent::ConfigReloaded { succeeded: false });
                tracing::error!("not reloaded, the old configuration stays: {error}");
            }
        }
    }
}
