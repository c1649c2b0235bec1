//! Drives the module: what the sockets, the deadlines and the list of engines tell becomes events, its
//! actions are carried out in their order. Nothing is decided here.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::time::Duration;

use eideryard::decide;
use eideryard::interface::*;
use eideryard_bulletin::{Item, Listed, State};
use eideryard_engine_line::Serve;
use eideryard_msgpack_rpc::{write_error, write_part, write_result};
use eideryard_operator::Operator;
use eideryard_record::{AnswerKind, Host, Listed as Told, NotTaken as Untaken, Offer, OpenRequest};
use eideryard_replica::drains::Drain;

use crate::clients::{self, Clients};
use crate::clock::Clock;
use crate::config::Config;
use crate::connection::{Loop, Wake, Wakes};
use crate::counters::Counters;
use crate::deadlines::{Deadlines, Due};
use crate::engines::{self, Engines};
use crate::keeping::{Keeping, Ready, Sending, Waiting};
use crate::link::Link;
use crate::requests::{self, place, Attempt, Call, Names, NotTaken, Requests};
use crate::sharing::About;
use crate::spooling::{Spooling, Told as Word, Waiter};
use crate::table::Key;
use crate::tap::Tap;

/// Descriptors for what is neither a client nor an engine: listener, bulletin, event loop, signals, standard
/// ones.
const OTHER_SOCKETS: usize = 24;
/// How long clients wait in the queue before another look whether a descriptor has come free.
const ACCEPT_PAUSE: Micros = 20_000;
/// New requests come for at most 0.4 s and 0.2 s more after SIGTERM; who leaves later than this has waited
/// for all.
const LAST_CLIENTS: Micros = 700_000;
/// SIGKILL may follow SIGTERM after the longest wait of a client, at most 3 s, and 0.7 s more.
const LONGEST_STOP: Micros = 3_000_000;
/// What is still open so long before that gets its answer then.
const STOP_MARGIN: Micros = 200_000;

pub struct Gateway {
    module: decide::Gateway,
    clock: Clock,
    due: Deadlines,
    clients: Clients,
    engines: Engines,
    link: Link,
    requests: Requests,
    names: Names,
    pub counters: Counters,
    tap: Tap,
    spooling: Option<Box<Spooling>>,
    keeping: Option<Box<Keeping>>,
    /// Requests whose results are coming into the spool.
    coming: std::collections::BTreeSet<Key>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    may_cancel: bool,
    may_advise: bool,
    longest_wait: Micros,
    /// Names of engines by their numbers, and what the list said last of each.
    engine_names: BTreeMap<EngineId, String>,
    last_listed: BTreeMap<EngineId, Told>,
    /// The same for the module, where peers' lists count too.
    last_entries: BTreeMap<EngineId, Entry>,
    from_clients: Vec<clients::Heard>,
    from_engines: Vec<engines::Heard>,
    /// After SIGTERM: when the last answer must be out; and whether clients come no more.
    stopping: Option<Micros>,
    no_more_clients: bool,
    out_of_time: bool,
}

impl Gateway {
    pub fn start(config: Config, operator: &Operator, clock: Clock, events: &Loop) -> io::Result<Self> {
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
                Some(Box::new(Spooling::start(&config.name, now, plan, wake)?))
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
                let (mut keeping, shared) = Keeping::start(plan, settings, memory_mb, now, random, wake);
                if let Some(fleet) = &operator.fleet {
                    let (ping, woken) = calloop::ping::make_ping()?;
                    events
                        .insert_source(woken, |(), _, wakes| wakes.push(Wake::Store))
                        .map_err(io::Error::other)?;
                    let about = About {
                        name: &config.name,
                        settings,
                        longest_wait: config.host.longest_wait,
                        entries: Keeping::room_for_copies(memory_mb),
                        now,
                        seed: random,
                    };
                    keeping.join((fleet, plan), about, shared, Box::new(move || ping.ping()))?;
                }
                Some(Box::new(keeping))
            }
            None => None,
        };
        let tap = Tap::start(&config.name, now, names.of_record(), operator.record.as_ref());
        let mut gateway = Gateway {
            clients: Clients::new(events, config.listen, config.sockets, config.memory_mb, tap.is_on())?,
            engines: Engines::new(events, limits),
            link: Link::new(events, config.bulletin, config.known.no, config.host.dial_timeout, config.seed),
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
            may_cancel: config.settings.may_cancel,
            may_advise: config.settings.may_advise,
            longest_wait: config.host.longest_wait,
            engine_names: BTreeMap::new(),
            last_listed: BTreeMap::new(),
            last_entries: BTreeMap::new(),
            from_clients: Vec::new(),
            from_engines: Vec::new(),
            stopping: None,
            no_more_clients: false,
            out_of_time: false,
            module: decide::Gateway::new(config.settings, config.seed, now),
            clock,
        };
        gateway.clients.pages = gateway.spooling.is_some();
        gateway.tell_state();
        config.known.items.into_iter().for_each(|item| gateway.listed(item));
        gateway.link.call(now, &mut gateway.due, &mut gateway.counters);
        gateway.settle();
        // Behind the list: what was learned is held against the engines that are there now.
        if let Some((lessons, age)) = gateway.keeping.as_mut().and_then(|keeping| keeping.lessons()) {
            gateway.events.push_back(Event::Remembered { lessons, age });
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
        let spool = self.spooling.as_ref().and_then(|spooling| spooling.due(self.clock.now()));
        let keeping = self.keeping.as_ref().and_then(|keeping| keeping.due());
        let next = self.due.next().into_iter().chain(self.tap.due()).chain(spool).chain(keeping).min()?;
        Some(Duration::from_micros(next.saturating_sub(self.clock.now())))
    }

    /// All that a wait brought. What waits in the sockets comes first and deadlines after it: an answer that
    /// is there already is not late only because this process was held up.
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
        self.keep_work();
        self.tell_changes();
        self.tell_state();
        self.tap.flush(self.clock.now());
        wakes.append(&mut again);
    }

    fn woken(&mut self, wake: Wake, again: &mut Wakes) {
        let now = self.clock.now();
        match wake {
            Wake::Listener => self.accept(),
            Wake::Client(key) => {
                let (names, heard) = (&self.names, &mut self.from_clients);
                let due = &mut self.due;
                if self.clients.read(key, now, names, due, &mut self.counters, heard) {
                    again.push(wake);
                }
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
                let before = (self.link.is_heard(), self.counters.list_events);
                self.link.read(now, &mut self.due, &mut self.counters, &mut items);
                self.tell_link(now, before, &items);
                items.into_iter().for_each(|item| self.listed(item));
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

    // ---- What is recorded ----

    /// What is known, at the beginning of a segment of the record.
    fn tell_state(&mut self) {
        let now = self.clock.now();
        if !self.tap.wants_state(now) {
            return;
        }
        let engines = self.last_listed.values().cloned().map(Host::Engine);
        let connections = self
            .clients
            .addresses()
            .map(|(key, address)| Host::Connected { connection: key.number(), address });
        let open = self.requests.open().map(|(key, request)| {
            let out = request.attempts.iter().rev().find(|attempt| attempt.conn.is_some());
            Host::Open(OpenRequest {
                offer: offer(key, request),
                class: request.class,
                tenant: request.tenant,
                arrived_at: request.taken_at,
                deadline: request.deadline,
                attempts: request.attempts.len() as u64,
                out: out.map(|attempt| (attempt.engine, attempt.sent_at)),
            })
        });
        let link = Host::Link { up: self.link.is_heard() };
        let fleet = self.keeping.iter().flat_map(|keeping| keeping.fleet_state()).map(Host::Fleet);
        self.tap.state(now, engines.chain(connections).chain(open).chain([link]).chain(fleet));
    }

    /// Connections of clients that have come and gone.
    fn tell_changes(&mut self) {
        let now = self.clock.now();
        for (key, change) in self.clients.changes.drain(..) {
            let connection = key.number();
            let host = match change {
                clients::Change::Came(address) => Host::Connected { connection, address },
                clients::Change::Ends(why) => Host::Ending { connection, why },
                clients::Change::Gone => Host::Disconnected { connection },
            };
            self.tap.host(now, host);
        }
    }

    fn tell_link(&mut self, now: Micros, (was_heard, had): (bool, u64), items: &[Item]) {
        if self.link.is_heard() != was_heard {
            self.tap.host(now, Host::Link { up: !was_heard });
        }
        if had != self.counters.list_events {
            items.iter().for_each(|item| self.tap.host(now, Host::ListEvent { number: item.no }));
        }
    }

    /// A request that was taken has had its end.
    fn tell_end(&mut self, key: Key, how: AnswerKind, late: bool) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(key) else { return };
        let (class, tenant) = (request.class, request.tenant);
        self.tap.host(now, Host::Answered { request: key.number(), class, tenant, how, late });
    }

    fn tell_untaken(&mut self, how: Untaken, of: Option<(usize, usize)>) {
        let (class, tenant) = (of.map(|of| of.0), of.map(|of| of.1));
        self.tap.host(self.clock.now(), Host::NotTaken { how, class, tenant });
    }

    /// The last word of the record, the store and of the log.
    pub fn end(&mut self) {
        if let Some(keeping) = &mut self.keeping {
            keeping.learns(self.clock.now(), &self.module.lessons());
        }
        self.tell_changes();
        let counters = self.counters.pairs().map(|(name, value)| (name.to_string(), value)).collect();
        self.tap.host(self.clock.now(), Host::Ended { counters });
        self.report();
    }

    /// What was counted, and how much each table holds.
    pub fn report(&self) {
        let tables = self.tables().into_iter().map(|(name, size)| format!("{name}={size}"));
        let (counters, tables) = (&self.counters, tables.collect::<Vec<_>>());
        let spool = self.spooling.as_ref().map(|spooling| format!("; {:?}", spooling.counted));
        let kept = self.keeping.as_ref().map(|keeping| keeping.told());
        let more = [spool, kept].into_iter().flatten().collect::<String>();
        tracing::info!("counters: {counters}; tables {}{more}", tables.join(" "));
    }

    /// All that may grow, with its size: none of these may go on growing through a long day.
    fn tables(&self) -> Vec<(&'static str, usize)> {
        let (engines, conns) = self.engines.sizes();
        let (requests, ids) = self.requests.sizes();
        let mut tables = vec![
            ("clients", self.clients.len()),
            ("requests", requests),
            ("ids", ids),
            ("engines", engines),
            ("engine_conns", conns),
            ("engine_names", self.engine_names.len()),
            ("deadlines", self.due.len()),
        ];
        tables.extend(self.spooling.iter().flat_map(|spooling| spooling.sizes()));
        tables.extend(self.keeping.iter().flat_map(|keeping| keeping.sizes()));
        tables
    }

    fn accept(&mut self) {
        let now = self.clock.now();
        if !self.clients.accept(now, &mut self.due, &mut self.counters) {
            self.due.set(now + ACCEPT_PAUSE, Due::Accept);
        }
        self.tell_changes();
    }

    fn fell_due(&mut self, due: Due) {
        let now = self.clock.now();
        match due {
            Due::Timer(tag) => self.events.push_back(Event::Timer { tag }),
            Due::Attempt(request, attempt) => self.give_up(request, attempt, Outcome::TimedOut),
            Due::Client(key) => {
                let (due, heard) = (&mut self.due, &mut self.from_clients);
                self.clients.client_due(key, now, due, &mut self.counters, heard);
                self.hear_clients();
            }
            Due::Conn(key) => self.engines.conn_due(key, &mut self.due, &mut self.from_engines),
            Due::Probe(key, number) => self.engines.probe_late(key, number, &mut self.from_engines),
            Due::Bulletin => {
                let before = (self.link.is_heard(), self.counters.list_events);
                self.link.due(now, &mut self.due, &mut self.counters);
                self.tell_link(now, before, &[]);
            }
            Due::Accept => self.accept(),
            Due::LastClients => self.no_more_clients = true,
            Due::Leave => self.out_of_time = true,
            Due::LastAnswers => {
                for request in self.requests.owing() {
                    // The request's own timer fires early: its time is up now.
                    self.events.push_back(Event::Timer { tag: end_tag(request.number()) });
                }
            }
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

    fn flush(&mut self) {
        let heard = &mut self.from_clients;
        self.clients.flush(self.clock.now(), &mut self.due, &mut self.counters, heard);
        self.engines.flush(&mut self.due, &mut self.from_engines);
        self.hear_clients();
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
                    self.events.push_back(Event::ClientLeft { request: request.number() });
                    self.turn_down(request, "Failed", &[]);
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

    fn called(&mut self, client: Key, id: u32, call: Result<Call, &'static str>) {
        let now = self.clock.now();
        self.counters.taken += 1;
        let call = match (self.clients.takes(client), call) {
            (Some(true), Ok(call)) => call,
            (Some(true), Err(field)) => return self.invalid(client, id, field),
            (Some(false), _) => return self.invalid(client, id, "one behind it"),
            (None, _) => {
                self.counters.lost += 1;
                self.tell_untaken(Untaken::Gone, None);
                return;
            }
        };
        let of = (call.class, call.tenant);
        let spooled = call.paged && self.spooling.is_some();
        let address = self.clients.address_of(client);
        let name = call.key.clone().filter(|_| spooled);
        if let Some((name, spooling)) = name.zip(self.spooling.as_mut()).filter(|(name, own)| own.knows(name))
        {
            // The same key again: the answer of its one run is this one's too, and no room and no attempt
            // is taken.
            let who = Waiter { client, call: id, counts: Some(of) };
            let told = spooling.again(&name, who, now);
            self.tap.host(now, Host::Attached { class: of.0, tenant: of.1 });
            told.into_iter().for_each(|word| self.tell(word));
            return;
        }
        if let Some(spooling) = self.spooling.as_mut().filter(|_| spooled) {
            if let Err((wait, why)) = spooling.admit(of.0, of.1, address, now) {
                self.counters.refused += 1;
                self.counters.no_room += 1;
                self.tell_untaken(Untaken::NoRoom, Some(of));
                let wait = wait.map(|wait| (wait / 1000).to_string());
                let mut fields = vec![("why", why)];
                fields.extend(wait.as_deref().filter(|_| self.may_advise).map(|wait| ("w", wait)));
                self.clients.answer(client, id, |out| write_error(out, id, "TryLater", &fields));
                return;
            }
        }
        let earlier = self.keeping.as_mut().map_or(Ok(Vec::new()), |keeping| {
            keeping.arrives(now, call.class, call.key.as_deref(), call.marked)
        });
        let earlier = match earlier {
            Ok(earlier) => earlier,
            Err(why) => return self.no_store(client, id, of, why),
        };
        let deadline = now + call.wait;
        let arrived = Request {
            id: 0,
            class: call.class,
            tenant: call.tenant,
            // The module keeps the order of classes that have one by it.
            key: call.key.as_deref().map(str::to_string),
            deadline: self.stopping.map_or(deadline, |stop| deadline.min(stop)),
            work: call.work,
            memory_mb: call.memory_mb,
            group: call.group.unwrap_or(0),
            earlier: earlier.clone(),
        };
        let request = match self.requests.insert(client, id, now, deadline, call) {
            Ok(request) => request,
            Err(NotTaken::Again) => return self.invalid(client, id, "i"),
            Err(NotTaken::NoRoom) => {
                self.counters.refused += 1;
                self.counters.no_room += 1;
                self.tell_untaken(Untaken::NoRoom, Some(of));
                self.clients.answer(client, id, |out| write_error(out, id, "TryLater", &[]));
                return;
            }
        };
        self.clients.opened(client, id, request);
        let mut own = self.requests.get_mut(request);
        own.iter_mut().for_each(|own| own.earlier.clone_from(&earlier));
        if let Some((spooling, own)) = self.spooling.as_mut().filter(|_| spooled).zip(own) {
            own.spooled = true;
            let who = Waiter { client, call: id, counts: None };
            let name = own.key.as_ref().unwrap_or(&own.id);
            spooling.begin(request.number(), name, who, (of.0, of.1, address), now);
        }
        self.span(request).in_scope(|| tracing::debug!("taken"));
        if self.tap.is_on() {
            let offered = self.requests.get_mut(request).map(|own| Host::Offered(offer(request, own)));
            offered.into_iter().for_each(|offered| self.tap.host(now, offered));
        }
        self.events.push_back(Event::Arrived(Request { id: request.number(), ..arrived }));
    }

    /// A keyed request is not taken, since its intent can't be kept now.
    fn no_store(&mut self, client: Key, id: u32, of: (usize, usize), why: Untaken) {
        self.counters.refused += 1;
        self.counters.no_room += 1;
        self.tell_untaken(why, Some(of));
        let wait = (eideryard_ledger::state::ADVICE / 1000).to_string();
        let mut fields = vec![("why", why.name())];
        fields.extend(Some(("w", wait.as_str())).filter(|_| self.may_advise));
        self.clients.answer(client, id, |out| write_error(out, id, "TryLater", &fields));
    }

    /// A request that can't be used gets an error that names the field.
    fn invalid(&mut self, client: Key, id: u32, field: &str) {
        tracing::debug!("a request can't be used: {field}");
        self.counters.invalid += 1;
        self.tell_untaken(Untaken::Invalid, None);
        self.clients.answer(client, id, |out| write_error(out, id, "Invalid", &[("field", field)]));
    }

    /// Nobody waits for this any more.
    fn left(&mut self, key: Key, how: AnswerKind) {
        self.spool_over(key, true);
        self.tell_end(key, how, false);
        if let Some(request) = self.requests.get_mut(key) {
            request.answered = true;
            self.events.push_back(Event::ClientLeft { request: key.number() });
            self.requests.give_back(key, &mut self.due);
        }
    }

    // ---- Engines ----

    fn hear_engines(&mut self) {
        for heard in std::mem::take(&mut self.from_engines) {
            match heard {
                engines::Heard::Over { request, attempt, outcome, report, told } => {
                    self.over(request, attempt, outcome, told, None, report)
                }
                engines::Heard::Served { request, attempt, pages, bill, report } => {
                    self.serve(request, &pages);
                    self.over(request, attempt, Outcome::Answered, false, bill, report);
                }
                engines::Heard::Page { request, rows } => self.page(request, rows),
                engines::Heard::Spooled { request, attempt, bill, report } => {
                    self.spooled(request);
                    self.over(request, attempt, Outcome::Answered, false, bill, report);
                }
                engines::Heard::Noted { request, attempt, note } => {
                    self.events.push_back(Event::Noted { request: request.number(), attempt, note })
                }
                engines::Heard::Probed { engine, outcome, report } => {
                    self.events.push_back(Event::Probed(Probed { engine, outcome, report }))
                }
            }
        }
    }

    // ---- Spooled results ----

    /// The client of a request whose result is spooled has gone: the run goes on for when it comes again.
    fn left_running(&mut self, key: Key) -> bool {
        let Some(request) = self.requests.get_mut(key).filter(|request| request.spooled) else {
            return false;
        };
        request.answered = true;
        let who = Waiter { client: request.client, call: request.call, counts: None };
        self.spooling.iter_mut().for_each(|spooling| spooling.leaves(key.number(), &who));
        self.tell_end(key, AnswerKind::Lost, false);
        true
    }

    /// The next page of a result has come. One that can't be kept fails at once.
    fn page(&mut self, key: Key, rows: Vec<u8>) {
        let now = self.clock.now();
        let Some(spooling) = &mut self.spooling else { return };
        match spooling.page(key.number(), rows, now) {
            Ok(()) => _ = self.coming.insert(key),
            Err(why) => {
                self.events.push_back(Event::ClientLeft { request: key.number() });
                self.turn_down(key, "Failed", &[("why", why)]);
            }
        }
    }

    /// A result is whole: all who wait for it get it.
    fn spooled(&mut self, key: Key) {
        let now = self.clock.now();
        self.coming.remove(&key);
        let Some(spooling) = &mut self.spooling else { return };
        let told = spooling.whole(key.number(), now);
        if let Some(request) = self.requests.get_mut(key).filter(|request| !request.answered) {
            request.answered = true;
            let late = now > request.deadline;
            self.counters.late += late as u64;
            self.counters.served += 1;
            self.tell_end(key, AnswerKind::Served, late);
        }
        told.into_iter().for_each(|word| self.tell(word));
    }

    /// A run ended without a result: who came again for it is told the same.
    fn spool_over(&mut self, key: Key, refused: bool) {
        self.coming.remove(&key);
        let now = self.clock.now();
        let own = self.requests.get(key).map(|request| Waiter {
            client: request.client,
            call: request.call,
            counts: None,
        });
        let Some(spooling) = self.spooling.as_mut().filter(|spooling| spooling.is_spooled(key.number()))
        else {
            return;
        };
        let waiting = spooling.over(key.number(), refused, now);
        let word = if refused { "TryLater" } else { "Failed" };
        for waiter in waiting.into_iter().filter(|waiter| Some(*waiter) != own) {
            self.tell(Word::Error(waiter, word, "the run that it asked for ended so".into()));
        }
    }

    fn asked(&mut self, client: Key, call: u32, what: clients::Asked) {
        let now = self.clock.now();
        let who = Waiter { client, call, counts: None };
        let Some(spooling) = &mut self.spooling else { return };
        let told = match what {
            clients::Asked::Page { token, id } => spooling.by_token(&token, &id, who, now),
            clients::Asked::Again { id } => spooling.again(&id, who, now),
            clients::Asked::Release { token, id } => {
                spooling.release(&token, &id, now);
                self.clients.answer(client, call, |out| write_part(out, call, std::iter::empty(), &[]));
                None
            }
        };
        told.into_iter().for_each(|word| self.tell(word));
    }

    fn tell(&mut self, word: Word) {
        // Whose connection has ended comes again, or doesn't.
        let (told, counts, how) = match word {
            Word::Part(part) => {
                let Waiter { client, call, counts } = part.waiter;
                let fields = [("token", part.token.as_str()), ("more", if part.more { "1" } else { "0" })];
                let rows = part.rows.iter().map(Vec::as_slice);
                let told = self.clients.answer(client, call, |out| write_part(out, call, rows, &fields));
                (told, counts, AnswerKind::Served)
            }
            Word::Error(Waiter { client, call, counts }, word, why) => {
                let told =
                    self.clients.answer(client, call, |out| write_error(out, call, word, &[("why", &why)]));
                (told, counts, if word == "TryLater" { AnswerKind::Refused } else { AnswerKind::Failed })
            }
        };
        let Some((class, tenant)) = counts else { return };
        let how = if told { how } else { AnswerKind::Lost };
        *match how {
            AnswerKind::Served => &mut self.counters.served,
            AnswerKind::Refused => &mut self.counters.refused,
            AnswerKind::Failed => &mut self.counters.failed,
            _ => &mut self.counters.lost,
        } += 1;
        self.tap.host(self.clock.now(), Host::Answered { request: 0, class, tenant, how, late: false });
    }

    /// What waits in the spool, and pages of results that there is room for now.
    fn spool_work(&mut self) {
        let now = self.clock.now();
        let Some(spooling) = &mut self.spooling else { return };
        let told = spooling.work(now);
        for key in &self.coming {
            let Some(request) = self.requests.get(*key) else { continue };
            let conns = request.attempts.iter().filter_map(|attempt| attempt.conn);
            let ahead = spooling.ahead(key.number());
            conns.for_each(|conn| self.engines.read_on(conn, &request.id, ahead));
        }
        told.into_iter().for_each(|word| self.tell(word));
        self.flush();
    }

    /// The first good answer goes to the client.
    fn serve(&mut self, key: Key, pages: &[Vec<u8>]) {
        let pages = pages.iter().map(Vec::as_slice);
        if self.answer(key, AnswerKind::Served, |out, call| write_result(out, call, pages)) {
            self.counters.served += 1;
        }
    }

    /// A request's final answer, unless it has had one or nobody waits. True: it is on its way to the client.
    fn answer(&mut self, key: Key, how: AnswerKind, write: impl FnOnce(&mut Vec<u8>, u32)) -> bool {
        let Some(request) = self.requests.get_mut(key).filter(|request| !request.answered) else {
            return false;
        };
        request.answered = true;
        let late = self.clock.now() > request.deadline;
        self.counters.late += late as u64;
        let call = request.call;
        let told = self.clients.answer(request.client, call, |out| write(out, call));
        self.counters.lost += !told as u64;
        let how = if told { how } else { AnswerKind::Lost };
        self.span(key).in_scope(|| tracing::debug!(late, "{}", how.name()));
        self.tell_end(key, how, late);
        told
    }

    /// An attempt has its outcome.
    fn over(
        &mut self,
        key: Key,
        attempt: usize,
        outcome: Outcome,
        told: bool,
        bill: Option<Bill>,
        report: Option<LoadReport>,
    ) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let Some(tried) = request.attempts.get_mut(attempt) else { return };
        let engine = tried.engine;
        (tried.conn, tried.waits) = (None, false);
        self.due.take_back(tried.deadline.take());
        if let Some(keeping) = self.keeping.as_mut().filter(|_| std::mem::take(&mut tried.kept)) {
            let never_ran = matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::Unsent);
            keeping.ended(self.clock.now(), request.class, request.key.as_deref(), never_ran);
        }
        self.counters.attempts.count(outcome);
        self.events.push_back(Event::Ended(Ended {
            request: key.number(),
            attempt,
            outcome,
            spent: self.clock.now().saturating_sub(tried.sent_at),
            complete: request.answered,
            told,
            bill,
            report,
        }));
        if tracing::enabled!(tracing::Level::DEBUG) {
            let _span = self.attempt_span(key, engine);
            tracing::debug!(?outcome, "attempt {attempt} is over");
        }
        self.requests.give_back(key, &mut self.due);
    }

    /// No answer of an attempt is waited for any more: it ends with this outcome, or as never sent.
    fn give_up(&mut self, key: Key, attempt: usize, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let Some(tried) = request.attempts.get_mut(attempt) else { return };
        if tried.waits {
            return self.over(key, attempt, Outcome::Unsent, false, None, None);
        }
        let Some(conn) = tried.conn else { return };
        let (now, due, heard) = (self.clock.now(), &mut self.due, &mut self.from_engines);
        let sent = self.engines.give_up(now, conn, &request.id, self.may_cancel, due, heard);
        self.over(key, attempt, if sent { outcome } else { Outcome::Unsent }, false, None, None);
    }

    // ---- Actions ----

    fn act(&mut self, now: Micros, action: Action) {
        if !matches!(action, Action::Send { .. }) {
            self.tap.action(now, &action);
        }
        match action {
            Action::Terms { request, grant_mb, rank } => {
                self.terms(Key::from_number(request), grant_mb, rank)
            }
            Action::Send { request, engine, give_up_at } => {
                self.send(now, Key::from_number(request), engine, give_up_at)
            }
            Action::Probe { engine } => {
                if let Err(outcome) = self.engines.probe(now, engine, &mut self.due, &mut self.counters) {
                    self.events.push_back(Event::Probed(Probed { engine, outcome, report: None }));
                }
            }
            Action::Cancel { request, attempt } => {
                self.give_up(Key::from_number(request), attempt, Outcome::Cancelled)
            }
            Action::Refuse { request, retry_after } => {
                let wait = (retry_after / 1000).to_string();
                let advice = [("w", wait.as_str())];
                let advice = if retry_after >= 1000 { &advice[..] } else { &[] };
                self.turn_down(Key::from_number(request), "TryLater", advice);
            }
            Action::Fail { request } => self.turn_down(Key::from_number(request), "Failed", &[]),
            Action::SetTimer { after, tag } => {
                let timer = self.due.set(now + after, Due::Timer(tag));
                // A request's own timer goes with it; others fire.
                let request = tag.checked_sub(end_tag(0)).map(Key::from_number);
                request.and_then(|key| self.requests.get_mut(key)).map(|r| r.timer.replace(timer));
            }
            // The bulletin tells of changes by itself, whenever it can be reached.
            Action::Subscribe if self.link.is_up() => self.events.push_back(Event::ListChanges(Vec::new())),
            Action::Subscribe => self.events.push_back(Event::ListFailed),
            Action::Log(text) => tracing::info!("{}", self.with_names(&text)),
        }
    }

    fn terms(&mut self, key: Key, grant_mb: f64, rank: u8) {
        let Some(request) = self.requests.get_mut(key) else { return };
        request.grant_mb = grant_mb.round() as u64;
        if request.rank.replace(rank) == Some(rank) {
            return;
        }
        for conn in request.attempts.iter().filter_map(|attempt| attempt.conn) {
            self.counters.ranks += self.engines.weigh(conn, &request.id, rank) as u64;
        }
    }

    fn send(&mut self, now: Micros, key: Key, engine: EngineId, give_up_at: Micros) {
        let Some(request) = self.requests.get_mut(key) else { return };
        // Here and not with the other actions: one for a request that is no more sends nothing.
        self.tap.action(now, &Action::Send { request: key.number(), engine, give_up_at });
        let attempt = request.attempts.len();
        if request.spooled {
            // Of an earlier attempt that ended half way.
            let of = (request.class, request.tenant, self.clients.address_of(request.client));
            self.spooling.iter_mut().for_each(|spooling| spooling.restart(key.number(), of, now));
            self.coming.remove(&key);
        }
        self.counters.sent += 1;
        let (class, name) = (request.class, request.key.as_deref());
        let sending = match &mut self.keeping {
            Some(keeping) => keeping.sends(now, class, name, engine, give_up_at, &request.earlier),
            None => Sending::Now,
        };
        let waits = matches!(sending, Sending::Waits { .. });
        let kept = waits || matches!(sending, Sending::Not);
        request.attempts.push(Attempt { engine, conn: None, sent_at: now, deadline: None, waits, kept });
        match sending {
            Sending::Now => self.dispatch(now, key, attempt, engine, give_up_at),
            Sending::Not => self.over(key, attempt, Outcome::Unsent, false, None, None),
            Sending::Untold(ran) => {
                request.earlier.push(ran);
                self.events.push_back(Event::RanBefore { request: key.number(), earlier: vec![ran] });
                self.over(key, attempt, Outcome::Unsent, false, None, None);
            }
            Sending::Waits { ticket, claim, ran } => {
                request.earlier.push(ran);
                let deadline = self.due.set(give_up_at, Due::Attempt(key, attempt));
                request.attempts[attempt].deadline = Some(deadline);
                let waiting =
                    Waiting { ticket, claim, since: now, request: key, attempt, engine, give_up_at };
                self.keeping.iter_mut().for_each(|keeping| keeping.waits(waiting));
            }
        }
    }

    /// The first byte of an attempt may go out.
    fn dispatch(&mut self, now: Micros, key: Key, attempt: usize, engine: EngineId, give_up_at: Micros) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let wait_ms = give_up_at.saturating_sub(now) / 1000;
        let serve = Serve {
            id: &request.id,
            class: &self.names.classes[request.class],
            wait_ms,
            key: request.key.as_deref(),
            grant_mb: request.grant_mb,
            rank: request.rank,
            statement: &request.statement,
        };
        let conn = match wait_ms {
            0 => Err(Outcome::Unsent),
            _ => {
                let tried = (key, attempt, request.spooled);
                self.engines.send(now, engine, tried, &serve, &mut self.due, &mut self.counters)
            }
        };
        match conn {
            Ok(conn) => {
                let own = &mut request.attempts[attempt];
                own.conn = Some(conn);
                let due = &mut self.due;
                own.deadline.get_or_insert_with(|| due.set(give_up_at, Due::Attempt(key, attempt)));
            }
            Err(outcome) => self.over(key, attempt, outcome, false, None, None),
        }
    }

    /// Intents that are durable let their sends go; those that wait for too long are refused.
    fn keep_work(&mut self) {
        let now = self.clock.now();
        let Some(keeping) = &mut self.keeping else { return };
        if keeping.wants_lessons(now) {
            keeping.learns(now, &self.module.lessons());
        }
        let (Ready { go, late, earlier }, words) = (keeping.work(now), keeping.words());
        words.into_iter().for_each(|word| self.tap.host(now, Host::Fleet(word)));
        let (drains, hints) = (keeping.drains(), keeping.hints());
        let nothing =
            go.is_empty() && drains.is_empty() && hints.is_none() && late.is_empty() && earlier.is_empty();
        self.heed_drains(drains);
        if let Some((lessons, age)) = hints {
            self.events.push_back(Event::Remembered { lessons, age });
        }
        for Waiting { request, attempt, engine, give_up_at, .. } in go {
            let tried = self.requests.get_mut(request).and_then(|own| own.attempts.get_mut(attempt));
            // One that was given up meanwhile waits no more.
            if !tried.is_some_and(|tried| std::mem::take(&mut tried.waits)) {
                continue;
            }
            let own = self.requests.get(request).zip(self.keeping.as_ref());
            match own.is_none_or(|(own, keeping)| keeping.in_time(now, own.class, &own.earlier)) {
                true => self.dispatch(now, request, attempt, engine, give_up_at),
                // The module decides anew, by the time that it is now.
                false => self.over(request, attempt, Outcome::Unsent, false, None, None),
            }
        }
        for (Waiting { request, attempt, .. }, ran) in earlier {
            let Some(own) = self.requests.get_mut(request) else { continue };
            own.earlier.extend(ran.iter().copied());
            // The module knows it before it hears that the attempt was not sent.
            self.events.push_back(Event::RanBefore { request: request.number(), earlier: ran });
            self.give_up(request, attempt, Outcome::Unsent);
        }
        let wait = (eideryard_ledger::state::ADVICE / 1000).to_string();
        for (Waiting { request, attempt, .. }, why) in late {
            let own = self.requests.get(request);
            let alone = own.is_some_and(|own| own.attempts.len() == 1 && own.attempts[0].waits);
            self.give_up(request, attempt, Outcome::Unsent);
            if alone {
                let advice = [("why", why.name()), ("w", wait.as_str())];
                let advice = if self.may_advise { &advice[..] } else { &advice[..1] };
                self.tap.host(now, Host::Because { request: request.number(), why });
                self.turn_down(request, "TryLater", advice);
                self.events.push_back(Event::ClientLeft { request: request.number() });
            }
        }
        if !nothing {
            self.settle();
            self.flush();
        }
        self.keeping.iter_mut().for_each(|keeping| keeping.flush());
    }

    /// Refused or failed.
    fn turn_down(&mut self, key: Key, word: &str, fields: &[(&str, &str)]) {
        let how = if word == "TryLater" { AnswerKind::Refused } else { AnswerKind::Failed };
        self.spool_over(key, how == AnswerKind::Refused);
        if self.answer(key, how, |out, call| write_error(out, call, word, fields)) {
            match how {
                AnswerKind::Refused => self.counters.refused += 1,
                _ => self.counters.failed += 1,
            }
        }
        self.requests.give_back(key, &mut self.due);
    }

    /// Log lines of the module say numbers where an operator knows engines by name.
    fn with_names(&self, text: &str) -> String {
        let named = |word: &str| {
            let number = word.parse().ok();
            number.and_then(|id| self.engine_names.get(&id)).cloned().unwrap_or_else(|| word.to_string())
        };
        text.split(' ').map(named).collect::<Vec<_>>().join(" ")
    }

    // ---- List of engines ----

    fn listed(&mut self, item: Item) {
        let Some(roster) = item.roster else { return };
        let mut entries: Vec<Entry> = roster.hosts.iter().map(|listed| self.entry(listed)).collect();
        self.share_drains(item.no, &mut entries);
        for (entry, listed) in entries.iter().zip(&roster.hosts) {
            let address = match entry.phase {
                Phase::Gone => None,
                _ => engines::address(&listed.dial)
                    .inspect_err(|e| tracing::warn!("engine {}: {e}", listed.host))
                    .ok(),
            };
            self.tell_listed(entry, listed);
            if self.keeping.is_some() {
                self.last_entries.insert(entry.engine, *entry);
            }
            if let Some(keeping) = &mut self.keeping {
                keeping.listed(entry.engine, entry.zone, entry.cell);
            }
            let (due, heard) = (&mut self.due, &mut self.from_engines);
            self.engines.listed(entry.engine, address, entry.booted_at, due, heard);
        }
        if roster.whole {
            for engine in self.engines.ids() {
                if entries.iter().all(|entry| entry.engine != engine) {
                    self.engines.unlisted(engine, &mut self.due, &mut self.from_engines);
                }
            }
        }
        let event = if roster.whole { Event::FullList(entries) } else { Event::ListChanges(entries) };
        // What the list ended comes after the list itself.
        self.events.push_back(event);
        self.hear_engines();
        self.clients.well |= self.stopping.is_none() && !self.engine_names.is_empty();
        // Engines come under new names all day: a name stays as long as its engine or a connection to it.
        self.engine_names.retain(|&engine, _| self.engines.knows(engine));
        self.last_listed.retain(|&engine, _| self.engines.knows(engine));
        self.last_entries.retain(|&engine, _| self.engines.knows(engine));
        if let Some(keeping) = &mut self.keeping {
            keeping.forget_engines(|engine| self.engines.knows(engine));
        }
    }

    /// Drains of the own list are told to peers; what a peer's newer list forbids binds here too.
    fn share_drains(&mut self, number: u64, entries: &mut [Entry]) {
        let now = self.clock.now();
        let Some(keeping) = &mut self.keeping else { return };
        let closed = entries.iter().filter(|entry| entry.phase != Phase::Ready);
        let told = closed.map(|entry| Drain {
            number,
            engine: entry.engine,
            booted_at: entry.booted_at,
            gone: entry.phase == Phase::Gone,
        });
        keeping.drained(now, told.collect());
        for entry in entries.iter_mut().filter(|entry| entry.phase == Phase::Ready) {
            if keeping.binds(entry.engine, entry.booted_at, number).is_some() {
                entry.phase = Phase::Draining;
            }
        }
    }

    /// What peers' lists say of engines that are usable by the own one: they take nothing new.
    fn heed_drains(&mut self, drains: Vec<Drain>) {
        let mut bound = Vec::new();
        for drain in drains.into_iter().filter(|drain| drain.number > self.link.number()) {
            let Some(told) = self.last_entries.get_mut(&drain.engine) else { continue };
            if told.phase == Phase::Ready && drain.booted_at >= told.booted_at {
                told.phase = Phase::Draining;
                bound.push(*told);
            }
        }
        if !bound.is_empty() {
            self.keeping.iter_mut().for_each(|keeping| keeping.counted.drains_heard += bound.len() as u64);
            self.events.push_back(Event::ListChanges(bound));
        }
    }

    fn tell_listed(&mut self, entry: &Entry, listed: &Listed) {
        if !self.tap.is_on() {
            return;
        }
        let told = Told {
            engine: entry.engine,
            name: listed.host.clone(),
            address: listed.dial.clone(),
            zone: entry.zone,
            kind: entry.kind,
            phase: entry.phase,
            booted_at: entry.booted_at,
        };
        self.tap.host(self.clock.now(), Host::Engine(told.clone()));
        self.last_listed.insert(entry.engine, told);
    }

    fn entry(&mut self, listed: &Listed) -> Entry {
        let engine = self.number(&listed.host);
        let position = |names: &[String], name: &str, what| {
            let known = place(names, name);
            if known.is_none() {
                tracing::warn!("engine {}: {what} '{name}' is not in the settings", listed.host);
            }
            known.unwrap_or(names.len()) as u32
        };
        Entry {
            engine,
            zone: position(&self.names.zones, &listed.site, "zone"),
            kind: position(&self.names.kinds, &listed.class, "kind"),
            cell: listed.block,
            phase: match listed.health {
                State::Up => Phase::Ready,
                State::Draining => Phase::Draining,
                State::Removed => Phase::Gone,
            },
            booted_at: listed.born_ms.saturating_mul(1000),
        }
    }

    /// An engine's number: the same at every gateway and after every restart, since it comes of the name
    /// alone.
    fn number(&mut self, name: &str) -> EngineId {
        let hash = name.bytes().fold(0x811c_9dc5, |hash: u32, b| (hash ^ b as u32).wrapping_mul(0x0100_0193));
        let mut number = hash;
        while self.engine_names.get(&number).is_some_and(|other| other != name) {
            number = number.wrapping_add(1);
        }
        self.engine_names.entry(number).or_insert_with(|| name.to_string());
        number
    }

    // ---- A new configuration ----

    /// SIGHUP: the file is read again, and the bulletin is asked at the address that it names now. All else
    /// in it holds from the next start on. A file that can't be used changes nothing.
    fn reload(&mut self) {
        match Config::from_environment() {
            Ok(config) => {
                self.counters.reloads += 1;
                self.tap.host(self.clock.now(), Host::Reloaded { done: true });
                tracing::info!("reloaded; the bulletin is at {}", config.bulletin);
                self.link.move_to(config.bulletin, self.clock.now(), &mut self.due);
            }
            Err(message) => {
                self.counters.reloads_failed += 1;
                self.tap.host(self.clock.now(), Host::Reloaded { done: false });
                tracing::error!("not reloaded, the old configuration stays: {message}");
            }
        }
    }

    // ---- The end ----

    /// SIGTERM: everything that comes is still served, until clients have stopped coming and all have their
    /// answers.
    fn stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        let now = self.clock.now();
        let last = now + LAST_CLIENTS + self.longest_wait.min(LONGEST_STOP) - STOP_MARGIN;
        tracing::info!("stopping; {} requests are open", self.counters.open());
        self.stopping = Some(last);
        self.tap.host(now, Host::Stopping);
        self.clients.well = false;
        self.due.set(now + LAST_CLIENTS, Due::LastClients);
        self.due.set(last, Due::LastAnswers);
        // An answer that isn't out by then has a client that doesn't read.
        self.due.set(last + STOP_MARGIN / 2, Due::Leave);
    }

    /// Whether nothing is left to do.
    pub fn is_done(&self) -> bool {
        let answered = self.no_more_clients && self.counters.open() == 0;
        answered && (self.clients.is_written() || self.out_of_time)
    }
}

/// What the record says of a request beside what the module is told.
fn offer(key: Key, request: &requests::Request) -> Offer {
    let id = u64::from_str_radix(&request.id, 16).unwrap_or_default();
    Offer { request: key.number(), id, connection: request.client.number() }
}
