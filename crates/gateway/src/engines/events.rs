//! What connections to engines report to the gateway, and what handling them needs besides the
//! connections themselves.

use eideryard::interface::{EngineId, LoadReport, Micros, Outcome, Progress, ResourceUsage};

use crate::counters::Counters;
use crate::deadlines::Deadlines;
use crate::table::Key;

/// What the handling of a connection uses of the gateway, for one call.
pub struct EngineContext<'a> {
    /// The time of the call.
    pub now: Micros,
    /// Where the connections' deadlines are set.
    pub deadlines: &'a mut Deadlines,
    /// Where dials, probes and pages are counted.
    pub counters: &'a mut Counters,
    /// Where events are appended, in the order in which they happened.
    pub events: &'a mut Vec<EngineEvent>,
}

/// The attempt that a connection is to carry.
#[derive(Clone, Copy)]
pub struct AttemptTarget {
    pub request: Key,
    /// Its index among the attempts of the request.
    pub attempt: usize,
    /// Its result goes to the result spool.
    pub is_spooled: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy)]
pub struct AttemptEnd {
    pub request: Key,
    /// Its index among the attempts of the request.
    pub attempt: usize,
    pub outcome: Outcome,
    /// Its connection was lost, and the end of another attempt has reported that.
    pub is_already_reported: bool,
    pub usage: Option<ResourceUsage>,
    pub report: Option<LoadReport>,
}

impl AttemptEnd {
    /// The end of an attempt of which the engine has reported nothing.
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

/// An event of a connection to an engine.
pub enum EngineEvent {
    /// An attempt ended without a result.
    AttemptEnded(AttemptEnd),
    /// An attempt ended with its whole result.
    ResultComplete {
        pages: Vec<Vec<u8>>,
        end: AttemptEnd,
    },
    /// The next page of a result for the result spool.
    ResultPage { request: Key, rows: Vec<u8> },
    /// An attempt ended, all pages of its result have been reported before.
    SpooledResultComplete(AttemptEnd),
    /// An engine reported the progress of an attempt.
    Progress {
        request: Key,
        attempt: usize,
        progress: Progress,
    },
    /// A probe was answered, or got no answer.
    ProbeEnded {
        engine: EngineId,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
}
