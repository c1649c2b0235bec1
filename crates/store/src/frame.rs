//! Encoding of segment files: a header followed by frames, each with a checksum. No I/O.
//!
//! The header and the frames are encoded with postcard, so the order of fields and variants is part
//! of the format and must not change.

use serde::{Deserialize, Serialize};

/// Version of the format. Segments of any other version are rejected.
pub const FORMAT_VERSION: u32 = 1;
/// Maximum length of an encoded frame in bytes. A higher length in a file means that it is damaged.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// First bytes of every segment file.
const MAGIC: [u8; 8] = *b"eyrstore";
/// Number of bytes of the magic, the version and the checksum of the encoded header.
const FIXED_HEADER_BYTES: usize = 16;
/// Number of bytes of a frame's length and checksum, which precede its body.
const FRAME_HEADER_BYTES: usize = 8;
/// Number of bytes to which the encoded header is padded with zeros.
const PADDED_HEADER_BYTES: usize = 96;

/// Number of bytes before the first frame of a segment.
pub const HEADER_BYTES: usize = FIXED_HEADER_BYTES + PADDED_HEADER_BYTES;

/// Header of a segment, which identifies its store and its position in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// Random number that was drawn when the store was created; equal in all its segments.
    pub identity: u64,
    /// Sequence number of the segment. Later segments have higher numbers.
    pub number: u64,
    /// Number of times that the store had been opened when the segment was created, at least 1.
    pub start_number: u64,
    /// Whether the segment is a snapshot of all keys as of `after_batch`, or else a log of the
    /// batches after it.
    pub is_snapshot: bool,
    /// Sequence number of the last batch before the segment.
    pub after_batch: u64,
    /// Sequence number of the last batch that had been reported durable when the segment was
    /// created.
    pub last_durable_batch: u64,
    /// Time at which the segment was created, in Unix milliseconds.
    pub at_ms: u64,
}

/// The expiry of a key that is dropped only when it is removed.
pub const NO_EXPIRY: u64 = 0;

/// Writes that become durable atomically: all of them or none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The writes in order. If several write the same key, the last one counts.
    pub writes: Vec<Write>,
}

/// A new value for one key, or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key whose value is written or removed.
    pub key: Vec<u8>,
    /// The new value; `None` removes the key.
    pub value: Option<Vec<u8>>,
    /// Time after which the key may be dropped, in Unix milliseconds, or [`NO_EXPIRY`].
    pub until_ms: u64,
}

impl Batch {
    /// Adds a new value for a key. The key may be dropped after `until_ms`, a Unix time in
    /// milliseconds, or [`NO_EXPIRY`].
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
            until_ms: NO_EXPIRY,
        });
    }
}

/// The unit of reading and writing within a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A batch of a log.
    Batch {
        /// Sequence number of the batch. It increases by 1 from batch to batch across all logs,
        /// without gaps.
        number: u64,
        /// Difference between this batch's number and that of the last batch that was durable when
        /// this one was written.
        batches_since_durable: u64,
        /// The writes, which become durable together.
        batch: Batch,
    },
    /// Some of the keys of a snapshot. The keys are sorted across all parts of the snapshot.
    SnapshotPart(Batch),
    /// The end of a snapshot, with the total number of writes in its parts.
    SnapshotEnd(u64),
}

/// Why the header of a segment can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The header is cut short, or its checksum does not match.
    #[error("its header is cut short or does not match its checksum")]
    Invalid,
    /// The segment has this version of the format, which is not [`FORMAT_VERSION`].
    #[error("its format has version {0}, but this program reads version {FORMAT_VERSION}")]
    Version(u32),
    /// The file does not begin with the magic of a segment.
    #[error("it is not a segment of a store")]
    NotASegment,
}

/// Appends an encoded header to the bytes of a new segment.
pub fn append_header(out: &mut Vec<u8>, header: &SegmentHeader) {
    let mut bytes = postcard::to_stdvec(header).unwrap_or_default();
    bytes.resize(PADDED_HEADER_BYTES, 0);
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    out.extend_from_slice(&bytes);
}

/// Decodes the header of a segment. Returns it with the offset of the first frame.
///
/// # Errors
///
/// If the bytes don't begin with a complete header of this version of the format.
pub fn read_header(bytes: &[u8]) -> Result<(SegmentHeader, usize), HeaderError> {
    let (fixed, rest) = bytes
        .split_at_checked(FIXED_HEADER_BYTES)
        .ok_or(HeaderError::Invalid)?;
    if fixed[..8] != MAGIC {
        return Err(HeaderError::NotASegment);
    }
    let number_at = |offset: usize| {
        u32::from_le_bytes([
            fixed[offset],
            fixed[offset + 1],
            fixed[offset + 2],
            fixed[offset + 3],
        ])
    };
    if number_at(8) != FORMAT_VERSION {
        return Err(HeaderError::Version(number_at(8)));
    }
    let header = rest
        .get(..PADDED_HEADER_BYTES)
        .filter(|header| crc32fast::hash(header) == number_at(12))
        .ok_or(HeaderError::Invalid)?;
    let header = postcard::take_from_bytes(header)
        .map_err(|_| HeaderError::Invalid)?
        .0;
    Ok((header, HEADER_BYTES))
}

/// Appends an encoded frame to the bytes of a segment. Returns `false` and appends nothing if the
/// encoded frame is longer than [`MAX_FRAME_BYTES`].
pub fn append(out: &mut Vec<u8>, frame: &Frame) -> bool {
    let Ok(bytes) = postcard::to_stdvec(frame) else {
        return false;
    };
    if bytes.len() > MAX_FRAME_BYTES {
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

/// Decodes the frame at the start of `bytes`. Returns it with its length in bytes, or `None` if
/// there is no complete and valid frame.
pub fn read(bytes: &[u8]) -> Option<(Frame, usize)> {
    let header = bytes.get(..FRAME_HEADER_BYTES)?;
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let checksum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    let body = bytes
        .get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length)
        .filter(|_| length <= MAX_FRAME_BYTES)?;
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&header[..4]);
    hasher.update(body);
    if hasher.finalize() != checksum {
        return None;
    }
    let (frame, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty()
        .then_some((frame, FRAME_HEADER_BYTES + length))
}
