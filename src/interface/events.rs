//! Events that a host reports to the balancer.

use super::{
    AttemptEnded, Endpoint, LearnedState, Micros, PriorAttempt, ProbeEnded, Progress, Request,
    RequestId,
};

/// An event that the host passes to the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The host has read a checkpoint that a previous process of this gateway wrote.
    CheckpointRestored {
        /// Estimates that the checkpoint contains.
        learned: LearnedState,
        /// Time since the checkpoint was written; older estimates count for less.
        age: Micros,
    },
    /// The complete endpoint list; an engine that is missing from it counts as removed.
    EndpointSnapshot(Vec<Endpoint>),
    /// Entries of the endpoint list that are new or have changed.
    EndpointChanges(Vec<Endpoint>),
    /// Service discovery is unreachable; the endpoint list stays as it is, and the balancer
    /// resubscribes later.
    DiscoveryFailed,
    /// A client has sent a request.
    Arrived(Request),
    /// Other gateways may have run an accepted request; replicas reported this before this gateway
    /// sent any attempt of that request.
    PriorAttempts {
        /// Request that the attempts belong to.
        request: RequestId,
        /// Attempts that may have run, in addition to those that the balancer already knows.
        prior_attempts: Vec<PriorAttempt>,
    },
    /// The first part of an answer was sent to the client. From then on the balancer neither ends
    /// the request nor cancels its attempts.
    StreamBegan {
        /// Request that is being answered.
        request: RequestId,
    },
    /// An engine reported the progress of an attempt in flight.
    ProgressReported {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Index of the attempt within the request, from 0.
        attempt: usize,
        /// Progress as the engine reported it.
        progress: Progress,
    },
    /// An attempt ended, with or without an answer.
    AttemptEnded(AttemptEnded),
    /// A probe ended, with or without an answer.
    ProbeEnded(ProbeEnded),
    /// A client cancelled its request or disconnected.
    ClientLeft {
        /// Request that no longer needs an answer.
        request: RequestId,
    },
    /// A timer fired that an [`Action::SetTimer`](super::Action::SetTimer) started.
    Timer {
        /// Tag of that action.
        tag: u64,
    },
}
