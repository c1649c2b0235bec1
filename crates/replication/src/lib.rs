//! Replication of intents between the gateways of a fleet. A few gateways, the voters, keep records
//! of which gateway may have sent which request with an idempotency key, so that a retry at another
//! gateway does not run the request a second time.
//!
//! The package does no I/O. Its inputs are messages, the time and notifications of durable writes;
//! its outputs are messages, writes and verdicts ([`Output`]). The gateway runs a [`Core`] with its
//! links and its store; the simulated fleet of `eideryard-fleet-test` and the model check run the
//! same code.
//!
//! Modules:
//!
//! - [`entry`]: replica records of a key, their merging and encoding;
//! - [`replica_set`]: a voter's table of replica records, bounded by [`replica_set::Limits`];
//! - [`claims`]: this gateway's claims in flight and the records that it has written itself;
//! - [`anti_entropy`]: whether this voter may vote, and the budget of state transfers;
//! - [`drains`]: drains and removals of engines learned from any gateway;
//! - [`compare`]: differences between the stores of several voters, for tools;
//! - [`core`]: combines these into one gateway's part of the protocol ([`message`]).
//!
//! Clocks of different gateways are never compared: messages contain ages and durations, and each
//! receiver converts them to its own clock.
//!
//! ```
//! use eideryard_replication::core::ClaimRequest;
//! use eideryard_replication::replica_set::Limits;
//! use eideryard_replication::{Config, Core, Message, Origin, Output, Peer, Verdict};
//!
//! let config = Config {
//!     voters: 3,
//!     voter_index: None,
//!     max_retention: 20_000_000,
//!     limits: Limits { max_keys: 1_000 },
//!     transfer_bytes_per_s: 1 << 20,
//!     send_without_majority: false,
//! };
//! let origin = Origin { identity: 1, start: 1 };
//! let mut core = Core::start(config, origin, true, std::iter::empty(), 0);
//! for voter in 0..3 {
//!     core.on_link(0, Peer::Voter(voter), true);
//! }
//! let request = ClaimRequest {
//!     number: 1,
//!     key: b"key",
//!     location: None,
//!     since: 0,
//!     retention: 5_000_000,
//!     known_runs: Vec::new(),
//! };
//! assert_eq!(core.claim(0, request).len(), 3, "one message to each voter");
//! let accepted = Message::ClaimAccepted { number: 1, reported_runs: Vec::new() };
//! assert_eq!(core.on_message(10, Peer::Voter(0), accepted.clone()), []);
//! let outputs = core.on_message(20, Peer::Voter(2), accepted);
//! assert_eq!(outputs, [Output::Verdict(1, Verdict::Granted)]);
//! ```

pub mod anti_entropy;
pub mod claims;
pub mod compare;
pub mod core;
pub mod drains;
pub mod entry;
pub mod message;
pub mod replica_set;

pub use crate::core::{Config, Core, Output, Peer};
pub use claims::{PriorRun, PriorRuns, Verdict};
pub use entry::{Origin, Phase, Record, ReplicaRecord, ReportedRun};
pub use message::Message;

/// Microseconds: a duration, or a time by the host's clock.
pub type Micros = u64;
