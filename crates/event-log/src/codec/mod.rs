//! Encoding of log entries as bytes, and decoding, without I/O. The recorder encodes with
//! [`Context::encode`], the reader decodes with [`Decoder`].
//!
//! Times are encoded as differences from the entry before, requests as differences of their
//! generation from the request named last. Both start anew in each frame, so that a frame can be
//! decoded without those before it.
//!
//! `event` (with `attempt`) and `action` hold what enters and leaves the decision module, `host`,
//! `segment` and `fleet` the gateway's own events, `totals` the totals, and `primitives` the
//! numbers and texts that all of them consist of. Encoding and decoding of one thing stand side by
//! side.

mod action;
mod attempt;
mod event;
mod fleet;
mod host;
mod kind;
mod primitives;
mod segment;
mod totals;

use eideryard::interface::Micros;

use crate::entry::{Entry, EntryRef};
use primitives::Encoder;
pub use primitives::{Decoder, DecoderPosition};

/// Longest name or text in bytes: longer ones are cut when they are encoded and are an error when
/// they are decoded.
pub const MAX_TEXT: usize = 1024;
/// Most items of one list. A longer list of endpoints continues in another entry.
pub const MAX_ITEMS: usize = 65_536;

/// Why bytes can't be decoded as an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The payload ends within the entry.
    #[error("an entry stops short")]
    Truncated,
    /// The first byte is none of the known kinds.
    #[error("kind {0} of entry is not known")]
    UnknownKind(u8),
    /// A number, an index or a length is out of its range.
    #[error("a value out of range")]
    ValueOutOfRange,
    /// A text is not UTF-8.
    #[error("a text that is not UTF-8")]
    InvalidUtf8,
}

type Decoded<T> = Result<T, DecodeError>;

/// What the next entry of a frame is encoded relative to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Context {
    /// Time of the entry before, or of the frame's start.
    at: Micros,
    /// The upper half of the id of the request named last: the generation of its slot.
    generation: u32,
}

impl Context {
    /// The context at the start of a frame that begins at this time.
    pub fn new(at: Micros) -> Self {
        Context { at, generation: 0 }
    }

    /// Appends an entry to `out`.
    pub fn encode(&mut self, out: &mut Vec<u8>, at: Micros, entry: EntryRef<'_>) {
        // The kind is known once the content is written.
        let kind_position = out.len();
        out.push(0);
        let mut encoder = Encoder { out, context: self };
        encoder.put_time_after(at);
        encoder.context.at = at;
        let kind = match entry {
            EntryRef::Event(event) => event::encode(&mut encoder, event),
            EntryRef::Action(action) => action::encode(&mut encoder, action),
            EntryRef::Host(host) => host::encode(&mut encoder, host),
        };
        out[kind_position] = kind;
    }
}

impl Decoder<'_> {
    /// Decodes the next entry and its time; `None` at the end of the payload.
    pub fn next_entry(&mut self) -> Result<Option<(Micros, Entry)>, DecodeError> {
        if self.is_at_end() {
            return Ok(None);
        }
        let kind = self.read_byte()?;
        let at = self.read_time_after()?;
        self.context.at = at;
        let entry = if kind <= kind::LAST_EVENT {
            Entry::Event(event::decode(self, kind)?)
        } else if kind <= kind::LAST_ACTION {
            Entry::Action(action::decode(self, kind)?)
        } else {
            Entry::Host(host::decode(self, kind)?)
        };
        Ok(Some((at, entry)))
    }
}
