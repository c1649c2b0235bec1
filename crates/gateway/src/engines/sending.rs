//! Queues attempts, probes, ranks and requests for pages, and opens the connections that carry
//! them.

use eideryard::interface::{EngineId, Outcome};
use eideryard_engine_protocol::{self as engine_protocol, ServeCommand};

use super::engine_connection::{AttemptStage, EngineConnection, OpenAttempt, OutputRange};
use super::{AttemptTarget, EngineContext, EngineEvent, Engines, MAX_ENDED_IDS};
use crate::connection::{is_resource_shortage, Connection, WakeReason};
use crate::deadlines::Deadline;
use crate::table::Key;

/// The maximum number of pages of one result that are requested but not passed on yet, regardless
/// of the space in the spool. Pages may arrive in any order, so this many may have to be buffered.
const MAX_REQUESTED_PAGES: usize = 64;

impl Engines {
    /// Queues an attempt and returns the connection that carries it. On error, returns the outcome
    /// of the attempt, which was not queued.
    pub fn send(
        &mut self,
        engine: EngineId,
        target: AttemptTarget,
        serve: &ServeCommand<'_>,
        context: &mut EngineContext<'_>,
    ) -> Result<Key, Outcome> {
        let max_streams = self.limits.max_streams;
        let accepts = |connection: &EngineConnection| {
            let is_known_id = connection.open_attempts.contains_key(serve.id)
                || connection.ended_ids.contains(serve.id);
            connection.has_free_stream(max_streams)
                && connection.ended_ids.len() < MAX_ENDED_IDS
                && !is_known_id
        };
        let key = self.find_or_dial(engine, accepts, context)?;
        let connection = self.table.get_mut(key).ok_or(Outcome::NoConnection)?;
        connection.mark_in_use(context.deadlines);
        let begin = connection.stream.output_end();
        serve.write(connection.stream.output.tail());
        let end = connection.stream.output_end();
        let attempt = OpenAttempt {
            request: target.request,
            index: target.attempt,
            stage: AttemptStage::Running,
            is_spooled: target.is_spooled,
            sent_at: context.now,
            output: OutputRange { begin, end },
            deferred_rank: None,
        };
        connection.open_attempts.insert(serve.id.into(), attempt);
        self.unflushed.push(key);
        Ok(key)
    }

    /// Returns the first usable connection to the engine for which `accepts` is true, or else opens
    /// a new connection.
    fn find_or_dial(
        &mut self,
        engine: EngineId,
        accepts: impl Fn(&EngineConnection) -> bool,
        context: &mut EngineContext<'_>,
    ) -> Result<Key, Outcome> {
        let entry = self.engines.get(&engine).ok_or(Outcome::NoConnection)?;
        let is_usable = |key: &&Key| {
            let connection = self.table.get(**key);
            connection.is_some_and(|connection| !connection.is_retired && accepts(connection))
        };
        if let Some(&key) = entry.connections.iter().find(is_usable) {
            return Ok(key);
        }
        self.dial(engine, context)
    }

    /// Opens a connection. If the gateway lacks descriptors or memory, the outcome is
    /// [`Outcome::NotSent`], since this says nothing about the engine.
    fn dial(&mut self, engine: EngineId, context: &mut EngineContext<'_>) -> Result<Key, Outcome> {
        let entry = self.engines.get(&engine).ok_or(Outcome::NoConnection)?;
        let address = entry.address.ok_or(Outcome::NoConnection)?;
        context.counters.dials += 1;
        if self.table.len() >= self.limits.max_connections && !self.close_longest_idle(context) {
            context.counters.dials_out_of_resources += 1;
            return Err(Outcome::NotSent);
        }
        let key = self.table.next_key();
        let stream = match Connection::dial(&self.event_loop, address, WakeReason::Engine(key)) {
            Ok(stream) => stream,
            Err(e) => {
                tracing::debug!("dialing engine {engine} at {address} failed: {e}");
                if is_resource_shortage(&e) {
                    context.counters.dials_out_of_resources += 1;
                    return Err(Outcome::NotSent);
                }
                context.counters.dials_failed += 1;
                return Err(Outcome::NoConnection);
            }
        };
        if let Some(entry) = self.engines.get_mut(&engine) {
            entry.connections.push(key);
        }
        let timeout_at = context.now + self.limits.dial_timeout;
        let deadline = Deadline::EngineConnection(key);
        let deadline = context.deadlines.set(timeout_at, deadline);
        let connection = EngineConnection::new(engine, stream, context.now, deadline);
        Ok(self.table.insert(connection))
    }

    /// Makes room for another connection by closing the one that has been idle for the longest
    /// time. Returns false if no connection is idle.
    fn close_longest_idle(&mut self, context: &mut EngineContext<'_>) -> bool {
        let idle = self
            .table
            .iter()
            .filter(|(_, connection)| connection.is_idle() && connection.stream.is_established());
        let longest_idle = idle.min_by_key(|(_, connection)| connection.last_received_at);
        let Some((key, _)) = longest_idle else {
            return false;
        };
        self.close(key, Outcome::NotSent, context);
        true
    }

    /// Queues a probe, which asks an engine for its system load. On error, returns the outcome of
    /// the probe, which was not queued.
    pub fn probe(
        &mut self,
        engine: EngineId,
        context: &mut EngineContext<'_>,
    ) -> Result<(), Outcome> {
        let max_streams = self.limits.max_streams;
        let accepts = |connection: &EngineConnection| connection.has_free_stream(max_streams);
        let key = self.find_or_dial(engine, accepts, context)?;
        let connection = self.table.get_mut(key).ok_or(Outcome::NoConnection)?;
        self.probes_sent += 1;
        context.counters.probes += 1;
        let tag = probe_tag(self.probes_sent);
        engine_protocol::write_load_probe(connection.stream.output.tail(), &tag);
        // The engine answers a probe without running a query, so the time limit is the dial
        // timeout.
        let timeout_at = context.now + self.limits.dial_timeout;
        let deadline = Deadline::Probe(key, self.probes_sent);
        let deadline = context.deadlines.set(timeout_at, deadline);
        connection.probes.insert(tag.into(), deadline);
        connection.mark_in_use(context.deadlines);
        self.unflushed.push(key);
        Ok(())
    }

    /// Ends a probe that was not answered in time; the connection stays open.
    pub fn handle_probe_deadline(
        &mut self,
        key: Key,
        number: u64,
        context: &mut EngineContext<'_>,
    ) {
        let Some(connection) = self.table.get_mut(key) else {
            return;
        };
        let tag = probe_tag(number);
        if connection.probes.remove(tag.as_str()).is_some() {
            context.events.push(EngineEvent::ProbeEnded {
                engine: connection.engine,
                outcome: Outcome::TimedOut,
                report: None,
            });
        }
    }

    /// Queues a new rank for a running attempt. Returns false if the attempt is no longer running,
    /// so the rank has no effect.
    pub fn update_rank(&mut self, key: Key, id: &str, rank: u8) -> bool {
        let Some(connection) = self.table.get_mut(key) else {
            return false;
        };
        let Some(attempt) = connection.open_attempts.get_mut(id) else {
            return false;
        };
        let is_running = matches!(attempt.stage, AttemptStage::Running);
        if is_running {
            if connection.stream.written < attempt.output.end {
                attempt.deferred_rank = Some(rank);
            } else {
                engine_protocol::write_rank_update(connection.stream.output.tail(), id, rank);
            }
        }
        self.unflushed.push(key);
        is_running
    }

    /// Requests more pages of a result for the result spool: as many pages of average size as fit
    /// into `free_bytes`, the free space in the spool.
    pub fn request_pages(&mut self, key: Key, id: &str, free_bytes: u64) {
        let Some(connection) = self.table.get_mut(key) else {
            return;
        };
        let Some(attempt) = connection.open_attempts.get_mut(id) else {
            return;
        };
        let AttemptStage::SpoolingPages(reader) = &mut attempt.stage else {
            return;
        };
        let average_page = (reader.bytes / reader.next.max(1)).max(1) as u64;
        let max_ahead = (free_bytes / average_page).min(MAX_REQUESTED_PAGES as u64) as usize;
        let requested_before = reader.next_requested;
        while reader.next_requested < reader.count
            && reader.next_requested - reader.next < max_ahead
        {
            let output = connection.stream.output.tail();
            engine_protocol::write_read(output, id, reader.next_requested);
            reader.next_requested += 1;
        }
        if reader.next_requested > requested_before {
            self.unflushed.push(key);
        }
    }
}

/// Returns the ID of a probe on the wire.
fn probe_tag(number: u64) -> String {
    format!("probe-{number}")
}
