//! Drives the module: what the sockets, the deadlines and the list of engines tell becomes events,
//! its actions are carried out in their order. Nothing is decided here.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::time::Duration;

use eideryard::balancer;
use eideryard::interface::*;
use eideryard_discovery::{DiscoveredEngine, Item, State};
use eideryard_engine_protocol::Serve;
use eideryard_event_log::{AnswerKind, Host, ListedEngine, Offer, OpenRequest, RejectReason};
use eideryard_msgpack_rpc::{write_error, write_part, write_result};
use eideryard_operator_config::OperatorConfig;
use eideryard_replication::drains::Drain;

use crate::clients::{self, Clients};
use crate::clock::Clock;
use crate::config::Config;
use crate::connection::{Loop, Wake, Wakes};
use crate::counters::Counters;
use crate::deadlines::{Deadlines, Due};
use crate::discovery_watch::Watch;
use crate::engines::{self, Engines};
use crate::event_recorder::EventRecorder;
use crate::intent_durability::IntentDurability;
use crate::replication::ReplicationContext;
use crate::requests::{self, place, Attempt, Call, Names, NotTaken, Requests};
use crate::result_spool::{ResultSpoolDriver, Told as Word, Waiter};
use crate::shutdown::{Left, Phase as Stage, Shutdown, Step};
use crate::table::Key;

mod actions;
mod attempt_outcomes;
mod endpoint_updates;
mod reporting;
mod request_intake;
mod result_delivery;
mod shutdown_steps;

/// Descriptors for what is neither a client nor an engine: listener, bulletin, event loop, signals,
/// standard ones.
const OTHER_SOCKETS: usize = 24;
/// How long clients wait in the queue before another look whether a descriptor has come free.
const ACCEPT_PAUSE: Micros = 20_000;

pub struct Gateway {
    module: balancer::Balancer,
    clock: Clock,
    due: Deadlines,
    clients: Clients,
    engines: Engines,
    watch: Watch,
    requests: Requests,
    names: Names,
    pub counters: Counters,
    tap: EventRecorder,
    spooling: Option<Box<ResultSpoolDriver>>,
    keeping: Option<Box<IntentDurability>>,
    /// Requests whose results are coming into the spool.
    coming: std::collections::BTreeSet<Key>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    may_advise: bool,
    longest_wait: Micros,
    /// Names of engines by their numbers, and what the list said last of each.
    engine_names: BTreeMap<EngineId, String>,
    last_listed: BTreeMap<EngineId, ListedEngine>,
    /// The same for the module, where peers' lists count too.
    last_entries: BTreeMap<EngineId, Endpoint>,
    from_clients: Vec<clients::Heard>,
    from_engines: Vec<engines::Heard>,
    shutdown: Shutdown,
}

impl Gateway {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn start(
        config: Config,
        operator: &OperatorConfig,
        clock: Clock,
        events: &Loop,
    ) -> io::Result<Self> {
        let names = Names::new(&config.settings, &config.host);
        let limits = engines::Limits {
            dial_timeout: config.host.dial_timeout,
            idle: config.host.idle,
            note_period: config.settings.note_period,
            streams: config.host.streams,
            connections: (config.sockets / 2).saturating_sub(OTHER_SOCKETS).max(1),
        };
        let now = clock.now();
        let spooling = match &operator.spool {
            Some(plan) => {
                let (ping, woken) = calloop::ping::make_ping()?;
                events
                    .insert_source(woken, |(), _, wakes| wakes.push(Wake::Spool))
                    .map_err(io::Error::other)?;
                let wake = Box::new(move || ping.ping());
                Some(Box::new(ResultSpoolDriver::start(
                    &config.name,
                    now,
                    plan,
                    wake,
                )?))
            }
            None => None,
        };
        let keeping = match &operator.store {
            Some(plan) => {
                let (ping, woken) = calloop::ping::make_ping()?;
                events
                    .insert_source(woken, |(), _, wakes| wakes.push(Wake::Store))
                    .map_err(io::Error::other)?;
                // Another for each start and gateway: the seed alone is the same after a restart.
                let random = config.seed ^ now.rotate_left(23) ^ u64::from(std::process::id());
                let wake = Box::new(move || ping.ping());
                let (settings, memory_mb) = (&config.settings, config.memory_mb);
                let (mut keeping, shared) =
                    IntentDurability::start(plan, settings, memory_mb, now, random, wake);
                if let Some(fleet) = &operator.fleet {
                    let (ping, woken) = calloop::ping::make_ping()?;
                    events
                        .insert_source(woken, |(), _, wakes| wakes.push(Wake::Store))
                        .map_err(io::Error::other)?;
                    let context = ReplicationContext {
                        name: &config.name,
                        settings,
                        longest_wait: config.host.longest_wait,
                        max_replicas: IntentDurability::max_replicas(memory_mb),
                        now,
                        seed: random,
                    };
                    let wake = Box::new(move || ping.ping());
                    keeping.join_fleet(fleet, plan, context, shared, wake)?;
                }
                Some(Box::new(keeping))
            }
            None => None,
        };
        let tap = EventRecorder::start(
            &config.name,
            now,
            names.of_record(),
            operator.record.as_ref(),
        );
        let mut gateway = Gateway {
            clients: Clients::new(
                events,
                config.listen,
                config.sockets,
                config.memory_mb,
                tap.is_on(),
            )?,
            engines: Engines::new(events, limits),
            watch: Watch::new(
                events,
                config.bulletin,
                config.known.no,
                config.host.dial_timeout,
                config.seed,
            ),
            requests: Requests::new(config.memory_mb),
            names,
            due: Deadlines::new(),
            counters: Counters::default(),
            tap,
            spooling,
            keeping,
            coming: Default::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            may_advise: config.settings.retry_after_allowed,
            longest_wait: config.host.longest_wait,
            engine_names: BTreeMap::new(),
            last_listed: BTreeMap::new(),
            last_entries: BTreeMap::new(),
            from_clients: Vec::new(),
            from_engines: Vec::new(),
            shutdown: Shutdown::default(),
            module: balancer::Balancer::new(config.settings, config.seed, now),
            clock,
        };
        gateway.clients.pages = gateway.spooling.is_some();
        gateway.tell_state();
        config
            .known
            .items
            .into_iter()
            .for_each(|item| gateway.listed(item));
        gateway
            .watch
            .call(now, &mut gateway.due, &mut gateway.counters);
        gateway.settle();
        // Behind the list: what was learned is held against the engines that are there now.
        if let Some((lessons, age)) = gateway
            .keeping
            .as_mut()
            .and_then(|keeping| keeping.take_restored_state())
        {
            gateway.events.push_back(Event::CheckpointRestored {
                learned: lessons,
                age,
            });
        }
        gateway.settle();
        tracing::info!("{} listens on {}", config.name, gateway.clients.address()?);
        Ok(gateway)
    }

    /// How long the loop may wait for sockets and signals.
    pub fn patience(&self, again: &[Wake]) -> Option<Duration> {
        if !again.is_empty() {
            return Some(Duration::ZERO);
        }
        let spool = self
            .spooling
            .as_ref()
            .and_then(|spooling| spooling.due(self.clock.now()));
        let keeping = self
            .keeping
            .as_ref()
            .and_then(|keeping| keeping.deadline(self.clock.now()));
        let next = self
            .due
            .next()
            .into_iter()
            .chain(self.tap.due())
            .chain(spool)
            .chain(keeping)
            .min()?;
        Some(Duration::from_micros(next.saturating_sub(self.clock.now())))
    }

    /// All that a wait brought. What waits in the sockets comes first and deadlines after it: an
    /// answer that is there already is not late only because this process was held up.
    pub fn work(&mut self, wakes: &mut Wakes) {
        let mut again = Wakes::new();
        for wake in wakes.drain(..) {
            self.woken(wake, &mut again);
        }
        // Answers and the reading of pages need no decision, so they don't wait for the module.
        self.flush();
        self.settle();
        while let Some(due) = self.due.due(self.clock.now()) {
            self.fell_due(due);
            self.settle();
        }
        self.spool_work();
        self.poll_intent_durability();
        if !self.events.is_empty() {
            self.settle();
        }
        self.stop_work();
        self.tell_changes();
        self.tell_state();
        self.tap.flush(self.clock.now());
        wakes.append(&mut again);
        wakes.extend(self.clients.again.drain(..).map(Wake::Client));
    }

    fn woken(&mut self, wake: Wake, again: &mut Wakes) {
        let now = self.clock.now();
        match wake {
            Wake::Listener => _ = self.accept(),
            Wake::Client(key) => {
                let (names, heard) = (&self.names, &mut self.from_clients);
                let due = &mut self.due;
                self.clients
                    .read(key, now, names, due, &mut self.counters, heard);
                self.hear_clients();
            }
            Wake::Engine(key) => {
                let (due, heard) = (&mut self.due, &mut self.from_engines);
                if self.engines.read(key, now, due, &mut self.counters, heard) {
                    again.push(wake);
                }
                self.hear_engines();
            }
            Wake::Bulletin => {
                let mut items = Vec::new();
                let before = (self.watch.is_heard(), self.counters.list_events);
                if self
                    .watch
                    .read(now, &mut self.due, &mut self.counters, &mut items)
                {
                    again.push(wake);
                }
                self.tell_watch(now, before, &items);
                for item in items.into_iter() {
                    self.listed(item);
                }
            }
            // Its work is done at the end of each look.
            Wake::Spool | Wake::Store => {}
            Wake::Stop => self.stop(),
            Wake::Reload => self.reload(),
            Wake::Report => self.report(),
        }
    }

    /// What log lines about a request carry.
    fn span(&self, key: Key) -> tracing::Span {
        let request = self.requests.get(key);
        let class = request.and_then(|request| self.names.classes.get(request.class));
        tracing::debug_span!("request", id = request.map(|request| &*request.id), class)
    }

    /// The same, of an attempt at an engine.
    fn attempt_span(&self, key: Key, engine: EngineId) -> tracing::span::EnteredSpan {
        let request = self.span(key);
        let engine = self.engine_names.get(&engine);
        tracing::debug_span!(parent: &request, "attempt", engine).entered()
    }

    /// Takes in all that wait to connect. False: some still wait.
    fn accept(&mut self) -> bool {
        let (now, names, heard) = (self.clock.now(), &self.names, &mut self.from_clients);
        let all = self
            .clients
            .accept(now, names, &mut self.due, &mut self.counters, heard);
        if !all {
            self.due.set(now + ACCEPT_PAUSE, Due::Accept);
        }
        self.tell_changes();
        self.hear_clients();
        all
    }

    fn fell_due(&mut self, due: Due) {
        let now = self.clock.now();
        match due {
            Due::Timer(tag) => self.events.push_back(Event::Timer { tag }),
            Due::Attempt(request, attempt) => self.give_up(request, attempt, Outcome::TimedOut),
            Due::Client(key) => {
                let (names, due, heard) = (&self.names, &mut self.due, &mut self.from_clients);
                self.clients
                    .client_due(key, now, names, due, &mut self.counters, heard);
                self.hear_clients();
            }
            Due::Conn(key) => self
                .engines
                .conn_due(key, &mut self.due, &mut self.from_engines),
            Due::Probe(key, number) => self.engines.probe_late(key, number, &mut self.from_engines),
            Due::Bulletin => {
                let before = (self.watch.is_heard(), self.counters.list_events);
                self.watch.due(now, &mut self.due, &mut self.counters);
                self.tell_watch(now, before, &[]);
            }
            Due::Accept => _ = self.accept(),
            // Its steps are taken at the end of each look.
            Due::Shutdown => {}
        }
        self.hear_engines();
    }

    /// Hands all events to the module, carries out its actions, and writes what came of that.
    fn settle(&mut self) {
        loop {
            while let Some(event) = self.events.pop_front() {
                let now = self.clock.now();
                self.tap.event(now, &event);
                let mut actions = std::mem::take(&mut self.actions);
                self.module.handle(now, event, &mut actions);
                actions.drain(..).for_each(|action| self.act(now, action));
                self.actions = actions;
            }
            self.flush();
            if self.events.is_empty() {
                return;
            }
        }
    }

    /// Writes what waits. While the module has not heard all there is, nothing begins at an engine:
    /// that a client has left or an engine drains may be among it.
    fn flush(&mut self) {
        let heard = &mut self.from_clients;
        self.clients
            .flush(self.clock.now(), &mut self.due, &mut self.counters, heard);
        self.hear_clients();
        let (now, module) = (self.clock.now(), &mut self.module);
        let mut begins = |request: Key, attempt| module.may_begin(now, request.number(), attempt);
        let begins: Option<&mut dyn FnMut(Key, usize) -> bool> = if self.events.is_empty() {
            Some(&mut begins)
        } else {
            None
        };
        self.engines
            .flush(now, begins, &mut self.due, &mut self.from_engines);
        self.hear_engines();
    }

    // ---- Clients ----

    fn hear_clients(&mut self) {
        for heard in std::mem::take(&mut self.from_clients) {
            match heard {
                clients::Heard::Call { client, id, call } => self.called(client, id, call),
                clients::Heard::Asked { client, id, what } => self.asked(client, id, what),
                clients::Heard::Forgotten(request) => {
                    self.counters.forgotten += 1;
                    self.left(request, AnswerKind::Forgotten);
                }
                clients::Heard::Spoilt(request) => {
                    self.events.push_back(Event::ClientLeft {
                        request: request.number(),
                    });
                    self.fail(request, &[]);
                }
                clients::Heard::Left(request) => {
                    self.counters.lost += 1;
                    if !self.left_running(request) {
                        self.left(request, AnswerKind::Lost);
                    }
                }
            }
        }
    }

    // ---- A new configuration ----

    /// SIGHUP: the file is read again, and the bulletin is asked at the address that it names now.
    /// All else in it holds from the next start on. A file that can't be used changes nothing.
    fn reload(&mut self) {
        match Config::from_environment() {
            Ok(config) => {
                self.counters.reloads += 1;
                self.tap
                    .host(self.clock.now(), Host::Reloaded { done: true });
                tracing::info!("reloaded; the bulletin is at {}", config.bulletin);
                self.watch
                    .move_to(config.bulletin, self.clock.now(), &mut self.due);
            }
            Err(message) => {
                self.counters.reloads_failed += 1;
                self.tap
                    .host(self.clock.now(), Host::Reloaded { done: false });
                tracing::error!("not reloaded, the old configuration stays: {message}");
            }
        }
    }
}

/// What the record says of a request beside what the module is told.
fn offer(key: Key, request: &requests::Request) -> Offer {
    let id = u64::from_str_radix(&request.id, 16).unwrap_or_default();
    Offer {
        request: key.number(),
        id,
        connection: request.client.number(),
    }
}
