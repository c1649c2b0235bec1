//! Connections to engines. The gateway's main loop owns one [`Engines`], which connects to an
//! engine when there is something to send, multiplexes many attempts over each connection, and
//! reports how each attempt ended in [`EngineEvent`]s. Each connection occupies a slot of a
//! [`Table`]; only [`Engines::close`] frees a slot and ends the attempts and probes that were open
//! on it.

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

/// The fraction of the engines' idle timeout after which the gateway closes an idle connection, so
/// that no request is sent at the moment at which the engine closes the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// Maximum number of attempts that may end without a result on one connection. After that, the
/// connection accepts no new attempts.
const MAX_ENDED_IDS: usize = 1024;
/// If an attempt is cancelled on a connection that has received nothing for this many progress
/// intervals plus a dial timeout, the connection is considered dead.
const MAX_SILENT_PROGRESS_INTERVALS: Micros = 2;

/// An engine that service discovery lists, or to which a connection is still open.
struct Engine {
    /// The address for new connections; `None` once service discovery has removed the engine.
    address: Option<SocketAddr>,
    connections: Vec<Key>,
}

/// Limits on the connections to engines, from the settings.
pub struct Limits {
    /// How long establishing a connection may take, and how long an engine may take to answer a
    /// probe.
    pub dial_timeout: Micros,
    /// How long engines keep an idle connection open; 0: forever.
    pub idle_timeout: Micros,
    /// How often engines report the progress of a running attempt.
    pub progress_interval: Micros,
    /// Maximum number of attempts and probes that one connection carries at a time.
    pub max_streams: usize,
    /// Maximum number of connections, summed over all engines.
    pub max_connections: usize,
}

/// All connections to engines.
pub struct Engines {
    event_loop: EventLoopHandle,
    limits: Limits,
    engines: BTreeMap<EngineId, Engine>,
    table: Table<EngineConnection>,
    /// Connections that the next [`Engines::flush`] has to process.
    unflushed: Vec<Key>,
    probes_sent: u64,
}

impl Engines {
    /// Creates the state without any engine; [`Engines::update_endpoint`] adds engines.
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

    /// Applies what service discovery reports about an engine. Connections that were opened before
    /// the engine's process started (`started_at`) are closed, since their attempts ended with the
    /// previous process. Connections to an address other than `address` are retired, which means
    /// that they carry no new attempts.
    pub fn update_endpoint(
        &mut self,
        engine: EngineId,
        address: Option<SocketAddr>,
        started_at: Micros,
        context: &mut EngineContext<'_>,
    ) {
        let entry = self.engines.entry(engine).or_insert(Engine {
            address,
            connections: Vec::new(),
        });
        let has_moved = entry.address != address;
        entry.address = address;
        for key in entry.connections.clone() {
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
        self.remove_if_unused(engine);
    }

    /// Removes an engine. No new attempts are sent to it; attempts in flight may still end
    /// normally.
    pub fn remove_endpoint(&mut self, engine: EngineId, context: &mut EngineContext<'_>) {
        if self.engines.contains_key(&engine) {
            self.update_endpoint(engine, None, 0, context);
        }
    }

    /// Returns all engines that service discovery lists, or to which a connection is still open.
    pub fn ids(&self) -> Vec<EngineId> {
        self.engines.keys().copied().collect()
    }

    /// Returns whether service discovery lists an engine, or a connection to it is still open.
    pub fn contains(&self, engine: EngineId) -> bool {
        self.engines.contains_key(&engine)
    }

    /// Returns the number of engines and the number of connections to them.
    pub fn sizes(&self) -> (usize, usize) {
        (self.engines.len(), self.table.len())
    }

    fn remove_if_unused(&mut self, engine: EngineId) {
        let is_unused = |engine: &Engine| engine.address.is_none() && engine.connections.is_empty();
        if self.engines.get(&engine).is_some_and(is_unused) {
            self.engines.remove(&engine);
        }
    }

    /// Cancels an attempt. Unwritten bytes of the attempt are never sent, since nothing may be sent
    /// for a request after its answer. Returns true if the engine may have received the attempt and
    /// a cancel command was queued; the engine may still finish the attempt.
    pub fn cancel_attempt(&mut self, key: Key, id: &str, context: &mut EngineContext<'_>) -> bool {
        let Some(connection) = self.table.get_mut(key) else {
            return false;
        };
        if connection.cancel_unsent(id) {
            self.close_if_idle(key, context);
            return false;
        }
        let Some(attempt) = connection.open_attempts.remove(id) else {
            return false;
        };
        if connection.stream.written < attempt.output.end {
            // The engine has received part of the request and doesn't read. Only closing the
            // connection prevents the rest from being sent.
            self.close(key, Outcome::Broken, context);
            return false;
        }
        let output = connection.stream.output.tail();
        match attempt.stage {
            AttemptStage::Running => engine_protocol::write_cancel(output, id),
            AttemptStage::ReadingPages(_) | AttemptStage::SpoolingPages(_) => {
                engine_protocol::write_release(output, id);
            }
        }
        // Retires a connection on which nothing has arrived for too long, so that new attempts use
        // another connection to the engine. This guards against connections that stay established
        // but transfer nothing.
        let max_silence = MAX_SILENT_PROGRESS_INTERVALS * self.limits.progress_interval
            + self.limits.dial_timeout;
        let last_activity = connection.last_received_at.max(attempt.sent_at);
        connection.is_retired |= last_activity + max_silence <= context.now;
        connection.ended_ids.insert(id.into());
        self.unflushed.push(key);
        self.close_if_idle(key, context);
        true
    }

    /// Closes a connection without open attempts and probes: at once if the connection accepts no
    /// more attempts, else after the idle timeout.
    fn close_if_idle(&mut self, key: Key, context: &mut EngineContext<'_>) {
        let idle_timeout = (self.limits.idle_timeout as f64 * IDLE_TIMEOUT_FRACTION) as Micros;
        let Some(connection) = self.table.get_mut(key) else {
            return;
        };
        if !connection.is_idle() {
            return;
        }
        let has_no_deadline = connection.stream.is_established() && connection.deadline.is_none();
        if connection.is_retired || connection.ended_ids.len() >= MAX_ENDED_IDS {
            self.close(key, Outcome::Broken, context);
        } else if has_no_deadline && idle_timeout > 0 {
            let deadline = Deadline::EngineConnection(key);
            let closes_at = context.now + idle_timeout;
            connection.deadline = Some(context.deadlines.set(closes_at, deadline));
        }
    }

    /// Closes a connection that was not established in time, has been idle for so long that the
    /// engine might close it, or has received only part of an answer in time.
    pub fn handle_connection_deadline(&mut self, key: Key, context: &mut EngineContext<'_>) {
        self.close(key, Outcome::Broken, context);
    }

    /// Closes a connection and reports the end of its attempts and probes; no other code frees the
    /// slot of a connection. An attempt whose request was not written completely ends with
    /// [`Outcome::NoConnection`], because the request did not reach the engine as a whole.
    fn close(&mut self, key: Key, outcome: Outcome, context: &mut EngineContext<'_>) {
        let Some(connection) = self.table.remove(key) else {
            return;
        };
        context.deadlines.cancel(connection.deadline);
        context.deadlines.cancel(connection.message_deadline);
        if let Some(engine) = self.engines.get_mut(&connection.engine) {
            engine.connections.retain(|&other| other != key);
        }
        let mut is_already_reported = false;
        for attempt in connection.open_attempts.into_values() {
            let is_written = connection.stream.written >= attempt.output.end;
            let outcome = if is_written {
                outcome
            } else {
                Outcome::NoConnection
            };
            let mut end = AttemptEnd::new(attempt.request, attempt.index, outcome);
            end.is_already_reported = is_already_reported;
            context.events.push(EngineEvent::AttemptEnded(end));
            // Only one attempt reports the loss of an established connection. If the connection was
            // never established, every attempt reports the failure, because it says more about the
            // engine.
            is_already_reported = connection.stream.is_established();
        }
        for deadline in connection.probes.into_values() {
            context.deadlines.cancel(Some(deadline));
            context.events.push(EngineEvent::ProbeEnded {
                engine: connection.engine,
                outcome,
                report: None,
            });
        }
        self.remove_if_unused(connection.engine);
    }
}

/// Parses an engine's address (IP address and port) as service discovery writes it.
pub fn parse_address(text: &str) -> Result<SocketAddr, io::Error> {
    text.parse()
        .map_err(|_| io::Error::other(format!("'{text}' is not an IP address with a port")))
}
