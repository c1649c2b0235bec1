//! A cursor that reads MessagePack values one after the other without copying them.

use std::cell::Cell;

use rmp::Marker;

use crate::{MAX_BYTES, MAX_VALUES};

/// Why a value could not be read.
pub(crate) enum ReadError {
    /// The input ends within the value.
    Incomplete,
    /// The bytes are not MessagePack, or a limit is exceeded.
    Malformed,
}

#[derive(Clone)]
pub(crate) struct Cursor<'a, 'n> {
    bytes: &'a [u8],
    position: usize,
    /// Number of values that this cursor and its clones have read, which `MAX_VALUES` limits.
    visited_values: &'n Cell<usize>,
}

/// A value of one of the types that the protocol uses.
pub(crate) enum Value<'a> {
    Uint(u64),
    Text(&'a str),
    Bytes(&'a [u8]),
    /// The head of an array with this many values.
    Array(usize),
    /// The head of a map with this many pairs.
    Map(usize),
    /// A value of any other type.
    Other,
}

impl<'a, 'n> Cursor<'a, 'n> {
    pub(crate) fn new(bytes: &'a [u8], visited_values: &'n Cell<usize>) -> Self {
        Cursor {
            bytes,
            position: 0,
            visited_values,
        }
    }

    /// Returns the offset in bytes of the next value.
    pub(crate) fn position(&self) -> usize {
        self.position
    }

    /// Moves to the position of another cursor over the same bytes.
    pub(crate) fn advance_to(&mut self, other: &Cursor<'_, '_>) {
        self.position = other.position;
    }

    fn read_bytes(&mut self, count: usize) -> Result<&'a [u8], ReadError> {
        if count > MAX_BYTES {
            return Err(ReadError::Malformed);
        }
        let taken = self
            .bytes
            .get(self.position..self.position + count)
            .ok_or(ReadError::Incomplete)?;
        self.position += count;
        Ok(taken)
    }

    fn read_big_endian(&mut self, width: usize) -> Result<u64, ReadError> {
        let bytes = self.read_bytes(width)?;
        Ok(bytes
            .iter()
            .fold(0, |value, &byte| value << 8 | u64::from(byte)))
    }

    /// Reads a length field of `width` bytes, then the number of bytes that it states.
    fn read_sized(&mut self, width: usize) -> Result<&'a [u8], ReadError> {
        let count = self.read_big_endian(width)? as usize;
        self.read_bytes(count)
    }

    /// Reads the next value, or only the head if it is an array or a map.
    pub(crate) fn read_value(&mut self) -> Result<Value<'a>, ReadError> {
        self.visited_values.set(self.visited_values.get() + 1);
        if self.visited_values.get() > MAX_VALUES {
            return Err(ReadError::Malformed);
        }
        let text = |bytes| match std::str::from_utf8(bytes) {
            Ok(text) => Value::Text(text),
            Err(_) => Value::Bytes(bytes),
        };
        Ok(match Marker::from_u8(self.read_bytes(1)?[0]) {
            Marker::FixPos(value) => Value::Uint(value as u64),
            Marker::U8 => Value::Uint(self.read_big_endian(1)?),
            Marker::U16 => Value::Uint(self.read_big_endian(2)?),
            Marker::U32 => Value::Uint(self.read_big_endian(4)?),
            Marker::U64 => Value::Uint(self.read_big_endian(8)?),
            Marker::FixStr(count) => text(self.read_bytes(count as usize)?),
            Marker::Str8 => text(self.read_sized(1)?),
            Marker::Str16 => text(self.read_sized(2)?),
            Marker::Str32 => text(self.read_sized(4)?),
            Marker::Bin8 => Value::Bytes(self.read_sized(1)?),
            Marker::Bin16 => Value::Bytes(self.read_sized(2)?),
            Marker::Bin32 => Value::Bytes(self.read_sized(4)?),
            Marker::FixArray(count) => Value::Array(count as usize),
            Marker::Array16 => Value::Array(self.read_big_endian(2)? as usize),
            Marker::Array32 => Value::Array(self.read_big_endian(4)? as usize),
            Marker::FixMap(count) => Value::Map(count as usize),
            Marker::Map16 => Value::Map(self.read_big_endian(2)? as usize),
            Marker::Map32 => Value::Map(self.read_big_endian(4)? as usize),
            Marker::I8 => self.read_signed(1)?,
            Marker::I16 => self.read_signed(2)?,
            Marker::I32 => self.read_signed(4)?,
            Marker::I64 => self.read_signed(8)?,
            Marker::Null | Marker::True | Marker::False | Marker::FixNeg(_) => Value::Other,
            Marker::F32 => self.read_other(4)?,
            Marker::F64 => self.read_other(8)?,
            Marker::FixExt1 => self.read_other(2)?,
            Marker::FixExt2 => self.read_other(3)?,
            Marker::FixExt4 => self.read_other(5)?,
            Marker::FixExt8 => self.read_other(9)?,
            Marker::FixExt16 => self.read_other(17)?,
            Marker::Ext8 => self.read_extension(1)?,
            Marker::Ext16 => self.read_extension(2)?,
            Marker::Ext32 => self.read_extension(4)?,
            Marker::Reserved => return Err(ReadError::Malformed),
        })
    }

    /// Reads an integer of a signed type. Some clients use these for all integers.
    fn read_signed(&mut self, width: usize) -> Result<Value<'a>, ReadError> {
        let value = self.read_big_endian(width)?;
        let is_negative = value >> (8 * width - 1) == 1;
        Ok(if is_negative {
            Value::Other
        } else {
            Value::Uint(value)
        })
    }

    fn read_other(&mut self, width: usize) -> Result<Value<'a>, ReadError> {
        self.read_bytes(width).map(|_| Value::Other)
    }

    fn read_extension(&mut self, width: usize) -> Result<Value<'a>, ReadError> {
        let count = self.read_big_endian(width)? as usize;
        self.read_other(count + 1)
    }

    /// Skips a value with everything inside it. Nesting deeper than `depth` levels is an error.
    pub(crate) fn skip_value(&mut self, depth: usize) -> Result<(), ReadError> {
        let inside = match self.read_value()? {
            Value::Array(count) => count,
            Value::Map(count) => 2 * count,
            _ => 0,
        };
        if inside > 0 && depth == 0 || inside > MAX_BYTES {
            return Err(ReadError::Malformed);
        }
        for _ in 0..inside {
            self.skip_value(depth - 1)?;
        }
        Ok(())
    }
}
