//! How attempts and probes end, and what engines report of themselves and of running attempts.

use super::{EngineId, Micros, RequestId};

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered as asked.
    Answered,
    /// The engine answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    AtCapacity,
    /// No reply in time; it may have run, or run still.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Broken,
    /// Withdrawn by this gateway; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// What an answer says it cost.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    /// Work of all its threads.
    pub work: f64,
    /// The most memory that it held.
    pub memory_mb: f64,
}

/// A word on an attempt that is out.
#[derive(Clone, Copy, Debug)]
pub enum Progress {
    /// Share done, rough.
    Share(f64),
    /// Megabytes short: it spills to disk.
    Spilling(f64),
    /// It waits for memory at its engine.
    WaitsForMemory,
    /// It waits for a load of its group at its engine.
    WaitsForLoad,
}

/// What an engine reports of itself; what it doesn't tell is missing.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Queries that it holds.
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
    /// What broke this was one event that another attempt's end has told of.
    pub already_reported: bool,
    /// What it cost, where the answer says so.
    pub usage: Option<ResourceUsage>,
    /// What its engine reported with the answer.
    pub report: Option<LoadReport>,
}

/// How a probe of an engine ended; it proves no more than that the process runs.
#[derive(Clone, Copy, Debug)]
pub struct Probed {
    /// The engine.
    pub engine: EngineId,
    /// How the probe ended.
    pub outcome: Outcome,
    /// What the engine reported.
    pub report: Option<LoadReport>,
}
