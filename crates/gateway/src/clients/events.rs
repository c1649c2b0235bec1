//! Events that client connections report to the main loop, and the main-loop state that they need.

use std::net::IpAddr;

use eideryard::interface::Micros;
use eideryard_event_log::CloseReason;

use super::client::OpenRequest;
use crate::counters::Counters;
use crate::deadlines::Deadlines;
use crate::requests::{Call, CallError, Names};
use crate::table::Key;

/// The main-loop state that handling a connection needs, borrowed for one call.
pub struct ClientContext<'a> {
    /// The time of the call, by the clock of the main loop.
    pub now: Micros,
    /// The names of classes and tenants to which requests refer, and the limits on their fields.
    pub names: &'a Names,
    /// All deadlines of the main loop, including those of client connections.
    pub deadlines: &'a mut Deadlines,
    /// The counters of the main loop, for connections and bytes.
    pub counters: &'a mut Counters,
    /// Events are appended here in the order in which they happened.
    pub events: &'a mut Vec<ClientEvent>,
}

/// Identifies a call: the client's connection, and the message ID that the client chose for the
/// call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    pub client: Key,
    pub id: u32,
}

/// An event on a client connection. A field `client` is the key of a connection; the other keys are
/// those of requests.
pub enum ClientEvent {
    /// A request was received; `id` is its message ID on the connection. If the request is invalid,
    /// the error reply contains the name of the invalid field.
    Call {
        client: Key,
        id: u32,
        call: Result<Call, CallError>,
    },
    /// A query for a spooled result was received.
    ResultQuery {
        client: Key,
        id: u32,
        query: ResultQuery,
    },
    /// The client has cancelled this request and expects no answer.
    RequestCancelled(Key),
    /// The gateway is closing the connection of this request, so the request ends at once with an
    /// error.
    ConnectionRejected(Key),
    /// The connection of this request has ended, so no answer can be sent.
    Disconnected(Key),
    /// A call that has no slot in the table of requests no longer waits for its answer.
    CallEnded { call: CallId, reason: CallEndReason },
}

/// Why a call no longer waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEndReason {
    /// The client has cancelled the call.
    Cancelled,
    /// The gateway is closing the connection, so the call ends with an error.
    Rejected,
    /// The connection has ended.
    Disconnected,
}

impl ClientEvent {
    /// Returns the event for an open call that no longer waits for its answer.
    pub(super) fn call_ended(client: Key, open: &OpenRequest, reason: CallEndReason) -> Self {
        let call = CallId {
            client,
            id: open.id,
        };
        match (open.key, reason) {
            (None, reason) => ClientEvent::CallEnded { call, reason },
            (Some(request), CallEndReason::Cancelled) => ClientEvent::RequestCancelled(request),
            (Some(request), CallEndReason::Rejected) => ClientEvent::ConnectionRejected(request),
            (Some(request), CallEndReason::Disconnected) => ClientEvent::Disconnected(request),
        }
    }

    /// Returns whether this is a [`ClientEvent::Call`] with this connection and message ID.
    pub(super) fn is_call(&self, connection: Key, message_id: u32) -> bool {
        match self {
            ClientEvent::Call { client, id, .. } => *client == connection && *id == message_id,
            _ => false,
        }
    }
}

/// A query for a spooled result; only gateways that spool results answer them.
pub enum ResultQuery {
    /// Requests the pages of a result, starting with the page that the page token identifies; `id`
    /// is the request's ID.
    Page { token: String, id: String },
    /// Requests the result of an earlier request by that request's ID.
    Reattach { id: String },
    /// Releases the result, which the client no longer needs.
    Release { token: String, id: String },
}

/// A change of a client connection, for the event log.
pub enum ConnectionChange {
    /// The connection was accepted from this address.
    Opened(IpAddr),
    /// The gateway has begun to close the connection.
    Closing(CloseReason),
    /// The connection has ended and its slot is free.
    Closed,
}
