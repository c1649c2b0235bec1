//! Requests as clients send them, and attempts of them that were made elsewhere.

use super::Micros;

/// The host's number of a request; it is never reused.
pub type RequestId = u64;

/// Tag of the timer that ends a request.
pub fn request_timer_tag(request: RequestId) -> u64 {
    request + 1
}

/// An attempt that an earlier process of this gateway, or another gateway, may have made of a
/// request. With `since` 0 neither scope nor time is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PriorAttempt {
    /// Zone of the engine that may have run it.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// The earliest time at which it may have run.
    pub since: Micros,
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Key whose requests run in order, where its class is ordered.
    pub key: Option<String>,
    /// When its client stops waiting.
    pub deadline: Micros,
    /// Estimated work of all its threads, as time on one in microseconds.
    pub work: Option<f64>,
    /// Estimated memory in megabytes.
    pub memory_mb: Option<f64>,
    /// The group of tables that it reads or loads.
    pub group: u64,
    /// Attempts that may have run before it came to this gateway.
    pub prior_attempts: Vec<PriorAttempt>,
}
