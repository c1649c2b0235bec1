//! Allocates positions of pages on disk: segments are files that are only appended to, and are
//! removed as a whole when none of their pages is needed any longer. There is no I/O here: the
//! worker reads and writes the files.

use std::collections::BTreeMap;

/// Size in bytes of the header before each page: magic bytes, checksum, result ID, page index,
/// length, and four zero bytes.
pub const HEADER_BYTES: usize = 28;
const MAGIC: [u8; 4] = [0x5b, 0x9e, 0xd1, 0x07];

/// The position of a page on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PagePosition {
    /// ID of the segment, counted from 1 after each start of the process.
    pub segment: u64,
    /// Offset of the page's header in the segment, in bytes.
    pub offset: u64,
    /// Length of the page without its header, in bytes.
    pub length: u32,
}

/// The existing segments and the bytes in each that are still needed.
pub struct Segments {
    max_bytes: u64,
    next_segment: u64,
    /// ID and length in bytes of the segment that pages are appended to; `None` if the next page
    /// starts a new segment.
    open_segment: Option<(u64, u64)>,
    /// Bytes of pages that aren't freed yet, by segment ID.
    live_bytes: BTreeMap<u64, u64>,
}

impl Segments {
    /// Creates an empty set of segments. Pages are appended to a segment until it has at least
    /// `max_bytes`.
    pub fn new(max_bytes: u64) -> Self {
        Segments {
            max_bytes,
            next_segment: 1,
            open_segment: None,
            live_bytes: BTreeMap::new(),
        }
    }

    /// Returns the number of segments that exist.
    pub fn len(&self) -> usize {
        self.live_bytes.len()
    }

    /// Returns whether there are no segments.
    pub fn is_empty(&self) -> bool {
        self.live_bytes.is_empty()
    }

    /// Allocates the position of the next page. Returns true with it if the page is the first of a
    /// new segment.
    pub fn allocate(&mut self, length: u32) -> (PagePosition, bool) {
        let starts_segment = self
            .open_segment
            .is_none_or(|(_, end)| end >= self.max_bytes);
        if starts_segment {
            self.open_segment = Some((self.next_segment, 0));
            self.live_bytes.insert(self.next_segment, 0);
            self.next_segment += 1;
        }
        let (segment, end) = self.open_segment.get_or_insert((0, 0));
        let position = PagePosition {
            segment: *segment,
            offset: *end,
            length,
        };
        *end += (HEADER_BYTES as u64) + length as u64;
        *self.live_bytes.entry(position.segment).or_default() += length as u64;
        (position, starts_segment)
    }

    /// Closes the segment that pages are appended to, because a write to it failed and data after
    /// the failed write can't be relied on. Returns the segment's ID if the segment must be removed
    /// because none of its pages is needed.
    pub fn abandon(&mut self) -> Option<u64> {
        let (segment, _) = self.open_segment.take()?;
        self.remove_if_unused(segment)
    }

    /// Frees a page. Returns the ID of its segment if the segment must be removed because none of
    /// its pages is needed any longer.
    pub fn free(&mut self, position: PagePosition) -> Option<u64> {
        let live_bytes = self.live_bytes.get_mut(&position.segment)?;
        *live_bytes = live_bytes.saturating_sub(position.length as u64);
        self.remove_if_unused(position.segment)
    }

    fn remove_if_unused(&mut self, segment: u64) -> Option<u64> {
        let is_open = self
            .open_segment
            .is_some_and(|(open, end)| open == segment && end < self.max_bytes);
        let is_unused = self.live_bytes.get(&segment) == Some(&0);
        (is_unused && !is_open)
            .then(|| self.live_bytes.remove(&segment).map(|_| segment))
            .flatten()
    }
}

/// Encodes the header that precedes a page on disk, with a checksum of the header and the page.
pub fn encode_header(result: u64, page: u32, bytes: &[u8]) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&MAGIC);
    header[8..16].copy_from_slice(&result.to_le_bytes());
    header[16..20].copy_from_slice(&page.to_le_bytes());
    header[20..24].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
    let checksum = checksum(&header, bytes);
    header[4..8].copy_from_slice(&checksum.to_le_bytes());
    header
}

fn checksum(header: &[u8], bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&header[8..HEADER_BYTES]);
    hasher.update(bytes);
    hasher.finalize()
}

/// Returns the page after the header in `bytes`, or `None` if the bytes contain another page or are
/// damaged.
pub fn verify_page(bytes: &[u8], result: u64, page: u32) -> Option<&[u8]> {
    let (actual_header, page_bytes) = bytes.split_at_checked(HEADER_BYTES)?;
    let is_intact = actual_header == encode_header(result, page, page_bytes).as_slice();
    is_intact.then_some(page_bytes)
}
