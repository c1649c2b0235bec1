//! The gateway's main loop, which turns input from sockets, deadlines and service discovery into
//! events for the balancer, and carries out the balancer's actions in the order in which the
//! balancer returns them. The balancer makes all scheduling decisions.
//!
//! [`Gateway`] owns all components; each submodule implements one path through them. A request is
//! received from a client in `request_intake`, sent to an engine in `actions`, and answered in
//! `attempt_outcomes` or `result_delivery`. Changes of the endpoint list pass through
//! `endpoint_updates`.

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

/// Delay before the next attempt to accept connections, in microseconds, if no file descriptor was
/// free. Until then, connecting clients wait in the listen queue.
const ACCEPT_RETRY_DELAY: Micros = 20_000;

/// Maximum number of turns in one poll for client connections that have used up their first turn.
/// Deadlines and answers wait for them.
const MAX_FURTHER_TURNS: usize = 32;

/// The state of one gateway process: its components, and the queued events and actions.
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
    /// Requests whose result pages are being received into the result spool.
    incoming_results: BTreeSet<Key>,
    /// Events that the balancer has not handled yet.
    events: VecDeque<Event>,
    actions: Vec<Action>,
    may_send_retry_after: bool,
    longest_wait: Micros,
    engine_names: BTreeMap<EngineId, String>,
    /// What service discovery last reported about each engine, in the form that the event log
    /// stores.
    last_listed: BTreeMap<EngineId, ListedEngine>,
    /// The endpoints as last passed to the balancer, including drains that peers reported. The map
    /// is empty if `intent_durability` is `None`.
    last_endpoints: BTreeMap<EngineId, Endpoint>,
    client_events: Vec<ClientEvent>,
    engine_events: Vec<EngineEvent>,
    shutdown: Shutdown,
}

/// A snapshot of the connection to service discovery, taken before an operation to detect what the
/// operation changed.
struct DiscoveryState {
    is_receiving: bool,
    event_count: u64,
}

impl Gateway {
    /// Returns the longest time that the event loop may wait for sockets and signals; `None` if
    /// there is no limit.
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
            intent_durability.and_then(|intent_durability| intent_durability.next_deadline(now)),
        ];
        let next = next_deadlines.into_iter().flatten().min()?;
        Some(Duration::from_micros(next.saturating_sub(self.clock.now())))
    }

    /// Handles everything that has become ready since the last call. Sockets are read before
    /// deadlines are checked, so that an answer that arrived in time doesn't count as late only
    /// because this process was delayed.
    pub fn poll(&mut self, wakes: &mut PendingWakes) {
        let mut unfinished = PendingWakes::new();
        for wake in wakes.drain(..) {
            self.handle_wake(wake, &mut unfinished);
        }
        self.continue_client_reads();
        // Answers and page requests need no decision of the balancer, so they are written first.
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

    /// Gives client connections with unfinished input a bounded number of further turns.
    fn continue_client_reads(&mut self) {
        for _ in 0..MAX_FURTHER_TURNS {
            let Some(key) = self.clients.unfinished_reads.pop_front() else {
                return;
            };
            self.with_clients(|clients, context| clients.read(key, context));
            self.handle_client_events();
        }
    }

    fn handle_wake(&mut self, wake: WakeReason, unfinished: &mut PendingWakes) {
        match wake {
            WakeReason::Listener => {
                self.accept_connections();
            }
            // The socket of a connection whose last turn was not finished may have woken the loop
            // as well.
            WakeReason::Client(key) if self.clients.has_used_turn(key) => {}
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
            // The result spool and the intent durability are polled at the end of each
            // [`Gateway::poll`], whatever woke the main loop.
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
                self.accept_connections();
            }
            // This deadline only wakes the main loop; `poll` runs the shutdown steps at its end.
            Deadline::Shutdown => {}
        }
        self.handle_engine_events();
    }

    /// Accepts all connections in the listen queue. Returns false if some are still queued.
    fn accept_connections(&mut self) -> bool {
        let has_accepted_all = self.with_clients(Clients::accept);
        if !has_accepted_all {
            let retry_at = self.clock.now() + ACCEPT_RETRY_DELAY;
            self.deadlines.set(retry_at, Deadline::AcceptRetry);
        }
        self.record_connection_changes();
        self.handle_client_events();
        has_accepted_all
    }

    /// Passes all queued events to the balancer, carries out its actions, and writes the output
    /// that they queued, until no event is left.
    fn run_balancer(&mut self) {
        loop {
            while let Some(event) = self.events.pop_front() {
                let now = self.clock.now();
                self.event_recorder.record_event(now, &event);
                let left_request = match event {
                    Event::ClientLeft { request } => Some(Key::from_number(request)),
                    _ => None,
                };
                let mut actions = std::mem::take(&mut self.actions);
                self.balancer.handle(now, event, &mut actions);
                for action in actions.drain(..) {
                    self.execute_action(now, action);
                }
                self.actions = actions;
                if let Some(request) = left_request {
                    self.release_left_request(request);
                }
            }
            self.flush();
            if self.events.is_empty() {
                return;
            }
        }
    }

    /// Writes queued output to clients and engines. No attempt is started while events for the
    /// balancer are queued: one of these events may report that a client has left or that an engine
    /// is draining.
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

    /// Calls `function` on the client connections with the context that it needs.
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

    /// Calls `function` on the engine connections with the context that it needs.
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

    /// Handles SIGHUP: reloads the configuration, and connects to service discovery at the address
    /// that the configuration contains. All other changes take effect at the next start. An invalid
    /// file changes nothing.
    fn reload(&mut self) {
        let now = self.clock.now();
        match Config::from_environment() {
            Ok(config) => {
                self.counters.reloads += 1;
                self.event_recorder
                    .record_host_event(now, &HostEvent::ConfigReloaded { succeeded: true });
                tracing::info!(
                    "configuration reloaded: connecting to the bulletin at {}",
                    config.discovery_address
                );
                self.discovery
                    .change_address(config.discovery_address, now, &mut self.deadlines);
            }
            Err(error) => {
                self.counters.reloads_failed += 1;
                self.event_recorder
                    .record_host_event(now, &HostEvent::ConfigReloaded { succeeded: false });
                tracing::error!(
                    "configuration not reloaded, the previous one stays in use: {error}"
                );
            }
        }
    }
}
