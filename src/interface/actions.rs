//! What the balancer asks its host to do.

use super::{EngineId, Micros, RequestId};

/// What a gateway wants of its host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Grant and rank of a request from now on.
    Grant {
        /// The request.
        request: RequestId,
        /// Memory that it is granted.
        grant_mb: f64,
        /// Its rank; the highest runs first.
        rank: u8,
    },
    /// Send a further attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        engine: EngineId,
        /// When the attempt's time is up.
        attempt_deadline: Micros,
    },
    /// Ask an engine for a report.
    Probe {
        /// The engine.
        engine: EngineId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: usize,
    },
    /// Answer that it was refused.
    Refuse {
        /// The request.
        request: RequestId,
        /// When to come again; 0: nothing is said.
        retry_after: Micros,
    },
    /// Answer that it failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Set a timer.
    SetTimer {
        /// Time until it fires.
        after: Micros,
        /// The tag that comes back with it.
        tag: u64,
    },
    /// Subscribe to the list of engines.
    Subscribe,
    /// Write a line to the log.
    Log(String),
}
