//! Intents: which keyed requests a gateway may have sent, where and since when, across its
//! restarts.
//!
//! The package does no I/O: time and requests go in; writes and verdicts come out. The gateway
//! makes an intent durable before the first byte of its request goes to an engine. For each request
//! that arrives it asks what of it may have run before, and tells the balancer, which decides.
//!
//! State and its owner:
//!
//! - [`state`]: [`IntentLog`], the intents in memory, and what may be sent;
//! - [`waiting`]: [`waiting::PendingSends`], the sends that wait for a write or a claim;
//! - [`entry`]: an intent as the store holds it.
//!
//! Bounds: [`Limits::entries`] keys, each for the window of its class and
//! [`state::RETENTION_MARGIN`] more after its last attempt. A full log rejects new keys; it forgets
//! none early.
//!
//! ```
//! use eideryard::interface::{Class, Effect, Scope};
//! use eideryard_intent_log::state::{IncomingRequest, NextAttempt};
//! use eideryard_intent_log::{IntentLog, Limits, Place, SendDecision};
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
//!     place: Place { zone: 0, cell: 1 },
//!     known: &[],
//! };
//! let SendDecision::AfterWrite(write) = log.on_send(now, attempt) else {
//!     panic!("an intent has to be durable first")
//! };
//! assert_eq!(write.intent.map(|intent| intent.in_flight), Some(1));
//! ```

pub mod entry;
pub mod state;
pub mod waiting;

pub use entry::{Intent, Place};
pub use state::{IntentError, IntentLog, IntentWrite, Limits, SendDecision, UncertainWindow};
