//! What a record is to be, and the buffers that go between the event loop's side of it and the
//! writer's thread.

use std::time::Duration;

use eideryard::interface::Micros;

use crate::totals::Tally;

/// What a record is to be.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The gateway's name, and its start: together they name the files.
    pub name: String,
    pub epoch: Micros,
    /// Bytes of all segments of this name together, after which the oldest go.
    pub budget: u64,
    pub segment: u64,
    /// A segment ends after this time, however small.
    pub segment_time: Micros,
    /// Files are opened again no sooner than this after a fault.
    pub pause: Duration,
    pub classes: usize,
    pub tenants: usize,
}

pub(crate) struct Batch {
    pub bytes: Vec<u8>,
    pub entries: u64,
    pub first_at: Micros,
    pub last_at: Micros,
    /// The first of a segment.
    pub begins: bool,
    /// What had been counted before its first entry, and after its last.
    pub before: Tally,
    pub after: Tally,
}
