//! What the gateway tells the intent log about requests and attempts, and what the log returns.

use eideryard::interface::{Micros, PriorAttempt};

use super::RETENTION_MARGIN;
use crate::entry::{Intent, Location};

/// A change of one intent that the store has to make durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentWrite {
    /// Store key of the intent, from [`stored_key`](crate::entry::stored_key).
    pub key: Vec<u8>,
    /// The new value of the intent; `None` removes the key.
    pub intent: Option<Intent>,
}

impl IntentWrite {
    /// Returns the Unix time in microseconds after which the store may drop the written value by
    /// itself; `None` if it must not. While an attempt is in flight, nobody knows when the intent
    /// may be dropped, so only a later write may remove it.
    pub fn expires_at(&self) -> Option<Micros> {
        let intent = self.intent.filter(|intent| intent.in_flight == 0)?;
        Some(intent.until + RETENTION_MARGIN)
    }
}

/// Why a request with an idempotency key is not accepted now. The texts are sent to clients as the
/// reason, so they must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IntentError {
    /// The log contains [`Limits::entries`](super::Limits::entries) keys, and the key of the
    /// request is not among them.
    #[error("ledger full")]
    Full,
    /// The store has not written for [`STALL_TIMEOUT`](super::STALL_TIMEOUT), or its writes fail.
    #[error("store stalled")]
    Stalled,
}

/// What has to happen before an attempt may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// Nothing: the attempt may be sent now. Requests of its class are not tracked.
    Immediate,
    /// The store has to make this write durable.
    AfterWrite(IntentWrite),
    /// An attempt that the balancer does not know of may have run, for example one for another
    /// request with the same key. The balancer has to decide again, taking this attempt into
    /// account.
    PriorAttemptFound(PriorAttempt),
}

/// A request that has arrived from a client.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'a> {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Idempotency key that the client chose; `None` if the request has none.
    pub key: Option<&'a str>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Whether writes to the store fail or are delayed.
    pub is_store_failing: bool,
}

/// An attempt that the balancer wants to send.
#[derive(Clone, Copy, Debug)]
pub struct NextAttempt<'a> {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Idempotency key that the client chose; `None` if the request has none.
    pub key: Option<&'a str>,
    /// Location of the engine to which the attempt is to be sent.
    pub location: Location,
    /// Earlier attempts with the key that the balancer knows of, including those for the same
    /// request.
    pub known_attempts: &'a [PriorAttempt],
}

/// An attempt that was answered, has failed or was given up.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt<'a> {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Idempotency key that the client chose; `None` if the request has none.
    pub key: Option<&'a str>,
    /// Whether it is certain that the engine did not run the attempt.
    pub never_ran: bool,
}
