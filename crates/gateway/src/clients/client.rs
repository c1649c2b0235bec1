//! The state of one client's connection.

use std::net::IpAddr;

use eideryard::interface::Micros;

use crate::connection::Connection;
use crate::deadlines::DeadlineKey;
use crate::table::Key;

/// Whether a connection accepts requests, and what is still written to it.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ConnectionState {
    /// It accepts requests.
    Open,
    /// Its input is discarded; it is half-closed once all answers are written, and closes with its
    /// other end.
    Draining,
    /// Its input is discarded and nothing more is written.
    Discarding,
}

/// A request that has no answer yet.
pub(super) struct OpenRequest {
    /// The client's number of it.
    pub(super) id: u32,
    /// Its slot in the table of requests, once it has one.
    pub(super) request: Option<Key>,
}

/// One connection of a client.
pub(super) struct Client {
    pub(super) connection: Connection,
    pub(super) address: IpAddr,
    pub(super) open: Vec<OpenRequest>,
    /// It has sent something that is owed an answer.
    pub(super) has_requested: bool,
    /// Reads that completed at least one message.
    pub(super) message_reads: u64,
    pub(super) state: ConnectionState,
    pub(super) used_at: Micros,
    /// Until then it must have sent a request, completed its message, or closed.
    pub(super) deadline: Option<DeadlineKey>,
}

impl Client {
    /// A connection that was just accepted.
    pub(super) fn new(
        connection: Connection,
        address: IpAddr,
        now: Micros,
        deadline: DeadlineKey,
    ) -> Self {
        Client {
            connection,
            address,
            open: Vec::new(),
            has_requested: false,
            message_reads: 0,
            state: ConnectionState::Open,
            used_at: now,
            deadline: Some(deadline),
        }
    }

    /// Nothing is open or in transfer, in either direction.
    pub(super) fn is_idle(&self) -> bool {
        let has_no_bytes = self.connection.input.is_empty() && self.connection.output.is_empty();
        self.state == ConnectionState::Open && self.open.is_empty() && has_no_bytes
    }
}
