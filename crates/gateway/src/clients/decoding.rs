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

/// What the answer to a message depends on besides its connection.
pub(super) struct MessageDecoder {
    pub(super) is_healthy: bool,
    pub(super) accepts_result_queries: bool,
}

impl MessageDecoder {
    /// Handles all complete messages in a connection's buffer.
    pub(super) fn decode_all(
        &self,
        key: Key,
        client: &mut Client,
        context: &mut ClientContext<'_>,
    ) -> Result<(), MalformedInput> {
        // The input is moved out while its messages borrow it.
        let mut input = std::mem::take(&mut client.connection.input);
        let mut used = 0;
        let result = loop {
            let (message, length) = match decode(&input.filled()[used..]) {
                Ok(Some(decoded)) => decoded,
                Ok(None) => break Ok(()),
                Err(_) => break Err(MalformedInput),
            };
            used += length;
            if let Err(error) = self.handle(message, key, client, context) {
                break Err(error);
            }
        };
        input.consume(used);
        client.connection.input = input;
        result
    }

    fn handle(
        &self,
        message: Message<'_>,
        key: Key,
        client: &mut Client,
        context: &mut ClientContext<'_>,
    ) -> Result<(), MalformedInput> {
        match message {
            Message::Call {
                id,
                method,
                fields,
                body,
            } => {
                let call = Call::read(context.names, method, &fields, body);
                handle_call(id, call, key, client, context)
            }
            Message::Ask {
                id,
                method: HEALTH_METHOD,
                ..
            } => {
                context.counters.health_asked += 1;
                client.has_requested = true;
                write_health(client.connection.output.tail(), id, self.is_healthy);
                Ok(())
            }
            Message::Ask { id, method, fields } => {
                let query = result_query(method, &fields).filter(|_| self.accepts_result_queries);
                match query {
                    Some(query) => handle_result_query(id, query, key, client, context),
                    None => handle_call(id, Err(CallError::Parameters), key, client, context),
                }
            }
            Message::Unusable { id } => {
                handle_call(id, Err(CallError::Parameters), key, client, context)
            }
            Message::Forget { ids } => {
                for id in ids {
                    forget(id, key, client, context);
                }
                Ok(())
            }
            Message::Other => Ok(()),
        }
    }
}

fn handle_call(
    id: u32,
    call: Result<Call, CallError>,
    key: Key,
    client: &mut Client,
    context: &mut ClientContext<'_>,
) -> Result<(), MalformedInput> {
    client.has_requested = true;
    if client.open.iter().any(|open| open.id == id) {
        return Err(MalformedInput);
    }
    let call = if client.open.len() < MAX_OPEN_REQUESTS {
        call
    } else {
        Err(CallError::TooManyOpen)
    };
    client.open.push(OpenRequest { id, request: None });
    context.events.push(ClientEvent::Call {
        client: key,
        id,
        call,
    });
    Ok(())
}

fn handle_result_query(
    id: u32,
    query: ResultQuery,
    key: Key,
    client: &mut Client,
    context: &mut ClientContext<'_>,
) -> Result<(), MalformedInput> {
    client.has_requested = true;
    let is_open = client.open.iter().any(|open| open.id == id);
    if is_open || client.open.len() >= MAX_OPEN_REQUESTS {
        return Err(MalformedInput);
    }
    client.open.push(OpenRequest { id, request: None });
    context.events.push(ClientEvent::ResultQuery {
        client: key,
        id,
        query,
    });
    Ok(())
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

fn forget(id: u32, key: Key, client: &mut Client, context: &mut ClientContext<'_>) {
    let Some(index) = client.open.iter().position(|open| open.id == id) else {
        return;
    };
    match client.open.swap_remove(index).request {
        Some(request) => context.events.push(ClientEvent::Forgotten(request)),
        // It has only just arrived, so its event is removed before anybody handles it.
        None => context.events.retain(|event| !event.is_call(key, id)),
    }
}
