//! Turns the complete messages in a connection's input into events. Health checks are answered here
//! immediately.

use eideryard_msgpack_rpc::{decode, write_health, Message};

use super::client::{Client, OpenRequest};
use super::{CallEndReason, ClientContext, ClientEvent, ResultQuery};
use crate::requests::{Call, CallError};
use crate::table::Key;

/// The protocol's limit on the number of open requests on one connection.
pub(super) const MAX_OPEN_REQUESTS: usize = 32;

/// Maximum number of consecutive calls beyond [`MAX_OPEN_REQUESTS`]. A client that sends more does
/// not wait for answers, and may have left with much of its input still unread.
const MAX_EXCESS_CALLS: usize = 2 * MAX_OPEN_REQUESTS;

/// The RPC method of a health check of this gateway.
const HEALTH_METHOD: &str = "isWell";

/// The input can't be decoded, two open requests have the same message ID, so the client could not
/// tell their answers apart, or there are more than [`MAX_EXCESS_CALLS`] beyond the limit.
#[derive(Debug)]
pub(super) struct MalformedInput;

/// Decodes the input of one connection and appends events to the context.
pub(super) struct MessageDecoder<'a, 'b> {
    pub(super) key: Key,
    pub(super) client: &'a mut Client,
    pub(super) context: &'a mut ClientContext<'b>,
    pub(super) is_healthy: bool,
    pub(super) accepts_result_queries: bool,
}

impl MessageDecoder<'_, '_> {
    /// Handles complete messages in the connection's input buffer, at most `max_messages`. Returns
    /// the number of messages that were handled; if it is `max_messages`, there may be more.
    pub(super) fn decode(&mut self, max_messages: usize) -> Result<usize, MalformedInput> {
        // The input is moved out while its messages borrow it.
        let mut input = std::mem::take(&mut self.client.connection.input);
        let mut consumed = 0;
        let mut handled = 0;
        let result = loop {
            if handled == max_messages {
                break Ok(handled);
            }
            let (message, length) = match decode(&input.filled()[consumed..]) {
                Ok(Some(decoded)) => decoded,
                Ok(None) => break Ok(handled),
                Err(_) => break Err(MalformedInput),
            };
            consumed += length;
            handled += 1;
            if let Err(error) = self.handle(message) {
                break Err(error);
            }
        };
        input.consume(consumed);
        self.client.connection.input = input;
        result
    }

    fn handle(&mut self, message: Message<'_>) -> Result<(), MalformedInput> {
        match message {
            Message::Call {
                id,
                method,
                fields,
                body,
            } => {
                let call = Call::read(self.context.names, method, &fields, body);
                self.handle_call(id, call)
            }
            Message::CallWithoutBody {
                id,
                method: HEALTH_METHOD,
                ..
            } => {
                self.answer_health(id);
                Ok(())
            }
            Message::CallWithoutBody { id, method, fields } => {
                let query = result_query(method, &fields);
                match query.filter(|_| self.accepts_result_queries) {
                    Some(query) => self.handle_result_query(id, query),
                    None => self.handle_call(id, Err(CallError::Parameters)),
                }
            }
            Message::InvalidRequest { id } => self.handle_call(id, Err(CallError::Parameters)),
            Message::Cancel { ids } => {
                for id in ids {
                    self.cancel_request(id);
                }
                Ok(())
            }
            Message::Other => Ok(()),
        }
    }

    fn answer_health(&mut self, id: u32) {
        self.context.counters.health_checks += 1;
        self.client.has_requested = true;
        let output = self.client.connection.output.tail();
        write_health(output, id, self.is_healthy);
    }

    fn handle_call(
        &mut self,
        id: u32,
        call: Result<Call, CallError>,
    ) -> Result<(), MalformedInput> {
        self.client.has_requested = true;
        if self.client.open_requests.iter().any(|open| open.id == id) {
            return Err(MalformedInput);
        }
        let call = if self.client.open_requests.len() < MAX_OPEN_REQUESTS {
            self.client.excess_calls = 0;
            call
        } else {
            self.client.excess_calls += 1;
            Err(CallError::TooManyOpen)
        };
        self.client
            .open_requests
            .push(OpenRequest { id, key: None });
        self.context.events.push(ClientEvent::Call {
            client: self.key,
            id,
            call,
        });
        if self.client.excess_calls > MAX_EXCESS_CALLS {
            return Err(MalformedInput);
        }
        Ok(())
    }

    fn handle_result_query(&mut self, id: u32, query: ResultQuery) -> Result<(), MalformedInput> {
        self.client.has_requested = true;
        let is_open = self.client.open_requests.iter().any(|open| open.id == id);
        if is_open || self.client.open_requests.len() >= MAX_OPEN_REQUESTS {
            return Err(MalformedInput);
        }
        self.client
            .open_requests
            .push(OpenRequest { id, key: None });
        self.context.events.push(ClientEvent::ResultQuery {
            client: self.key,
            id,
            query,
        });
        Ok(())
    }

    fn cancel_request(&mut self, id: u32) {
        let Some(index) = self
            .client
            .open_requests
            .iter()
            .position(|open| open.id == id)
        else {
            return;
        };
        let open = self.client.open_requests.swap_remove(index);
        let events = &mut self.context.events;
        if open.key.is_none() {
            // If the call arrived in the same read, its event has not been handled yet and is
            // removed.
            events.retain(|event| !event.is_call(self.key, id));
        }
        let reason = CallEndReason::Cancelled;
        events.push(ClientEvent::call_ended(self.key, &open, reason));
    }
}

/// Returns the query that a method and its fields express; `None` for an unknown method. A missing
/// field counts as empty.
fn result_query(method: &str, fields: &[(&str, &str)]) -> Option<ResultQuery> {
    let field = |wanted: &str| {
        let found = fields.iter().find(|(name, _)| *name == wanted);
        found.map_or_else(String::new, |(_, value)| value.to_string())
    };
    match method {
        "page" => Some(ResultQuery::Page {
            token: field("token"),
            id: field("i"),
        }),
        "again" => Some(ResultQuery::Reattach { id: field("i") }),
        "release" => Some(ResultQuery::Release {
            token: field("token"),
            id: field("i"),
        }),
        _ => None,
    }
}
