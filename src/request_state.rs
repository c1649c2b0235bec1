//! State of a request and its attempts, retained until the request has ended and none of its
//! attempts is in flight.
//!
//! [`crate::balancer::Balancer`] owns these states. This module contains no policy.

use crate::interface::{Endpoint, EngineId, Micros, PriorAttempt, Request};

/// Whether the query of an attempt is known to have run.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

/// One attempt of a request on an engine.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// List entry of the engine when the attempt was sent.
    pub(crate) endpoint: Endpoint,
    /// When the first byte was about to be sent, if the host calls `Balancer::may_begin` at that
    /// time; else when the balancer decided to send the attempt.
    pub(crate) sent_at: Micros,
    pub(crate) state: AttemptState,
    pub(crate) is_cancelled: bool,
    pub(crate) has_errored: bool,
}

/// A request that has arrived and is still tracked.
#[derive(Default)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    /// Corrected estimate of the request's work, in microseconds of thread time summed over all
    /// threads.
    pub(crate) work: f64,
    /// Corrected estimate of the request's duration on an idle engine, in microseconds.
    pub(crate) ideal_duration: f64,
    /// Corrected estimate of the request's memory in megabytes; 0: unknown.
    pub(crate) memory_mb: f64,
    /// Latest time of an answer that meets the latency objective; the queue is sorted by this time.
    pub(crate) objective_deadline: Micros,
    /// The request has to end before this time so that the client receives the answer in time.
    pub(crate) end_deadline: Micros,
    pub(crate) priority_weight: f64,
    pub(crate) attempts: Vec<Attempt>,
    /// Whether a part of the answer has been sent to the client.
    pub(crate) is_streaming: bool,
    pub(crate) has_ended: bool,
    pub(crate) grant_mb: f64,
    pub(crate) rank: Option<u8>,
    /// Engines drawn at random for the request; used only if this gateway's share of an engine is
    /// less than one query.
    pub(crate) candidates: Vec<EngineId>,
    /// When the candidates were drawn; 0: not yet.
    pub(crate) sampled_at: Micros,
}

impl PendingRequest {
    /// Iterates over the engines of the attempts that ended in an error, in the order of the
    /// attempts.
    pub(crate) fn engines_with_errors(&self) -> impl Iterator<Item = EngineId> + use<'_> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.has_errored)
            .map(|attempt| attempt.endpoint.engine)
    }

    pub(crate) fn has_error_on(&self, engine: EngineId) -> bool {
        self.engines_with_errors().any(|other| other == engine)
    }

    pub(crate) fn has_errors_on_several_engines(&self) -> bool {
        let first = self.engines_with_errors().next();
        self.engines_with_errors()
            .any(|engine| Some(engine) != first)
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Iterates over the attempts that may have run: attempts of this gateway and attempts that
    /// other processes made.
    pub(crate) fn possible_runs(&self) -> impl Iterator<Item = PriorAttempt> + use<'_> {
        let own_attempts = self
            .attempts
            .iter()
            .filter(|attempt| attempt.state != AttemptState::NeverRan)
            .map(|attempt| PriorAttempt {
                zone: attempt.endpoint.zone,
                cell: attempt.endpoint.cell,
                since: attempt.sent_at,
            });
        own_attempts.chain(self.request.prior_attempts.iter().copied())
    }
}
