//! Leases: one gateway of a fleet at a time owns a task, and work from former owners is rejected.
//!
//! The package contains the protocol without I/O. It takes messages, the time and completed writes
//! as input. It returns messages, writes and notifications as [`Output`]s, which the caller (the
//! gateway's lease driver) performs. [`LeaseCore`] combines all state of one gateway. Modules:
//!
//! - [`fencing_token`]: the token that all work of an owner carries;
//! - [`fence`]: stores the highest token of each task and rejects work with a lower one;
//! - [`voter`]: grants votes; with each vote, the voter promises to reject lower tokens;
//! - [`candidate`]: requests votes for one task, renews the lease and stops before it expires;
//! - [`probe`]: the only kind of task in use, which probes an engine for all gateways.
//!
//! Safety depends on fencing tokens and on votes that are durable before they are sent, and never
//! on clocks. Clocks only determine when to request votes, when to renew a lease and when to stop
//! acting before it expires. A gateway stores the tokens of at most [`MAX_TASKS`] tasks.
//!
//! # Example
//!
//! In a fleet with one voter, the voter itself acquires the lease of a task:
//!
//! ```
//! use eideryard_leases::{Config, LeaseCore, Output, Task, VoterReadiness};
//!
//! let config = Config { voter_count: 1, voter_index: Some(0), owner: 7 };
//! let mut core = LeaseCore::new(config, std::iter::empty(), 0);
//! let task = Task { kind: 1, number: 1 };
//! core.add_candidate(0, task);
//!
//! let now = core.deadline();
//! let mut outputs = core.on_timer(now, 0, VoterReadiness::Ready);
//! let Some(Output::StoreToken { task, token, then }) = outputs.pop() else { panic!() };
//! // A real caller writes the token to the store here. The vote counts only once it is durable.
//! core.mark_durable(task, token);
//! assert_eq!(then, [Output::VoteForSelf { task, token }]);
//!
//! let outputs = core.on_own_vote(now, task, token);
//! assert_eq!(outputs, [Output::LeaseAcquired { task, token }]);
//! assert_eq!(core.held_token(now, task), Some(token));
//! ```

pub mod candidate;
pub mod fence;
pub mod fencing_token;
pub mod lease_core;
pub mod probe;
pub mod voter;

pub use fencing_token::{FencingToken, Task};
pub use lease_core::{Config, Counters, LeaseCore, Message, Output, VoterReadiness, MAX_TASKS};

/// A time or duration in microseconds of the host's monotonic clock.
pub type Micros = u64;

/// Duration of a lease. The voter counts it from the time at which it grants the vote, and the
/// owner from the time at which it requests the vote, each by its own clock.
pub const LEASE_DURATION: Micros = 2_000_000;
/// Time before the expiry of a lease at which its owner stops acting under it.
pub const LEASE_MARGIN: Micros = 300_000;
/// Interval at which an owner requests the renewal of its lease.
pub const RENEW_INTERVAL: Micros = 500_000;
