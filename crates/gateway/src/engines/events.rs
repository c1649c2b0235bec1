//! Events that engine connections report to the main loop, and the main-loop state that they need.

use eideryard::interface::{EngineId, LoadReport, Micros, Outcome, Progress, ResourceUsage};

use crate::counters::Counters;
use crate::deadlines::Deadlines;
use crate::table::Key;

/// The main-loop state that handling a connection needs, borrowed for one call.
pub struct EngineContext<'a> {
    /// The time of the call, by the clock of the main loop.
    pub now: Micros,
    /// All deadlines of the main loop, including those of engine connections.
    pub deadlines: &'a mut Deadlines,
    /// The counters of the main loop, for connection attempts, probes and pages.
    pub counters: &'a mut Counters,
    /// Events are appended here in the order in which they happened.
    pub events: &'a mut Vec<EngineEvent>,
}

/// An attempt to be sent, as the main loop identifies it.
#[derive(Clone, Copy)]
pub struct AttemptTarget {
    pub request: Key,
    /// The index among the attempts of the request.
    pub attempt: usize,
    /// Whether the result goes to the result spool.
    pub is_spooled: bool,
}

/// The end of an attempt, for the balancer.
#[derive(Clone, Copy)]
pub struct AttemptEnd {
    pub request: Key,
    /// The index among the attempts of the request.
    pub attempt: usize,
    pub outcome: Outcome,
    /// Whether the connection was lost and the end of another attempt has already reported this
    /// loss.
    pub is_already_reported: bool,
    /// The resources that a successful attempt used, if the engine stated them.
    pub usage: Option<ResourceUsage>,
    /// The engine's system load, if the answer reported it.
    pub report: Option<LoadReport>,
}

impl AttemptEnd {
    /// Returns the end of an attempt for which the engine has reported neither usage nor system
    /// load.
    pub fn new(request: Key, attempt: usize, outcome: Outcome) -> Self {
        AttemptEnd {
            request,
            attempt,
            outcome,
            is_already_reported: false,
            usage: None,
            report: None,
        }
    }
}

/// An event on a connection to an engine.
pub enum EngineEvent {
    /// An attempt ended without a result.
    AttemptEnded(AttemptEnd),
    /// An attempt ended with a result that is sent to the client as a whole.
    ResultComplete {
        pages: Vec<Vec<u8>>,
        end: AttemptEnd,
    },
    /// The next page of a result for the result spool arrived.
    ResultPage { request: Key, rows: Vec<u8> },
    /// An attempt ended with a result for the result spool; all its pages have been reported in
    /// earlier events.
    SpooledResultComplete(AttemptEnd),
    /// An engine reported the progress of an attempt.
    Progress {
        request: Key,
        attempt: usize,
        progress: Progress,
    },
    /// A probe was answered, timed out, or lost its connection.
    ProbeEnded {
        engine: EngineId,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
}
