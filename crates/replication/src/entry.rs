//! What a replica holds of a key, how two replicas merge, and how a record is stored.
//!
//! A key has one record for each incarnation of a gateway that claimed it. Only that incarnation
//! writes the record, and it increases the version with each write, so the greater version is the
//! later one. Times are local to each replica: a merge keeps the earliest time at which the request
//! may have run and the latest time until which the record is retained. Merges are therefore
//! commutative, associative and idempotent, whatever order messages arrive in.

use std::collections::btree_map;
use std::collections::BTreeMap;

use eideryard_intent_log::Location;
use serde::{Deserialize, Serialize};

use crate::Micros;

/// One incarnation of a gateway's state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Origin {
    /// Identity of the gateway's store.
    pub identity: u64,
    /// Number of the start with that store.
    pub start: u64,
}

/// What is known of a run; later phases are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// An attempt may be in flight.
    InFlight,
    /// All attempts have ended, and none of them ran.
    NeverRan,
    /// All attempts have ended, and one of them may have run.
    MayHaveRun,
}

/// What one incarnation did with a key, in times of the replica's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Increases with each write of the origin.
    pub version: u32,
    /// What is known of the run.
    pub phase: Phase,
    /// Where it may have run; `None` for several places, so that no engine can be relied on to drop
    /// a repeat.
    pub location: Option<Location>,
    /// Earliest time at which it may have run, in microseconds of this replica's clock.
    pub since: Micros,
    /// Time at which this replica drops the record, in microseconds of its clock.
    pub until: Micros,
    /// Expiry at the origin, in Unix milliseconds of the origin's clock. Used to compare replicas,
    /// never to decide anything.
    pub origin_expiry_ms: u64,
}

/// A record in a message: ages and durations in place of times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WireRecord {
    /// As in [`Record`].
    pub version: u32,
    /// As in [`Record`].
    pub phase: Phase,
    /// As in [`Record`].
    pub location: Option<Location>,
    /// Microseconds since it may have run.
    pub age: Micros,
    /// Microseconds for which the record is still retained.
    pub remaining: Micros,
    /// As in [`Record`].
    pub origin_expiry_ms: u64,
}

/// What another gateway may have done with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReportedRun {
    /// Where it may have run; `None` for several places.
    pub location: Option<Location>,
    /// Microseconds since it may have run.
    pub age: Micros,
}

/// All records of one key, by their origin.
pub type ReplicaRecord = BTreeMap<Origin, Record>;

impl Record {
    /// Merges two records of the same origin.
    pub fn merge(self, other: Record) -> Record {
        let order = |record: &Record| {
            (
                record.version,
                record.phase,
                record.location,
                record.origin_expiry_ms,
            )
        };
        let later = if order(&self) >= order(&other) {
            self
        } else {
            other
        };
        Record {
            since: self.since.min(other.since),
            until: self.until.max(other.until),
            ..later
        }
    }

    /// The record as a message carries it.
    pub fn to_wire(&self, now: Micros) -> WireRecord {
        WireRecord {
            version: self.version,
            phase: self.phase,
            location: self.location,
            age: now.saturating_sub(self.since),
            remaining: self.until.saturating_sub(now),
            origin_expiry_ms: self.origin_expiry_ms,
        }
    }
}

impl WireRecord {
    /// The record by the clock of its receiver. `requested_at` is the earliest time at which the
    /// message may have been sent, where that is known; otherwise the record is taken to be as old
    /// as it states on arrival.
    pub fn to_record(&self, now: Micros, requested_at: Option<Micros>) -> Record {
        Record {
            version: self.version,
            phase: self.phase,
            location: self.location,
            since: requested_at.unwrap_or(now).saturating_sub(self.age),
            until: now + self.remaining,
            origin_expiry_ms: self.origin_expiry_ms,
        }
    }
}

/// Merges a record into a replica record. Returns whether anything that is compared between
/// replicas changed.
pub fn merge(replica: &mut ReplicaRecord, origin: Origin, record: Record) -> bool {
    match replica.entry(origin) {
        btree_map::Entry::Vacant(vacant) => {
            vacant.insert(record);
            true
        }
        btree_map::Entry::Occupied(mut occupied) => {
            let merged = occupied.get().merge(record);
            let has_changed = fingerprint(&origin, &merged) != fingerprint(&origin, occupied.get());
            occupied.insert(merged);
            has_changed
        }
    }
}

/// What origins other than `requester` may have done, with ages by this replica's clock.
pub fn runs_of_others(replica: &ReplicaRecord, requester: Origin, now: Micros) -> Vec<ReportedRun> {
    replica
        .iter()
        .filter(|(origin, record)| **origin != requester && record.phase != Phase::NeverRan)
        .map(|(_, record)| ReportedRun {
            location: record.location,
            age: now.saturating_sub(record.since),
        })
        .collect()
}

/// Fingerprint of what two replicas of a record must agree on: version, phase and place, but not
/// each replica's times.
pub fn fingerprint(origin: &Origin, record: &Record) -> u64 {
    fingerprint_with_key(&[], origin, record)
}

/// Fingerprint of a record within a table of many keys.
pub fn fingerprint_with_key(key: &[u8], origin: &Origin, record: &Record) -> u64 {
    let compared = (key, origin, record.version, record.phase, record.location);
    let bytes = postcard::to_stdvec(&compared).unwrap_or_default();
    let hash = blake3::hash(&bytes);
    hash.as_bytes()[..8]
        .iter()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// Prefix of replica records among the keys of a voter's store.
pub const PREFIX: &[u8] = b"c";

/// Key of a replica record in a voter's store. `key` is the intent log's key without its prefix.
pub fn stored_key(key: &[u8]) -> Vec<u8> {
    [PREFIX, key].concat()
}

/// Bytes of a replica record in the store.
pub fn to_bytes(replica: &ReplicaRecord) -> Vec<u8> {
    // Serialization of plain numbers does not fail.
    postcard::to_stdvec(replica).unwrap_or_default()
}

/// Reads a replica record from the store; `None` where the bytes are not exactly one record.
pub fn from_bytes(bytes: &[u8]) -> Option<ReplicaRecord> {
    postcard::take_from_bytes(bytes)
        .ok()
        .filter(|(_, rest)| rest.is_empty())
        .map(|(replica, _)| replica)
}
