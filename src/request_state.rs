//! State of a request and its attempts, from arrival until no attempt of it is in flight.
//!
//! Owned by [`crate::balancer::Balancer`]. Nothing here decides anything.

use crate::interface::{Endpoint, EngineId, Micros, PriorAttempt, Request};

/// What is known of an attempt's execution.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

/// One attempt to run a request on an engine.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// The engine as it was listed when the attempt was sent.
    pub(crate) endpoint: Endpoint,
    /// When its first byte went out, as far as the host reports that.
    pub(crate) sent_at: Micros,
    pub(crate) state: AttemptState,
    pub(crate) is_cancelled: bool,
    pub(crate) has_errored: bool,
}

/// A request that has arrived and is not forgotten yet.
#[derive(Default)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    /// Corrected estimate of the work of all threads, as time on one.
    pub(crate) work: f64,
    /// Corrected estimate of its time on an idle engine, in microseconds.
    pub(crate) ideal_duration: f64,
    /// Corrected estimate of its memory; 0 where none is known.
    pub(crate) memory_mb: f64,
    /// When its latency objective ends; queued requests leave in this order.
    pub(crate) objective_deadline: Micros,
    /// It must have ended before this time.
    pub(crate) end_deadline: Micros,
    pub(crate) priority_weight: f64,
    pub(crate) attempts: Vec<Attempt>,
    /// Part of its answer has gone to the client.
    pub(crate) is_streaming: bool,
    pub(crate) has_ended: bool,
    pub(crate) grant_mb: f64,
    pub(crate) rank: Option<u8>,
    /// Engines drawn for it where shares are below one query.
    pub(crate) candidates: Vec<EngineId>,
    /// When these were drawn; 0 before the first draw.
    pub(crate) sampled_at: Micros,
}

impl PendingRequest {
    /// The engine of each attempt that ended in an error, in the order of attempts.
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

    /// Attempts that may have run, here or before the request came to this gateway.
    pub(crate) fn possible_runs(&self) -> impl Iterator<Item = PriorAttempt> + use<'_> {
        let made_here = self
            .attempts
            .iter()
            .filter(|attempt| attempt.state != AttemptState::NeverRan)
            .map(|attempt| PriorAttempt {
                zone: attempt.endpoint.zone,
                cell: attempt.endpoint.cell,
                since: attempt.sent_at,
            });
        made_here.chain(self.request.prior_attempts.iter().copied())
    }
}
