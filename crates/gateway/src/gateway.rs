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

mod acting;
mod listing;
mod results;
mod telling;

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
        let keeping = self.keeping.as_ref().and_then(|keeping| keeping.due(self.clock.now()));
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
                    let now = self.clock.now();
                    if let Some((keeping, report)) = self.keeping.as_mut().zip(report.as_ref()) {
                        keeping.reported(now, engine, report);
                    }
                    self.events.push_back(Event::Probed(Probed { engine, outcome, report }))
                }
            }
        }
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
        self.keeping.iter_mut().for_each(|keeping| keeping.hands_over(now));
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
