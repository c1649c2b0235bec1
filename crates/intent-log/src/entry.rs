//! The intent of a request, and the key and the bytes under which it is stored.
//!
//! Intents are encoded with postcard, so the order of fields is part of the stored format and must
//! not change. Field names are not stored.

use serde::{Deserialize, Serialize};

/// The zone and the cell of an engine to which a request was sent. Engines drop repeats of an
/// idempotency key within a zone or within a cell, depending on the scope of the request's class.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Location {
    /// ID of the engine's zone in the endpoint list.
    pub zone: u32,
    /// ID of the engine's cell in the endpoint list.
    pub cell: u32,
}

/// What the gateway stores about the attempts with one idempotency key in one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// Start of the first attempt that may have run, in Unix microseconds. 0 if the start is not
    /// known, or if attempts may have run in several locations: in both cases no engine can be
    /// relied on to drop a repeat.
    pub since: u64,
    /// The location to which the first attempt was sent.
    pub location: Location,
    /// Number of attempts that have been sent and have not ended.
    pub in_flight: u32,
    /// Whether any of the attempts that have ended may have run.
    pub may_have_run: bool,
    /// Time in Unix microseconds after which the intent is dropped, unless an attempt is in flight.
    pub until: u64,
}

/// Prefix of the store keys of intents; other data in the store has other prefixes.
const PREFIX: &[u8] = b"i";
/// An idempotency key of this many hexadecimal digits is stored as a 128-bit number.
const HEX_KEY_LENGTH: usize = 32;

/// Returns the prefix that the store keys of all intents begin with.
pub fn prefix() -> &'static [u8] {
    PREFIX
}

/// Returns the store key of an intent: the prefix, the index of the class in big endian, and the
/// client's idempotency key. An idempotency key of 32 hexadecimal digits takes 16 bytes.
pub fn stored_key(class: usize, key: &str) -> Vec<u8> {
    let mut bytes = PREFIX.to_vec();
    bytes.extend_from_slice(&(class as u16).to_be_bytes());
    match u128::from_str_radix(key, 16) {
        Ok(number) if key.len() == HEX_KEY_LENGTH => {
            bytes.extend_from_slice(&number.to_be_bytes());
        }
        _ => bytes.extend_from_slice(key.as_bytes()),
    }
    bytes
}

/// Encodes an intent for the store.
pub fn to_bytes(intent: &Intent) -> Vec<u8> {
    // Encoding fixed-size fields into a growing buffer can't fail.
    postcard::to_stdvec(intent).unwrap_or_default()
}

/// Decodes an intent from the store. Returns `None` if the bytes are not exactly one intent.
pub fn from_bytes(bytes: &[u8]) -> Option<Intent> {
    postcard::take_from_bytes(bytes)
        .ok()
        .filter(|(_, remainder)| remainder.is_empty())
        .map(|(intent, _)| intent)
}
