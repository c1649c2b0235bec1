//! Bytes of segment files: a head, then frames, each with a checksum. No I/O.
//!
//! Head and frames are encoded with postcard: the order of fields and variants is the format and
//! must not change.

use serde::{Deserialize, Serialize};

/// Version of the format; no other version is read.
pub const VERSION: u32 = 1;
/// Largest encoded frame in bytes; a greater length is damage.
pub const MAX_BATCH: usize = 1 << 20;
const MAGIC: [u8; 8] = *b"eyrstore";
/// Bytes of magic, version and the checksum of the head that follows.
const FILE_HEAD: usize = 16;
/// Bytes of a frame's length and checksum.
const FRAME_HEAD: usize = 8;
/// Bytes that an encoded head is padded to.
const MAX_HEAD: usize = 96;

/// Bytes before the first frame.
pub const HEAD: usize = FILE_HEAD + MAX_HEAD;

/// Head of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Random, drawn when the store was made.
    pub identity: u64,
    /// Position in the order of all segments.
    pub number: u64,
    /// How often the store had been opened, this time included.
    pub start_number: u64,
    /// Whether it is a snapshot of all keys up to `after`, or a log of the batches behind it.
    pub snapshot: bool,
    /// Number of the last batch before it.
    pub after: u64,
    /// Number of the last batch that had been reported durable when the segment was begun.
    pub acknowledged: u64,
    /// Time at which it was begun, in Unix milliseconds.
    pub at_ms: u64,
}

/// Writes that become durable together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Writes in their order; of several to one key the last holds.
    pub writes: Vec<Write>,
}

/// A write of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: Vec<u8>,
    /// The value; `None` to remove the key.
    pub value: Option<Vec<u8>>,
    /// Time after which it may be dropped, in Unix milliseconds; 0 for never.
    pub until_ms: u64,
}

impl Batch {
    /// Adds a write of a value, to be dropped after a time in Unix milliseconds (0 for never).
    pub fn put(&mut self, key: Vec<u8>, value: Vec<u8>, until_ms: u64) {
        self.writes.push(Write {
            key,
            value: Some(value),
            until_ms,
        });
    }

    /// Adds the removal of a key.
    pub fn remove(&mut self, key: Vec<u8>) {
        self.writes.push(Write {
            key,
            value: None,
            until_ms: 0,
        });
    }
}

/// A frame of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A batch of a log.
    Batch {
        /// Number of the batch; numbers have no gaps through all logs.
        number: u64,
        /// How far the last durable batch was behind it when it was written.
        behind_durable: u64,
        /// The writes.
        batch: Batch,
    },
    /// A part of a snapshot.
    Part(Batch),
    /// The end of a snapshot, with the number of writes in it.
    Whole(u64),
}

/// Why the head of a segment can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// It is cut short, or its checksum differs.
    #[error("the head can't be read")]
    Head,
    /// It has this version of the format.
    #[error("it has version {0} of the format, this program reads {VERSION}")]
    Version(u32),
    /// It is no segment.
    #[error("it holds something that is no segment")]
    Foreign,
}

/// Appends a head to a segment.
pub fn put_head(out: &mut Vec<u8>, head: &Head) {
    let mut bytes = postcard::to_stdvec(head).unwrap_or_default();
    bytes.resize(MAX_HEAD, 0);
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&VERSION.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    out.extend_from_slice(&bytes);
}

/// Reads the head of a segment, and where its frames begin.
///
/// # Errors
///
/// Where the bytes do not begin with a whole head of this version.
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

/// Appends a frame to a segment. Returns false, and appends nothing, where it is longer than
/// [`MAX_BATCH`].
pub fn put(out: &mut Vec<u8>, frame: &Frame) -> bool {
    let Ok(bytes) = postcard::to_stdvec(frame) else {
        return false;
    };
    if bytes.len() > MAX_BATCH {
        return false;
    }
    let length = (bytes.len() as u32).to_le_bytes();
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(&bytes);
    out.extend_from_slice(&length);
    out.extend_from_slice(&hasher.finalize().to_le_bytes());
    out.extend_from_slice(&bytes);
    true
}

/// Reads the frame at the beginning of some bytes, with its length; `None` where there is no whole
/// frame.
pub fn read(bytes: &[u8]) -> Option<(Frame, usize)> {
    let head = bytes.get(..FRAME_HEAD)?;
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let checksum = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    let body = bytes
        .get(FRAME_HEAD..FRAME_HEAD + length)
        .filter(|_| length <= MAX_BATCH)?;
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&head[..4]);
    hasher.update(body);
    if hasher.finalize() != checksum {
        return None;
    }
    let (frame, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty().then_some((frame, FRAME_HEAD + length))
}
