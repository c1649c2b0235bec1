//! What connections of clients report to the gateway, and what handling them needs besides the
//! connections themselves.

use std::net::IpAddr;

use eideryard::interface::Micros;
use eideryard_event_log::CloseReason;

use crate::counters::Counters;
use crate::deadlines::Deadlines;
use crate::requests::{Call, CallError, Names};
use crate::table::Key;

/// What the handling of a connection uses of the gateway, for one call.
pub struct ClientContext<'a> {
    /// The time of the call.
    pub now: Micros,
    /// Names that requests refer to.
    pub names: &'a Names,
    /// Where the connections' deadlines are set.
    pub deadlines: &'a mut Deadlines,
    /// Where connections and bytes are counted.
    pub counters: &'a mut Counters,
    /// Where events are appended, in the order in which they happened.
    pub events: &'a mut Vec<ClientEvent>,
}

/// An event of a client's connection.
pub enum ClientEvent {
    /// A request was received; the client's number of it is `id`.
    Call {
        client: Key,
        id: u32,
        call: Result<Call, CallError>,
    },
    /// A query for a spooled result.
    ResultQuery {
        client: Key,
        id: u32,
        query: ResultQuery,
    },
    /// The client no longer wants an answer to this request.
    RequestCancelled(Key),
    /// The connection of this request is being closed from this side, so the request ends at once.
    ConnectionRejected(Key),
    /// The connection of this request has ended.
    Disconnected(Key),
}

impl ClientEvent {
    /// Whether this is the call of that number on that connection.
    pub(super) fn is_call(&self, of_client: Key, number: u32) -> bool {
        match self {
            ClientEvent::Call { client, id, .. } => *client == of_client && *id == number,
            _ => false,
        }
    }
}

/// A query for a spooled result; clients send them only where results are spooled.
pub enum ResultQuery {
    /// The pages from the one that the token names.
    Page { token: String, id: String },
    /// The result of an earlier request, by its id.
    Reattach { id: String },
    /// The client needs the result no longer.
    Release { token: String, id: String },
}

/// A change of a connection, for the event log.
pub enum ConnectionChange {
    /// It was accepted from this address.
    Opened(IpAddr),
    /// This side has begun to close it.
    Closing(CloseReason),
    /// It has ended.
    Closed,
}
