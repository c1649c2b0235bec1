//! Connections to engines. The gateway's main loop owns one [`Engines`]: it dials an engine when
//! there is something to send, carries many attempts on each connection, and reports by
//! [`EngineEvent`]s how each attempt ended. A connection lives in a slot of the table;
//! [`Engines::close`] is the one place that frees a slot and ends what was open on it.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use eideryard::interface::{EngineId, Micros, Outcome};
use eideryard_engine_protocol as engine_protocol;

use crate::connection::EventLoopHandle;
use crate::deadlines::Deadline;
use crate::table::{Key, Table};
use engine_connection::{AttemptStage, EngineConnection};

pub use events::{AttemptEnd, AttemptTarget, EngineContext, EngineEvent};
pub use writing::StartPermission;

mod answer_fields;
mod answers;
mod engine_connection;
mod events;
mod reading;
mod sending;
#[cfg(test)]
mod tests;
mod writing;

/// Part of the idle time after which a connection is closed from this side, so that no request
/// crosses the engine's own closing.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// Ids on a connection that ended without a result, before it accepts no more attempts.
const MAX_ENDED_IDS: usize = 1024;
/// Progress periods without any answer after which a connection is considered dead if an attempt on
/// it is cancelled.
const MAX_SILENT_PROGRESS_PERIODS: Micros = 2;

/// An engine that is listed, or to which a connection is still open.
struct Engine {
    /// Where new connections go; `None` once the engine was removed.
    address: Option<SocketAddr>,
    connections: Vec<Key>,
}

/// Limits on the connections to engines.
pub struct Limits {
    pub dial_timeout: Micros,
    /// How long engines keep an idle connection open; 0: for ever.
    pub idle_timeout: Micros,
    /// How often engines report the progress of a running attempt.
    pub progress_interval: Micros,
    /// Requests on one connection at once.
    pub max_streams: usize,
    /// Connections to all engines.
    pub max_connections: usize,
}

/// All connections to engines.
pub struct Engines {
    event_loop: EventLoopHandle,
    limits: Limits,
    engines: BTreeMap<EngineId, Engine>,
    table: Table<EngineConnection>,
    unflushed: Vec<Key>,
    probes_sent: u64,
}

impl Engines {
    /// No engine is known yet.
    pub fn new(event_loop: &EventLoopHandle, limits: Limits) -> Self {
        Engines {
            event_loop: event_loop.clone(),
            limits,
            engines: BTreeMap::new(),
            table: Table::new(),
            unflushed: Vec::new(),
            probes_sent: 0,
        }
    }

    /// Service discovery reports an engine. Connections to another address, or opened before the
    /// process started that runs there now, carry nothing new; what ran in a process before that
    /// start has ended with it.
    pub fn update_endpoint(
        &mut self,
        engine: EngineId,
        address: Option<SocketAddr>,
        started_at: Micros,
        context: &mut EngineContext<'_>,
    ) {
        let known = self.engines.entry(engine).or_insert(Engine {
            address,
            connections: Vec::new(),
        });
        let has_moved = known.address != address;
        known.address = address;
        for key in known.connections.clone() {
            let Some(connection) = self.table.get_mut(key) else {
                continue;
            };
            if connection.opened_at < started_at {
                self.close(key, Outcome::Broken, context);
            } else if has_moved {
                connection.is_retired = true;
                self.close_if_idle(key, context);
            }
        }
        self.forget_unused(engine);
    }

    /// An engine was removed: nothing new is sent there, what is open may still end.
    pub fn remove_endpoint(&mut self, engine: EngineId, context: &mut EngineContext<'_>) {
        if self.engines.contains_key(&engine) {
            self.update_endpoint(engine, None, 0, context);
        }
    }

    /// All engines that are listed, or to which a connection is still open.
    pub fn ids(&self) -> Vec<EngineId> {
        self.engines.keys().copied().collect()
    }

    /// Whether an engine is listed, or a connection to it is still open.
    pub fn contains(&self, engine: EngineId) -> bool {
        self.engines.contains_key(&engine)
    }

    /// How many engines are known and connections to them are open.
    pub fn sizes(&self) -> (usize, usize) {
        (self.engines.len(), self.table.len())
    }

    fn forget_unused(&mut self, engine: EngineId) {
        let is_unused = |engine: &Engine| engine.address.is_none() && engine.connections.is_empty();
        if self.engines.get(&engine).is_some_and(is_unused) {
            self.engines.remove(&engine);
        }
    }

    /// Cancels an attempt. What still waits to be written is never sent: nothing may be sent for a
    /// request after its answer. True: the engine may have received the attempt and is told of the
    /// cancel, also where the engine doesn't stop for that.
    pub fn cancel_attempt(&mut self, key: Key, id: &str, context: &mut EngineContext<'_>) -> bool {
        let Some(connection) = self.table.get_mut(key) else {
            return false;
        };
        if connection.cancel_unsent(id) {
            self.close_if_idle(key, context);
            return false;
        }
        let Some(open) = connection.open.remove(id) else {
            return false;
        };
        if connection.stream.written < open.output.end {
            // The engine has a part of the request and doesn't read: only the end of the connection
            // keeps it from the rest.
            self.close(key, Outcome::Broken, context);
            return false;
        }
        let output = connection.stream.output.tail();
        match open.stage {
            AttemptStage::Running => engine_protocol::write_cancel(output, id),
            AttemptStage::ReadingPages(_) | AttemptStage::SpoolingPages(_) => {
                engine_protocol::write_release(output, id);
            }
        }
        // Nothing at all has arrived since: an engine that still answers may have other requests on
        // another connection. This guards against a connection that stands and is of no use.
        let max_silence =
            MAX_SILENT_PROGRESS_PERIODS * self.limits.progress_interval + self.limits.dial_timeout;
        let last_activity = connection.last_received_at.max(open.sent_at);
        connection.is_retired |= last_activity + max_silence <= context.now;
        connection.ended_ids.insert(id.into());
        self.unflushed.push(key);
        self.close_if_idle(key, context);
        true
    }

    /// Closes a connection on which nothing is open: at once if it accepts no more attempts, else
    /// after the idle time.
    fn close_if_idle(&mut self, key: Key, context: &mut EngineContext<'_>) {
        let idle_timeout = (self.limits.idle_timeout as f64 * IDLE_TIMEOUT_FRACTION) as Micros;
        let Some(connection) = self.table.get_mut(key) else {
            return;
        };
        if !connection.is_idle() {
            return;
        }
        let has_no_deadline = connection.stream.was_up() && connection.deadline.is_none();
        if connection.is_retired || connection.ended_ids.len() >= MAX_ENDED_IDS {
            self.close(key, Outcome::Broken, context);
        } else if has_no_deadline && idle_timeout > 0 {
            let deadline = Deadline::EngineConnection(key);
            let closes_at = context.now + idle_timeout;
            connection.deadline = Some(context.deadlines.set(closes_at, deadline));
        }
    }

    /// A connection is not up in time, has been idle for so long that the engine might close it, or
    /// stopped within an answer.
    pub fn handle_connection_deadline(&mut self, key: Key, context: &mut EngineContext<'_>) {
        self.close(key, Outcome::Broken, context);
    }

    /// The one place that frees the slot of a connection. A request that was not written whole
    /// never reached the engine.
    fn close(&mut self, key: Key, outcome: Outcome, context: &mut EngineContext<'_>) {
        let Some(connection) = self.table.remove(key) else {
            return;
        };
        context.deadlines.cancel(connection.deadline);
        context.deadlines.cancel(connection.message_deadline);
        if let Some(engine) = self.engines.get_mut(&connection.engine) {
            engine.connections.retain(|&other| other != key);
        }
        let mut already_reported = false;
        for open in connection.open.into_values() {
            let is_written = connection.stream.written >= open.output.end;
            let outcome = if is_written {
                outcome
            } else {
                Outcome::NoConnection
            };
            let mut end = AttemptEnd::new(open.request, open.attempt, outcome);
            end.already_reported = already_reported;
            context.events.push(EngineEvent::AttemptEnded(end));
            // A connection that never came up says more of its engine than one that breaks.
            already_reported = connection.stream.was_up();
        }
        for deadline in connection.probes.into_values() {
            context.deadlines.cancel(Some(deadline));
            context.events.push(EngineEvent::ProbeEnded {
                engine: connection.engine,
                outcome,
                report: None,
            });
        }
        self.forget_unused(connection.engine);
    }
}

/// Reads an engine's address as service discovery writes it.
pub fn parse_address(text: &str) -> Result<SocketAddr, io::Error> {
    text.parse()
        .map_err(|_| io::Error::other(format!("'{text}' is no address with a port")))
}
