//! Budgets, and the tuned values of the spool with their units and reasons.

use crate::Micros;

/// Part of all room that one tenant, and one client address, may hold while room is short: one that
/// floods leaves the larger part to others, and two that do still leave some.
pub const TENANT_SHARE: f64 = 0.4;
pub const ADDRESS_SHARE: f64 = 0.25;
/// Shares bind only from this part of all room on: with room to spare nobody gains from a refusal.
pub const PRESSURE: f64 = 0.5;
/// Part of all room that only small results may use, so that lookups are served while large reports
/// fill the spool.
pub const RESERVE: f64 = 0.1;
/// Up to this size, in bytes, a result is small: it goes out in one message and is gone at once.
pub const SMALL: u64 = 48_000;
/// Pages that leave memory for disk begin to at this part of the memory, and stop below the second:
/// moving one page at a time would have the disk busy all the time.
pub const MOVE_FROM: f64 = 0.8;
pub const MOVE_TO: f64 = 0.6;
/// Pages that a reader takes next and that stay in memory: what a fast client asks for within a
/// look or two.
pub const NEAR_PAGES: usize = 4;
/// Time constant of the measured drain rate, in microseconds: long enough to see through one large
/// delivery.
pub const DRAIN_SPAN: f64 = 5e6;
/// Advice when to come back is within these, in microseconds: sooner than the first it would be a
/// storm, and what happens after the second nobody knows.
pub const MIN_ADVICE: Micros = 100_000;
pub const MAX_ADVICE: Micros = 30_000_000;
/// Results that are kept at once, however small.
pub const MAX_RESULTS: usize = 65_536;
/// The least read-ahead, in bytes: a page must always be on its way, or the engine stands between
/// two.
pub const MIN_AHEAD: u64 = 12_000;

/// What an operator grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Bytes in memory and on disk; no disk where there is none.
    pub memory: u64,
    pub disk: u64,
    /// The largest single result.
    pub max_result_bytes: u64,
    /// How long a whole result waits for its client, from its last use.
    pub unclaimed_retention: Micros,
    /// How long one that was delivered is kept for a client that comes again.
    pub delivered_retention: Micros,
}

impl Budget {
    pub fn total(&self) -> u64 {
        self.memory + self.disk
    }
}
