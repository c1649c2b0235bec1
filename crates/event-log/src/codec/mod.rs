//! Encodes log entries as bytes and decodes them, without I/O. The recorder encodes with
//! [`Context::encode`], the reader decodes with [`Decoder`].
//!
//! The time of an entry is encoded as the difference from the time of the entry before it. The
//! generation in the ID of a request is encoded as the difference from the generation of the last
//! encoded request. Both differences start from known values in each frame, so that a frame can be
//! decoded without the frames before it.
//!
//! `event` (with `attempt`) and `action` encode the inputs and outputs of the decision module,
//! `host`, `segment` and `fleet` the gateway's own events, `totals` the totals, and `primitives`
//! the numbers and texts that all entries consist of. The encoder and the decoder of each type are
//! in the same file.

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

/// Maximum length of a name or text in bytes. Longer texts are truncated by the encoder and
/// rejected by the decoder.
pub const MAX_TEXT: usize = 1024;
/// Maximum number of items in one list. The decoder rejects longer lists; the encoder doesn't
/// check, so a longer list of endpoints has to be split into several entries before it is encoded.
pub const MAX_ITEMS: usize = 65_536;

/// Why bytes can't be decoded as an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The payload ends within the entry.
    #[error("the frame ends within an entry")]
    Truncated,
    /// The entry's first byte is not a known kind.
    #[error("unknown kind {0} of entry")]
    UnknownKind(u8),
    /// A number, an index or a length is out of its range.
    #[error("a value in an entry is out of range")]
    ValueOutOfRange,
    /// A text is not UTF-8.
    #[error("a text in an entry is not valid UTF-8")]
    InvalidUtf8,
}

type Decoded<T> = Result<T, DecodeError>;

/// The values that the next entry of a frame is encoded relative to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Context {
    /// Time of the previous entry, or of the start of the frame.
    at: Micros,
    /// The generation of the last encoded request, which is the upper half of its ID.
    generation: u32,
}

impl Context {
    /// Returns the context at the start of a frame that starts at this time.
    pub fn new(at: Micros) -> Self {
        Context { at, generation: 0 }
    }

    /// Encodes an entry and appends it to `out`.
    pub fn encode(&mut self, out: &mut Vec<u8>, at: Micros, entry: EntryRef<'_>) {
        // Reserves the byte of the kind, which is known once the content is encoded.
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
