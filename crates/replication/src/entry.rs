//! What a copy holds of a key, and how two copies become one.
//!
//! A key has a record of each incarnation of a gateway that claimed it. That incarnation alone
//! writes it, and counts its versions up, so of two the greater version is the later. Times are
//! each copy's own: the join keeps the earliest that it may have run and the latest until which it
//! is kept. So joins are commutative, associative and idempotent, whatever order messages came in.

use std::collections::BTreeMap;

use eideryard_intent_log::Place;
use serde::{Deserialize, Serialize};

use crate::Micros;

/// One life of a gateway's state: its store's identity and the number of the start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Origin {
    pub identity: u64,
    pub start: u64,
}

/// What is known of a run; later ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// An attempt may be out.
    Out,
    /// All its attempts have ended, and none ever ran.
    Void,
    /// It has ended, and may have run.
    Ran,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    pub version: u32,
    pub phase: Phase,
    /// Where; nothing: at several places, so that no engine can be relied on to drop a repeat.
    pub place: Option<Place>,
    /// Since when it may have run, by this copy's clock.
    pub since: Micros,
    /// This copy is dropped then, by this copy's clock.
    pub until: Micros,
    /// When its origin lets go of it, in Unix milliseconds of the origin's clock: two copies are
    /// compared by it, nothing is decided by it.
    pub nominal_ms: u64,
}

/// A record as it travels: with ages instead of times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WireRecord {
    pub version: u32,
    pub phase: Phase,
    pub place: Option<Place>,
    pub age: Micros,
    pub left: Micros,
    pub nominal_ms: u64,
}

/// What another one may have done with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaView {
    pub place: Option<Place>,
    pub age: Micros,
}

/// All that is known of one key.
pub type ReplicaRecord = BTreeMap<Origin, Record>;

impl Record {
    /// Two records of one origin.
    pub fn join(self, other: Record) -> Record {
        let order = |own: &Record| (own.version, own.phase, own.place, own.nominal_ms);
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

    pub fn travels(&self, now: Micros) -> WireRecord {
        let Record {
            version,
            phase,
            place,
            nominal_ms,
            ..
        } = *self;
        let (age, left) = (
            now.saturating_sub(self.since),
            self.until.saturating_sub(now),
        );
        WireRecord {
            version,
            phase,
            place,
            age,
            left,
            nominal_ms,
        }
    }
}

impl WireRecord {
    /// By the clock of one that receives it. `asked`: since when it may have been under way, where
    /// that is known; else it is taken for as old as it says on arrival.
    pub fn arrives(&self, now: Micros, asked: Option<Micros>) -> Record {
        let WireRecord {
            version,
            phase,
            place,
            nominal_ms,
            ..
        } = *self;
        let since = asked.unwrap_or(now).saturating_sub(self.age);
        Record {
            version,
            phase,
            place,
            since,
            until: now + self.left,
            nominal_ms,
        }
    }
}

/// Joins a record into a copy. False: nothing that is compared changed.
pub fn join(copy: &mut ReplicaRecord, origin: Origin, record: Record) -> bool {
    match copy.entry(origin) {
        std::collections::btree_map::Entry::Vacant(place) => {
            place.insert(record);
            true
        }
        std::collections::btree_map::Entry::Occupied(mut place) => {
            let joined = place.get().join(record);
            let changed = print_of(&origin, &joined) != print_of(&origin, place.get());
            place.insert(joined);
            changed
        }
    }
}

/// What origins other than one's own may have done, ages by this copy's clock.
pub fn seen(copy: &ReplicaRecord, own: Origin, now: Micros) -> Vec<ReplicaView> {
    let others = copy
        .iter()
        .filter(|(origin, record)| **origin != own && record.phase != Phase::Void);
    others
        .map(|(_, record)| ReplicaView {
            place: record.place,
            age: now.saturating_sub(record.since),
        })
        .collect()
}

/// Of what two copies of a record must agree on: its version and what it says, not each one's
/// times.
pub fn print_of(origin: &Origin, record: &Record) -> u64 {
    print_in(&[], origin, record)
}

/// The same within a table of many keys.
pub fn print_in(key: &[u8], origin: &Origin, record: &Record) -> u64 {
    let said = (key, origin, record.version, record.phase, record.place);
    let bytes = postcard::to_stdvec(&said).unwrap_or_default();
    let hash = blake3::hash(&bytes);
    hash.as_bytes()[..8]
        .iter()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// The key of a copy in a keeper's store: a prefix of its own, then the ledger's key without its
/// own.
pub const PREFIX: &[u8] = b"c";

pub fn stored_key(key: &[u8]) -> Vec<u8> {
    [PREFIX, key].concat()
}

pub fn to_bytes(copy: &ReplicaRecord) -> Vec<u8> {
    // Plain numbers always can.
    postcard::to_stdvec(copy).unwrap_or_default()
}

pub fn from_bytes(bytes: &[u8]) -> Option<ReplicaRecord> {
    postcard::take_from_bytes(bytes)
        .ok()
        .filter(|(_, rest)| rest.is_empty())
        .map(|(copy, _)| copy)
}
