//! How a client's connection ends from this side. Where the client may send more, the connection is
//! half-closed and its input is discarded for a while (a lingering close): to close a socket with
//! unread input would reset it, and lose answers that are still in transfer.

use std::cmp::Reverse;

use eideryard::interface::Micros;
use eideryard_event_log::CloseReason;

use super::client::Client;
use super::{ClientContext, ClientEvent, Clients, ConnectionChange, ConnectionState};
use crate::deadlines::Deadline;
use crate::table::Key;

/// How long a connection that gets no more answers is still read.
const LINGER_TIMEOUT: Micros = 500_000;
/// Connections that are tried for eviction: the first ones may all have sent something by now.
const MAX_EVICTION_ATTEMPTS: usize = 16;
/// Clients usually send their first request within this time of connecting.
const FIRST_REQUEST_INTERVAL: Micros = 200_000;

impl Clients {
    /// Makes room for another connection by closing the one that has been idle for the longest
    /// time. Connections that had time to send a request and never did go first, lingering ones
    /// next. False: none is idle.
    pub(super) fn evict_idlest(&mut self, context: &mut ClientContext<'_>) -> bool {
        for _ in 0..MAX_EVICTION_ATTEMPTS {
            let Some(key) = self.idlest(context.now) else {
                return false;
            };
            // A connection that has sent something by now isn't idle, though it was not read yet.
            let bytes_before = context.counters.bytes_in;
            self.read(key, context);
            if self.table.get(key).is_none() {
                return true;
            }
            if context.counters.bytes_in == bytes_before {
                context.counters.closed.evicted += 1;
                self.record_change(key, ConnectionChange::Closing(CloseReason::Evicted));
                self.close(key, context);
                return true;
            }
        }
        false
    }

    fn idlest(&self, now: Micros) -> Option<Key> {
        let eviction_order = |client: &Client| {
            let is_lingering = client.state != ConnectionState::Open;
            let is_recent = now - client.used_at < FIRST_REQUEST_INTERVAL;
            let goes_later = is_lingering || client.has_requested || is_recent;
            (goes_later, Reverse(is_lingering), client.used_at)
        };
        let idle = self
            .table
            .iter()
            .filter(|(_, client)| client.open.is_empty() && client.connection.output.is_empty());
        let idlest = idle.min_by_key(|(_, client)| eviction_order(client));
        idlest.map(|(key, _)| key)
    }

    /// The connection's deadline has passed: it was silent for too long, or its linger time is
    /// over.
    pub fn handle_deadline(&mut self, key: Key, context: &mut ClientContext<'_>) {
        let Some(client) = self.table.get_mut(key) else {
            return;
        };
        client.deadline = None;
        if client.state != ConnectionState::Open {
            return self.close(key, context);
        }
        // What has arrived by now is in time, though it was not read yet.
        let message_reads = client.message_reads;
        let mut bytes_before = None;
        while bytes_before != Some(context.counters.bytes_in) {
            bytes_before = Some(context.counters.bytes_in);
            self.read(key, context);
            let is_silent = self.table.get(key).is_some_and(|client| {
                client.state == ConnectionState::Open && client.message_reads == message_reads
            });
            if !is_silent {
                return;
            }
        }
        context.counters.closed.idle_timeout += 1;
        self.record_change(key, ConnectionChange::Closing(CloseReason::IdleTimeout));
        self.reject_connection(key, context);
    }

    /// Accepts nothing more from a connection: its open requests end now, and its input is
    /// discarded.
    pub(super) fn reject_connection(&mut self, key: Key, context: &mut ClientContext<'_>) {
        let Some(client) = self.table.get_mut(key) else {
            return;
        };
        client.state = ConnectionState::Draining;
        self.unread_bytes -= client.connection.input.len();
        client.connection.input.clear();
        set_linger_deadline(key, client, context);
        // A request without a slot gets an error anyway, as its connection accepts no more.
        let requests = client.open.iter().filter_map(|open| open.request);
        context
            .events
            .extend(requests.map(ClientEvent::ConnectionRejected));
        self.unflushed.push(key);
    }

    /// The client doesn't read: unwritten answers are dropped, and nothing more is written behind a
    /// part of an answer.
    pub(super) fn stop_writing(&mut self, key: Key, context: &mut ClientContext<'_>) {
        let Some(client) = self.table.get_mut(key) else {
            return;
        };
        client.state = ConnectionState::Discarding;
        self.unread_bytes -= client.connection.input.len();
        client.connection.input.clear();
        self.unsent_bytes = self
            .unsent_bytes
            .saturating_sub(client.connection.output.len());
        client.connection.output.clear();
        client.connection.end_output();
        set_linger_deadline(key, client, context);
        let requests = client.open.drain(..).filter_map(|open| open.request);
        context
            .events
            .extend(requests.map(ClientEvent::Disconnected));
    }

    /// Half-closes idle connections. One that has sent something by now isn't idle, and neither is
    /// one that has sent a part of a message: that request may still be served.
    pub fn close_idle_connections(&mut self, context: &mut ClientContext<'_>) {
        let idle = self.table.iter().filter(|(_, client)| client.is_idle());
        let keys: Vec<Key> = idle.map(|(key, _)| key).collect();
        for key in keys {
            self.read(key, context);
            let Some(client) = self.table.get_mut(key) else {
                continue;
            };
            if client.is_idle() {
                client.state = ConnectionState::Draining;
                client.connection.end_output();
                set_linger_deadline(key, client, context);
            }
        }
    }

    /// The one place that frees the slot of a client's connection.
    pub(super) fn close(&mut self, key: Key, context: &mut ClientContext<'_>) {
        let Some(client) = self.table.remove(key) else {
            return;
        };
        self.record_change(key, ConnectionChange::Closed);
        context.deadlines.cancel(client.deadline);
        self.unsent_bytes = self
            .unsent_bytes
            .saturating_sub(client.connection.output.len());
        self.unread_bytes -= client.connection.input.len();
        let requests = client.open.into_iter().filter_map(|open| open.request);
        context
            .events
            .extend(requests.map(ClientEvent::Disconnected));
    }
}

fn set_linger_deadline(key: Key, client: &mut Client, context: &mut ClientContext<'_>) {
    let deadline = Deadline::ClientConnection(key);
    let closes_at = context.now + LINGER_TIMEOUT;
    context
        .deadlines
        .replace(&mut client.deadline, closes_at, deadline);
}
