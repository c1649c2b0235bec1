//! Replica records: their content, merging and encoding.
//!
//! A key has one record for each incarnation of a gateway that claimed it. Only that incarnation
//! writes the record, and it increases the version with each write, so the higher version is the
//! later one. Times are local to each replica: a merge keeps the earliest time at which the request
//! may have run and the latest time until which the record is retained. Merges are therefore
//! commutative, associative and idempotent, and messages may arrive in any order.

use std::collections::btree_map;
use std::collections::BTreeMap;

use eideryard_intent_log::Location;
use serde::{Deserialize, Serialize};

use crate::Micros;

/// The incarnation of a gateway that writes a record: one start with one store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Origin {
    /// Identity of the gateway's store. A new or damaged store gets a new identity.
    pub identity: u64,
    /// Sequence number of this start among the gateway's starts with that store.
    pub start: u64,
}

/// What the writer of a record knows about its attempts. Later phases compare as greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// An attempt may be in flight.
    InFlight,
    /// All attempts have ended and none of them ran at an engine.
    NeverRan,
    /// All attempts have ended and at least one may have run at an engine.
    MayHaveRun,
}

/// What one incarnation did with a key, with times by the clock of the gateway that stores the
/// record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Version of the record; increases with each write by the origin.
    pub version: u32,
    /// What the origin knows about its attempts.
    pub phase: Phase,
    /// Location at which the request may have run. `None` if there are several, in which case no
    /// engine can be relied on to drop a duplicate.
    pub location: Option<Location>,
    /// Earliest time at which the request may have run, in microseconds of this replica's clock.
    pub since: Micros,
    /// Time at which this replica drops the record, in microseconds of its clock.
    pub until: Micros,
    /// Expiry at the origin, in Unix milliseconds of the origin's clock. Used to compare replicas,
    /// never to decide anything.
    pub origin_expiry_ms: u64,
}

/// A [`Record`] in a message, with ages and durations instead of times. The order of the fields is
/// the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WireRecord {
    /// See [`Record::version`].
    pub version: u32,
    /// See [`Record::phase`].
    pub phase: Phase,
    /// See [`Record::location`].
    pub location: Option<Location>,
    /// Microseconds since the earliest time at which the request may have run.
    pub age: Micros,
    /// Microseconds for which the record is still to be retained.
    pub remaining: Micros,
    /// See [`Record::origin_expiry_ms`].
    pub origin_expiry_ms: u64,
}

/// A run of a key by another gateway, as a voter reports it to a gateway that claims the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReportedRun {
    /// Location at which the request may have run; `None` if there are several.
    pub location: Option<Location>,
    /// Microseconds since the earliest time at which the request may have run.
    pub age: Micros,
}

/// All records of one key, by their origin.
pub type ReplicaRecord = BTreeMap<Origin, Record>;

impl Record {
    /// Merges two records of the same origin: the content of the later version, the earliest
    /// `since` and the latest `until`.
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

    /// Converts the record for a message that is sent at `now`.
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
    /// Converts the record to the clock of the receiving gateway. `requested_at` is the earliest
    /// time at which the message may have been sent, if it is a reply to a request. Otherwise the
    /// age is taken to be correct at `now`, the time of arrival.
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

/// Merges the record of an origin into a replica record. Returns whether the [`fingerprint`] of
/// that origin's record, which voters compare, has changed.
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

/// Returns the possible runs by origins other than `requester`, with their ages as of `now`.
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

/// Returns the fingerprint of the parts of a record on which all voters should agree: version,
/// phase and location, but not the times, which are local to each voter.
pub fn fingerprint(origin: &Origin, record: &Record) -> u64 {
    fingerprint_with_key(&[], origin, record)
}

/// Returns a fingerprint like [`fingerprint`] that also covers the key, for the combined
/// fingerprint of many keys.
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

/// Returns the key of a replica record in a voter's store. `key` is the key in the intent log
/// without the intent log's prefix.
pub fn stored_key(key: &[u8]) -> Vec<u8> {
    [PREFIX, key].concat()
}

/// Encodes a replica record for the store, with postcard: the order of fields is the format.
pub fn to_bytes(replica: &ReplicaRecord) -> Vec<u8> {
    // Serializing plain numbers can't fail.
    postcard::to_stdvec(replica).unwrap_or_default()
}

/// Decodes a replica record from the store. Returns `None` if the bytes are not exactly one record.
pub fn from_bytes(bytes: &[u8]) -> Option<ReplicaRecord> {
    postcard::take_from_bytes(bytes)
        .ok()
        .filter(|(_, rest)| rest.is_empty())
        .map(|(replica, _)| replica)
}
