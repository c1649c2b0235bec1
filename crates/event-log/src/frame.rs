//! Frames: batches of entries with a length, a checksum and a number. A segment file is a head and
//! then frames; whoever loses the way in a damaged file looks for the next mark with a checksum
//! that fits.

use crate::codec::Context;
use eideryard::interface::Micros;

/// The first bytes of a segment file, before its version and a checksum of both.
pub const FILE_MARK: [u8; 8] = *b"EIDERREC";
/// The version that is written, and the newest that is read.
pub const VERSION: u32 = 3;
pub const FILE_HEAD: usize = 16;
const FRAME_MARK: [u8; 4] = [0xe1, 0xde, 0x12, 0xc4];
pub const FRAME_HEAD: usize = 36;
/// No payload is longer, so that a damaged length costs no memory.
pub const MAX_PAYLOAD: usize = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    pub epoch: Micros,
    /// From 1 up through all segments of an epoch.
    pub number: u64,
    pub first_at: Micros,
    pub length: usize,
}

impl Frame {
    pub fn context(&self) -> Context {
        Context::new(self.first_at)
    }
}

pub fn file_head() -> [u8; FILE_HEAD] {
    let mut head = [0; FILE_HEAD];
    head[..8].copy_from_slice(&FILE_MARK);
    head[8..12].copy_from_slice(&VERSION.to_le_bytes());
    let sum = crc32fast::hash(&head[..12]);
    head[12..].copy_from_slice(&sum.to_le_bytes());
    head
}

/// What the first bytes of a file say: the version, or nothing where they are damaged.
pub fn read_file_head(bytes: &[u8]) -> Option<u32> {
    let head = bytes.first_chunk::<FILE_HEAD>()?;
    let whole = head[..8] == FILE_MARK && word(&head[12..]) == crc32fast::hash(&head[..12]);
    whole.then(|| word(&head[8..]))
}

fn word(bytes: &[u8]) -> u32 {
    bytes
        .first_chunk()
        .map_or(0, |bytes| u32::from_le_bytes(*bytes))
}

fn long(bytes: &[u8]) -> u64 {
    bytes
        .first_chunk()
        .map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

/// The head of a frame with this payload.
pub fn frame_head(
    epoch: Micros,
    number: u64,
    first_at: Micros,
    payload: &[u8],
) -> [u8; FRAME_HEAD] {
    let mut head = [0; FRAME_HEAD];
    head[..4].copy_from_slice(&FRAME_MARK);
    head[8..12].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    head[12..20].copy_from_slice(&epoch.to_le_bytes());
    head[20..28].copy_from_slice(&number.to_le_bytes());
    head[28..36].copy_from_slice(&first_at.to_le_bytes());
    let sum = sum(&head, payload);
    head[4..8].copy_from_slice(&sum.to_le_bytes());
    head
}

/// The time at which a frame begins, by its head alone: good enough to choose a place to read from.
pub fn frame_begins(bytes: &[u8]) -> Option<Micros> {
    (bytes.len() >= FRAME_HEAD && bytes.starts_with(&FRAME_MARK)).then(|| long(&bytes[28..]))
}

fn sum(head: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&head[8..FRAME_HEAD]);
    hasher.update(payload);
    hasher.finalize()
}

/// What bytes hold at their beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    Frame(Frame),
    /// A frame may begin here, and more bytes would tell: so many in all.
    More(usize),
    /// No frame begins here; the next may begin so many bytes on.
    No(usize),
}

pub fn find(bytes: &[u8]) -> Found {
    if bytes.len() < FRAME_HEAD {
        return if FRAME_MARK.starts_with(&bytes[..bytes.len().min(4)])
            || bytes.starts_with(&FRAME_MARK)
        {
            Found::More(FRAME_HEAD)
        } else {
            Found::No(next_mark(bytes))
        };
    }
    if !bytes.starts_with(&FRAME_MARK) {
        return Found::No(next_mark(bytes));
    }
    let length = word(&bytes[8..]) as usize;
    if length > MAX_PAYLOAD {
        return Found::No(next_mark(bytes));
    }
    let Some(payload) = bytes.get(FRAME_HEAD..FRAME_HEAD + length) else {
        return Found::More(FRAME_HEAD + length);
    };
    if sum(bytes, payload) != word(&bytes[4..]) {
        return Found::No(next_mark(bytes));
    }
    Found::Frame(Frame {
        epoch: long(&bytes[12..]),
        number: long(&bytes[20..]),
        first_at: long(&bytes[28..]),
        length,
    })
}

/// How far it is to the next place behind the first byte at which a mark may begin.
fn next_mark(bytes: &[u8]) -> usize {
    let begins = |at: &usize| FRAME_MARK.starts_with(&bytes[*at..bytes.len().min(at + 4)]);
    (1..bytes.len()).find(begins).unwrap_or(bytes.len().max(1))
}
