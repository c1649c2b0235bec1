//! Configuration of a recorder, and the buffers that it exchanges with its writer thread.

use std::time::Duration;

use eideryard::interface::Micros;

use crate::totals::Tally;

/// Name, size limits and retry behaviour of a gateway's event log.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The gateway's name. The names of the segment files consist of it, `epoch` and a number.
    pub name: String,
    /// When the gateway started, in microseconds since the Unix epoch. Identifies this run.
    pub epoch: Micros,
    /// Limit on the total size of all segments of this gateway, those of earlier runs included. The
    /// oldest segments are removed to stay below the limit.
    pub max_total_bytes: u64,
    /// Size in bytes at which the next segment starts.
    pub max_segment_bytes: u64,
    /// Age in microseconds at which the next segment starts, whatever the size of the current one.
    pub max_segment_age: Micros,
    /// Time to wait after a file error before the writer retries.
    pub retry_delay: Duration,
    /// Number of classes for which separate totals are counted.
    pub class_count: usize,
    /// Number of tenants for which separate totals are counted.
    pub tenant_count: usize,
}

/// Encoded entries that the recorder passes to the writer. One batch becomes one frame.
pub(crate) struct Batch {
    pub bytes: Vec<u8>,
    pub first_at: Micros,
    pub last_at: Micros,
    /// Set by the recorder on the first batch of a segment; the writer then creates a new file.
    pub starts_segment: bool,
    /// The totals before the batch's first entry.
    pub before: Tally,
    /// The totals after the batch's last entry.
    pub after: Tally,
}
