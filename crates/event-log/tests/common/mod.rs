//! Helpers for the tests and benches.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test uses only some of the helpers"
)]

mod failing_disk;
mod log_files;
mod log_follower;
mod random_entries;
mod served_request;

pub use failing_disk::FailingDisk;
pub use log_files::{config, read_log, record_random_entries, start_segment_if_needed, ReadLog};
pub use log_follower::{record_in_step_with_writer, LogFollower};
pub use random_entries::random_entry;
pub use served_request::served_request_entries;

use eideryard::interface::Micros;

/// When the gateways of the test logs start, in microseconds since the Unix epoch.
pub const START: Micros = 1_796_147_675_000_000;
