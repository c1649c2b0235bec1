//! Answers to clients, which are appended to a connection's output; the output is written once per
//! poll.

use eideryard_event_log::CloseReason;

use super::{ClientContext, Clients, ConnectionChange, ConnectionState};
use crate::table::Key;

impl Clients {
    /// Appends the answer to the request with the message ID `id`. Returns false if the connection
    /// has ended or gets no more answers.
    pub fn answer(&mut self, key: Key, id: u32, write: impl FnOnce(&mut Vec<u8>)) -> bool {
        let Some(client) = self.table.get_mut(key) else {
            return false;
        };
        if client.state == ConnectionState::Discarding {
            return false;
        }
        client.open_requests.retain(|open| open.id != id);
        let length_before = client.connection.output.len();
        write(client.connection.output.tail());
        self.unsent_bytes += client.connection.output.len() - length_before;
        self.unflushed.push(key);
        true
    }

    /// Writes the answers that were appended since the last call. Closes connections that have
    /// ended or read their answers too slowly.
    pub fn flush(&mut self, context: &mut ClientContext<'_>) {
        let mut unflushed = std::mem::take(&mut self.unflushed);
        unflushed.sort_unstable();
        unflushed.dedup();
        let fair_share = self.max_unsent_bytes / self.table.len().max(1);
        for key in unflushed.drain(..) {
            self.flush_connection(key, fair_share, context);
        }
        self.unflushed = unflushed;
    }

    fn flush_connection(&mut self, key: Key, fair_share: usize, context: &mut ClientContext<'_>) {
        let Some(client) = self.table.get_mut(key) else {
            return;
        };
        let length_before = client.connection.output.len();
        let result = client.connection.flush();
        let remaining = client.connection.output.len();
        self.unsent_bytes = self.unsent_bytes.saturating_sub(length_before - remaining);
        client.last_used_at = context.now;
        if client.state != ConnectionState::Open
            && client.open_requests.is_empty()
            && remaining == 0
        {
            client.connection.shut_down_writes();
        }
        if result.is_err() {
            self.close(key, context);
        } else if self.unsent_bytes > self.max_unsent_bytes && remaining > fair_share {
            context.counters.closed.not_reading += 1;
            self.record_change(key, ConnectionChange::Closing(CloseReason::NotReading));
            self.stop_writing(key, context);
        }
    }
}
