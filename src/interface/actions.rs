//! Instructions of the balancer to its host.

use super::{EngineId, Micros, RequestId};

/// An instruction to the host, which carries out actions in the order in which it receives them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the memory grant and the rank of a request, replacing earlier values.
    Grant {
        /// Request that the grant applies to; it may already run on an engine.
        request: RequestId,
        /// Memory that the engine may use for the request, in megabytes.
        grant_mb: f64,
        /// Priority on the engine; the request with the highest rank runs first.
        rank: u8,
    },
    /// Send a new attempt of a request to an engine.
    Send {
        /// Request to send; its attempts are numbered from 0 in the order of these actions.
        request: RequestId,
        /// Engine that the attempt goes to.
        engine: EngineId,
        /// Point in time at which the host has to abandon the attempt.
        attempt_deadline: Micros,
    },
    /// Request a load report from an engine.
    Probe {
        /// Engine to probe.
        engine: EngineId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Index of the attempt within the request, from 0.
        attempt: usize,
    },
    /// Answer the client that its request was refused and is safe to resend.
    Refuse {
        /// Request that ends with this answer.
        request: RequestId,
        /// Delay after which the client may retry; 0: the answer contains no such delay.
        retry_after: Micros,
    },
    /// Answer the client that its request failed and may have run.
    Fail {
        /// Request that ends with this answer.
        request: RequestId,
    },
    /// Start a timer.
    SetTimer {
        /// Delay until the timer fires.
        after: Micros,
        /// Tag to return with [`Event::Timer`](super::Event::Timer).
        tag: u64,
    },
    /// Subscribe to changes of the endpoint list, for the first time or after a failure.
    Subscribe,
    /// Write one line to the log of the host.
    Log(String),
}
