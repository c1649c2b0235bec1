//! What a host reports to the balancer.

use super::{
    AttemptEnded, Endpoint, LearnedState, Micros, PriorAttempt, Probed, Progress, Request,
    RequestId,
};

/// What a host tells a gateway.
#[derive(Clone, Debug)]
pub enum Event {
    /// What an earlier life had learned, so long ago.
    CheckpointRestored {
        /// What it was.
        learned: LearnedState,
        /// How long ago it was kept.
        age: Micros,
    },
    /// The complete list: an engine that it lacks is gone.
    EndpointSnapshot(Vec<Endpoint>),
    /// Entries of the list that have changed.
    EndpointChanges(Vec<Endpoint>),
    /// The list can't be reached.
    DiscoveryFailed,
    /// A client has asked.
    Arrived(Request),
    /// Of a request that was taken: others may have run it, as its keepers told before it was sent.
    PriorAttempts {
        /// The request.
        request: RequestId,
        /// Where and since when.
        prior_attempts: Vec<PriorAttempt>,
    },
    /// The first part of its answer has gone to its client.
    StreamBegan {
        /// The request.
        request: RequestId,
    },
    /// An engine said something of an attempt.
    ProgressReported {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: usize,
        /// What was said.
        progress: Progress,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// A probe has ended.
    Probed(Probed),
    /// A client cancelled its request or went.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// A timer that was set has fired.
    Timer {
        /// The tag with which it was set.
        tag: u64,
    },
}
