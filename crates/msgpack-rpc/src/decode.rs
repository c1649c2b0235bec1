//! Messages of clients.

use std::cell::Cell;

use thiserror::Error;

use crate::cursor::{Cursor, Stop, Value};
use crate::{MAX_BYTES, NOTIFICATION, REQUEST, RESPONSE};

/// How deep values may be nested in what is skipped.
const MAX_DEPTH: usize = 16;
/// Fields that are kept of one message.
const MAX_FIELDS: usize = 64;

/// The fields of a request, as a client sent them.
pub type Fields<'a> = Vec<(&'a str, &'a str)>;

/// A message of a client.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// A request to serve: the method is the class.
    Call {
        /// Its number.
        id: u32,
        /// The class.
        method: &'a str,
        /// What the client says of it.
        fields: Fields<'a>,
        /// The statement.
        body: &'a [u8],
    },
    /// A request without a body, as the question after a gateway's health.
    CallWithoutBody {
        /// Its number.
        id: u32,
        /// What is asked.
        method: &'a str,
        /// What the client says of it.
        fields: Fields<'a>,
    },
    /// The client no longer waits for these.
    Cancel {
        /// Their numbers.
        ids: Vec<u32>,
    },
    /// A request whose parameters are none that this protocol has.
    InvalidRequest {
        /// Its number.
        id: u32,
    },
    /// A whole message that asks for nothing: a notification of another name, or an answer.
    Other,
}

/// Bytes with which no message begins; nothing that follows on the connection can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no MessagePack-RPC message")]
pub struct Malformed;

/// Decodes the first message in `bytes` and gives its length; `None` while it is not whole.
///
/// # Errors
///
/// No message begins so, or it is longer than [`MAX_BYTES`].
pub fn decode(bytes: &[u8]) -> Result<Option<(Message<'_>, usize)>, Malformed> {
    let visited_values = Cell::new(0);
    let mut cursor = Cursor::new(bytes, &visited_values);
    match cursor.message() {
        Ok(message) if cursor.position() <= MAX_BYTES => Ok(Some((message, cursor.position()))),
        Err(Stop::Short) if bytes.len() < MAX_BYTES => Ok(None),
        _ => Err(Malformed),
    }
}

impl<'a> Cursor<'a, '_> {
    fn message(&mut self) -> Result<Message<'a>, Stop> {
        let Value::Array(count @ 3..=4) = self.value()? else {
            return Err(Stop::Malformed);
        };
        let Value::Uint(kind) = self.value()? else {
            return Err(Stop::Malformed);
        };
        match (kind, count) {
            (REQUEST, 4) => self.request(),
            (NOTIFICATION, 3) => self.notification(),
            (RESPONSE, 4) => self.response(),
            _ => Err(Stop::Malformed),
        }
    }

    fn response(&mut self) -> Result<Message<'a>, Stop> {
        for _ in 0..3 {
            self.skip(MAX_DEPTH)?;
        }
        Ok(Message::Other)
    }

    fn request(&mut self) -> Result<Message<'a>, Stop> {
        let Value::Uint(id @ 0..=0xffff_ffff) = self.value()? else {
            return Err(Stop::Malformed);
        };
        let id = id as u32;
        // What can't be used is passed over whole, so that the next message is found.
        let mut whole = self.clone();
        whole.skip(0)?;
        whole.skip(MAX_DEPTH)?;
        let message = match self.value()? {
            Value::Text(method) => self.parameters(id, method)?,
            _ => None,
        };
        self.advance_to(&whole);
        Ok(message.unwrap_or(Message::InvalidRequest { id }))
    }

    fn parameters(&mut self, id: u32, method: &'a str) -> Result<Option<Message<'a>>, Stop> {
        let Value::Array(count) = self.value()? else {
            return Ok(None);
        };
        if count == 0 {
            return Ok(Some(Message::CallWithoutBody {
                id,
                method,
                fields: Vec::new(),
            }));
        }
        let Some(fields) = self.fields()? else {
            return Ok(None);
        };
        if count == 1 {
            return Ok(Some(Message::CallWithoutBody { id, method, fields }));
        }
        Ok(match self.value()? {
            Value::Bytes(body) => Some(Message::Call {
                id,
                method,
                fields,
                body,
            }),
            Value::Text(body) => Some(Message::Call {
                id,
                method,
                fields,
                body: body.as_bytes(),
            }),
            _ => None,
        })
    }

    /// A map of texts to texts; what is neither is left out.
    fn fields(&mut self) -> Result<Option<Fields<'a>>, Stop> {
        let Value::Map(count) = self.value()? else {
            return Ok(None);
        };
        let mut fields = Vec::new();
        for _ in 0..count {
            let (mut name, mut value) = (self.clone(), self.clone());
            value.skip(MAX_DEPTH)?;
            self.advance_to(&value);
            self.skip(MAX_DEPTH)?;
            if let (Value::Text(name), Value::Text(value)) = (name.value()?, value.value()?) {
                if fields.len() == MAX_FIELDS {
                    return Ok(None);
                }
                fields.push((name, value));
            }
        }
        Ok(Some(fields))
    }

    fn notification(&mut self) -> Result<Message<'a>, Stop> {
        let mut inner = self.clone();
        self.skip(0)?;
        self.skip(MAX_DEPTH)?;
        let Value::Text("forget") = inner.value()? else {
            return Ok(Message::Other);
        };
        let Value::Array(count) = inner.value()? else {
            return Ok(Message::Other);
        };
        let mut ids = Vec::new();
        for _ in 0..count {
            match inner.value()? {
                Value::Uint(id @ 0..=0xffff_ffff) => ids.push(id as u32),
                _ => return Ok(Message::Other),
            }
        }
        Ok(Message::Cancel { ids })
    }
}
