//! Encodes the numbers, texts, times and IDs that entries consist of. [`Encoder`] appends them to a
//! buffer, [`Decoder`] reads them from the payload of one frame.

use eideryard::interface::{EngineId, Micros, RequestId};

use super::{Context, DecodeError, Decoded, MAX_ITEMS, MAX_TEXT};

/// Masks the slot in the ID of a request or connection. The upper half is the slot's generation.
const SLOT_MASK: u64 = 0xffff_ffff;
/// Length in bytes of the longest variable-length integer.
const MAX_VARINT_BYTES: usize = 10;
/// Values of the two lowest bits of a float's first byte, which state its encoding: an integer, an
/// integer number of thousandths, or the raw bits.
const FLOAT_INTEGER: u64 = 0;
const FLOAT_THOUSANDTHS: u64 = 1;
const FLOAT_RAW_BITS: u8 = 2;

/// Appends one entry to a buffer.
pub(super) struct Encoder<'a> {
    pub out: &'a mut Vec<u8>,
    pub context: &'a mut Context,
}

/// Decodes the entries in the payload of one frame, one after the other.
pub struct Decoder<'a> {
    rest: &'a [u8],
    pub(super) context: Context,
}

/// The position of a [`Decoder`], from which another decoder can continue.
#[derive(Clone, Copy, Debug)]
pub struct DecoderPosition {
    /// Number of bytes at the end of the payload that aren't decoded yet.
    pub remaining: usize,
    /// The context that the next entry was encoded with.
    pub context: Context,
}

impl<'a> Decoder<'a> {
    /// Creates a decoder for a payload and the context at its start. To continue an earlier
    /// decoder, pass the rest of its payload and the context of its position.
    pub fn new(payload: &'a [u8], context: Context) -> Self {
        Decoder {
            rest: payload,
            context,
        }
    }

    /// Returns the number of remaining bytes and the context of the next entry.
    pub fn position(&self) -> DecoderPosition {
        DecoderPosition {
            remaining: self.rest.len(),
            context: self.context,
        }
    }

    pub(super) fn is_at_end(&self) -> bool {
        self.rest.is_empty()
    }
}

// ---- Bytes and flags ----

impl Encoder<'_> {
    pub fn put_byte(&mut self, byte: u8) {
        self.out.push(byte);
    }

    pub fn put_bytes(&mut self, bytes: &[u8]) {
        self.out.extend_from_slice(bytes);
    }

    pub fn put_flag(&mut self, flag: bool) {
        self.put_byte(u8::from(flag));
    }
}

impl Decoder<'_> {
    pub(super) fn read_byte(&mut self) -> Decoded<u8> {
        let (first, rest) = self.rest.split_first().ok_or(DecodeError::Truncated)?;
        self.rest = rest;
        Ok(*first)
    }

    pub(super) fn read_bytes<const N: usize>(&mut self) -> Decoded<[u8; N]> {
        let (first, rest) = self
            .rest
            .split_first_chunk::<N>()
            .ok_or(DecodeError::Truncated)?;
        self.rest = rest;
        Ok(*first)
    }

    pub(super) fn read_flag(&mut self) -> Decoded<bool> {
        match self.read_byte()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(DecodeError::ValueOutOfRange),
        }
    }

    /// Reads a byte that is an index into `values`, and returns the value at this index.
    pub(super) fn read_one_of<T: Copy>(&mut self, values: &[T]) -> Decoded<T> {
        let index = self.read_byte()?;
        value_at(values, index)
    }
}

/// Returns the value with this index, or an error if there is none.
pub(super) fn value_at<T: Copy>(values: &[T], index: u8) -> Decoded<T> {
    values
        .get(usize::from(index))
        .copied()
        .ok_or(DecodeError::ValueOutOfRange)
}

// ---- Integers ----

impl Encoder<'_> {
    /// Appends a variable-length integer: seven bits per byte, the lowest first. The top bit of a
    /// byte is set if more bytes follow.
    pub fn put_varint(&mut self, mut value: u64) {
        while value >= 0x80 {
            self.put_byte(value as u8 | 0x80);
            value >>= 7;
        }
        self.put_byte(value as u8);
    }

    /// Appends a signed integer in zigzag encoding, so that small numbers of either sign are short.
    pub fn put_signed(&mut self, value: i64) {
        self.put_varint((value << 1 ^ value >> 63) as u64);
    }

    pub fn put_index(&mut self, index: usize) {
        self.put_varint(index as u64);
    }

    /// Appends the index plus one, or 0 for `None`.
    pub fn put_optional_index(&mut self, index: Option<usize>) {
        self.put_varint(index.map_or(0, |index| index as u64 + 1));
    }
}

impl Decoder<'_> {
    pub(super) fn read_varint(&mut self) -> Decoded<u64> {
        let mut value = 0u64;
        for (position, byte) in self.rest.iter().enumerate().take(MAX_VARINT_BYTES) {
            value |= u64::from(byte & 0x7f) << (7 * position);
            if byte & 0x80 == 0 {
                self.rest = &self.rest[position + 1..];
                return Ok(value);
            }
        }
        if self.rest.len() < MAX_VARINT_BYTES {
            Err(DecodeError::Truncated)
        } else {
            Err(DecodeError::ValueOutOfRange)
        }
    }

    pub(super) fn read_signed(&mut self) -> Decoded<i64> {
        let value = self.read_varint()?;
        Ok((value >> 1) as i64 ^ -((value & 1) as i64))
    }

    pub(super) fn read_u32(&mut self) -> Decoded<u32> {
        let value = self.read_varint()?;
        value.try_into().map_err(|_| DecodeError::ValueOutOfRange)
    }

    /// Reads a number and ignores all but its lowest 32 bits.
    pub(super) fn read_u32_truncated(&mut self) -> Decoded<u32> {
        Ok(self.read_varint()? as u32)
    }

    pub(super) fn read_index(&mut self) -> Decoded<usize> {
        Ok(self.read_u32()? as usize)
    }

    pub(super) fn read_optional_index(&mut self) -> Decoded<Option<usize>> {
        Ok(self.read_index()?.checked_sub(1))
    }

    /// Reads the length of a list or text; more than `max` is an error.
    pub(super) fn read_length(&mut self, max: usize) -> Decoded<usize> {
        let length = self.read_index()?;
        if length > max {
            return Err(DecodeError::ValueOutOfRange);
        }
        Ok(length)
    }

    /// Reads a list of at most `max` items with a function that reads one item.
    pub(super) fn read_list<T>(
        &mut self,
        max: usize,
        read_item: impl Fn(&mut Self) -> Decoded<T>,
    ) -> Decoded<Vec<T>> {
        let length = self.read_length(max)?;
        (0..length).map(|_| read_item(self)).collect()
    }
}

// ---- Floats ----

impl Encoder<'_> {
    /// Appends a float. Most values are a multiple of 1/1000 and are encoded as an integer, others
    /// with all 64 bits.
    pub fn put_float(&mut self, value: f64) {
        match thousandths(value) {
            Some(value) if value % 1000 == 0 => {
                self.put_varint((value / 1000) << 2 | FLOAT_INTEGER);
            }
            Some(value) => self.put_varint(value << 2 | FLOAT_THOUSANDTHS),
            None => {
                self.put_byte(FLOAT_RAW_BITS);
                self.put_bytes(&value.to_bits().to_le_bytes());
            }
        }
    }

    pub fn put_floats(&mut self, values: &[f64]) {
        self.put_varint(values.len() as u64);
        for value in values {
            self.put_float(*value);
        }
    }

    /// Appends a byte with one bit for each value, set if the value is present, then the present
    /// values.
    pub fn put_optional_floats(&mut self, values: &[Option<f64>]) {
        let mut present = 0u8;
        for (position, value) in values.iter().enumerate() {
            present |= u8::from(value.is_some()) << position;
        }
        self.put_byte(present);
        for value in values.iter().flatten() {
            self.put_float(*value);
        }
    }
}

/// Returns the value as a number of thousandths, if that represents it exactly.
fn thousandths(value: f64) -> Option<u64> {
    let scaled = value * 1e3;
    if !(0.0..1e15).contains(&scaled) {
        return None;
    }
    let whole = scaled.round() as u64;
    let is_exact = (whole as f64 / 1e3).to_bits() == value.to_bits();
    is_exact.then_some(whole)
}

impl Decoder<'_> {
    pub(super) fn read_float(&mut self) -> Decoded<f64> {
        if self.rest.first() == Some(&FLOAT_RAW_BITS) {
            self.read_byte()?;
            let bits = u64::from_le_bytes(self.read_bytes()?);
            return Ok(f64::from_bits(bits));
        }
        let value = self.read_varint()?;
        match value & 3 {
            FLOAT_INTEGER => Ok((value >> 2) as f64),
            FLOAT_THOUSANDTHS => Ok((value >> 2) as f64 / 1e3),
            _ => Err(DecodeError::ValueOutOfRange),
        }
    }

    pub(super) fn read_optional_floats<const N: usize>(&mut self) -> Decoded<[Option<f64>; N]> {
        let present = self.read_byte()?;
        if present >> N != 0 {
            return Err(DecodeError::ValueOutOfRange);
        }
        let mut values = [None; N];
        for (position, value) in values.iter_mut().enumerate() {
            if present >> position & 1 == 1 {
                *value = Some(self.read_float()?);
            }
        }
        Ok(values)
    }

    /// Reads optional floats and replaces absent ones with 0.
    pub(super) fn read_floats_or_zero<const N: usize>(&mut self) -> Decoded<[f64; N]> {
        let values = self.read_optional_floats::<N>()?;
        Ok(values.map(Option::unwrap_or_default))
    }
}

// ---- Texts ----

impl Encoder<'_> {
    /// Appends a text, truncated to at most [`MAX_TEXT`] bytes.
    pub fn put_text(&mut self, text: &str) {
        let mut length = text.len().min(MAX_TEXT);
        while !text.is_char_boundary(length) {
            length -= 1;
        }
        self.put_varint(length as u64);
        self.put_bytes(&text.as_bytes()[..length]);
    }

    pub fn put_texts(&mut self, texts: &[String]) {
        self.put_varint(texts.len() as u64);
        for text in texts {
            self.put_text(text);
        }
    }
}

impl Decoder<'_> {
    pub(super) fn read_text(&mut self) -> Decoded<String> {
        let length = self.read_length(MAX_TEXT)?;
        let (text, rest) = self
            .rest
            .split_at_checked(length)
            .ok_or(DecodeError::Truncated)?;
        self.rest = rest;
        let text = std::str::from_utf8(text).map_err(|_| DecodeError::InvalidUtf8)?;
        Ok(text.to_string())
    }

    pub(super) fn read_texts(&mut self) -> Decoded<Vec<String>> {
        self.read_list(MAX_ITEMS, Self::read_text)
    }
}

// ---- Times, as differences from the time of the entry ----

impl Encoder<'_> {
    pub fn put_time_after(&mut self, time: Micros) {
        self.put_signed(time.wrapping_sub(self.context.at) as i64);
    }

    pub fn put_time_before(&mut self, time: Micros) {
        self.put_signed(self.context.at.wrapping_sub(time) as i64);
    }
}

impl Decoder<'_> {
    pub(super) fn read_time_after(&mut self) -> Decoded<Micros> {
        Ok(self.context.at.wrapping_add(self.read_signed()? as u64))
    }

    pub(super) fn read_time_before(&mut self) -> Decoded<Micros> {
        Ok(self.context.at.wrapping_sub(self.read_signed()? as u64))
    }
}

// ---- IDs ----

impl Encoder<'_> {
    pub fn put_engine(&mut self, engine: EngineId) {
        self.put_bytes(&engine.to_le_bytes());
    }

    /// Appends the difference of the generation from that of the last encoded request, then the
    /// slot.
    pub fn put_request(&mut self, request: RequestId) {
        let generation = (request >> 32) as u32;
        let step = generation.wrapping_sub(self.context.generation) as i32;
        self.put_signed(i64::from(step));
        self.put_varint(request & SLOT_MASK);
        self.context.generation = generation;
    }

    pub fn put_connection(&mut self, connection: u64) {
        self.put_varint(connection & SLOT_MASK);
        self.put_varint(connection >> 32);
    }
}

impl Decoder<'_> {
    pub(super) fn read_engine(&mut self) -> Decoded<EngineId> {
        Ok(u32::from_le_bytes(self.read_bytes()?))
    }

    pub(super) fn read_request(&mut self) -> Decoded<RequestId> {
        let step = i32::try_from(self.read_signed()?).map_err(|_| DecodeError::ValueOutOfRange)?;
        let generation = self.context.generation.wrapping_add(step as u32);
        self.context.generation = generation;
        let slot = self.read_u32()?;
        Ok(u64::from(generation) << 32 | u64::from(slot))
    }

    pub(super) fn read_connection(&mut self) -> Decoded<u64> {
        let slot = self.read_u32()?;
        let generation = self.read_u32()?;
        Ok(u64::from(slot) | u64::from(generation) << 32)
    }
}
