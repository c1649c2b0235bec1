//! Leases: at any time one gateway of a fleet owns a task, and work of a former owner is rejected.
//!
//! The package holds protocol state without I/O. Messages, time and completed writes go in;
//! messages, writes and notifications come out as [`Output`]s, which the caller (the gateway's
//! lease driver) carries out. [`LeaseCore`] owns all state of one gateway and joins its parts:
//!
//! - [`fencing_token`]: the token that all work of an owner carries;
//! - [`fence`]: remembers the greatest token of each task and rejects work under a lesser one;
//! - [`voter`]: grants votes, each of which is a promise of its fence;
//! - [`candidate`]: requests votes for one task, renews its lease and gives it up in time;
//! - [`probe`]: the one kind of task in use, probing an engine on behalf of all gateways.
//!
//! Safety rests on fencing tokens and on votes that are durable before they are sent, never on
//! clocks. Clocks only decide when to request votes, when to renew and when to stop early. The
//! memory of a gateway is bounded by [`MAX_TASKS`].
//!
//! # Example
//!
//! A fleet with one voter, which acquires the lease of a task itself:
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
//! // The token is written to the store here; only then is the vote counted.
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

/// Microseconds of the host's monotonic clock.
pub type Micros = u64;

/// How long a vote holds: by the voter's clock from when it was granted, by the owner's clock from
/// when it was requested.
pub const LEASE_DURATION: Micros = 2_000_000;
/// An owner stops acting this long before its lease expires.
pub const LEASE_MARGIN: Micros = 300_000;
/// Interval at which an owner renews its lease.
pub const RENEW_INTERVAL: Micros = 500_000;
