//! How attempts and probes end, and what engines report of themselves and of running attempts.

use super::{EngineId, Micros, RequestId};

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered without an error.
    Answered,
    /// The engine answered with an error; it may have run.
    Error,
    /// Rejected, as the engine is at capacity; it never ran.
    AtCapacity,
    /// No reply in time; it may have run or still run.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Broken,
    /// Cancelled by this gateway; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// What a request took, as its answer reports it.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    /// Work of all its threads, as time on one in microseconds.
    pub work: f64,
    /// Its peak memory in megabytes.
    pub memory_mb: f64,
}

/// Progress of an attempt in flight.
#[derive(Clone, Copy, Debug)]
pub enum Progress {
    /// Approximate share of the work that is done.
    Share(f64),
    /// It spills to disk, short of so many megabytes.
    Spilling(f64),
    /// It waits for memory at its engine.
    WaitsForMemory,
    /// It waits for a load of its group at its engine.
    WaitsForLoad,
}

/// An engine's load, as far as it reports it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Queries in flight.
    pub in_flight: Option<f64>,
    /// Queries that wait for memory.
    pub waiting_for_memory: Option<f64>,
    /// Share of busy cores.
    pub cores_busy: Option<f64>,
    /// Share of memory that is granted.
    pub memory_granted: Option<f64>,
    /// Share of busy disks.
    pub disks_busy: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub spent: Micros,
    /// The request has had its final answer.
    pub complete: bool,
    /// Its failure is part of an event that another attempt's end has reported.
    pub already_reported: bool,
    /// What it took, where the answer says so.
    pub usage: Option<ResourceUsage>,
    /// Load report that came with the answer.
    pub report: Option<LoadReport>,
}

/// How a probe of an engine ended; an answer proves only that the process runs.
#[derive(Clone, Copy, Debug)]
pub struct Probed {
    /// The engine.
    pub engine: EngineId,
    /// How the probe ended.
    pub outcome: Outcome,
    /// The load report, if one came.
    pub report: Option<LoadReport>,
}
