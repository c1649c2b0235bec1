//! MessagePack-RPC as clients speak it to a gateway: bytes in, messages out, no I/O.
//!
//! [`decode`] looks at the bytes that a connection holds and gives the first message with its
//! length, `None` while it isn't whole, or an error where no message can begin like that. It
//! borrows from the bytes, keeps nothing between calls, and never looks past [`MAX_BYTES`].

#![expect(missing_docs, reason = "public items are still to be described")]

use rmp::{encode, Marker};
use std::cell::Cell;
use std::fmt;

/// The longest message that is read: a statement of that length is no query that an engine takes.
pub const MAX_BYTES: usize = 1 << 20;
/// How deep values may be nested in what is passed over.
const MAX_DEPTH: usize = 16;
/// The most fields that are kept of one message.
const MAX_FIELDS: usize = 64;
/// The most values that are looked at for one message: what has more is no request. It bounds the
/// work that begins anew with each piece of a long one.
pub const MAX_VALUES: usize = 4096;

const REQUEST: u64 = 0;
const NOTIFICATION: u64 = 2;

/// The fields of a request, as a client sent them.
pub type Fields<'a> = Vec<(&'a str, &'a str)>;

#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// A request to serve: the method is the class.
    Call {
        id: u32,
        method: &'a str,
        fields: Fields<'a>,
        body: &'a [u8],
    },
    /// A request without a body, as the question after a gateway's health.
    Ask {
        id: u32,
        method: &'a str,
        fields: Fields<'a>,
    },
    /// The client no longer waits for these.
    Forget { ids: Vec<u32> },
    /// A request whose parameters are none that this protocol has.
    Unusable { id: u32 },
    /// A whole message that asks for nothing: a notification of another name, or an answer.
    Other,
}

/// What no message begins with; nothing that follows on the connection can be trusted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no MessagePack-RPC message")
    }
}

impl std::error::Error for Malformed {}

/// Why a value could not be read.
enum Stop {
    Short,
    Malformed,
}

/// The first message in `bytes` and its length.
pub fn decode(bytes: &[u8]) -> Result<Option<(Message<'_>, usize)>, Malformed> {
    let mut rest = Cursor {
        bytes,
        at: 0,
        looks: &Cell::new(0),
    };
    match rest.message() {
        Ok(message) if rest.at <= MAX_BYTES => Ok(Some((message, rest.at))),
        Err(Stop::Short) if bytes.len() < MAX_BYTES => Ok(None),
        _ => Err(Malformed),
    }
}

#[derive(Clone)]
struct Cursor<'a, 'n> {
    bytes: &'a [u8],
    at: usize,
    /// Values looked at so far, with what clones of this looked at.
    looks: &'n Cell<usize>,
}

/// A value, read as far as this protocol has use for it.
enum Value<'a> {
    Uint(u64),
    Text(&'a str),
    Bytes(&'a [u8]),
    Array(usize),
    Map(usize),
    Plain,
}

impl<'a> Cursor<'a, '_> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], Stop> {
        if count > MAX_BYTES {
            return Err(Stop::Malformed);
        }
        let taken = self
            .bytes
            .get(self.at..self.at + count)
            .ok_or(Stop::Short)?;
        self.at += count;
        Ok(taken)
    }

    fn big_endian(&mut self, width: usize) -> Result<u64, Stop> {
        Ok(self
            .take(width)?
            .iter()
            .fold(0, |value, &byte| value << 8 | byte as u64))
    }

    fn sized(&mut self, width: usize) -> Result<&'a [u8], Stop> {
        let count = self.big_endian(width)? as usize;
        self.take(count)
    }

    /// The next value; of arrays and maps only the head.
    fn value(&mut self) -> Result<Value<'a>, Stop> {
        self.looks.set(self.looks.get() + 1);
        if self.looks.get() > MAX_VALUES {
            return Err(Stop::Malformed);
        }
        let text = |bytes| match std::str::from_utf8(bytes) {
            Ok(text) => Value::Text(text),
            Err(_) => Value::Bytes(bytes),
        };
        Ok(match Marker::from_u8(self.take(1)?[0]) {
            Marker::FixPos(value) => Value::Uint(value as u64),
            Marker::U8 => Value::Uint(self.big_endian(1)?),
            Marker::U16 => Value::Uint(self.big_endian(2)?),
            Marker::U32 => Value::Uint(self.big_endian(4)?),
            Marker::U64 => Value::Uint(self.big_endian(8)?),
            Marker::FixStr(count) => text(self.take(count as usize)?),
            Marker::Str8 => text(self.sized(1)?),
            Marker::Str16 => text(self.sized(2)?),
            Marker::Str32 => text(self.sized(4)?),
            Marker::Bin8 => Value::Bytes(self.sized(1)?),
            Marker::Bin16 => Value::Bytes(self.sized(2)?),
            Marker::Bin32 => Value::Bytes(self.sized(4)?),
            Marker::FixArray(count) => Value::Array(count as usize),
            Marker::Array16 => Value::Array(self.big_endian(2)? as usize),
            Marker::Array32 => Value::Array(self.big_endian(4)? as usize),
            Marker::FixMap(count) => Value::Map(count as usize),
            Marker::Map16 => Value::Map(self.big_endian(2)? as usize),
            Marker::Map32 => Value::Map(self.big_endian(4)? as usize),
            Marker::I8 => self.signed(1)?,
            Marker::I16 => self.signed(2)?,
            Marker::I32 => self.signed(4)?,
            Marker::I64 => self.signed(8)?,
            Marker::Null | Marker::True | Marker::False | Marker::FixNeg(_) => Value::Plain,
            Marker::F32 => self.plain(4)?,
            Marker::F64 => self.plain(8)?,
            Marker::FixExt1 => self.plain(2)?,
            Marker::FixExt2 => self.plain(3)?,
            Marker::FixExt4 => self.plain(5)?,
            Marker::FixExt8 => self.plain(9)?,
            Marker::FixExt16 => self.plain(17)?,
            Marker::Ext8 => self.extension(1)?,
            Marker::Ext16 => self.extension(2)?,
            Marker::Ext32 => self.extension(4)?,
            Marker::Reserved => return Err(Stop::Malformed),
        })
    }

    /// Some clients write every number as signed.
    fn signed(&mut self, width: usize) -> Result<Value<'a>, Stop> {
        let value = self.big_endian(width)?;
        let negative = value >> (8 * width - 1) == 1;
        Ok(if negative {
            Value::Plain
        } else {
            Value::Uint(value)
        })
    }

    fn plain(&mut self, width: usize) -> Result<Value<'a>, Stop> {
        self.take(width).map(|_| Value::Plain)
    }

    fn extension(&mut self, width: usize) -> Result<Value<'a>, Stop> {
        let count = self.big_endian(width)? as usize;
        self.plain(count + 1)
    }

    fn pass_over(&mut self, depth: usize) -> Result<(), Stop> {
        let inside = match self.value()? {
            Value::Array(count) => count,
            Value::Map(count) => 2 * count,
            _ => 0,
        };
        if inside > 0 && depth == 0 || inside > MAX_BYTES {
            return Err(Stop::Malformed);
        }
        (0..inside).try_for_each(|_| self.pass_over(depth - 1))
    }

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
            (1, 4) => (0..3)
                .try_for_each(|_| self.pass_over(MAX_DEPTH))
                .map(|_| Message::Other),
            _ => Err(Stop::Malformed),
        }
    }

    fn request(&mut self) -> Result<Message<'a>, Stop> {
        let Value::Uint(id @ 0..=0xffff_ffff) = self.value()? else {
            return Err(Stop::Malformed);
        };
        let id = id as u32;
        // What can't be used is passed over whole, so that the next message is found.
        let mut whole = self.clone();
        whole.pass_over(0)?;
        whole.pass_over(MAX_DEPTH)?;
        let message = match self.value()? {
            Value::Text(method) => self.parameters(id, method)?,
            _ => None,
        };
        self.at = whole.at;
        Ok(message.unwrap_or(Message::Unusable { id }))
    }

    fn parameters(&mut self, id: u32, method: &'a str) -> Result<Option<Message<'a>>, Stop> {
        let Value::Array(count) = self.value()? else {
            return Ok(None);
        };
        if count == 0 {
            return Ok(Some(Message::Ask {
                id,
                method,
                fields: Vec::new(),
            }));
        }
        let Some(fields) = self.fields()? else {
            return Ok(None);
        };
        if count == 1 {
            return Ok(Some(Message::Ask { id, method, fields }));
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
            value.pass_over(MAX_DEPTH)?;
            self.at = value.at;
            self.pass_over(MAX_DEPTH)?;
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
        self.pass_over(0)?;
        self.pass_over(MAX_DEPTH)?;
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
        Ok(Message::Forget { ids })
    }
}

fn head(out: &mut Vec<u8>, id: u32) {
    // Writing to a vector cannot fail.
    let _ = encode::write_array_len(out, 4);
    let _ = encode::write_uint(out, 1);
    let _ = encode::write_uint(out, id as u64);
}

fn map(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    let _ = encode::write_map_len(out, fields.len() as u32);
    for (name, value) in fields {
        let _ = encode::write_str(out, name);
        let _ = encode::write_str(out, value);
    }
}

/// Served: the result, in the pages that it came in.
pub fn write_result<'a>(out: &mut Vec<u8>, id: u32, pages: impl Iterator<Item = &'a [u8]> + Clone) {
    write_part(out, id, pages, &[]);
}

/// A part of a result, with fields that say how it goes on.
pub fn write_part<'a>(
    out: &mut Vec<u8>,
    id: u32,
    pages: impl Iterator<Item = &'a [u8]> + Clone,
    fields: &[(&str, &str)],
) {
    head(out, id);
    encode::write_nil(out).unwrap_or_default();
    let _ = encode::write_array_len(out, 2);
    let _ = encode::write_bin_len(out, pages.clone().map(|page| page.len() as u32).sum());
    pages.for_each(|page| out.extend_from_slice(page));
    map(out, fields);
}

/// Refused or failed: the error's word and its fields.
pub fn write_error(out: &mut Vec<u8>, id: u32, word: &str, fields: &[(&str, &str)]) {
    head(out, id);
    let _ = encode::write_array_len(out, 2);
    let _ = encode::write_str(out, word);
    map(out, fields);
    encode::write_nil(out).unwrap_or_default();
}

/// The answer to a question after the gateway's health.
pub fn write_health(out: &mut Vec<u8>, id: u32, well: bool) {
    head(out, id);
    encode::write_nil(out).unwrap_or_default();
    let _ = encode::write_array_len(out, 2);
    encode::write_bool(out, well).unwrap_or_default();
    map(out, &[]);
}
