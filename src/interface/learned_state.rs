//! Estimates that a gateway has learned from outcomes, as a checkpoint stores them.

use super::{EngineId, Micros};

/// Learned estimates of one request class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassEstimates {
    /// Actual work divided by the work that the request stated.
    pub work_ratio: f64,
    /// Actual memory divided by the memory that the request stated.
    pub memory_ratio: f64,
    /// Mean work of a request in microseconds of thread time, summed over its threads; 0: no
    /// request so far.
    pub work: f64,
    /// Mean memory of a request in megabytes; `None` until an answer has reported some.
    pub memory_mb: Option<f64>,
}

/// Learned estimates of one engine process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineEstimates {
    /// Engine that the estimates describe.
    pub engine: EngineId,
    /// Start time of the process that was observed; estimates don't apply to another process.
    pub booted_at: Micros,
    /// Execution time of attempts divided by their time on an idle engine.
    pub slowdown: f64,
    /// Lowest slowdown observed.
    pub best_slowdown: f64,
    /// Decaying share, from 0 to 1, of outcomes that count against the engine's health.
    pub bad_outcome_share: f64,
    /// Threads that queries of other gateways occupy.
    pub foreign_load: f64,
}

/// Everything that a gateway has learned; a checkpoint passes it to the gateway's next process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Estimates of the request classes, indexed by class ID.
    pub classes: Vec<ClassEstimates>,
    /// Estimates of the engines that were on the endpoint list when the state was exported.
    pub engines: Vec<EngineEstimates>,
    /// Threads per core that queries of other gateways occupy on the average engine.
    pub baseline_load: f64,
}
