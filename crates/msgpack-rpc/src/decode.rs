//! The decoder for messages from clients.

use std::cell::Cell;

use thiserror::Error;

use crate::cursor::{Cursor, ReadError, Value};
use crate::{MAX_BYTES, NOTIFICATION, REQUEST, RESPONSE};

/// Maximum nesting depth of values that are skipped.
const MAX_DEPTH: usize = 16;
/// Maximum number of fields in one message.
const MAX_FIELDS: usize = 64;

/// The fields of a request as names and values, in the order in which the client sent them.
pub type Fields<'a> = Vec<(&'a str, &'a str)>;

/// A message from a client.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// A request with a statement to run.
    Call {
        /// ID that the client chose for the request; the response repeats it.
        id: u32,
        /// Name of the class that the request belongs to.
        method: &'a str,
        /// The request's options, such as its deadline.
        fields: Fields<'a>,
        /// The statement, as the engine gets it.
        body: &'a [u8],
    },
    /// A request without a body, such as a health check.
    CallWithoutBody {
        /// ID that the client chose for the request; the response repeats it.
        id: u32,
        /// Name of the method that is called.
        method: &'a str,
        /// The arguments of the method.
        fields: Fields<'a>,
    },
    /// A notification that the client no longer waits for some requests.
    Cancel {
        /// IDs that the client chose for these requests.
        ids: Vec<u32>,
    },
    /// A request whose parameters don't have the form that this protocol requires.
    InvalidRequest {
        /// ID that the client chose for the request; the error response repeats it.
        id: u32,
    },
    /// A valid message that needs no action: a notification with another name, or a response.
    Other,
}

/// The input does not begin with a valid message. The connection must be closed, since the start of
/// the next message is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected a MessagePack-RPC message, found other data")]
pub struct Malformed;

/// Decodes the first message in `bytes` and returns it with its length, or `None` if the message is
/// incomplete.
///
/// # Errors
///
/// Returns an error if `bytes` is not the beginning of a message, or if the message is longer than
/// [`MAX_BYTES`] or has more than [`MAX_VALUES`](crate::MAX_VALUES) values.
pub fn decode(bytes: &[u8]) -> Result<Option<(Message<'_>, usize)>, Malformed> {
    let visited_values = Cell::new(0);
    let mut cursor = Cursor::new(bytes, &visited_values);
    match cursor.read_message() {
        Ok(message) if cursor.position() <= MAX_BYTES => Ok(Some((message, cursor.position()))),
        Err(ReadError::Incomplete) if bytes.len() < MAX_BYTES => Ok(None),
        _ => Err(Malformed),
    }
}

impl<'a> Cursor<'a, '_> {
    fn read_message(&mut self) -> Result<Message<'a>, ReadError> {
        let Value::Array(count @ 3..=4) = self.read_value()? else {
            return Err(ReadError::Malformed);
        };
        let Value::Uint(kind) = self.read_value()? else {
            return Err(ReadError::Malformed);
        };
        match (kind, count) {
            (REQUEST, 4) => self.read_request(),
            (NOTIFICATION, 3) => self.read_notification(),
            (RESPONSE, 4) => self.skip_response(),
            _ => Err(ReadError::Malformed),
        }
    }

    fn skip_response(&mut self) -> Result<Message<'a>, ReadError> {
        for _ in 0..3 {
            self.skip_value(MAX_DEPTH)?;
        }
        Ok(Message::Other)
    }

    fn read_request(&mut self) -> Result<Message<'a>, ReadError> {
        let Value::Uint(id @ 0..=0xffff_ffff) = self.read_value()? else {
            return Err(ReadError::Malformed);
        };
        let id = id as u32;
        // Finds the end of the request first so that the next message can be decoded even if this
        // one has unsupported parameters.
        let mut end = self.clone();
        end.skip_value(0)?;
        end.skip_value(MAX_DEPTH)?;
        let message = match self.read_value()? {
            Value::Text(method) => self.read_parameters(id, method)?,
            _ => None,
        };
        self.advance_to(&end);
        Ok(message.unwrap_or(Message::InvalidRequest { id }))
    }

    fn read_parameters(
        &mut self,
        id: u32,
        method: &'a str,
    ) -> Result<Option<Message<'a>>, ReadError> {
        let Value::Array(count) = self.read_value()? else {
            return Ok(None);
        };
        if count == 0 {
            return Ok(Some(Message::CallWithoutBody {
                id,
                method,
                fields: Vec::new(),
            }));
        }
        let Some(fields) = self.read_fields()? else {
            return Ok(None);
        };
        if count == 1 {
            return Ok(Some(Message::CallWithoutBody { id, method, fields }));
        }
        Ok(match self.read_value()? {
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

    /// Reads a map and returns its pairs of two strings; other pairs are skipped. Returns `None` if
    /// the value is not a map or has more than [`MAX_FIELDS`] such pairs.
    fn read_fields(&mut self) -> Result<Option<Fields<'a>>, ReadError> {
        let Value::Map(count) = self.read_value()? else {
            return Ok(None);
        };
        let mut fields = Vec::new();
        for _ in 0..count {
            let (mut name, mut value) = (self.clone(), self.clone());
            value.skip_value(MAX_DEPTH)?;
            self.advance_to(&value);
            self.skip_value(MAX_DEPTH)?;
            if let (Value::Text(name), Value::Text(value)) =
                (name.read_value()?, value.read_value()?)
            {
                if fields.len() == MAX_FIELDS {
                    return Ok(None);
                }
                fields.push((name, value));
            }
        }
        Ok(Some(fields))
    }

    fn read_notification(&mut self) -> Result<Message<'a>, ReadError> {
        let mut inner = self.clone();
        self.skip_value(0)?;
        self.skip_value(MAX_DEPTH)?;
        let Value::Text("forget") = inner.read_value()? else {
            return Ok(Message::Other);
        };
        let Value::Array(count) = inner.read_value()? else {
            return Ok(Message::Other);
        };
        let mut ids = Vec::new();
        for _ in 0..count {
            match inner.read_value()? {
                Value::Uint(id @ 0..=0xffff_ffff) => ids.push(id as u32),
                _ => return Ok(Message::Other),
            }
        }
        Ok(Message::Cancel { ids })
    }
}
