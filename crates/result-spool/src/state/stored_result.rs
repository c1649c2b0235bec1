//! One stored result and its pages.

use super::Owner;
use crate::Micros;

/// Where a page is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tier {
    Memory,
    /// Being written to disk; counted as used in memory and on disk.
    Moving,
    Disk,
}

/// The size of a page and where it is stored.
#[derive(Clone, Copy, Debug)]
pub(super) struct Page {
    pub(super) bytes: u64,
    pub(super) tier: Tier,
}

/// How far a result has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Pages are still arriving.
    Filling,
    Complete,
    Failed,
}

/// A result, complete or not.
#[derive(Debug)]
pub(super) struct StoredResult {
    pub(super) owner: Owner,
    /// Expected size in bytes, claimed until the result has ended.
    pub(super) expected: u64,
    /// Size of the pages received so far, in bytes.
    pub(super) bytes: u64,
    /// The part of `bytes` that is in memory.
    pub(super) in_memory: u64,
    pub(super) pages: Vec<Page>,
    pub(super) state: State,
    pub(super) readers: u32,
    /// Index of the page after the last one that a reader requested; 0 if there is no reader.
    pub(super) next: usize,
    /// A reader has received the whole result.
    pub(super) delivered: bool,
    /// Time of the last page, read or change of state.
    pub(super) touched_at: Micros,
}

impl StoredResult {
    /// Returns the bytes counted against the budget: the expected size while pages are arriving, if
    /// that is larger than the received size; otherwise the received size.
    pub(super) fn claimed_bytes(&self) -> u64 {
        if self.state == State::Filling {
            self.expected.max(self.bytes)
        } else {
            self.bytes
        }
    }

    /// Returns whether the result has ended and has no readers.
    pub(super) fn is_droppable(&self) -> bool {
        self.readers == 0 && self.state != State::Filling
    }
}
