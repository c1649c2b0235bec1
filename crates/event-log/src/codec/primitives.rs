//! Numbers, texts, times and ids: what entries consist of. [`Encoder`] appends them to a buffer,
//! [`Decoder`] reads them from one frame's payload.

use eideryard::interface::{EngineId, Micros, RequestId};

use super::{Context, DecodeError, Decoded, MAX_ITEMS, MAX_TEXT};

/// The low half of request and connection ids: the slot. The high half is its generation.
const SLOT_MASK: u64 = 0xffff_ffff;
/// Bytes of the longest number.
const MAX_NUMBER_BYTES: usize = 10;
/// The two lowest bits of a real's first byte say how it is encoded.
const REAL_WHOLE: u64 = 0;
const REAL_THOUSANDTHS: u64 = 1;
const REAL_BITS: u8 = 2;

/// Appends one entry to a buffer.
pub(super) struct Encoder<'a> {
    pub out: &'a mut Vec<u8>,
    pub context: &'a mut Context,
}

/// Decodes the entries of one frame, one after the other.
pub struct Decoder<'a> {
    rest: &'a [u8],
    pub(super) context: Context,
}

/// Where a [`Decoder`] stands: enough to continue with another one.
#[derive(Clone, Copy, Debug)]
pub struct DecoderPosition {
    /// Bytes that aren't decoded yet.
    pub remaining: usize,
    /// What the next entry is encoded relative to.
    pub context: Context,
}

impl<'a> Decoder<'a> {
    /// A decoder of a payload, or of the rest of one with the context there.
    pub fn new(payload: &'a [u8], context: Context) -> Self {
        Decoder {
            rest: payload,
            context,
        }
    }

    /// How much is left, and the context there.
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

    /// A byte that is the index of one of these values.
    pub(super) fn read_one_of<T: Copy>(&mut self, values: &[T]) -> Decoded<T> {
        let index = self.read_byte()?;
        value_at(values, index)
    }
}

/// The value with this index.
pub(super) fn value_at<T: Copy>(values: &[T], index: u8) -> Decoded<T> {
    values
        .get(usize::from(index))
        .copied()
        .ok_or(DecodeError::ValueOutOfRange)
}

// ---- Whole numbers ----

impl Encoder<'_> {
    /// Seven bits a byte, the lowest first; the top bit says that more follow.
    pub fn put_number(&mut self, mut value: u64) {
        while value >= 0x80 {
            self.put_byte(value as u8 | 0x80);
            value >>= 7;
        }
        self.put_byte(value as u8);
    }

    /// Zigzag: small numbers of either sign are short.
    pub fn put_signed(&mut self, value: i64) {
        self.put_number((value << 1 ^ value >> 63) as u64);
    }

    pub fn put_index(&mut self, index: usize) {
        self.put_number(index as u64);
    }

    /// 0 is none; otherwise the index plus one.
    pub fn put_optional_index(&mut self, index: Option<usize>) {
        self.put_number(index.map_or(0, |index| index as u64 + 1));
    }
}

impl Decoder<'_> {
    pub(super) fn read_number(&mut self) -> Decoded<u64> {
        let mut value = 0u64;
        for (position, byte) in self.rest.iter().enumerate().take(MAX_NUMBER_BYTES) {
            value |= u64::from(byte & 0x7f) << (7 * position);
            if byte & 0x80 == 0 {
                self.rest = &self.rest[position + 1..];
                return Ok(value);
            }
        }
        if self.rest.len() < MAX_NUMBER_BYTES {
            Err(DecodeError::Truncated)
        } else {
            Err(DecodeError::ValueOutOfRange)
        }
    }

    pub(super) fn read_signed(&mut self) -> Decoded<i64> {
        let value = self.read_number()?;
        Ok((value >> 1) as i64 ^ -((value & 1) as i64))
    }

    pub(super) fn read_u32(&mut self) -> Decoded<u32> {
        let value = self.read_number()?;
        value.try_into().map_err(|_| DecodeError::ValueOutOfRange)
    }

    /// A number of which only the lowest 32 bits count.
    pub(super) fn read_u32_truncated(&mut self) -> Decoded<u32> {
        Ok(self.read_number()? as u32)
    }

    pub(super) fn read_index(&mut self) -> Decoded<usize> {
        Ok(self.read_u32()? as usize)
    }

    pub(super) fn read_optional_index(&mut self) -> Decoded<Option<usize>> {
        Ok(self.read_index()?.checked_sub(1))
    }

    /// The length of a list or text of at most `max`.
    pub(super) fn read_length(&mut self, max: usize) -> Decoded<usize> {
        let length = self.read_index()?;
        if length > max {
            return Err(DecodeError::ValueOutOfRange);
        }
        Ok(length)
    }

    /// A list of at most `max` items, each read by the same function.
    pub(super) fn read_list<T>(
        &mut self,
        max: usize,
        read_item: impl Fn(&mut Self) -> Decoded<T>,
    ) -> Decoded<Vec<T>> {
        let length = self.read_length(max)?;
        (0..length).map(|_| read_item(self)).collect()
    }
}

// ---- Real numbers ----

impl Encoder<'_> {
    /// Whole thousandths, as most values are, become a number; other values all their bits.
    pub fn put_real(&mut self, value: f64) {
        match thousandths(value) {
            Some(value) if value % 1000 == 0 => self.put_number((value / 1000) << 2 | REAL_WHOLE),
            Some(value) => self.put_number(value << 2 | REAL_THOUSANDTHS),
            None => {
                self.put_byte(REAL_BITS);
                self.put_bytes(&value.to_bits().to_le_bytes());
            }
        }
    }

    pub fn put_reals(&mut self, values: &[f64]) {
        self.put_number(values.len() as u64);
        for value in values {
            self.put_real(*value);
        }
    }

    /// A byte with a bit for each value that is present, then those values.
    pub fn put_optional_reals(&mut self, values: &[Option<f64>]) {
        let mut present = 0u8;
        for (position, value) in values.iter().enumerate() {
            present |= u8::from(value.is_some()) << position;
        }
        self.put_byte(present);
        for value in values.iter().flatten() {
            self.put_real(*value);
        }
    }
}

/// A value as whole thousandths, if it is exactly that.
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
    pub(super) fn read_real(&mut self) -> Decoded<f64> {
        if self.rest.first() == Some(&REAL_BITS) {
            self.read_byte()?;
            let bits = u64::from_le_bytes(self.read_bytes()?);
            return Ok(f64::from_bits(bits));
        }
        let value = self.read_number()?;
        match value & 3 {
            REAL_WHOLE => Ok((value >> 2) as f64),
            REAL_THOUSANDTHS => Ok((value >> 2) as f64 / 1e3),
            _ => Err(DecodeError::ValueOutOfRange),
        }
    }

    pub(super) fn read_optional_reals<const N: usize>(&mut self) -> Decoded<[Option<f64>; N]> {
        let present = self.read_byte()?;
        if present >> N != 0 {
            return Err(DecodeError::ValueOutOfRange);
        }
        let mut values = [None; N];
        for (position, value) in values.iter_mut().enumerate() {
            if present >> position & 1 == 1 {
                *value = Some(self.read_real()?);
            }
        }
        Ok(values)
    }

    /// Reals of which an absent one is 0.
    pub(super) fn read_reals_or_zero<const N: usize>(&mut self) -> Decoded<[f64; N]> {
        let values = self.read_optional_reals::<N>()?;
        Ok(values.map(Option::unwrap_or_default))
    }
}

// ---- Texts ----

impl Encoder<'_> {
    /// A text of at most [`MAX_TEXT`] bytes; what is longer is cut.
    pub fn put_text(&mut self, text: &str) {
        let mut length = text.len().min(MAX_TEXT);
        while !text.is_char_boundary(length) {
            length -= 1;
        }
        self.put_number(length as u64);
        self.put_bytes(&text.as_bytes()[..length]);
    }

    pub fn put_texts(&mut self, texts: &[String]) {
        self.put_number(texts.len() as u64);
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

// ---- Times: distances from the entry's own time ----

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

// ---- Ids ----

impl Encoder<'_> {
    pub fn put_engine(&mut self, engine: EngineId) {
        self.put_bytes(&engine.to_le_bytes());
    }

    /// The generation relative to that of the request named before, then the slot.
    pub fn put_request(&mut self, request: RequestId) {
        let generation = (request >> 32) as u32;
        let step = generation.wrapping_sub(self.context.generation) as i32;
        self.put_signed(i64::from(step));
        self.put_number(request & SLOT_MASK);
        self.context.generation = generation;
    }

    pub fn put_connection(&mut self, connection: u64) {
        self.put_number(connection & SLOT_MASK);
        self.put_number(connection >> 32);
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
