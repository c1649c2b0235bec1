//! What a gateway has learned from outcomes, as a checkpoint stores it.

use super::{EngineId, Micros};

/// Estimates of a class of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassEstimates {
    /// True over estimated work.
    pub work_ratio: f64,
    /// True over estimated memory.
    pub memory_ratio: f64,
    /// Mean work of all threads, as time on one in microseconds; 0: no request yet.
    pub work: f64,
    /// Mean memory in megabytes, once it is known.
    pub memory_mb: Option<f64>,
}

/// Estimates of one process of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineEstimates {
    /// The engine.
    pub engine: EngineId,
    /// Start of the process that they were learned from.
    pub booted_at: Micros,
    /// Time spent over ideal time.
    pub slowdown: f64,
    /// The least slowdown observed.
    pub best_slowdown: f64,
    /// Share of bad outcomes.
    pub bad_outcome_share: f64,
    /// Threads of other gateways' queries.
    pub foreign_load: f64,
}

/// What a gateway has learned, for a later process of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Estimates of the classes, by their numbers.
    pub classes: Vec<ClassEstimates>,
    /// Estimates of the engines.
    pub engines: Vec<EngineEstimates>,
    /// Threads a core of other gateways' queries on the mean engine.
    pub baseline_load: f64,
}
