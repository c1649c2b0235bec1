//! Connections to engines: dials them when there is something to send, carries many attempts on each, and
//! tells how each attempt ended. A connection lives in a slot of the table; [`Engines::close`] is the one
//! place where it is given back, and with it what was open on it.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

use eideryard::interface::{Bill, EngineId, LoadReport, Micros, Note, Outcome};
use eideryard_engine_line::{self as line, decode, Answer, Fields, Serve, Word};

use crate::connection::{is_shortage, Connection, Filled, Loop, Wake, MOST_READS};
use crate::counters::Counters;
use crate::deadlines::{DeadlineKey, Deadlines, Due};
use crate::table::{Key, Table};

/// Pages of one result, and its bytes: the protocol allows 48,000, in pages of whole rows.
const MOST_PAGES: usize = 256;
const MOST_RESULT: usize = 48_000;
/// Pages of a result that is spooled: the spool's budget for one result ends it sooner.
const MOST_SPOOLED_PAGES: usize = 1 << 20;
/// Pages of one result that are asked for at once, whatever room there is: their answers may come in any
/// order.
const MOST_ASKED: usize = 64;
/// Part of the idle time after which a connection is closed from this side, so that no request crosses the
/// engine's own closing.
const IDLE_PART: f64 = 0.8;
/// Ids on a connection that ended without a result, before it takes no more requests.
const MOST_ENDED: usize = 1024;
/// Note periods without a word after which a connection is held to be dead, if what it carries is given up.
const QUIET_PERIODS: Micros = 2;

/// What an attempt on a connection waits for.
enum Stage {
    Running,
    /// It ended well; its further pages are on their way.
    Reading {
        pages: Vec<Option<Vec<u8>>>,
        bytes: usize,
        bill: Option<Bill>,
        report: Option<LoadReport>,
    },
    /// The same for the spool: pages are handed on in order as they come, and asked for as it has room.
    Spooling {
        count: usize,
        /// The next to hand on, and the next to ask for.
        next: usize,
        asked: usize,
        /// Those that came before their turn.
        early: BTreeMap<usize, Vec<u8>>,
        /// Bytes handed on, for the size of a usual page.
        bytes: usize,
        bill: Option<Bill>,
        report: Option<LoadReport>,
    },
}

struct Open {
    request: Key,
    attempt: usize,
    stage: Stage,
    /// Its result goes to the spool.
    spooled: bool,
    sent_at: Micros,
    /// Where in what is sent on this connection its request begins and ends.
    sent: (u64, u64),
    /// A new priority that is told once the request is out: until then the engine knows no such id.
    later_rank: Option<u8>,
}

struct Conn {
    engine: EngineId,
    connection: Connection,
    open: BTreeMap<Box<str>, Open>,
    /// Requests that ended here without a result: an answer of theirs may still come, or come once more, so
    /// none of them is sent on this connection again.
    ended: BTreeSet<Box<str>>,
    probes: BTreeMap<Box<str>, DeadlineKey>,
    /// It takes no more: it closes when what is open on it is over.
    retired: bool,
    opened_at: Micros,
    heard_at: Micros,
    /// Until it must be up; afterwards, where nothing is open, until it is closed for that.
    deadline: Option<DeadlineKey>,
    /// Until the rest of an answer that has begun must have come.
    rest: Option<DeadlineKey>,
}

impl Conn {
    /// It isn't idle any more; one that isn't up yet keeps its deadline for that.
    fn is_used(&mut self, due: &mut Deadlines) {
        due.take_back(if self.connection.was_up() { self.deadline.take() } else { None });
    }

    /// Ranks that came for requests which were not out yet.
    fn tell_later_ranks(&mut self) -> io::Result<()> {
        let Connection { written, output, .. } = &mut self.connection;
        let out = self.open.iter_mut().filter(|(_, open)| open.sent.1 <= *written);
        for (id, open) in out {
            if let Some(rank) = open.later_rank.take().filter(|_| matches!(open.stage, Stage::Running)) {
                line::write_weigh(output.tail(), id, rank);
            }
        }
        self.connection.flush()
    }

    /// Takes a request back out of what waits to be written.
    fn take_back(&mut self, begin: u64, end: u64) {
        let written = self.connection.written;
        self.connection.output.cut((begin - written) as usize, (end - written) as usize);
        for open in self.open.values_mut().filter(|open| open.sent.0 >= end) {
            open.sent = (open.sent.0 - (end - begin), open.sent.1 - (end - begin));
        }
    }
}

struct Engine {
    address: Option<SocketAddr>,
    conns: Vec<Key>,
}

/// What engines said, and what became of attempts and probes.
pub enum Heard {
    Over {
        request: Key,
        attempt: usize,
        outcome: Outcome,
        report: Option<LoadReport>,
        /// The loss of a connection that another attempt's end has told of.
        told: bool,
    },
    Served {
        request: Key,
        attempt: usize,
        pages: Vec<Vec<u8>>,
        bill: Option<Bill>,
        report: Option<LoadReport>,
    },
    /// The next page of a result for the spool.
    Page {
        request: Key,
        rows: Vec<u8>,
    },
    /// It has had its last page.
    Spooled {
        request: Key,
        attempt: usize,
        bill: Option<Bill>,
        report: Option<LoadReport>,
    },
    Noted {
        request: Key,
        attempt: usize,
        note: Note,
    },
    Probed {
        engine: EngineId,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
}

pub struct Limits {
    pub dial_timeout: Micros,
    pub idle: Micros,
    pub note_period: Micros,
    pub streams: usize,
    pub connections: usize,
}

pub struct Engines {
    events: Loop,
    limits: Limits,
    engines: BTreeMap<EngineId, Engine>,
    table: Table<Conn>,
    unflushed: Vec<Key>,
    probes_sent: u64,
}

impl Engines {
    pub fn new(events: &Loop, limits: Limits) -> Self {
        Engines {
            events: events.clone(),
            limits,
            engines: BTreeMap::new(),
            table: Table::new(),
            unflushed: Vec::new(),
            probes_sent: 0,
        }
    }

    /// The list tells of an engine. Connections to another address, or opened before the process started that
    /// runs there now, carry nothing new; what ran in a process before that start has ended with it.
    pub fn listed(
        &mut self,
        engine: EngineId,
        address: Option<SocketAddr>,
        started_at: Micros,
        due: &mut Deadlines,
        heard: &mut Vec<Heard>,
    ) {
        let known = self.engines.entry(engine).or_insert(Engine { address, conns: Vec::new() });
        let moved = known.address != address;
        known.address = address;
        for key in known.conns.clone() {
            let Some(conn) = self.table.get_mut(key) else { continue };
            if conn.opened_at < started_at {
                self.close(key, Outcome::Broken, due, heard);
            } else if moved {
                conn.retired = true;
                self.settle(key, started_at, due, heard);
            }
        }
        self.forget_unused(engine);
    }

    /// An engine is gone: nothing new goes there, what is open may still end.
    pub fn unlisted(&mut self, engine: EngineId, due: &mut Deadlines, heard: &mut Vec<Heard>) {
        if self.engines.contains_key(&engine) {
            self.listed(engine, None, 0, due, heard);
        }
    }

    pub fn ids(&self) -> Vec<EngineId> {
        self.engines.keys().copied().collect()
    }

    /// Whether an engine is listed, or a connection to it is still open.
    pub fn knows(&self, engine: EngineId) -> bool {
        self.engines.contains_key(&engine)
    }

    /// How many engines are known and connections to them are open.
    pub fn sizes(&self) -> (usize, usize) {
        (self.engines.len(), self.table.len())
    }

    fn forget_unused(&mut self, engine: EngineId) {
        let unused = |e: &Engine| e.address.is_none() && e.conns.is_empty();
        if self.engines.get(&engine).is_some_and(unused) {
            self.engines.remove(&engine);
        }
    }

    /// Sends an attempt; gives the connection that carries it, or what became of the attempt.
    pub fn send(
        &mut self,
        now: Micros,
        engine: EngineId,
        (request, attempt, spooled): (Key, usize, bool),
        serve: &Serve,
        due: &mut Deadlines,
        counters: &mut Counters,
    ) -> Result<Key, Outcome> {
        let streams = self.limits.streams;
        let takes = |conn: &Conn| {
            let free = conn.open.len() + conn.probes.len() < streams && conn.ended.len() < MOST_ENDED;
            free && !conn.open.contains_key(serve.id) && !conn.ended.contains(serve.id)
        };
        let key = self.connection_to(now, engine, takes, due, counters)?;
        let conn = self.table.get_mut(key).ok_or(Outcome::NoConnection)?;
        conn.is_used(due);
        let begin = conn.connection.end_of_output();
        serve.write(conn.connection.output.tail());
        let sent = (begin, conn.connection.end_of_output());
        conn.open.insert(
            serve.id.into(),
            Open { request, attempt, stage: Stage::Running, spooled, sent_at: now, sent, later_rank: None },
        );
        self.unflushed.push(key);
        Ok(key)
    }

    /// The first connection that takes more, else a new one. What is short on this side (descriptors, memory)
    /// says nothing of the engine, so that ends as never sent.
    fn connection_to(
        &mut self,
        now: Micros,
        engine: EngineId,
        takes: impl Fn(&Conn) -> bool,
        due: &mut Deadlines,
        counters: &mut Counters,
    ) -> Result<Key, Outcome> {
        let known = self.engines.get(&engine).ok_or(Outcome::NoConnection)?;
        let usable = |key: &&Key| self.table.get(**key).is_some_and(|conn| !conn.retired && takes(conn));
        if let Some(&key) = known.conns.iter().find(usable) {
            return Ok(key);
        }
        let address = known.address.ok_or(Outcome::NoConnection)?;
        counters.dials += 1;
        if self.table.len() >= self.limits.connections && !self.close_idlest(due) {
            counters.dials_short += 1;
            return Err(Outcome::Unsent);
        }
        let key = self.table.next_key();
        let connection = Connection::dial(&self.events, address, Wake::Engine(key)).map_err(|e| {
            tracing::debug!("no connection to engine {engine}: {e}");
            let (count, outcome) = match is_shortage(&e) {
                true => (&mut counters.dials_short, Outcome::Unsent),
                false => (&mut counters.dials_failed, Outcome::NoConnection),
            };
            *count += 1;
            outcome
        })?;
        self.engines.entry(engine).and_modify(|known| known.conns.push(key));
        Ok(self.table.insert(Conn {
            engine,
            connection,
            open: BTreeMap::new(),
            ended: BTreeSet::new(),
            probes: BTreeMap::new(),
            retired: false,
            opened_at: now,
            heard_at: now,
            deadline: Some(due.set(now + self.limits.dial_timeout, Due::Conn(key))),
            rest: None,
        }))
    }

    /// Room for another connection, at the cost of one that carries nothing.
    fn close_idlest(&mut self, due: &mut Deadlines) -> bool {
        let idle = |conn: &Conn| conn.open.is_empty() && conn.probes.is_empty() && conn.connection.was_up();
        let conns = self.table.iter().filter(|(_, conn)| idle(conn));
        let Some((key, _)) = conns.min_by_key(|(_, conn)| conn.heard_at) else { return false };
        self.close(key, Outcome::Unsent, due, &mut Vec::new());
        true
    }

    /// Asks an engine for its load, or tells what became of that.
    pub fn probe(
        &mut self,
        now: Micros,
        engine: EngineId,
        due: &mut Deadlines,
        counters: &mut Counters,
    ) -> Result<(), Outcome> {
        let streams = self.limits.streams;
        let takes = |conn: &Conn| conn.open.len() + conn.probes.len() < streams;
        let key = self.connection_to(now, engine, takes, due, counters)?;
        let conn = self.table.get_mut(key).ok_or(Outcome::NoConnection)?;
        self.probes_sent += 1;
        counters.probes += 1;
        let tag = format!("probe-{}", self.probes_sent);
        line::write_gauges(conn.connection.output.tail(), &tag);
        // An answer may take as long as a connection may: neither waits for the engine's work.
        let deadline = due.set(now + self.limits.dial_timeout, Due::Probe(key, self.probes_sent));
        conn.probes.insert(tag.into(), deadline);
        conn.is_used(due);
        self.unflushed.push(key);
        Ok(())
    }

    pub fn probe_late(&mut self, key: Key, number: u64, heard: &mut Vec<Heard>) {
        let Some(conn) = self.table.get_mut(key) else { return };
        if conn.probes.remove(format!("probe-{number}").as_str()).is_some() {
            heard.push(Heard::Probed { engine: conn.engine, outcome: Outcome::TimedOut, report: None });
        }
    }

    /// A new priority for what is out. False: it is over there, its pages are being read.
    pub fn weigh(&mut self, key: Key, id: &str, rank: u8) -> bool {
        let Some(conn) = self.table.get_mut(key) else { return false };
        let Some(open) = conn.open.get_mut(id) else { return false };
        let running = matches!(open.stage, Stage::Running);
        if running && conn.connection.written < open.sent.1 {
            open.later_rank = Some(rank);
        } else if running {
            line::write_weigh(conn.connection.output.tail(), id, rank);
        }
        self.unflushed.push(key);
        running
    }

    /// Asks for more pages of a result for the spool, as many as so many bytes hold.
    pub fn read_on(&mut self, key: Key, id: &str, ahead: u64) {
        let Some(conn) = self.table.get_mut(key) else { return };
        let Some(Open { stage: Stage::Spooling { count, next, asked, bytes, .. }, .. }) =
            conn.open.get_mut(id)
        else {
            return;
        };
        let page = (*bytes / (*next).max(1)).max(1) as u64;
        let most = (ahead / page).clamp(0, MOST_ASKED as u64) as usize;
        let before = *asked;
        while *asked < *count && *asked - *next < most {
            line::write_read(conn.connection.output.tail(), id, *asked);
            *asked += 1;
        }
        if *asked > before {
            self.unflushed.push(key);
        }
    }

    /// Gives an attempt up. What still waits to be written is never sent: nothing may go out for a request
    /// after its answer. True: the engine may have seen it. Where engines heed no cancel (`tell` is false)
    /// its answer is still passed over.
    pub fn give_up(
        &mut self,
        now: Micros,
        key: Key,
        id: &str,
        tell: bool,
        due: &mut Deadlines,
        heard: &mut Vec<Heard>,
    ) -> bool {
        let Some(conn) = self.table.get_mut(key) else { return false };
        let Some(open) = conn.open.remove(id) else { return false };
        let (begin, end) = open.sent;
        if conn.connection.written <= begin {
            conn.take_back(begin, end);
            self.settle(key, now, due, heard);
            return false;
        }
        if conn.connection.written < end {
            // The engine has a part of it and doesn't read: only the end of the connection keeps it from the
            // rest.
            self.close(key, Outcome::Broken, due, heard);
            return false;
        }
        let out = conn.connection.output.tail();
        match open.stage {
            Stage::Running if tell => line::write_cancel(out, id),
            Stage::Running => {}
            Stage::Reading { .. } | Stage::Spooling { .. } => line::write_release(out, id),
        }
        // Nothing at all has come since: other requests may have an engine that still answers, on another
        // connection. This guards against one that stands and is of no further use.
        let quiet = QUIET_PERIODS * self.limits.note_period + self.limits.dial_timeout;
        conn.retired |= conn.heard_at.max(open.sent_at) + quiet <= now;
        conn.ended.insert(id.into());
        self.unflushed.push(key);
        self.settle(key, now, due, heard);
        true
    }

    /// A connection that has nothing to do closes, at once or after a while.
    fn settle(&mut self, key: Key, now: Micros, due: &mut Deadlines, heard: &mut Vec<Heard>) {
        let idle = (self.limits.idle as f64 * IDLE_PART) as Micros;
        let Some(conn) = self.table.get_mut(key) else { return };
        if !conn.open.is_empty() || !conn.probes.is_empty() {
            return;
        }
        if conn.retired || conn.ended.len() >= MOST_ENDED {
            self.close(key, Outcome::Broken, due, heard);
        } else if conn.connection.was_up() && conn.deadline.is_none() && idle > 0 {
            conn.deadline = Some(due.set(now + idle, Due::Conn(key)));
        }
    }

    /// Not up in time, idle for so long that the engine might close it, or stuck within an answer.
    pub fn conn_due(&mut self, key: Key, due: &mut Deadlines, heard: &mut Vec<Heard>) {
        self.close(key, Outcome::Broken, due, heard);
    }

    /// Reads what has come. True: there may be more, others first.
    pub fn read(
        &mut self,
        key: Key,
        now: Micros,
        due: &mut Deadlines,
        counters: &mut Counters,
        heard: &mut Vec<Heard>,
    ) -> bool {
        let Some(conn) = self.table.get_mut(key) else { return false };
        let was_up = conn.connection.was_up();
        match conn.connection.is_up() {
            Ok(false) => return false,
            Ok(true) if !was_up => due.take_back(conn.deadline.take()),
            Ok(true) => {}
            Err(_) => {
                counters.dials_failed += 1;
                self.close(key, Outcome::NoConnection, due, heard);
                return false;
            }
        }
        self.unflushed.push(key);
        for _ in 0..MOST_READS {
            let Some(conn) = self.table.get_mut(key) else { return false };
            match conn.connection.fill() {
                Ok(Filled::Some) => {
                    conn.heard_at = now;
                    if let Err(reason) = Self::understand(conn, due, counters, heard) {
                        tracing::warn!("the connection to engine {} is closed: {reason}", conn.engine);
                        self.close(key, Outcome::Broken, due, heard);
                        return false;
                    }
                }
                Ok(Filled::Blocked) => {
                    // The rest of an answer waits for nothing, so it may take as long as a connection may.
                    // This guards against answers that stop short, drip, or are shorter than they say.
                    if conn.connection.input.is_empty() {
                        due.take_back(conn.rest.take());
                    } else if conn.rest.is_none() {
                        conn.rest = Some(due.set(now + self.limits.dial_timeout, Due::Conn(key)));
                    }
                    self.settle(key, now, due, heard);
                    return false;
                }
                Ok(Filled::Ended) | Err(_) => {
                    self.close(key, Outcome::Broken, due, heard);
                    return false;
                }
            }
        }
        true
    }

    fn understand(
        conn: &mut Conn,
        due: &mut Deadlines,
        counters: &mut Counters,
        heard: &mut Vec<Heard>,
    ) -> Result<(), &'static str> {
        let Connection { input, output, .. } = &mut conn.connection;
        let (bytes, mut used) = (input.filled(), 0);
        let result = loop {
            let (answer, length) = match decode(&bytes[used..]) {
                Ok(Some(decoded)) => decoded,
                Ok(None) => break Ok(()),
                Err(_) => break Err("what it says is no answer"),
            };
            used += length;
            due.take_back(conn.rest.take());
            if let Some(deadline) = conn.probes.remove(answer.id) {
                due.take_back(Some(deadline));
                let up = answer.word == Word::Up;
                let outcome = if up { Outcome::Answered } else { Outcome::Full };
                heard.push(Heard::Probed { engine: conn.engine, outcome, report: report(&answer.fields) });
                continue;
            }
            let Some(open) = conn.open.get_mut(answer.id) else {
                // Of something given up, a second copy, or of nothing that was asked for: more than belongs
                // to an answer does no harm. A good end that crossed the cancel may have left pages there.
                if answer.word == Word::Ok && pages(&answer) > Some(1) && conn.ended.contains(answer.id) {
                    line::write_release(output.tail(), answer.id);
                }
                continue;
            };
            counters.notes += (answer.word == Word::Note) as u64;
            counters.pages += (answer.word == Word::Rows) as u64;
            match take(open, &answer, output.tail(), heard) {
                Ok(None) => {}
                Ok(Some(what)) => {
                    if matches!(what, Heard::Over { .. }) {
                        conn.ended.insert(answer.id.into());
                    }
                    if !matches!(what, Heard::Noted { .. }) {
                        conn.open.remove(answer.id);
                    }
                    heard.push(what);
                }
                Err(reason) => break Err(reason),
            }
        };
        input.consume(used);
        result
    }

    /// Writes all that was sent since the last time.
    pub fn flush(&mut self, due: &mut Deadlines, heard: &mut Vec<Heard>) {
        let mut unflushed = std::mem::take(&mut self.unflushed);
        unflushed.sort_unstable();
        unflushed.dedup();
        for key in unflushed.drain(..) {
            let Some(conn) = self.table.get_mut(key) else { continue };
            if conn.connection.flush().is_err() || conn.tell_later_ranks().is_err() {
                self.close(key, Outcome::Broken, due, heard);
            }
        }
        self.unflushed = unflushed;
    }

    /// The one place that gives an engine's connection back. What was not written whole never came to the
    /// engine.
    fn close(&mut self, key: Key, outcome: Outcome, due: &mut Deadlines, heard: &mut Vec<Heard>) {
        let Some(conn) = self.table.remove(key) else { return };
        due.take_back(conn.deadline);
        due.take_back(conn.rest);
        if let Some(engine) = self.engines.get_mut(&conn.engine) {
            engine.conns.retain(|&other| other != key);
        }
        let mut told = false;
        for open in conn.open.into_values() {
            let whole = conn.connection.written >= open.sent.1;
            let outcome = if whole { outcome } else { Outcome::NoConnection };
            let (request, attempt) = (open.request, open.attempt);
            heard.push(Heard::Over { request, attempt, outcome, report: None, told });
            // One that never came up says more of its engine than one that breaks.
            told = conn.connection.was_up();
        }
        for deadline in conn.probes.into_values() {
            due.take_back(Some(deadline));
            heard.push(Heard::Probed { engine: conn.engine, outcome, report: None });
        }
        self.forget_unused(conn.engine);
    }
}

/// What an answer means for the attempt that it answers; asks for what is still to come.
fn take(
    open: &mut Open,
    answer: &Answer,
    out: &mut Vec<u8>,
    heard: &mut Vec<Heard>,
) -> Result<Option<Heard>, &'static str> {
    let (request, attempt) = (open.request, open.attempt);
    let over = |outcome| {
        let report = report(&answer.fields);
        Ok(Some(Heard::Over { request, attempt, outcome, report, told: false }))
    };
    match (&mut open.stage, answer.word) {
        (Stage::Running, Word::Ok) if open.spooled => {
            let count =
                answer.fields.number("count").filter(|count| (1..=MOST_SPOOLED_PAGES).contains(count));
            let count = count.ok_or("a result with no readable number of pages")?;
            check_page(answer.payload)?;
            let (bill, report) = (bill(&answer.fields), report(&answer.fields));
            heard.push(Heard::Page { request, rows: answer.payload.to_vec() });
            if count == 1 {
                return Ok(Some(Heard::Spooled { request, attempt, bill, report }));
            }
            let (bytes, early) = (answer.payload.len(), BTreeMap::new());
            open.stage = Stage::Spooling { count, next: 1, asked: 1, early, bytes, bill, report };
            Ok(None)
        }
        (Stage::Spooling { count, next, asked, early, bytes, bill, report }, Word::Rows) => {
            let at = answer.fields.number("pos").filter(|at: &usize| at < asked);
            let at = at.ok_or("a page that was not asked for")?;
            if at < *next || early.contains_key(&at) {
                // A second copy.
                return Ok(None);
            }
            check_page(answer.payload)?;
            early.insert(at, answer.payload.to_vec());
            while let Some(rows) = early.remove(next) {
                *next += 1;
                *bytes += rows.len();
                heard.push(Heard::Page { request, rows });
            }
            if *next < *count {
                return Ok(None);
            }
            line::write_release(out, answer.id);
            Ok(Some(Heard::Spooled { request, attempt, bill: *bill, report: report.take() }))
        }
        (Stage::Running, Word::Ok) => {
            let count = pages(answer).ok_or("a result with no readable number of pages")?;
            check_page(answer.payload)?;
            let (bill, report) = (bill(&answer.fields), report(&answer.fields));
            let first = answer.payload.to_vec();
            if count <= 1 {
                return Ok(Some(Heard::Served { request, attempt, pages: vec![first], bill, report }));
            }
            (1..count).for_each(|page| line::write_read(out, answer.id, page));
            let bytes = first.len();
            let pages = std::iter::once(Some(first)).chain((1..count).map(|_| None)).collect();
            open.stage = Stage::Reading { pages, bytes, bill, report };
            Ok(None)
        }
        (Stage::Reading { pages, bytes, bill, report }, Word::Rows) => {
            let place = answer.fields.number("pos").and_then(|at: usize| pages.get_mut(at));
            let place = place.ok_or("a page that was not asked for")?;
            if place.is_some() {
                return Ok(None);
            }
            check_page(answer.payload)?;
            *place = Some(answer.payload.to_vec());
            *bytes += answer.payload.len();
            if *bytes > MOST_RESULT {
                return Err("a result is too long");
            }
            if pages.iter().any(Option::is_none) {
                return Ok(None);
            }
            line::write_release(out, answer.id);
            let pages = pages.iter_mut().filter_map(Option::take).collect();
            Ok(Some(Heard::Served { request, attempt, pages, bill: *bill, report: report.take() }))
        }
        (_, Word::Note) => Ok(note(&answer.fields).map(|note| Heard::Noted { request, attempt, note })),
        (Stage::Running, Word::Busy | Word::Void) => over(Outcome::Full),
        (_, Word::Err) => over(Outcome::Error),
        // A second copy of the first page.
        (Stage::Reading { .. } | Stage::Spooling { .. }, Word::Ok) => Ok(None),
        _ => Err("an answer that fits nothing asked for"),
    }
}

/// How many pages a good end says that it has, if that can be.
fn pages(answer: &Answer) -> Option<usize> {
    answer.fields.number("count").filter(|count| (1..=MOST_PAGES).contains(count))
}

/// A page holds whole rows of three columns as text: what doesn't came spoilt, and so may all that follows.
fn check_page(page: &[u8]) -> Result<(), &'static str> {
    let row = |row: &str| row.ends_with('\n') && row.bytes().filter(|&byte| byte == b'\t').count() == 2;
    let text = std::str::from_utf8(page).map_err(|_| "a page is not UTF-8")?;
    match text.split_inclusive('\n').all(row) {
        true => Ok(()),
        false => Err("a page doesn't hold whole rows"),
    }
}

/// What a good end says it cost: `ticks` is work in milliseconds, `footprint` memory in MB.
fn bill(fields: &Fields) -> Option<Bill> {
    let work: f64 = fields.number("ticks").filter(|work| *work > 0.0)?;
    Some(Bill { work: work * 1e3, memory_mb: fields.number("footprint").unwrap_or(0.0) })
}

fn note(fields: &Fields) -> Option<Note> {
    let level: f64 = fields.number("reading").unwrap_or(0.0);
    match fields.get("remark")? {
        "share" => Some(Note::Progress(level)),
        "short" => Some(Note::Spilling(level)),
        "held" if level == 2.0 => Some(Note::WaitsForLoad),
        "held" => Some(Note::WaitsForMemory),
        _ => None,
    }
}

/// A load report, by the names of the settings or by those of the engines.
fn report(fields: &Fields) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (name, value) in fields.report()? {
        let named = match name {
            "inflight" => "concurrent",
            "queue" => "depth",
            "util" => "load_share",
            name => name,
        };
        eideryard_settings::set_reported(&mut report, named, value);
    }
    Some(report)
}

/// An address as the list writes it.
pub fn address(text: &str) -> Result<SocketAddr, io::Error> {
    text.parse().map_err(|_| io::Error::other(format!("'{text}' is no address with a port")))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::connection::Wakes;
    use calloop::EventLoop;

    const NOW: Micros = 1_000_000;

    fn serve(id: &str) -> Serve<'_> {
        let statement = b"SELECT 1";
        Serve { id, class: "report", wait_ms: 900, key: None, grant_mb: 64, rank: Some(2), statement }
    }

    /// Three requests wait to be written; the second is taken back, and the rank it was to get goes with it.
    #[test]
    fn what_is_given_up_unwritten_leaves_nothing_behind() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let events: EventLoop<Wakes> = EventLoop::try_new().unwrap();
        let limits = Limits { dial_timeout: NOW, idle: 0, note_period: 0, streams: 32, connections: 8 };
        let mut engines = Engines::new(&events.handle(), limits);
        let (mut due, mut counters, mut heard) = (Deadlines::new(), Counters::default(), Vec::new());
        engines.listed(5, listener.local_addr().ok(), 0, &mut due, &mut heard);
        let mut requests = Table::new();
        let mut conns = ["a", "b", "c"].map(|id| {
            let tried = (requests.insert(()), 0, false);
            engines.send(NOW, 5, tried, &serve(id), &mut due, &mut counters).unwrap()
        });
        conns.sort();
        assert_eq!((conns[0], counters.dials), (conns[2], 1), "one connection carries all three");
        assert!(engines.weigh(conns[0], "b", 1) && engines.weigh(conns[0], "c", 0));
        assert!(!engines.give_up(NOW, conns[0], "b", true, &mut due, &mut heard));
        let mut expected = Vec::new();
        ["a", "c"].iter().for_each(|id| serve(id).write(&mut expected));
        let conn = engines.table.get_mut(conns[0]).unwrap();
        assert_eq!(conn.connection.output.filled(), expected);
        assert_eq!(conn.open["c"].sent, (expected.len() as u64 / 2, expected.len() as u64));
        // Once all is out, the rank that came too early follows.
        conn.connection.written = expected.len() as u64;
        conn.connection.output.clear();
        let _ = conn.tell_later_ranks();
        assert_eq!(conn.open["c"].later_rank, None);
        assert!(heard.is_empty());
    }
}
