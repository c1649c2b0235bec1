//! The line protocol between a gateway and its engines. The codec decodes answers and encodes
//! commands in byte buffers; the caller does the I/O.
//!
//! Each command and answer begins with a head: a line of fields, separated by spaces, that ends in
//! CR LF. The head of an answer or of a [`ServeCommand`] ends with a length; a payload of that
//! many bytes and another CR LF follow. Other commands have only a head. [`decode`] keeps no state
//! between calls. The keywords of the protocol occur in this package and nowhere else.
//!
//! ```
//! use eideryard_engine_protocol::{decode, AnswerKind};
//!
//! let (answer, length) = decode(b"7f BUSY - 0\r\n\r\n")?.expect("a whole answer");
//! assert_eq!((answer.id, answer.kind, length), ("7f", AnswerKind::Busy, 15));
//! # Ok::<(), eideryard_engine_protocol::Malformed>(())
//! ```

mod answer;
mod command;

pub use answer::{decode, Answer, AnswerKind, Fields, Malformed, MAX_HEAD, MAX_PAYLOAD};
pub use command::{
    write_cancel, write_load_probe, write_rank_update, write_read, write_release, ServeCommand,
};
