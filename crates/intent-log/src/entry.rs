//! What is kept of one key, as bytes and back.

use serde::{Deserialize, Serialize};

/// Where a request may run: what its scope is looked up by.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Place {
    pub zone: u32,
    pub cell: u32,
}

/// A key of a class may run since a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// Of its first attempt that may have run, in Unix microseconds. 0: not known, or at several
    /// places: no engine can be relied on to drop a repeat.
    pub since: u64,
    pub place: Place,
    /// Attempts that have no end yet.
    pub out: u32,
    /// An attempt that has ended may have run.
    pub ran: bool,
    /// What is known of it is dropped behind this time, unless an attempt is out.
    pub until: u64,
}

/// The key in the store: a prefix of its own, the class, and the client's key.
const PREFIX: &[u8] = b"i";

pub fn prefix() -> &'static [u8] {
    PREFIX
}

/// A key of 32 hex digits takes 16 bytes.
pub fn stored_key(class: usize, key: &str) -> Vec<u8> {
    let mut bytes = PREFIX.to_vec();
    bytes.extend_from_slice(&(class as u16).to_be_bytes());
    match u128::from_str_radix(key, 16) {
        Ok(number) if key.len() == 32 => bytes.extend_from_slice(&number.to_be_bytes()),
        _ => bytes.extend_from_slice(key.as_bytes()),
    }
    bytes
}

pub fn to_bytes(intent: &Intent) -> Vec<u8> {
    // A plain struct of numbers always can.
    postcard::to_stdvec(intent).unwrap_or_default()
}

pub fn from_bytes(bytes: &[u8]) -> Option<Intent> {
    postcard::take_from_bytes(bytes)
        .ok()
        .filter(|(_, rest)| rest.is_empty())
        .map(|(intent, _)| intent)
}
