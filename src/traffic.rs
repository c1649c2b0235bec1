//! Decaying statistics of the requests that were taken.
//!
//! Owned by [`crate::balancer::Balancer`], updated at each arrival. Nothing here decides anything.

use crate::interface::Micros;
use std::collections::BTreeMap;

/// How often a group of tables was asked for.
pub(crate) struct GroupCount {
    /// Decaying count of its requests.
    pub(crate) count: f64,
    /// Number of all arrivals when it was last counted.
    pub(crate) counted_at: f64,
}

/// Decaying means over requests taken.
#[derive(Default)]
pub(crate) struct Traffic {
    /// Requests taken so far.
    pub(crate) arrivals: f64,
    pub(crate) last_arrival: Micros,
    /// Mean time between arrivals, in microseconds.
    pub(crate) mean_gap: f64,
    /// Mean work of all threads.
    pub(crate) mean_work: f64,
    /// Mean time on an idle engine, in microseconds.
    pub(crate) mean_ideal_duration: f64,
    /// Mean of that time multiplied by memory.
    pub(crate) mean_memory_time: f64,
    pub(crate) groups: BTreeMap<u64, GroupCount>,
}
