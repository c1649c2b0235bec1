//! Decaying statistics of the accepted requests.
//!
//! [`crate::balancer::Balancer`] owns these statistics and updates them at each arrival. This
//! module contains no policy.

use crate::interface::Micros;
use std::collections::BTreeMap;

/// How often requests use a table group.
pub(crate) struct GroupCount {
    /// Decaying count of the group's requests.
    pub(crate) count: f64,
    /// Value of `Traffic::arrivals` at the last update of the count.
    pub(crate) counted_at: f64,
}

/// Decaying means over the accepted requests.
#[derive(Default)]
pub(crate) struct Traffic {
    /// Number of requests accepted so far.
    pub(crate) arrivals: f64,
    pub(crate) last_arrival: Micros,
    /// Mean time between arrivals, in microseconds.
    pub(crate) mean_gap: f64,
    /// Mean work of a request, in microseconds of thread time summed over all threads.
    pub(crate) mean_work: f64,
    /// Mean duration on an idle engine, in microseconds.
    pub(crate) mean_ideal_duration: f64,
    /// Mean product of ideal duration and memory, in microseconds times megabytes.
    pub(crate) mean_memory_time: f64,
    pub(crate) groups: BTreeMap<u64, GroupCount>,
}
