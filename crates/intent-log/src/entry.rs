//! An intent, and its key and bytes in the store.
//!
//! Bytes are postcard's: the order of fields is the format and must not change. Names are free.

use serde::{Deserialize, Serialize};

/// Where a request may run. Engines drop repeats of a key within a zone or a cell, by the scope of
/// the request's class.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Location {
    /// Zone of the engine.
    pub zone: u32,
    /// Cell of the engine.
    pub cell: u32,
}

/// What is known of a key of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// Start of its first attempt that may have run, in Unix microseconds. 0 where that is not
    /// known or where it may have run at several places: no engine can be relied on to drop a
    /// repeat then.
    pub since: u64,
    /// Where the first attempt was sent.
    pub location: Location,
    /// Attempts that have not ended.
    pub in_flight: u32,
    /// Whether an attempt that has ended may have run.
    pub may_have_run: bool,
    /// Unix microseconds after which it is dropped, unless an attempt is in flight.
    pub until: u64,
}

/// Prefix of intents among the keys of the store.
const PREFIX: &[u8] = b"i";
/// Length of a client's key that is stored as a number.
const HEX_KEY_LENGTH: usize = 32;

/// Prefix of intents among the keys of the store.
pub fn prefix() -> &'static [u8] {
    PREFIX
}

/// Key of an intent in the store: the prefix, the class, and the client's key. A key of 32
/// hexadecimal digits takes 16 bytes.
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

/// Bytes of an intent in the store.
pub fn to_bytes(intent: &Intent) -> Vec<u8> {
    // Serialization of plain numbers does not fail.
    postcard::to_stdvec(intent).unwrap_or_default()
}

/// Reads an intent from the store; `None` where the bytes are not exactly one intent.
pub fn from_bytes(bytes: &[u8]) -> Option<Intent> {
    postcard::take_from_bytes(bytes)
        .ok()
        .filter(|(_, rest)| rest.is_empty())
        .map(|(intent, _)| intent)
}
