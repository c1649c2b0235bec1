//! Reads the input of client connections and applies the limits on the duration and size of
//! incomplete messages.

use eideryard_event_log::CloseReason;

use super::decoding::{MessageDecoder, MAX_OPEN_REQUESTS};
use super::{ClientContext, Clients, ConnectionChange, ConnectionState, INPUT_TIMEOUT};
use crate::connection::{ReadOutcome, MAX_READS_PER_TURN};
use crate::deadlines::Deadline;
use crate::table::Key;

/// Maximum number of messages that one connection may have handled in one turn, so that clients
/// that send at full speed can't delay others. A connection carries at most this many open
/// requests.
const MAX_MESSAGES_PER_TURN: usize = MAX_OPEN_REQUESTS;

impl Clients {
    /// Gives the connection a turn: handles what is available, up to [`MAX_MESSAGES_PER_TURN`]
    /// messages or [`MAX_READS_PER_TURN`] reads. If there may be more, adds the connection to
    /// [`Clients::unfinished_reads`], and the main loop gives other connections their turns first.
    pub fn read(&mut self, key: Key, context: &mut ClientContext<'_>) {
        let Some(client) = self.table.get(key) else {
            return;
        };
        let mut messages_left = MAX_MESSAGES_PER_TURN;
        if client.has_undecoded {
            let length = client.connection.input.len();
            messages_left -= self.handle_input(key, length, messages_left, context);
        }
        for _ in 0..MAX_READS_PER_TURN {
            if messages_left == 0 {
                break;
            }
            let Some(client) = self.table.get_mut(key) else {
                return;
            };
            let length_before = client.connection.input.len();
            let outcome = client.connection.read_available();
            context.counters.bytes_in += (client.connection.input.len() - length_before) as u64;
            match outcome {
                Ok(ReadOutcome::Data) if client.state != ConnectionState::Open => {
                    client.connection.input.clear();
                }
                Ok(ReadOutcome::Data) => {
                    messages_left -= self.handle_input(key, length_before, messages_left, context);
                }
                Ok(ReadOutcome::WouldBlock) => {
                    self.unflushed.push(key);
                    return;
                }
                Ok(ReadOutcome::Closed) | Err(_) => {
                    self.close(key, context);
                    return;
                }
            }
        }
        self.continue_in_next_turn(key, context);
    }

    /// Returns whether a connection has used up its current turn.
    pub fn has_used_turn(&self, key: Key) -> bool {
        self.unfinished_reads.contains(&key)
    }

    /// Adds a connection to [`Clients::unfinished_reads`]. Closes it instead if the client has
    /// left: nothing may be sent for requests whose client has left, even if they are unread.
    fn continue_in_next_turn(&mut self, key: Key, context: &mut ClientContext<'_>) {
        let Some(client) = self.table.get(key) else {
            return;
        };
        if client.connection.has_peer_closed() {
            self.close(key, context);
        } else {
            self.unfinished_reads.push_back(key);
        }
    }

    /// Decodes the input of an open connection; the input contained `length_before` bytes before
    /// this read. Returns the number of messages that were handled, at most `max_messages`.
    fn handle_input(
        &mut self,
        key: Key,
        length_before: usize,
        max_messages: usize,
        context: &mut ClientContext<'_>,
    ) -> usize {
        let Some(client) = self.table.get_mut(key) else {
            return 0;
        };
        client.last_used_at = context.now;
        let mut decoder = MessageDecoder {
            key,
            client,
            context,
            is_healthy: self.is_healthy,
            accepts_result_queries: self.accepts_result_queries,
        };
        let decoded = decoder.decode(max_messages);
        let handled = *decoded.as_ref().unwrap_or(&0);
        let remaining = client.connection.input.len();
        client.has_undecoded = handled == max_messages;
        // The time limit for a message starts with its first byte; the time limit for the first
        // request starts when the connection is accepted.
        let has_message = handled > 0;
        client.message_reads += u64::from(has_message);
        if client.has_requested && has_message {
            context.deadlines.cancel(client.deadline.take());
        }
        if client.deadline.is_none() && remaining > 0 {
            let timeout_at = context.now + INPUT_TIMEOUT;
            let deadline = Deadline::ClientConnection(key);
            client.deadline = Some(context.deadlines.set(timeout_at, deadline));
        }
        self.unread_bytes = self.unread_bytes + remaining - length_before;
        if let Some(reason) = self.rejection_reason(decoded.is_err(), remaining) {
            match reason {
                CloseReason::Malformed => context.counters.closed.malformed += 1,
                _ => context.counters.closed.too_much_unread += 1,
            }
            self.record_change(key, ConnectionChange::Closing(reason));
            self.reject_connection(key, context);
        }
        self.unflushed.push(key);
        handled
    }

    /// Returns why the connection must be closed; `None` if it may stay open. `undecoded` is the
    /// number of bytes of an incomplete message in the connection's input.
    fn rejection_reason(&self, is_malformed: bool, undecoded: usize) -> Option<CloseReason> {
        if is_malformed {
            return Some(CloseReason::Malformed);
        }
        let fair_share = self.max_unread_bytes / self.table.len();
        let has_excess = self.unread_bytes > self.max_unread_bytes && undecoded > fair_share;
        has_excess.then_some(CloseReason::TooMuchUnread)
    }
}
