//! The state of one client connection.

use std::net::IpAddr;

use eideryard::interface::Micros;

use crate::connection::Connection;
use crate::deadlines::DeadlineKey;
use crate::table::Key;

/// Whether a connection accepts requests, and whether answers are still written to it.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ConnectionState {
    /// Requests are accepted and answers are written.
    Open,
    /// Input is discarded. The connection is half-closed once all answers are written, and closed
    /// when the client closes it.
    Draining,
    /// Input is discarded and nothing more is written.
    Discarding,
}

/// A request on this connection that has no answer yet.
pub(super) struct OpenRequest {
    /// The message ID that the client has chosen.
    pub(super) id: u32,
    /// Key of the slot in the table of requests; `None` until [`Clients::assign_request`] sets it.
    ///
    /// [`Clients::assign_request`]: super::Clients::assign_request
    pub(super) key: Option<Key>,
}

/// One client connection.
pub(super) struct Client {
    pub(super) connection: Connection,
    pub(super) address: IpAddr,
    pub(super) open_requests: Vec<OpenRequest>,
    /// The number of consecutive calls beyond the limit on open requests, up to the last call.
    pub(super) excess_calls: usize,
    /// Whether the client has sent at least one message that requires an answer.
    pub(super) has_requested: bool,
    /// Whether the input may contain complete messages that have not been decoded, because the
    /// connection has used up its turn.
    pub(super) has_undecoded: bool,
    /// The number of reads that completed at least one message.
    pub(super) message_reads: u64,
    pub(super) state: ConnectionState,
    /// The last time that something was received or written.
    pub(super) last_used_at: Micros,
    /// When the connection is closed, unless by then the first request has arrived, the message in
    /// the input is complete or, for a lingering connection, the client has closed it.
    pub(super) deadline: Option<DeadlineKey>,
}

impl Client {
    /// Creates the state of a connection that was just accepted.
    pub(super) fn new(
        connection: Connection,
        address: IpAddr,
        now: Micros,
        deadline: DeadlineKey,
    ) -> Self {
        Client {
            connection,
            address,
            open_requests: Vec::new(),
            excess_calls: 0,
            has_requested: false,
            has_undecoded: false,
            message_reads: 0,
            state: ConnectionState::Open,
            last_used_at: now,
            deadline: Some(deadline),
        }
    }

    /// Returns whether the connection is open but has no open request and no buffered bytes in
    /// either direction.
    pub(super) fn is_idle(&self) -> bool {
        let has_no_bytes = self.connection.input.is_empty() && self.connection.output.is_empty();
        self.state == ConnectionState::Open && self.open_requests.is_empty() && has_no_bytes
    }
}
