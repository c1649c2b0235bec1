//! Client requests, and attempts that other processes may have made to run them.

use super::Micros;

/// ID that the host assigns to a request; it is never reused.
pub type RequestId = u64;

/// Returns the tag of the timer at which a request ends if it is still unanswered. Tag 0 belongs to
/// the balancer's own maintenance timer.
pub fn request_timer_tag(request: RequestId) -> u64 {
    request + 1
}

/// An attempt that a previous process of this gateway, or another gateway, may have made for a
/// request. If `since` is 0, neither the time nor the zone and cell of the attempt are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PriorAttempt {
    /// Zone of the engine that may have run the request.
    pub zone: u32,
    /// Cell of that engine.
    pub cell: u32,
    /// Earliest time at which the attempt may have run.
    pub since: Micros,
}

/// A request as a client sent it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// ID that the host assigned to the request.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Index of its tenant in [`Settings::tenants`](super::Settings::tenants); a tenant that the
    /// settings don't name has no quota.
    pub tenant: usize,
    /// In an ordered class, requests with the same key run one after the other; `None`: the request
    /// may run at any time.
    pub key: Option<String>,
    /// Point in time at which the client stops waiting.
    pub deadline: Micros,
    /// Work that the client estimates, in microseconds of thread time summed over all threads;
    /// `None`: the client gave no estimate.
    pub work: Option<f64>,
    /// Memory that the client estimates, in megabytes; `None`: the client gave no estimate.
    pub memory_mb: Option<f64>,
    /// ID of the table group that the request reads or loads.
    pub group: u64,
    /// Attempts that other processes may have made before this gateway received the request.
    pub prior_attempts: Vec<PriorAttempt>,
}
