//! Helpers of the tests and benches.
#![allow(dead_code, unused_imports, reason = "each test uses some of them")]

mod failing_disk;
mod log_files;
mod random_entries;
mod served_request;

pub use failing_disk::FailingDisk;
pub use log_files::{config, read_log, record_random_entries, start_segment_if_needed, ReadLog};
pub use random_entries::entry;
pub use served_request::served_request_entries;

use eideryard::interface::Micros;

/// When the gateway of a log starts.
pub const START: Micros = 1_796_147_675_000_000;
