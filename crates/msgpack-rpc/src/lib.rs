//! The MessagePack-RPC protocol between clients and a gateway. The codec works on byte buffers; the
//! caller does the I/O.
//!
//! [`decode()`] returns the first message in a connection's input buffer, with its length. It
//! borrows from the buffer, keeps no state between calls, and never reads past [`MAX_BYTES`]. The
//! `write_` functions append a gateway's responses to a buffer.
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

/// Maximum length in bytes of a message that is decoded.
pub const MAX_BYTES: usize = 1 << 20;
/// Maximum number of values that are read for one message. Decoding starts over each time another
/// piece of a long message arrives, and this limits the work that is repeated.
pub const MAX_VALUES: usize = 4096;

/// The message types, which are the first value of each message.
const REQUEST: u64 = 0;
const RESPONSE: u64 = 1;
const NOTIFICATION: u64 = 2;
