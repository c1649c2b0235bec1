//! Collects the writes of a recovery and sorts them into the live keys at the end.

use super::{LiveKeys, Value};
use crate::frame::Batch;

/// A write, with the first bytes of its key as a number, because numbers are faster to compare.
struct SortedWrite {
    key_start: u128,
    key: Box<[u8]>,
    value: Option<Value>,
}

/// Returns the first 16 bytes of a key as a number with the same sort order.
fn key_start(key: &[u8]) -> u128 {
    let mut first = [0; 16];
    let length = key.len().min(16);
    first[..length].copy_from_slice(&key[..length]);
    u128::from_be_bytes(first)
}

/// Writes in order; the last one to each key counts. They are sorted once at the end, which is
/// faster than inserting each of them into a map.
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

    /// Returns the live keys after all writes.
    pub fn into_keys(self) -> LiveKeys {
        let mut writes = self.0;
        // The sort is stable, so the last write to a key stays behind the earlier writes to that
        // key.
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
