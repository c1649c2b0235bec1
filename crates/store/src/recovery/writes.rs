//! The writes of a recovery, until they are sorted into live keys.

use super::{Keys, Value};
use crate::frame::Batch;

/// A write with the beginning of its key as a number, which decides most comparisons.
struct SortedWrite {
    key_start: u128,
    key: Box<[u8]>,
    value: Option<Value>,
}

/// The first 16 bytes of a key as a number that sorts as they do.
fn key_start(key: &[u8]) -> u128 {
    let mut first = [0; 16];
    let length = key.len().min(16);
    first[..length].copy_from_slice(&key[..length]);
    u128::from_be_bytes(first)
}

/// Writes in their order, of which the last to each key holds. They are sorted once at the end,
/// which is faster than as many inserts into a map.
#[derive(Default)]
pub(super) struct Writes(Vec<SortedWrite>);

impl Writes {
    /// Adds the writes of a batch.
    pub fn extend(&mut self, batch: Batch) {
        self.0.extend(batch.writes.into_iter().map(|write| {
            let value = write.value.map(|bytes| Value {
                bytes: bytes.into(),
                until_ms: write.until_ms,
            });
            SortedWrite {
                key_start: key_start(&write.key),
                key: write.key.into(),
                value,
            }
        }));
    }

    /// The live keys.
    pub fn into_keys(self) -> Keys {
        let mut writes = self.0;
        // The sort is stable: of equal keys the last write stays the last.
        writes.sort_by(|a, b| {
            let starts = a.key_start.cmp(&b.key_start);
            starts.then_with(|| a.key.cmp(&b.key))
        });
        let mut writes = writes.into_iter().peekable();
        let last_writes = std::iter::from_fn(|| loop {
            let write = writes.next()?;
            let is_last = writes
                .peek()
                .is_none_or(|next| next.key_start != write.key_start || next.key != write.key);
            if is_last {
                return Some((write.key, write.value));
            }
        });
        last_writes
            .filter_map(|(key, value)| Some((key, value?)))
            .collect()
    }
}
