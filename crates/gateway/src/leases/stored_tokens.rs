//! The encoding of fencing tokens in the store.

use eideryard_leases::{FencingToken, Task};
use eideryard_store::{Batch, NO_EXPIRY};

/// Prefix of the store's keys for tokens. The task's kind (one byte) and number (four bytes,
/// big-endian) follow the prefix.
pub const TOKEN_KEY_PREFIX: &[u8] = b"t";

fn token_key(task: Task) -> Vec<u8> {
    let mut key = TOKEN_KEY_PREFIX.to_vec();
    key.push(task.kind);
    key.extend_from_slice(&task.number.to_be_bytes());
    key
}

/// Decodes a key and value of the store; `None` if they don't represent a token.
pub fn decode_token(key: &[u8], value: &[u8]) -> Option<(Task, FencingToken)> {
    let key = key.strip_prefix(TOKEN_KEY_PREFIX)?;
    let (kind, number) = key.split_first()?;
    let task = Task {
        kind: *kind,
        number: u32::from_be_bytes(number.try_into().ok()?),
    };
    let token = postcard::from_bytes(value).ok()?;
    Some((task, token))
}

/// Creates the write that stores a task's token.
pub(super) fn store_token(task: Task, token: FencingToken) -> Batch {
    let mut batch = Batch::default();
    let value = postcard::to_stdvec(&token).unwrap_or_default();
    batch.put(token_key(task), value, NO_EXPIRY);
    batch
}

/// Creates the write that removes a task's token.
pub(super) fn remove_token(task: Task) -> Batch {
    let mut batch = Batch::default();
    batch.remove(token_key(task));
    batch
}
