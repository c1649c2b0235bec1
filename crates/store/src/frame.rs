//! Bytes of segment files: a head, then frames, each one atomic batch with a checksum. Pure.

use serde::{Deserialize, Serialize};

/// The format that this program writes; it reads this one alone.
pub const VERSION: u32 = 1;
/// Bytes of one batch at the most; whatever says more is damage.
pub const MAX_BATCH: usize = 1 << 20;
const MAGIC: [u8; 8] = *b"eyrstore";
/// Magic, version, checksum of the head that follows.
const FILE_HEAD: usize = 16;
/// Length and checksum.
const FRAME_HEAD: usize = 8;
/// Bytes of an encoded head at the most.
const MAX_HEAD: usize = 96;

/// Bytes before the first frame.
pub const HEAD: usize = FILE_HEAD + MAX_HEAD;

/// What a segment is, at its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Random, drawn when the store was made.
    pub identity: u64,
    /// Its place in the order of all segments.
    pub number: u64,
    /// How often the store had been opened, this time included.
    pub start: u64,
    /// A snapshot of all keys up to `after`, or a log of what came behind it.
    pub snapshot: bool,
    /// The last batch before it.
    pub after: u64,
    /// The last batch that anybody had been told was durable when it was begun.
    pub acknowledged: u64,
    /// When it was begun, in Unix milliseconds.
    pub at_ms: u64,
}

/// Writes that become durable together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    pub writes: Vec<Write>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    pub key: Vec<u8>,
    /// Nothing removes the key.
    pub value: Option<Vec<u8>>,
    /// Dropped behind this time, in Unix milliseconds; 0: never.
    pub until_ms: u64,
}

impl Batch {
    pub fn put(&mut self, key: Vec<u8>, value: Vec<u8>, until_ms: u64) {
        self.writes.push(Write {
            key,
            value: Some(value),
            until_ms,
        });
    }

    pub fn remove(&mut self, key: Vec<u8>) {
        self.writes.push(Write {
            key,
            value: None,
            until_ms: 0,
        });
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Its number, and how far behind it was the last that was durable when it was written. Numbers
    /// follow each other without gaps through all logs.
    Batch(u64, u64, Batch),
    /// A part of a snapshot.
    Part(Batch),
    /// The end of a snapshot, with how many writes it holds.
    Whole(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("the head can't be read")]
    Head,
    #[error("it has version {0} of the format, this program reads {VERSION}")]
    Version(u32),
    #[error("it holds something that is no segment")]
    Foreign,
}

pub fn put_head(out: &mut Vec<u8>, head: &Head) {
    let mut bytes = postcard::to_stdvec(head).unwrap_or_default();
    bytes.resize(MAX_HEAD, 0);
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&VERSION.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    out.extend_from_slice(&bytes);
}

/// The head, and where the frames begin.
pub fn read_head(bytes: &[u8]) -> Result<(Head, usize), FrameError> {
    let (fixed, rest) = bytes.split_at_checked(FILE_HEAD).ok_or(FrameError::Head)?;
    if fixed[..8] != MAGIC {
        return Err(FrameError::Foreign);
    }
    let number =
        |at: usize| u32::from_le_bytes([fixed[at], fixed[at + 1], fixed[at + 2], fixed[at + 3]]);
    if number(8) != VERSION {
        return Err(FrameError::Version(number(8)));
    }
    let head = rest
        .get(..MAX_HEAD)
        .filter(|head| crc32fast::hash(head) == number(12))
        .ok_or(FrameError::Head)?;
    let head = postcard::take_from_bytes(head)
        .map_err(|_| FrameError::Head)?
        .0;
    Ok((head, HEAD))
}

/// False: it is too long, and nothing was written.
pub fn put(out: &mut Vec<u8>, frame: &Frame) -> bool {
    let Ok(bytes) = postcard::to_stdvec(frame) else {
        return false;
    };
    if bytes.len() > MAX_BATCH {
        return false;
    }
    let length = (bytes.len() as u32).to_le_bytes();
    let mut sum = crc32fast::Hasher::new();
    sum.update(&length);
    sum.update(&bytes);
    out.extend_from_slice(&length);
    out.extend_from_slice(&sum.finalize().to_le_bytes());
    out.extend_from_slice(&bytes);
    true
}

/// The frame that begins here and its length; nothing where none can be read.
pub fn read(bytes: &[u8]) -> Option<(Frame, usize)> {
    let head = bytes.get(..FRAME_HEAD)?;
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let sum = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    let body = bytes
        .get(FRAME_HEAD..FRAME_HEAD + length)
        .filter(|_| length <= MAX_BATCH)?;
    let mut own = crc32fast::Hasher::new();
    own.update(&head[..4]);
    own.update(body);
    if own.finalize() != sum {
        return None;
    }
    let (frame, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty().then_some((frame, FRAME_HEAD + length))
}
