//! Outcomes of attempts and probes, and engines' reports on their load and on the progress of
//! attempts.

use super::{EngineId, Micros, RequestId};

/// Outcome of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine answered without an error.
    Answered,
    /// The engine answered with an error; the query may have run.
    Error,
    /// The engine rejected the attempt because it is at capacity; the query never ran.
    AtCapacity,
    /// No reply arrived in time; the query may have run or may still be running.
    TimedOut,
    /// No connection could be established; the query never ran.
    NoConnection,
    /// The connection broke; the query may have run or may still be running.
    Broken,
    /// This gateway cancelled the attempt; the query may have run or may still be running.
    Cancelled,
    /// The attempt was withdrawn before its first byte was sent; the query never ran.
    NotSent,
}

/// Resources that a request used, as reported with its answer.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    /// Thread time in microseconds, summed over all threads.
    pub work: f64,
    /// Peak memory in megabytes.
    pub memory_mb: f64,
}

/// Progress of an attempt in flight, as its engine reports it.
#[derive(Clone, Copy, Debug)]
pub enum Progress {
    /// Approximate share of the work that is done, from 0 to 1.
    Share(f64),
    /// The query spills to disk; the value is the memory it lacks, in megabytes.
    Spilling(f64),
    /// The query is waiting for memory on its engine.
    WaitsForMemory,
    /// The query is waiting on its engine for a load of its table group to end.
    WaitsForLoad,
}

/// Load of an engine; a figure that the engine doesn't report is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Queries in flight on the engine, from all gateways.
    pub in_flight: Option<f64>,
    /// Queries that are waiting for memory on the engine.
    pub waiting_for_memory: Option<f64>,
    /// Share of its cores that are busy, from 0 to 1.
    pub cores_busy: Option<f64>,
    /// Share of its memory that is granted to queries, from 0 to 1.
    pub memory_granted: Option<f64>,
    /// Share of its disks that are busy, from 0 to 1.
    pub disks_busy: Option<f64>,
}

/// The end of an attempt, with everything that the host knows about it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Index of the attempt within the request, from 0.
    pub attempt: usize,
    /// Outcome, which also says whether the query may have run.
    pub outcome: Outcome,
    /// Time from sending the attempt to its end.
    pub spent: Micros,
    /// Whether the client has received its final answer, which ends the request.
    pub is_request_complete: bool,
    /// Whether this failure has the same cause as a failure that was already reported. A lost
    /// connection that ends several attempts counts once.
    pub is_already_reported: bool,
    /// Resources that the query used, if the answer reports them.
    pub usage: Option<ResourceUsage>,
    /// Load report of the engine, if the answer contains one.
    pub report: Option<LoadReport>,
}

/// The end of a probe. An answer proves only that the engine's process runs, not that it can answer
/// queries.
#[derive(Clone, Copy, Debug)]
pub struct ProbeEnded {
    /// Engine that was probed.
    pub engine: EngineId,
    /// Outcome of the probe itself.
    pub outcome: Outcome,
    /// Load report of the engine, if the answer contains one.
    pub report: Option<LoadReport>,
}
