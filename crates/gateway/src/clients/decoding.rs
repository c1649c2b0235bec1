//! Turns the complete messages in a connection's input into events. Questions about this gateway's
//! health are answered here at once.

use eideryard_msgpack_rpc::{decode, write_health, Message};

use super::client::{Client, OpenRequest};
use super::{ClientContext, ClientEvent, ResultQuery};
use crate::requests::{Call, CallError};
use crate::table::Key;

/// Open requests on one connection, as the protocol allows.
const MAX_OPEN_REQUESTS: usize = 32;

/// The method by which clients ask after this gateway's health.
const HEALTH_METHOD: &str = "isWell";

/// The input can't be decoded, or two open requests have one number, so that they could not be
/// answered apart.
#[derive(Debug)]
pub(super) struct MalformedInput;

/// Decodes the messages of one connection.
pub(super) struct MessageDecoder<'a, 'b> {
    pub(super) key: Key,
    pub(super) client: &'a mut Client,
    pub(super) context: &'a mut ClientContext<'b>,
    pub(super) is_healthy: bool,
    pub(super) accepts_result_queries: bool,
}

impl MessageDecoder<'_, '_> {
    /// Handles all complete messages in the connection's buffer.
    pub(super) fn decode_all(&mut self) -> Result<(), MalformedInput> {
        // The input is moved out while its messages borrow it.
        let mut input = std::mem::take(&mut self.client.connection.input);
        let mut used = 0;
        let result = loop {
            let (message, length) = match decode(&input.filled()[used..]) {
                Ok(Some(decoded)) => decoded,
                Ok(None) => break Ok(()),
                Err(_) => break Err(MalformedInput),
            };
            used += length;
            if let Err(error) = self.handle(message) {
                break Err(error);
            }
        };
        input.consume(used);
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
            Message::Ask {
                id,
                method: HEALTH_METHOD,
                ..
            } => {
                self.answer_health(id);
                Ok(())
            }
            Message::Ask { id, method, fields } => {
                let query = result_query(method, &fields);
                match query.filter(|_| self.accepts_result_queries) {
                    Some(query) => self.handle_result_query(id, query),
                    None => self.handle_call(id, Err(CallError::Parameters)),
                }
            }
            Message::Unusable { id } => self.handle_call(id, Err(CallError::Parameters)),
            Message::Forget { ids } => {
                for id in ids {
                    self.forget(id);
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
        if self.client.open.iter().any(|open| open.id == id) {
            return Err(MalformedInput);
        }
        let call = if self.client.open.len() < MAX_OPEN_REQUESTS {
            call
        } else {
            Err(CallError::TooManyOpen)
        };
        self.client.open.push(OpenRequest { id, request: None });
        self.context.events.push(ClientEvent::Call {
            client: self.key,
            id,
            call,
        });
        Ok(())
    }

    fn handle_result_query(&mut self, id: u32, query: ResultQuery) -> Result<(), MalformedInput> {
        self.client.has_requested = true;
        let is_open = self.client.open.iter().any(|open| open.id == id);
        if is_open || self.client.open.len() >= MAX_OPEN_REQUESTS {
            return Err(MalformedInput);
        }
        self.client.open.push(OpenRequest { id, request: None });
        self.context.events.push(ClientEvent::ResultQuery {
            client: self.key,
            id,
            query,
        });
        Ok(())
    }

    fn forget(&mut self, id: u32) {
        let Some(index) = self.client.open.iter().position(|open| open.id == id) else {
            return;
        };
        let events = &mut self.context.events;
        match self.client.open.swap_remove(index).request {
            Some(request) => events.push(ClientEvent::RequestCancelled(request)),
            // It has only just arrived, so its event is removed before anybody handles it.
            None => events.retain(|event| !event.is_call(self.key, id)),
        }
    }
}

/// The query that a method and its fields stand for; a field that is missing is read as empty.
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
