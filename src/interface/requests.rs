//! Requests as clients send them, and attempts of them that were made elsewhere.

use super::Micros;

/// The host's number of a request; it is never used again.
pub type RequestId = u64;

/// The tag of a request's own timer, whose firing ends it.
pub fn end_tag(request: RequestId) -> u64 {
    request + 1
}

/// An attempt that an earlier life of this gateway, or another gateway, may have made of a request:
/// its engine's scope, and since when it may have run. A time of 0 says that neither is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PriorAttempt {
    /// Zone of the engine that may have run it.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Since when it may have run.
    pub since: Micros,
}

/// A request that a client has asked.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// What its order goes by, where its class is ordered.
    pub key: Option<String>,
    /// When its client gives up.
    pub deadline: Micros,
    /// Estimated work of all its threads, as time on one.
    pub work: Option<f64>,
    /// Estimated memory.
    pub memory_mb: Option<f64>,
    /// The group of tables that it reads or loads.
    pub group: u64,
    /// What of it may have run before it came here.
    pub prior_attempts: Vec<PriorAttempt>,
}
