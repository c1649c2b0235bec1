//! What the balancer asks its host to do.

use super::{EngineId, Micros, RequestId};

/// What a host has to do, in the order in which the balancer returns it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Give a request this grant and rank from now on.
    Grant {
        /// The request.
        request: RequestId,
        /// Memory that it is granted, in megabytes.
        grant_mb: f64,
        /// Its rank; the highest runs first.
        rank: u8,
    },
    /// Send a further attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The engine to send it to.
        engine: EngineId,
        /// When the attempt has to be given up.
        attempt_deadline: Micros,
    },
    /// Request a load report from an engine.
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
    /// Answer the client that its request was refused.
    Refuse {
        /// The request.
        request: RequestId,
        /// When the client may retry; 0: the answer doesn't say.
        retry_after: Micros,
    },
    /// Answer the client that its request failed.
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
    /// Subscribe to service discovery.
    Subscribe,
    /// Write a line to the log.
    Log(String),
}
