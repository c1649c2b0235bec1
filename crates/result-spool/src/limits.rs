//! The spool's budget and its constants, with units and reasons.

use crate::Micros;

/// Fraction of the total space that one tenant may claim while space is short: one tenant that
/// floods the spool leaves the larger part to others, and two still leave some.
pub const TENANT_SHARE: f64 = 0.4;
/// Fraction of the total space that one client address may claim while space is short.
pub const ADDRESS_SHARE: f64 = 0.25;
/// Shares are enforced only if more than this fraction of the total space would be claimed: with
/// enough free space nobody gains from a rejection.
pub const SHARE_PRESSURE: f64 = 0.5;
/// Fraction of the total space that only small results may use, so that lookups are served while
/// large reports fill the spool.
pub const SMALL_RESERVE: f64 = 0.1;
/// Maximum size of a small result, in bytes: it is sent in one message and needs its space only
/// briefly.
pub const SMALL_RESULT: u64 = 48_000;
/// Pages start to move to disk above this fraction of the memory and stop at [`MOVE_LOW_MARK`]:
/// moving one page at a time would keep the disk busy all the time.
pub const MOVE_HIGH_MARK: f64 = 0.8;
/// Fraction of the memory down to which pages move to disk.
pub const MOVE_LOW_MARK: f64 = 0.6;
/// Number of pages that stay in memory ahead of a reader: as many as a fast client requests within
/// one or two iterations of the event loop.
pub const NEAR_PAGES: usize = 4;
/// Time constant of the decaying average of the rate at which space is freed, in microseconds: long
/// enough that a single large delivery doesn't dominate it.
pub const DRAIN_TIME_CONSTANT: f64 = 5e6;
/// Minimum retry-after hint for clients, in microseconds. Shorter hints would cause a retry storm.
pub const MIN_RETRY_AFTER: Micros = 100_000;
/// Maximum retry-after hint for clients, in microseconds: the rate at which space is freed can't be
/// predicted further ahead.
pub const MAX_RETRY_AFTER: Micros = 30_000_000;
/// Maximum number of results, whatever their sizes.
pub const MAX_RESULTS: usize = 65_536;
/// Minimum read-ahead, in bytes: a page must always be in transit, or else the engine is idle
/// between two pages.
pub const MIN_READ_AHEAD: u64 = 12_000;

/// The space and retention times that the operator configures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Memory for pages, in bytes.
    pub memory: u64,
    /// Disk space for pages, in bytes; 0 if there is no directory.
    pub disk: u64,
    /// Maximum size of a single result, in bytes.
    pub max_result_bytes: u64,
    /// How long a result that no client has received completely is stored after its last use.
    pub unclaimed_retention: Micros,
    /// How long a delivered result is stored after its last use, for a client that requests it
    /// again.
    pub delivered_retention: Micros,
}

impl Budget {
    /// Returns the total space for pages, in memory and on disk, in bytes.
    pub fn total(&self) -> u64 {
        self.memory + self.disk
    }
}
/// How long before a client's deadline a request that waits for a run gets an error, so that the
/// error arrives in time.
pub const WAIT_MARGIN: Micros = 100_000;
/// The margin is at most the client's wait divided by this.
pub const MIN_WAIT_TO_MARGIN_RATIO: Micros = 10;
