//! Frames of a segment file. A segment file is a header followed by frames, and a frame is a header
//! with a length, a checksum and a number, followed by a batch of entries. In a damaged file the
//! reader searches for the next marker of a frame with a valid checksum.

use eideryard::interface::Micros;

use crate::codec::Context;

/// The first bytes of a segment file. The version and a checksum of marker and version follow.
pub const FILE_MARKER: [u8; 8] = *b"EIDERREC";
/// The format version that is written, and the newest one that can be read.
pub const VERSION: u32 = 3;
/// Length of a file's header in bytes.
pub const FILE_HEADER_BYTES: usize = 16;
/// Length of a frame's header in bytes.
pub const FRAME_HEADER_BYTES: usize = 36;
/// Maximum length of a payload in bytes. Bounds the memory that a damaged length field can claim.
pub const MAX_PAYLOAD: usize = 1 << 20;

const FRAME_MARKER: [u8; 4] = [0xe1, 0xde, 0x12, 0xc4];

// Offsets of the fields of a file's header. The marker is at 0.
const FILE_VERSION_OFFSET: usize = 8;
const FILE_CHECKSUM_OFFSET: usize = 12;

// Offsets of the fields of a frame's header. The marker is at 0. The checksum covers all bytes of
// the header and the payload after itself.
const CHECKSUM_OFFSET: usize = 4;
const LENGTH_OFFSET: usize = 8;
const EPOCH_OFFSET: usize = 12;
const NUMBER_OFFSET: usize = 20;
const FIRST_AT_OFFSET: usize = 28;

/// The header of a frame, without its marker and checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// When the gateway that wrote the frame started, in microseconds since the Unix epoch.
    pub epoch: Micros,
    /// The frame's sequence number, from 1, counted across all segments of one run of the gateway.
    pub number: u64,
    /// Time of the frame's first entry, in microseconds since the Unix epoch.
    pub first_at: Micros,
    /// Length of the payload in bytes.
    pub length: usize,
}

impl FrameHeader {
    /// Returns the context that the frame's first entry was encoded with.
    pub fn context(&self) -> Context {
        Context::new(self.first_at)
    }
}

/// Encodes the header of a segment file, with the current [`VERSION`].
pub fn encode_file_header() -> [u8; FILE_HEADER_BYTES] {
    let mut header = [0; FILE_HEADER_BYTES];
    header[..FILE_VERSION_OFFSET].copy_from_slice(&FILE_MARKER);
    header[FILE_VERSION_OFFSET..FILE_CHECKSUM_OFFSET].copy_from_slice(&VERSION.to_le_bytes());
    let checksum = crc32fast::hash(&header[..FILE_CHECKSUM_OFFSET]);
    header[FILE_CHECKSUM_OFFSET..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Returns the version in a file's header, or `None` if the header is damaged.
pub fn decode_file_header(bytes: &[u8]) -> Option<u32> {
    let header = bytes.first_chunk::<FILE_HEADER_BYTES>()?;
    let has_marker = header[..FILE_VERSION_OFFSET] == FILE_MARKER;
    let checksum = crc32fast::hash(&header[..FILE_CHECKSUM_OFFSET]);
    let is_valid = has_marker && u32_at(header, FILE_CHECKSUM_OFFSET) == checksum;
    is_valid.then(|| u32_at(header, FILE_VERSION_OFFSET))
}

/// Encodes the header of a frame with this payload.
pub fn encode_frame_header(
    epoch: Micros,
    number: u64,
    first_at: Micros,
    payload: &[u8],
) -> [u8; FRAME_HEADER_BYTES] {
    let mut header = [0; FRAME_HEADER_BYTES];
    header[..CHECKSUM_OFFSET].copy_from_slice(&FRAME_MARKER);
    header[LENGTH_OFFSET..EPOCH_OFFSET].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    header[EPOCH_OFFSET..NUMBER_OFFSET].copy_from_slice(&epoch.to_le_bytes());
    header[NUMBER_OFFSET..FIRST_AT_OFFSET].copy_from_slice(&number.to_le_bytes());
    header[FIRST_AT_OFFSET..].copy_from_slice(&first_at.to_le_bytes());
    let checksum = frame_checksum(&header, payload);
    header[CHECKSUM_OFFSET..LENGTH_OFFSET].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Returns the time of a frame's first entry, without verifying the checksum. This is precise
/// enough to choose the segment at which reading starts.
pub fn frame_first_at(bytes: &[u8]) -> Option<Micros> {
    let has_header = bytes.len() >= FRAME_HEADER_BYTES && bytes.starts_with(&FRAME_MARKER);
    has_header.then(|| u64_at(bytes, FIRST_AT_OFFSET))
}

/// The result of [`find_frame`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameSearch {
    /// A complete frame with a valid checksum starts here.
    Frame(FrameHeader),
    /// A frame may start here. At least this many bytes from here are needed to decide.
    Incomplete(usize),
    /// No frame starts here. The next one may start after this many bytes.
    NotFound(usize),
}

/// Checks whether `bytes` start with a valid frame.
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
    let length = u32_at(bytes, LENGTH_OFFSET) as usize;
    if length > MAX_PAYLOAD {
        return FrameSearch::NotFound(next_marker(bytes));
    }
    let end = FRAME_HEADER_BYTES + length;
    let Some(payload) = bytes.get(FRAME_HEADER_BYTES..end) else {
        return FrameSearch::Incomplete(end);
    };
    if frame_checksum(bytes, payload) != u32_at(bytes, CHECKSUM_OFFSET) {
        return FrameSearch::NotFound(next_marker(bytes));
    }
    FrameSearch::Frame(FrameHeader {
        epoch: u64_at(bytes, EPOCH_OFFSET),
        number: u64_at(bytes, NUMBER_OFFSET),
        first_at: u64_at(bytes, FIRST_AT_OFFSET),
        length,
    })
}

/// Returns whether `bytes` start with the marker, or end within a marker that starts at their
/// beginning.
fn starts_like_marker(bytes: &[u8]) -> bool {
    let length = bytes.len().min(FRAME_MARKER.len());
    FRAME_MARKER.starts_with(&bytes[..length])
}

/// Returns the offset of the next position after the first byte at which a marker may start.
fn next_marker(bytes: &[u8]) -> usize {
    (1..bytes.len())
        .find(|position| starts_like_marker(&bytes[*position..]))
        .unwrap_or(bytes.len().max(1))
}

fn frame_checksum(header: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&header[LENGTH_OFFSET..FRAME_HEADER_BYTES]);
    hasher.update(payload);
    hasher.finalize()
}

/// Returns the number at an offset, 0 beyond the end.
fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    bytes[offset..]
        .first_chunk()
        .map_or(0, |bytes| u32::from_le_bytes(*bytes))
}

/// Returns the number at an offset, 0 beyond the end.
fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    bytes[offset..]
        .first_chunk()
        .map_or(0, |bytes| u64::from_le_bytes(*bytes))
}
