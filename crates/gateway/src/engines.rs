//! Connections to engines: dials them when there is something to send, carries many attempts on
//! each, and tells how each attempt ended. A connection lives in a slot of the table;
//! [`Engines::close`] is the one place where it is given back, and with it what was open on it.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

use eideryard::interface::{EngineId, LoadReport, Micros, Outcome, Progress, ResourceUsage};
use eideryard_engine_protocol::{self as line, decode, Serve, Word};

use crate::connection::{is_shortage, Connection, Filled, Loop, Wake, MAX_READS};
use crate::counters::Counters;
use crate::deadlines::{Deadlines, Due};
use crate::table::{Key, Table};
use answers::{pages, report, take};
use conn::{Conn, Open, Stage};

mod answers;
mod conn;
mod sending;
#[cfg(test)]
mod tests;

/// Pages of one result that are asked for at once, whatever room there is: their answers may come
/// in any order.
const MAX_ASKED: usize = 64;
/// Part of the idle time after which a connection is closed from this side, so that no request
/// crosses the engine's own closing.
const IDLE_PART: f64 = 0.8;
/// Ids on a connection that ended without a result, before it takes no more requests.
const MAX_ENDED: usize = 1024;
/// Note periods without a word after which a connection is held to be dead, if what it carries is
/// given up.
const QUIET_PERIODS: Micros = 2;

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
        bill: Option<ResourceUsage>,
        report: Option<LoadReport>,
    },
    /// The next page of a result for the spool.
    Page { request: Key, rows: Vec<u8> },
    /// It has had its last page.
    Spooled {
        request: Key,
        attempt: usize,
        bill: Option<ResourceUsage>,
        report: Option<LoadReport>,
    },
    Noted {
        request: Key,
        attempt: usize,
        note: Progress,
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

    /// The list tells of an engine. Connections to another address, or opened before the process
    /// started that runs there now, carry nothing new; what ran in a process before that start has
    /// ended with it.
    pub fn listed(
        &mut self,
        engine: EngineId,
        address: Option<SocketAddr>,
        started_at: Micros,
        due: &mut Deadlines,
        heard: &mut Vec<Heard>,
    ) {
        let known = self.engines.entry(engine).or_insert(Engine {
            address,
            conns: Vec::new(),
        });
        let moved = known.address != address;
        known.address = address;
        for key in known.conns.clone() {
            let Some(conn) = self.table.get_mut(key) else {
                continue;
            };
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

    /// Gives an attempt up. What still waits to be written is never sent: nothing may go out for a
    /// request after its answer. True: the engine may have seen it, and is told, also where it
    /// stops nothing for that and where only time ends attempts: until then the attempt counts as
    /// out there.
    pub fn give_up(
        &mut self,
        now: Micros,
        key: Key,
        id: &str,
        due: &mut Deadlines,
        heard: &mut Vec<Heard>,
    ) -> bool {
        let Some(conn) = self.table.get_mut(key) else {
            return false;
        };
        if conn.withdraw(id) {
            self.settle(key, now, due, heard);
            return false;
        }
        let Some(open) = conn.open.remove(id) else {
            return false;
        };
        if conn.connection.written < open.sent.1 {
            // The engine has a part of it and doesn't read: only the end of the connection keeps it
            // from the rest.
            self.close(key, Outcome::Broken, due, heard);
            return false;
        }
        let out = conn.connection.output.tail();
        match open.stage {
            Stage::Running => line::write_cancel(out, id),
            Stage::Reading { .. } | Stage::ResultSpoolDriver { .. } => line::write_release(out, id),
        }
        // Nothing at all has come since: other requests may have an engine that still answers, on
        // another connection. This guards against one that stands and is of no further use.
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
        let Some(conn) = self.table.get_mut(key) else {
            return;
        };
        if !conn.open.is_empty() || !conn.probes.is_empty() {
            return;
        }
        if conn.retired || conn.ended.len() >= MAX_ENDED {
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
        let Some(conn) = self.table.get_mut(key) else {
            return false;
        };
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
        for _ in 0..MAX_READS {
            let Some(conn) = self.table.get_mut(key) else {
                return false;
            };
            match conn.connection.fill() {
                Ok(Filled::Some) => {
                    conn.heard_at = now;
                    if let Err(reason) = Self::understand(conn, due, counters, heard) {
                        tracing::warn!(
                            "the connection to engine {} is closed: {reason}",
                            conn.engine
                        );
                        self.close(key, Outcome::Broken, due, heard);
                        return false;
                    }
                }
                Ok(Filled::Blocked) => {
                    // The rest of an answer waits for nothing, so it may take as long as a
                    // connection may. This guards against answers that stop short, drip, or are
                    // shorter than they say.
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
                let outcome = if up {
                    Outcome::Answered
                } else {
                    Outcome::AtCapacity
                };
                heard.push(Heard::Probed {
                    engine: conn.engine,
                    outcome,
                    report: report(&answer.fields),
                });
                continue;
            }
            let Some(open) = conn.open.get_mut(answer.id) else {
                // Of something given up, a second copy, or of nothing that was asked for: more than
                // belongs to an answer does no harm. A good end that crossed the cancel may have
                // left pages there.
                if answer.word == Word::Ok
                    && pages(&answer) > Some(1)
                    && conn.ended.contains(answer.id)
                {
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

    /// Writes what was sent since the last time. The one place where the first byte of an attempt
    /// is let go: `begins` says whether it still may be, else it is withdrawn. Where nobody can
    /// say, what has not begun waits, and what it waits behind with it.
    pub fn flush(
        &mut self,
        now: Micros,
        mut begins: Option<&mut dyn FnMut(Key, usize) -> bool>,
        due: &mut Deadlines,
        heard: &mut Vec<Heard>,
    ) {
        let mut unflushed = std::mem::take(&mut self.unflushed);
        unflushed.sort_unstable();
        unflushed.dedup();
        for key in unflushed.drain(..) {
            // One that isn't up yet is marked again once it is.
            let up = |conn: &&mut Conn| conn.connection.was_up();
            let Some(conn) = self.table.get_mut(key).filter(up) else {
                continue;
            };
            let unbegun = conn.unbegun();
            if begins.is_none() && !unbegun.is_empty() {
                self.unflushed.push(key);
                continue;
            }
            let mut withdrawn = false;
            for (id, request, attempt) in unbegun {
                // A connection that takes no more leads to where the engine isn't any longer, or to
                // nobody.
                let may = !conn.retired
                    && begins
                        .as_mut()
                        .is_some_and(|begins| begins(request, attempt));
                if !may && conn.withdraw(&id) {
                    let outcome = Outcome::NotSent;
                    heard.push(Heard::Over {
                        request,
                        attempt,
                        outcome,
                        report: None,
                        told: false,
                    });
                    withdrawn = true;
                }
            }
            if conn.connection.flush().is_err() || conn.tell_later_ranks().is_err() {
                self.close(key, Outcome::Broken, due, heard);
            } else if withdrawn {
                self.settle(key, now, due, heard);
            }
        }
    }

    /// The one place that gives an engine's connection back. What was not written whole never came
    /// to the engine.
    fn close(&mut self, key: Key, outcome: Outcome, due: &mut Deadlines, heard: &mut Vec<Heard>) {
        let Some(conn) = self.table.remove(key) else {
            return;
        };
        due.take_back(conn.deadline);
        due.take_back(conn.rest);
        if let Some(engine) = self.engines.get_mut(&conn.engine) {
            engine.conns.retain(|&other| other != key);
        }
        let mut told = false;
        for open in conn.open.into_values() {
            let whole = conn.connection.written >= open.sent.1;
            let outcome = if whole {
                outcome
            } else {
                Outcome::NoConnection
            };
            let (request, attempt) = (open.request, open.attempt);
            heard.push(Heard::Over {
                request,
                attempt,
                outcome,
                report: None,
                told,
            });
            // One that never came up says more of its engine than one that breaks.
            told = conn.connection.was_up();
        }
        for deadline in conn.probes.into_values() {
            due.take_back(Some(deadline));
            heard.push(Heard::Probed {
                engine: conn.engine,
                outcome,
                report: None,
            });
        }
        self.forget_unused(conn.engine);
    }
}

/// An address as the list writes it.
pub fn address(text: &str) -> Result<SocketAddr, io::Error> {
    text.parse()
        .map_err(|_| io::Error::other(format!("'{text}' is no address with a port")))
}
