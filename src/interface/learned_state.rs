//! What a gateway has learned from outcomes, in the form in which a checkpoint keeps it.

use super::{EngineId, Micros};

/// What outcomes taught of a class: true over estimated work and memory, and means (work 0: none).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassEstimates {
    /// True over estimated work.
    pub work_ratio: f64,
    /// True over estimated memory.
    pub memory_ratio: f64,
    /// Mean work.
    pub work: f64,
    /// Mean memory, once it is known.
    pub memory_mb: Option<f64>,
}

/// What was learned of one process of an engine: time over ideal time now and at its best, its
/// share of bad outcomes, and the threads of others there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineEstimates {
    /// The engine.
    pub engine: EngineId,
    /// The start of the process of which this was learned.
    pub booted_at: Micros,
    /// Time over ideal time.
    pub slowdown: f64,
    /// The least of that ever seen.
    pub best_slowdown: f64,
    /// Share of bad outcomes.
    pub bad: f64,
    /// Threads of others there.
    pub foreign_load: f64,
}

/// What a gateway has learned, to be told to a later life of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// By class.
    pub classes: Vec<ClassEstimates>,
    /// By engine.
    pub engines: Vec<EngineEstimates>,
    /// Threads a core that engines hold on the whole.
    pub baseline_load: f64,
}
