//! Frames of a segment file: batches of entries with a length, a checksum and a number. A segment
//! file is a header followed by frames. In a damaged file the reader searches for the next marker
//! whose frame has a valid checksum.

use eideryard::interface::Micros;

use crate::codec::Context;

/// The first bytes of a segment file, before its version and a checksum of both.
pub const FILE_MARKER: [u8; 8] = *b"EIDERREC";
/// The version that is written, and the newest that is read.
pub const VERSION: u32 = 3;
/// Bytes of a file's header.
pub const FILE_HEADER_BYTES: usize = 16;
/// Bytes of a frame's header.
pub const FRAME_HEADER_BYTES: usize = 36;
/// Longest payload in bytes, so that a damaged length costs no memory.
pub const MAX_PAYLOAD: usize = 1 << 20;

const FRAME_MARKER: [u8; 4] = [0xe1, 0xde, 0x12, 0xc4];

// Offsets of a file header's fields; the marker is at 0.
const FILE_VERSION: usize = 8;
const FILE_CHECKSUM: usize = 12;

// Offsets of a frame header's fields; the marker is at 0. The checksum covers all that follows it.
const CHECKSUM: usize = 4;
const LENGTH: usize = 8;
const EPOCH: usize = 12;
const NUMBER: usize = 20;
const FIRST_AT: usize = 28;

/// A frame's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// When the gateway that wrote it started.
    pub epoch: Micros,
    /// Counts from 1 through all segments of an epoch.
    pub number: u64,
    /// Time of its first entry.
    pub first_at: Micros,
    /// Bytes of its payload.
    pub length: usize,
}

impl FrameHeader {
    /// The context that its first entry was encoded in.
    pub fn context(&self) -> Context {
        Context::new(self.first_at)
    }
}

/// The header of a segment file.
pub fn encode_file_header() -> [u8; FILE_HEADER_BYTES] {
    let mut head = [0; FILE_HEADER_BYTES];
    head[..FILE_VERSION].copy_from_slice(&FILE_MARKER);
    head[FILE_VERSION..FILE_CHECKSUM].copy_from_slice(&VERSION.to_le_bytes());
    let checksum = crc32fast::hash(&head[..FILE_CHECKSUM]);
    head[FILE_CHECKSUM..].copy_from_slice(&checksum.to_le_bytes());
    head
}

/// The version in a file's header; `None` if the header is damaged.
pub fn decode_file_header(bytes: &[u8]) -> Option<u32> {
    let head = bytes.first_chunk::<FILE_HEADER_BYTES>()?;
    let has_marker = head[..FILE_VERSION] == FILE_MARKER;
    let checksum = crc32fast::hash(&head[..FILE_CHECKSUM]);
    let is_valid = has_marker && u32_at(head, FILE_CHECKSUM) == checksum;
    is_valid.then(|| u32_at(head, FILE_VERSION))
}

/// The header of a frame with this payload.
pub fn encode_frame_header(
    epoch: Micros,
    number: u64,
    first_at: Micros,
    payload: &[u8],
) -> [u8; FRAME_HEADER_BYTES] {
    let mut head = [0; FRAME_HEADER_BYTES];
    head[..CHECKSUM].copy_from_slice(&FRAME_MARKER);
    head[LENGTH..EPOCH].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    head[EPOCH..NUMBER].copy_from_slice(&epoch.to_le_bytes());
    head[NUMBER..FIRST_AT].copy_from_slice(&number.to_le_bytes());
    head[FIRST_AT..].copy_from_slice(&first_at.to_le_bytes());
    let checksum = frame_checksum(&head, payload);
    head[CHECKSUM..LENGTH].copy_from_slice(&checksum.to_le_bytes());
    head
}

/// The time at which a frame starts, without a check of its checksum: good enough to choose where
/// to start reading.
pub fn frame_first_at(bytes: &[u8]) -> Option<Micros> {
    let has_head = bytes.len() >= FRAME_HEADER_BYTES && bytes.starts_with(&FRAME_MARKER);
    has_head.then(|| u64_at(bytes, FIRST_AT))
}

/// What [`find_frame`] found at the start of some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameSearch {
    /// A whole frame with a valid checksum.
    Frame(FrameHeader),
    /// A frame may start here; this many bytes in all are needed to know.
    Incomplete(usize),
    /// No frame starts here. The next one may start after this many bytes.
    NotFound(usize),
}

/// Looks for a frame at the start of some bytes.
pub fn find_frame(bytes: &[u8]) -> FrameSearch {
    if bytes.len() < FRAME_HEADER_BYTES {
        let may_be_marker = starts_like_marker(bytes);
        return if may_be_marker {
            FrameSearch::Incomplete(FRAME_HEADER_BYTES)
        } else {
            FrameSearch::NotFound(next_marker(bytes))
        };
    }
    if !bytes.starts_with(&FRAME_MARKER) {
        return FrameSearch::NotFound(next_marker(bytes));
    }
    let length = u32_at(bytes, LENGTH) as usize;
    if length > MAX_PAYLOAD {
        return FrameSearch::NotFound(next_marker(bytes));
    }
    let end = FRAME_HEADER_BYTES + length;
    let Some(payload) = bytes.get(FRAME_HEADER_BYTES..end) else {
        return FrameSearch::Incomplete(end);
    };
    if frame_checksum(bytes, payload) != u32_at(bytes, CHECKSUM) {
        return FrameSearch::NotFound(next_marker(bytes));
    }
    FrameSearch::Frame(FrameHeader {
        epoch: u64_at(bytes, EPOCH),
        number: u64_at(bytes, NUMBER),
        first_at: u64_at(bytes, FIRST_AT),
        length,
    })
}

/// Whether bytes start with the marker, or are the start of one.
fn starts_like_marker(bytes: &[u8]) -> bool {
    let length = bytes.len().min(FRAME_MARKER.len());
    FRAME_MARKER.starts_with(&bytes[..length])
}

/// Distance to the next position after the first byte at which a marker may start.
fn next_marker(bytes: &[u8]) -> usize {
    (1..bytes.len())
        .find(|position| starts_like_marker(&bytes[*position..]))
        .unwrap_or(bytes.len().max(1))
}

fn frame_checksum(head: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&head[LENGTH..FRAME_HEADER_BYTES]);
    hasher.update(payload);
    hasher.finalize()
}

/// The number at an offset, 0 beyond the end.
fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    bytes[offset..]
        .first_chunk()
        .map_or(0, |bytes| u32::from_le_bytes(*bytes))
}

/// The number at an offset, 0 beyond the end.
fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    bytes[offset..]
        .first_chunk()
        .map_or(0, |bytes| u64::from_le_bytes(*bytes))
}
