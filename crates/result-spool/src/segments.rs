//! Where pages stand on disk: segments that are only appended to, and go as a whole when nothing in
//! them is wanted any more. Pure: the worker does the reading and writing.

use std::collections::BTreeMap;

/// Before each page: mark, result, page, length, checksum.
pub const HEADER_BYTES: usize = 28;
const MARK: [u8; 4] = [0x5b, 0x9e, 0xd1, 0x07];

/// A page on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PagePosition {
    pub segment: u64,
    pub offset: u64,
    /// Of the page, without its head.
    pub length: u32,
}

/// Segments that are there, with how much of each is wanted still.
pub struct Segments {
    size: u64,
    next: u64,
    /// The one that is appended to, and its length.
    open: Option<(u64, u64)>,
    wanted: BTreeMap<u64, u64>,
}

impl Segments {
    /// A segment takes pages until it has this size.
    pub fn new(size: u64) -> Self {
        Segments {
            size,
            next: 1,
            open: None,
            wanted: BTreeMap::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.wanted.len()
    }

    pub fn is_empty(&self) -> bool {
        self.wanted.is_empty()
    }

    /// Where the next page goes; true with it: a new segment begins there.
    pub fn allocate(&mut self, length: u32) -> (PagePosition, bool) {
        let starts_segment = self.open.is_none_or(|(_, used)| used >= self.size);
        if starts_segment {
            self.open = Some((self.next, 0));
            self.wanted.insert(self.next, 0);
            self.next += 1;
        }
        let (segment, used) = self.open.get_or_insert((0, 0));
        let position = PagePosition {
            segment: *segment,
            offset: *used,
            length,
        };
        *used += (HEADER_BYTES as u64) + length as u64;
        *self.wanted.entry(position.segment).or_default() += length as u64;
        (position, starts_segment)
    }

    /// Nothing more goes into the open segment: a write there failed, so what follows can't be
    /// relied on. Gives it, if nothing in it is wanted.
    pub fn abandon(&mut self) -> Option<u64> {
        let (segment, _) = self.open.take()?;
        self.sweep(segment)
    }

    /// A page is wanted no longer. Gives its segment where that is to be removed.
    pub fn free(&mut self, position: PagePosition) -> Option<u64> {
        let wanted = self.wanted.get_mut(&position.segment)?;
        *wanted = wanted.saturating_sub(position.length as u64);
        self.sweep(position.segment)
    }

    fn sweep(&mut self, segment: u64) -> Option<u64> {
        let open = self
            .open
            .is_some_and(|(open, used)| open == segment && used < self.size);
        let unwanted = self.wanted.get(&segment) == Some(&0);
        (unwanted && !open)
            .then(|| self.wanted.remove(&segment).map(|_| segment))
            .flatten()
    }
}

pub fn encode_header(result: u64, page: u32, bytes: &[u8]) -> [u8; HEADER_BYTES] {
    let mut head = [0; HEADER_BYTES];
    head[..4].copy_from_slice(&MARK);
    head[8..16].copy_from_slice(&result.to_le_bytes());
    head[16..20].copy_from_slice(&page.to_le_bytes());
    head[20..24].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
    let sum = sum(&head, bytes);
    head[4..8].copy_from_slice(&sum.to_le_bytes());
    head
}

fn sum(head: &[u8], bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&head[8..HEADER_BYTES]);
    hasher.update(bytes);
    hasher.finalize()
}

/// The page that some bytes hold, if they hold that one, whole.
pub fn verify_page(bytes: &[u8], result: u64, page: u32) -> Option<&[u8]> {
    let (own, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let same = own == encode_header(result, page, rest).as_slice();
    same.then_some(rest)
}
