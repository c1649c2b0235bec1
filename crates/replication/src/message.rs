//! Messages between a gateway and the voters.
//!
//! They are encoded with postcard: the order of variants and fields is the wire format and must not
//! change. Names are not encoded and may change.

use serde::{Deserialize, Serialize};

use crate::drains::Drain;
use crate::entry::{Origin, ReportedRun, WireRecord};

/// Why a voter rejects a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimRejection {
    /// The voter may have lost records and has not caught up yet.
    CatchingUp,
    /// The voter's table of replica records is full. Records are never dropped before they expire.
    Full,
}

/// A message of the replication protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The sender is about to send a request with this key to an engine. It asks the voter to store
    /// its record and to report earlier runs.
    Claim {
        /// ID of the claim, chosen by its sender.
        number: u64,
        /// The claimed key, without the intent log's prefix.
        key: Vec<u8>,
        /// Incarnation of the sender.
        origin: Origin,
        /// The sender's record for the key.
        record: WireRecord,
    },
    /// The voter has stored the claim durably and votes for it.
    ClaimAccepted {
        /// ID from the [`Message::Claim`].
        number: u64,
        /// Possible earlier runs of the key by other gateways.
        reported_runs: Vec<ReportedRun>,
    },
    /// The voter does not vote for the claim.
    ClaimRejected {
        /// ID from the [`Message::Claim`].
        number: u64,
        /// Why the voter does not vote.
        reason: ClaimRejection,
    },
    /// A new version of the sender's record, which needs no vote.
    Update {
        /// Key of the record, without the intent log's prefix.
        key: Vec<u8>,
        /// Incarnation of the sender.
        origin: Origin,
        /// The new version of the sender's record.
        record: WireRecord,
    },
    /// The voter has stored an update durably.
    UpdateAcknowledged {
        /// Key of the record, without the intent log's prefix.
        key: Vec<u8>,
        /// Version of the record that is durable at the voter.
        version: u32,
    },
    /// A voter requests all entries in the key ranges whose fingerprints differ at the receiver.
    StateRequest {
        /// ID of the request, chosen by its sender.
        number: u64,
        /// The sender's fingerprint of each of the [`RANGES`](crate::replica_set::RANGES).
        fingerprints: Vec<u64>,
    },
    /// A part of the reply to a [`Message::StateRequest`].
    StatePart {
        /// ID from the [`Message::StateRequest`].
        number: u64,
        /// Entries sorted by key. All keys are greater than those in the part before.
        entries: Vec<Entry>,
        /// Whether this is the last part.
        is_last: bool,
        /// Whether the sender votes, and therefore has all records that it ever acknowledged.
        is_voting: bool,
    },
    /// Rejects a [`Message::StateRequest`] because the budget of state transfers is exhausted.
    RetryLater {
        /// ID from the [`Message::StateRequest`].
        number: u64,
        /// Delay before the next request, in milliseconds.
        delay_ms: u64,
    },
    /// Drains and removals of engines, which the receiver forwards to every linked gateway.
    Drains {
        /// All known drains when a link comes up, afterwards only new ones.
        drains: Vec<Drain>,
    },
    /// What the sender has learned about the engines, as a hint for a gateway that starts without
    /// any such figures.
    Hints {
        /// Encoded checkpoint of the sender's balancer.
        checkpoint: Vec<u8>,
        /// Microseconds since the checkpoint was taken.
        age: u64,
    },
    /// Tells the receiver whether the sender votes; sent when a link comes up and at each change.
    VoterStatus {
        /// Whether the sender votes.
        is_voting: bool,
    },
}

/// A key with all its records, as sent in a state transfer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The key, without the intent log's prefix.
    pub key: Vec<u8>,
    /// One record for each origin, sorted by origin.
    pub records: Vec<(Origin, WireRecord)>,
}
