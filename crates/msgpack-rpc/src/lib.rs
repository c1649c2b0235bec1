//! MessagePack-RPC as clients speak it to a gateway: bytes in, messages out, no I/O.
//!
//! [`decode()`] looks at the bytes that a connection holds and gives the first message with its
//! length. It borrows from the bytes, keeps nothing between calls, and never reads past
//! [`MAX_BYTES`]. The `write_` functions append a gateway's messages to a buffer.
//!
//! ```
//! use eideryard_msgpack_rpc::{decode, write_health, Message};
//!
//! let mut bytes = Vec::new();
//! write_health(&mut bytes, 7, true);
//! let (message, length) = decode(&bytes)?.expect("a whole message");
//! assert_eq!((message, length), (Message::Other, bytes.len()));
//! # Ok::<(), eideryard_msgpack_rpc::Malformed>(())
//! ```

mod cursor;
mod decode;
mod encode;

pub use decode::{decode, Fields, Malformed, Message};
pub use encode::{write_error, write_health, write_partial_result, write_result};

/// Bytes of the longest message that is read.
pub const MAX_BYTES: usize = 1 << 20;
/// Values that are read of one message. It bounds the work that begins anew with each piece of a
/// long one.
pub const MAX_VALUES: usize = 4096;

/// Kinds of message, the first value of each.
const REQUEST: u64 = 0;
const RESPONSE: u64 = 1;
const NOTIFICATION: u64 = 2;
