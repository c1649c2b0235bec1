//! Reads the input of client connections and applies the limits on the duration and size of
//! incomplete messages.

use eideryard_event_log::CloseReason;

use super::decoding::MessageDecoder;
use super::{ClientContext, Clients, ConnectionChange, ConnectionState, INPUT_TIMEOUT};
use crate::connection::{ReadOutcome, MAX_READS_PER_TURN};
use crate::deadlines::Deadline;
use crate::table::Key;

impl Clients {
    /// Reads the available input. If there may be more after [`MAX_READS_PER_TURN`] reads, adds the
    /// connection to [`Clients::unfinished_reads`], and the main loop reads other connections
    /// first.
    pub fn read(&mut self, key: Key, context: &mut ClientContext<'_>) {
        for _ in 0..MAX_READS_PER_TURN {
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
                Ok(ReadOutcome::Data) => self.handle_input(key, length_before, context),
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
        self.unfinished_reads.push(key);
    }

    /// Decodes the input of an open connection; the input contained `length_before` bytes before
    /// this read.
    fn handle_input(&mut self, key: Key, length_before: usize, context: &mut ClientContext<'_>) {
        let Some(client) = self.table.get_mut(key) else {
            return;
        };
        client.last_used_at = context.now;
        let received = client.connection.input.len();
        let mut decoder = MessageDecoder {
            key,
            client,
            context,
            is_healthy: self.is_healthy,
            accepts_result_queries: self.accepts_result_queries,
        };
        let is_malformed = decoder.decode_all().is_err();
        let remaining = client.connection.input.len();
        let has_message = remaining < received;
        // The time limit for a message starts with its first byte; the time limit for the first
        // request starts when the connection is accepted.
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
        if let Some(reason) = self.rejection_reason(is_malformed, remaining) {
            match reason {
                CloseReason::Malformed => context.counters.closed.malformed += 1,
                _ => context.counters.closed.too_much_unread += 1,
            }
            self.record_change(key, ConnectionChange::Closing(reason));
            self.reject_connection(key, context);
        }
        self.unflushed.push(key);
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
