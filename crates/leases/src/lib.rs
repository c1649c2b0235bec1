//! One owner at a time for each task on behalf of a fleet. An owner that wakes up late does no
//! harm, since whoever receives its work turns it away.
//!
//! Pure: messages, time and what became durable in; messages, writes and words out.
//! [`fencing_token`] is what all of an owner's work carries; [`fence`] remembers the greatest and
//! turns lesser ones away; [`voter`] gives votes, which are promises of its fence; [`candidate`]
//! asks for them, renews, and stops by itself; [`core`] joins them to one gateway's part; [`probe`]
//! is the task that is there.
//!
//! Safety rests on tokens and on votes that are durable before they leave, never on a clock: clocks
//! only say when to try, when to renew and when to stop early. Bounds: [`core::MAX_TASKS`].

#![expect(missing_docs, reason = "public items are still to be described")]

pub mod candidate;
pub mod core;
pub mod fence;
pub mod fencing_token;
pub mod probe;
pub mod voter;

pub use crate::core::{Config, Core, Message, Output};
pub use fencing_token::{FencingToken, Task};

/// Microseconds of the host's monotonic clock.
pub type Micros = u64;

/// A vote holds for so long, by the voter's clock from when it was given and by the owner's from
/// when it was asked for.
pub const LEASE: Micros = 2_000_000;
/// An owner stops so long before its lease is over, and renews it this often.
pub const MARGIN: Micros = 300_000;
pub const RENEW: Micros = 500_000;
