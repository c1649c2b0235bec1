//! The intent log of a gateway: which requests with an idempotency key the gateway may have sent to
//! an engine, to which zone and cell, and since when. The log survives restarts of the gateway.
//!
//! The gateway makes an intent durable before it sends the first byte of the request to an engine.
//! When a request arrives, the gateway looks up which earlier attempts with the same key may have
//! run and passes them to the balancer, which decides where the request may still be sent.
//!
//! The package does no I/O: it takes the time and the requests as arguments and returns decisions
//! and the writes that the store has to make durable.
//!
//! Modules:
//!
//! - [`state`]: [`IntentLog`] keeps the intents in memory and decides what may be sent;
//! - [`waiting`]: [`waiting::PendingSends`] contains the sends that are waiting for a write or
//!   a claim;
//! - [`entry`]: the stored form of an intent.
//!
//! Memory is bounded by [`Limits::entries`] keys. Each is retained for the window of its class plus
//! [`state::RETENTION_MARGIN`] after its last attempt. When the log is full, it rejects requests
//! with new keys and does not drop any key early.
//!
//! ```
//! use eideryard::interface::{Class, Effect, Scope};
//! use eideryard_intent_log::state::{IncomingRequest, NextAttempt};
//! use eideryard_intent_log::{IntentLog, Limits, Location, SendDecision};
//!
//! let class = Class {
//!     effect: Effect::IdempotentWithKey,
//!     scope: Scope::Cell,
//!     window: 5_000_000,
//!     latency_objective: 800_000,
//!     latency_objective_per_work: 0.0,
//!     priority_weight: 1.0,
//!     is_ordered: false,
//!     zones_only: None,
//!     kinds_only: None,
//!     threads: 1.0,
//!     is_load: false,
//!     waits_for_load: false,
//! };
//! let limits = Limits { entries: 100 };
//! let now = 1_800_000_000_000_000;
//! let mut log = IntentLog::restore(limits, vec![class], std::iter::empty(), 0, now);
//!
//! let request = IncomingRequest {
//!     class: 0,
//!     key: Some("order-17"),
//!     is_retry: false,
//!     is_store_failing: false,
//! };
//! assert_eq!(log.on_request(now, request), Ok(Vec::new()));
//! let attempt = NextAttempt {
//!     class: 0,
//!     key: Some("order-17"),
//!     location: Location { zone: 0, cell: 1 },
//!     known_attempts: &[],
//! };
//! let SendDecision::AfterWrite(write) = log.on_send(now, attempt) else {
//!     panic!("the intent must be durable before the request is sent")
//! };
//! assert_eq!(write.intent.map(|intent| intent.in_flight), Some(1));
//! ```

pub mod entry;
pub mod state;
pub mod waiting;

pub use entry::{Intent, Location};
pub use state::{IntentError, IntentLog, IntentWrite, Limits, SendDecision, UncertainWindow};
