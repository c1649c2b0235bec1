//! Closing client connections from this side. If the client may still send, the connection is
//! half-closed and its input is discarded for a while (a lingering close), because closing a socket
//! with unread input resets the connection and loses answers that are still in transfer.

use std::cmp::Reverse;

use eideryard::interface::Micros;
use eideryard_event_log::CloseReason;

use super::client::Client;
use super::{
    CallEndReason, ClientContext, ClientEvent, Clients, ConnectionChange, ConnectionState,
};
use crate::deadlines::Deadline;
use crate::table::Key;

/// How long the input of a connection that gets no more answers is read and discarded.
const LINGER_TIMEOUT: Micros = 500_000;
/// Maximum number of idle connections that one eviction checks, since each may turn out to have
/// unread input.
const MAX_EVICTION_ATTEMPTS: usize = 16;
/// Clients usually send their first request within this time after connecting.
const FIRST_REQUEST_INTERVAL: Micros = 200_000;

impl Clients {
    /// Makes room for another connection by closing the one that has been idle for the longest
    /// time. Connections on which no request arrived within [`FIRST_REQUEST_INTERVAL`] are closed
    /// first, lingering connections next. Returns false if no connection is idle.
    pub(super) fn evict_longest_idle(&mut self, context: &mut ClientContext<'_>) -> bool {
        for _ in 0..MAX_EVICTION_ATTEMPTS {
            let Some(key) = self.longest_idle(context.now) else {
                return false;
            };
            // A connection that has unread or undecoded input is not idle.
            let had_undecoded = self
                .table
                .get(key)
                .is_some_and(|client| client.has_undecoded);
            let bytes_before = context.counters.bytes_in;
            self.read(key, context);
            if self.table.get(key).is_none() {
                return true;
            }
            if context.counters.bytes_in == bytes_before && !had_undecoded {
                context.counters.closed.evicted += 1;
                self.record_change(key, ConnectionChange::Closing(CloseReason::Evicted));
                self.close(key, context);
                return true;
            }
        }
        false
    }

    fn longest_idle(&self, now: Micros) -> Option<Key> {
        let eviction_order = |client: &Client| {
            let is_lingering = client.state != ConnectionState::Open;
            let is_recent = now - client.last_used_at < FIRST_REQUEST_INTERVAL;
            let is_closed_later = is_lingering || client.has_requested || is_recent;
            (is_closed_later, Reverse(is_lingering), client.last_used_at)
        };
        let idle = self.table.iter().filter(|(_, client)| {
            client.open_requests.is_empty() && client.connection.output.is_empty()
        });
        let longest_idle = idle.min_by_key(|(_, client)| eviction_order(client));
        longest_idle.map(|(key, _)| key)
    }

    /// Handles the deadline of a connection: a lingering connection is closed; an open connection
    /// is rejected unless a complete message has arrived.
    pub fn handle_deadline(&mut self, key: Key, context: &mut ClientContext<'_>) {
        let Some(client) = self.table.get_mut(key) else {
            return;
        };
        client.deadline = None;
        if client.state != ConnectionState::Open {
            return self.close(key, context);
        }
        // Input that has arrived but has not been read yet is in time.
        let message_reads = client.message_reads;
        let mut bytes_before = None;
        while bytes_before != Some(context.counters.bytes_in) {
            bytes_before = Some(context.counters.bytes_in);
            self.read(key, context);
            let has_no_message = self.table.get(key).is_some_and(|client| {
                client.state == ConnectionState::Open && client.message_reads == message_reads
            });
            if !has_no_message {
                return;
            }
        }
        context.counters.closed.idle_timeout += 1;
        self.record_change(key, ConnectionChange::Closing(CloseReason::IdleTimeout));
        self.reject_connection(key, context);
    }

    /// Stops accepting requests from a connection: its open requests end now, and all further input
    /// is discarded.
    pub(super) fn reject_connection(&mut self, key: Key, context: &mut ClientContext<'_>) {
        let Some(client) = self.table.get_mut(key) else {
            return;
        };
        client.state = ConnectionState::Draining;
        self.unread_bytes -= client.connection.input.len();
        client.connection.input.clear();
        client.has_undecoded = false;
        set_linger_deadline(key, client, context);
        // A request that has no slot yet gets an error when its event is handled, since the
        // connection no longer accepts requests.
        let reason = CallEndReason::Rejected;
        let ended = client.open_requests.iter();
        let ended = ended.map(|open| ClientEvent::call_ended(key, open, reason));
        context.events.extend(ended);
        self.unflushed.push(key);
    }

    /// Gives up on a client that doesn't read: drops its unwritten answers and ends its output,
    /// because no answer may follow a partly written one.
    pub(super) fn stop_writing(&mut self, key: Key, context: &mut ClientContext<'_>) {
        let Some(client) = self.table.get_mut(key) else {
            return;
        };
        client.state = ConnectionState::Discarding;
        self.unread_bytes -= client.connection.input.len();
        client.connection.input.clear();
        client.has_undecoded = false;
        self.unsent_bytes = self
            .unsent_bytes
            .saturating_sub(client.connection.output.len());
        client.connection.output.clear();
        client.connection.shut_down_writes();
        set_linger_deadline(key, client, context);
        let reason = CallEndReason::Disconnected;
        let ended = client.open_requests.drain(..);
        let ended = ended.map(|open| ClientEvent::call_ended(key, &open, reason));
        context.events.extend(ended);
    }

    /// Half-closes idle connections. A connection with unread input or with a part of a message is
    /// not idle, because the request may still be served.
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
                client.connection.shut_down_writes();
                set_linger_deadline(key, client, context);
            }
        }
    }

    /// Closes a connection and reports its open requests as disconnected. No other code frees the
    /// slot of a client connection.
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
        let reason = CallEndReason::Disconnected;
        let ended = client.open_requests.iter();
        let ended = ended.map(|open| ClientEvent::call_ended(key, open, reason));
        context.events.extend(ended);
    }
}

fn set_linger_deadline(key: Key, client: &mut Client, context: &mut ClientContext<'_>) {
    let deadline = Deadline::ClientConnection(key);
    let closes_at = context.now + LINGER_TIMEOUT;
    context
        .deadlines
        .replace(&mut client.deadline, closes_at, deadline);
}
