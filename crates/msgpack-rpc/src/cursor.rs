//! MessagePack values, read one after the other without a copy.

use std::cell::Cell;

use rmp::Marker;

use crate::{MAX_BYTES, MAX_VALUES};

/// Why a value could not be read.
pub(crate) enum Stop {
    /// The bytes end within it.
    Short,
    /// No value is written so.
    Malformed,
}

#[derive(Clone)]
pub(crate) struct Cursor<'a, 'n> {
    bytes: &'a [u8],
    position: usize,
    /// Values read so far, those that clones of this cursor read included.
    visited_values: &'n Cell<usize>,
}

/// A value, read as far as this protocol has use for it.
pub(crate) enum Value<'a> {
    Uint(u64),
    Text(&'a str),
    Bytes(&'a [u8]),
    /// The head of an array of so many values.
    Array(usize),
    /// The head of a map of so many pairs.
    Map(usize),
    /// A value of no use here.
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

    /// How many bytes were read.
    pub(crate) fn position(&self) -> usize {
        self.position
    }

    /// Goes on where another cursor over the same bytes is.
    pub(crate) fn advance_to(&mut self, other: &Cursor<'_, '_>) {
        self.position = other.position;
    }

    fn take(&mut self, count: usize) -> Result<&'a [u8], Stop> {
        if count > MAX_BYTES {
            return Err(Stop::Malformed);
        }
        let taken = self
            .bytes
            .get(self.position..self.position + count)
            .ok_or(Stop::Short)?;
        self.position += count;
        Ok(taken)
    }

    fn big_endian(&mut self, width: usize) -> Result<u64, Stop> {
        let bytes = self.take(width)?;
        Ok(bytes
            .iter()
            .fold(0, |value, &byte| value << 8 | u64::from(byte)))
    }

    fn sized(&mut self, width: usize) -> Result<&'a [u8], Stop> {
        let count = self.big_endian(width)? as usize;
        self.take(count)
    }

    /// The next value; of arrays and maps only the head.
    pub(crate) fn value(&mut self) -> Result<Value<'a>, Stop> {
        self.visited_values.set(self.visited_values.get() + 1);
        if self.visited_values.get() > MAX_VALUES {
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
            Marker::Null | Marker::True | Marker::False | Marker::FixNeg(_) => Value::Other,
            Marker::F32 => self.other(4)?,
            Marker::F64 => self.other(8)?,
            Marker::FixExt1 => self.other(2)?,
            Marker::FixExt2 => self.other(3)?,
            Marker::FixExt4 => self.other(5)?,
            Marker::FixExt8 => self.other(9)?,
            Marker::FixExt16 => self.other(17)?,
            Marker::Ext8 => self.extension(1)?,
            Marker::Ext16 => self.extension(2)?,
            Marker::Ext32 => self.extension(4)?,
            Marker::Reserved => return Err(Stop::Malformed),
        })
    }

    /// A number that is written as signed, as some clients write every one.
    fn signed(&mut self, width: usize) -> Result<Value<'a>, Stop> {
        let value = self.big_endian(width)?;
        let is_negative = value >> (8 * width - 1) == 1;
        Ok(if is_negative {
            Value::Other
        } else {
            Value::Uint(value)
        })
    }

    fn other(&mut self, width: usize) -> Result<Value<'a>, Stop> {
        self.take(width).map(|_| Value::Other)
    }

    fn extension(&mut self, width: usize) -> Result<Value<'a>, Stop> {
        let count = self.big_endian(width)? as usize;
        self.other(count + 1)
    }

    /// Skips a value with all that it holds, nested no deeper than so many levels.
    pub(crate) fn skip(&mut self, depth: usize) -> Result<(), Stop> {
        let inside = match self.value()? {
            Value::Array(count) => count,
            Value::Map(count) => 2 * count,
            _ => 0,
        };
        if inside > 0 && depth == 0 || inside > MAX_BYTES {
            return Err(Stop::Malformed);
        }
        for _ in 0..inside {
            self.skip(depth - 1)?;
        }
        Ok(())
    }
}
