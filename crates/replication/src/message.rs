//! Messages between a gateway and the voters.
//!
//! They are encoded with postcard: the order of variants and fields is the format and must not
//! change. Names are free.

use serde::{Deserialize, Serialize};

use crate::drains::Drain;
use crate::entry::{Origin, ReportedRun, WireRecord};

/// Why a voter rejects a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimRejection {
    /// It may have lost records and has not caught up yet.
    CatchingUp,
    /// Its table of replica records is full; records are never dropped early.
    Full,
}

/// A message about replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The sender is about to run the key and asks what the voter knows of it.
    Claim {
        /// Number of the claim at its sender.
        number: u64,
        /// The claimed key.
        key: Vec<u8>,
        /// Incarnation of the sender.
        origin: Origin,
        /// The sender's record of the key.
        record: WireRecord,
    },
    /// The claim is durable at the voter.
    ClaimAccepted {
        /// Number of the claim.
        number: u64,
        /// What other gateways may have done with the key.
        reported_runs: Vec<ReportedRun>,
    },
    /// The voter gives no vote.
    ClaimRejected {
        /// Number of the claim.
        number: u64,
        /// Why.
        reason: ClaimRejection,
    },
    /// A new version of the sender's record; no vote is requested.
    Update {
        /// The key.
        key: Vec<u8>,
        /// Incarnation of the sender.
        origin: Origin,
        /// The sender's record of the key.
        record: WireRecord,
    },
    /// An update is durable at the voter.
    UpdateAcknowledged {
        /// The key.
        key: Vec<u8>,
        /// Version that is durable.
        version: u32,
    },
    /// A voter requests all entries in ranges of keys where the receiver's replicas differ.
    StateRequest {
        /// Number of the request at its sender.
        number: u64,
        /// The sender's fingerprint of each range.
        fingerprints: Vec<u64>,
    },
    /// A part of the answer to [`Message::StateRequest`].
    StatePart {
        /// Number of the request.
        number: u64,
        /// Entries of this part.
        entries: Vec<Entry>,
        /// Whether this is the last part.
        is_last: bool,
        /// Whether the sender votes, so has all records that it ever acknowledged.
        is_voting: bool,
    },
    /// The budget of state transfers is spent.
    RetryLater {
        /// Number of the request.
        number: u64,
        /// Delay before the next request, in milliseconds.
        delay_ms: u64,
    },
    /// Drains and removals of engines, sent on to every linked gateway.
    Drains {
        /// All of them, or those that are new.
        drains: Vec<Drain>,
    },
    /// Learned figures of the sender, as a hint for a gateway that starts without any.
    Hints {
        /// Bytes of a checkpoint.
        checkpoint: Vec<u8>,
        /// Microseconds since the checkpoint was taken.
        age: u64,
    },
    /// Whether the sender votes; sent when a link comes up and at each change.
    VoterStatus {
        /// Whether it votes.
        is_voting: bool,
    },
}

/// A key and all its records.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: Vec<u8>,
    /// Records by origin.
    pub records: Vec<(Origin, WireRecord)>,
}
