//! What a host reports to the balancer.

use super::{
    AttemptEnded, Endpoint, LearnedState, Micros, PriorAttempt, Probed, Progress, Request,
    RequestId,
};

/// An event that the balancer has to take in.
#[derive(Clone, Debug)]
pub enum Event {
    /// A checkpoint of an earlier process of this gateway.
    CheckpointRestored {
        /// The learned state.
        learned: LearnedState,
        /// Time since it was written.
        age: Micros,
    },
    /// The complete list of engines: one that it lacks is removed.
    EndpointSnapshot(Vec<Endpoint>),
    /// Entries of the list that have changed.
    EndpointChanges(Vec<Endpoint>),
    /// Service discovery can't be reached.
    DiscoveryFailed,
    /// A client has sent a request.
    Arrived(Request),
    /// Others may have run a request that was taken, as replicas reported before it was sent.
    PriorAttempts {
        /// The request.
        request: RequestId,
        /// Attempts that may have run.
        prior_attempts: Vec<PriorAttempt>,
    },
    /// The first part of a request's answer has gone to its client.
    StreamBegan {
        /// The request.
        request: RequestId,
    },
    /// An engine reported on an attempt in flight.
    ProgressReported {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: usize,
        /// What it reported.
        progress: Progress,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// A probe has ended.
    Probed(Probed),
    /// A client cancelled its request or disconnected.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// A timer that was set has fired.
    Timer {
        /// The tag that it was set with.
        tag: u64,
    },
}
