//! Intents: which keyed and unsafe requests a gateway may have sent, where and since when, across
//! its restarts.
//!
//! Pure: time in, writes and verdicts out; [`state`] decides, [`waiting`] says which sends that
//! wait may go, [`entry`] turns entries to bytes and back. The host makes an intent durable before
//! the first byte of the request goes to an engine, asks for each request that comes what of it may
//! have run, and tells the module, which decides by the same seven rules.
//!
//! Bounds: [`state::Limits::entries`] keys, each for its class's window and
//! [`state::RETENTION_MARGIN`] more after its last attempt; a full ledger refuses, and forgets
//! nothing early.

#![expect(missing_docs, reason = "public items are still to be described")]

pub mod entry;
pub mod state;
pub mod waiting;

pub use entry::{Intent, Place};
pub use state::{IntentError, IntentLog, IntentWrite, Limits, SendDecision, UncertainWindow};
