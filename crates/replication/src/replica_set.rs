//! A voter's table of replica records, with merging, limits, expiry, fingerprints of key ranges,
//! and pages of entries for state transfers.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::entry::{self, Origin, Record, ReplicaRecord};
use crate::message::Entry;
use crate::Micros;

/// Number of key ranges. Two voters compare one fingerprint per range.
pub const RANGES: usize = 64;
/// Records that expire at their origin within this time are not compared, because another voter may
/// already have dropped them.
pub const EXPIRY_MARGIN: Micros = 1_000_000;
/// Maximum number of records of one key. Each incarnation that claims the key has one; further ones
/// are rejected.
pub const MAX_RECORDS: usize = 32;

/// Estimated size of one record on the wire, in bytes.
const RECORD_WIRE_BYTES: usize = 40;
/// Estimated size of an entry on the wire without its key and records, in bytes.
const ENTRY_WIRE_BYTES: usize = 4;

/// Bounds of a [`ReplicaSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Maximum number of keys, across the whole fleet, that a voter stores.
    pub max_keys: usize,
}

/// Table of all replica records of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaSet {
    limits: Limits,
    replicas: BTreeMap<Vec<u8>, ReplicaRecord>,
    /// All keys, by the time at which they expire.
    expiry: BTreeSet<(Micros, Vec<u8>)>,
    /// Fingerprints of all ranges, by the second in which the records expire at their origin. They
    /// are updated with each change, so that the cost of [`ReplicaSet::range_fingerprints`] does
    /// not depend on the number of records.
    fingerprints: BTreeMap<u64, Vec<u64>>,
}

/// Result of [`ReplicaSet::merge`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// Something that voters compare has changed.
    Changed,
    /// Nothing that voters compare has changed.
    Unchanged,
    /// The record was rejected because the table or the key has no room for it.
    Full,
}

/// Selects the entries of a page.
#[derive(Clone, Copy, Debug)]
pub struct PageRequest<'a> {
    /// For each range, whether its entries are included.
    pub differing_ranges: &'a [bool],
    /// Only keys greater than this one are included; `None` for all.
    pub after: Option<&'a [u8]>,
    /// No entry is added once the page has this many estimated bytes.
    pub max_bytes: usize,
}

/// A part of the entries in the table, as selected by a [`PageRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Entries sorted by key.
    pub entries: Vec<Entry>,
    /// Whether more selected entries follow.
    pub has_more: bool,
}

/// Returns the index of the range that contains a key, less than [`RANGES`]. Keys are assigned by
/// hash.
pub fn range_of(key: &[u8]) -> usize {
    usize::from(blake3::hash(key).as_bytes()[0]) % RANGES
}

/// Returns the estimated size of an entry on the wire, in bytes.
pub fn wire_bytes(entry: &Entry) -> usize {
    entry.key.len() + ENTRY_WIRE_BYTES + entry.records.len() * RECORD_WIRE_BYTES
}

/// Returns the fingerprint of those records of a key on which all voters should agree at `now`.
pub fn fingerprint_of(key: &[u8], replica: &ReplicaRecord, now: Micros) -> u64 {
    replica
        .iter()
        .filter(|(_, record)| expiry_second(**record) >= first_compared_second(now))
        .fold(0, |sum, (origin, record)| {
            sum ^ entry::fingerprint_with_key(key, origin, record)
        })
}

impl ReplicaSet {
    /// Creates an empty table.
    pub fn new(limits: Limits) -> Self {
        ReplicaSet {
            limits,
            replicas: BTreeMap::new(),
            expiry: BTreeSet::new(),
            fingerprints: BTreeMap::new(),
        }
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns all records of a key; `None` if the table does not contain the key.
    pub fn get(&self, key: &[u8]) -> Option<&ReplicaRecord> {
        self.replicas.get(key)
    }

    /// Adds a replica record from the store at the start of a voter. How long the voter was down is
    /// unknown: all records are retained for `max_retention` again, and a record whose start is in
    /// the future loses its location.
    pub fn restore(
        &mut self,
        key: Vec<u8>,
        mut replica: ReplicaRecord,
        max_retention: Micros,
        now: Micros,
    ) {
        for record in replica.values_mut() {
            if record.since > now {
                record.since = now;
                record.location = None;
            }
            record.until = now + max_retention;
        }
        for (origin, record) in &replica {
            self.toggle_fingerprint(&key, origin, record);
        }
        self.expiry.insert((expires_at(&replica), key.clone()));
        self.replicas.insert(key, replica);
    }

    /// Merges the record of an origin into the replica record of a key.
    pub fn merge(&mut self, key: &[u8], origin: Origin, record: Record) -> MergeResult {
        if !self.has_room_for(key, origin) {
            return MergeResult::Full;
        }
        let replica = self.replicas.entry(key.to_vec()).or_default();
        let old_expiry = expires_at(replica);
        let old_record = replica.get(&origin).copied();
        let has_changed = entry::merge(replica, origin, record);
        let new_expiry = expires_at(replica);
        let new_record = replica.get(&origin).copied();
        if has_changed || old_record.map(expiry_second) != new_record.map(expiry_second) {
            for record in old_record.iter().chain(&new_record) {
                self.toggle_fingerprint(key, &origin, record);
            }
        }
        if old_expiry != new_expiry {
            self.expiry.remove(&(old_expiry, key.to_vec()));
            self.expiry.insert((new_expiry, key.to_vec()));
        }
        if has_changed {
            MergeResult::Changed
        } else {
            MergeResult::Unchanged
        }
    }

    fn has_room_for(&self, key: &[u8], origin: Origin) -> bool {
        match self.replicas.get(key) {
            Some(replica) => replica.len() < MAX_RECORDS || replica.contains_key(&origin),
            None => self.replicas.len() < self.limits.max_keys,
        }
    }

    /// Drops expired replica records and returns their keys.
    pub fn expire(&mut self, now: Micros) -> Vec<Vec<u8>> {
        let mut expired = Vec::new();
        while self.expiry.first().is_some_and(|(until, _)| *until <= now) {
            let Some((_, key)) = self.expiry.pop_first() else {
                break;
            };
            let replica = self.replicas.remove(&key).unwrap_or_default();
            for (origin, record) in &replica {
                self.toggle_fingerprint(&key, origin, record);
            }
            expired.push(key);
        }
        expired
    }

    /// Returns the time at which the next replica record expires; `None` if the table is empty.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.expiry.first().map(|(until, _)| *until)
    }

    /// Returns one fingerprint for each range, over the records that are not about to expire.
    pub fn range_fingerprints(&self, now: Micros) -> Vec<u64> {
        let mut sums = vec![0u64; RANGES];
        for (_, second_fingerprints) in self.fingerprints.range(first_compared_second(now)..) {
            for (sum, fingerprint) in sums.iter_mut().zip(second_fingerprints) {
                *sum ^= fingerprint;
            }
        }
        sums
    }

    /// Adds or removes the fingerprint of a record; both operations are an exclusive or.
    fn toggle_fingerprint(&mut self, key: &[u8], origin: &Origin, record: &Record) {
        let second = expiry_second(*record);
        let second_fingerprints = self
            .fingerprints
            .entry(second)
            .or_insert_with(|| vec![0; RANGES]);
        second_fingerprints[range_of(key)] ^= entry::fingerprint_with_key(key, origin, record);
        if second_fingerprints
            .iter()
            .all(|fingerprint| *fingerprint == 0)
        {
            self.fingerprints.remove(&second);
        }
    }

    /// Returns the page of entries that `request` asks for, with each entry's age as of `now`.
    pub fn page(&self, request: PageRequest<'_>, now: Micros) -> Page {
        let mut page = Page {
            entries: Vec::new(),
            has_more: false,
        };
        if !request.differing_ranges.contains(&true) {
            return page;
        }
        let lower_bound = request.after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut page_bytes = 0;
        for (key, replica) in self
            .replicas
            .range::<[u8], _>((lower_bound, Bound::Unbounded))
        {
            let is_included = request.differing_ranges.get(range_of(key)).copied();
            if !is_included.unwrap_or(true) {
                continue;
            }
            if page_bytes >= request.max_bytes {
                page.has_more = true;
                return page;
            }
            let records = replica
                .iter()
                .map(|(origin, record)| (*origin, record.to_wire(now)))
                .collect();
            let entry = Entry {
                key: key.clone(),
                records,
            };
            page_bytes += wire_bytes(&entry);
            page.entries.push(entry);
        }
        page
    }
}

fn expires_at(replica: &ReplicaRecord) -> Micros {
    replica
        .values()
        .map(|record| record.until)
        .max()
        .unwrap_or(0)
}

/// Returns the second in which a record expires at its origin.
fn expiry_second(record: Record) -> u64 {
    record.origin_expiry_ms / 1000
}

/// Returns the first second whose expiring records are compared at `now`.
fn first_compared_second(now: Micros) -> u64 {
    (now + EXPIRY_MARGIN) / 1_000_000 + 1
}
