//! Configuration of a recorder, and the buffers that pass between the recorder and its writer
//! thread.

use std::time::Duration;

use eideryard::interface::Micros;

use crate::totals::Tally;

/// How a gateway's event log is written.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The gateway's name. Together with `epoch` it names the files.
    pub name: String,
    /// When the gateway started.
    pub epoch: Micros,
    /// Bytes of all segments of this name together; beyond that the oldest are removed.
    pub max_total_bytes: u64,
    /// Bytes after which the next segment starts.
    pub max_segment_bytes: u64,
    /// Age after which the next segment starts, however small this one is.
    pub max_segment_age: Micros,
    /// Time to wait after a file error before the next attempt to write.
    pub retry_delay: Duration,
    /// How many classes are counted.
    pub class_count: usize,
    /// How many tenants are counted.
    pub tenant_count: usize,
}

/// Encoded entries on their way to the writer; one batch becomes one frame.
pub(crate) struct Batch {
    pub bytes: Vec<u8>,
    pub first_at: Micros,
    pub last_at: Micros,
    /// Whether it is the first of a segment.
    pub starts_segment: bool,
    /// The totals before its first entry.
    pub before: Tally,
    /// The totals after its last entry.
    pub after: Tally,
}
