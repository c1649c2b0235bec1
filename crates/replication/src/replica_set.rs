//! A voter's table of replica records: merges, limits, expiry, fingerprints by range of keys, and
//! pages of what another voter lacks.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::entry::{self, Origin, Record, ReplicaRecord};
use crate::message::Entry;
use crate::Micros;

/// Ranges of keys that have a fingerprint each.
pub const RANGES: usize = 64;
/// Records that expire at their origin within this time are not compared: another voter may have
/// dropped them already.
pub const EXPIRY_MARGIN: Micros = 1_000_000;
/// Records of one key, one for each incarnation that claimed it. A further one is rejected.
pub const MAX_RECORDS: usize = 32;

/// Estimated bytes on the wire of one record.
const RECORD_WIRE_BYTES: usize = 40;
/// Estimated bytes on the wire of an entry, without its key and records.
const ENTRY_WIRE_BYTES: usize = 4;

/// Bounds of a [`ReplicaSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Keys of the whole fleet that a voter holds.
    pub max_keys: usize,
}

/// All replica records of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaSet {
    limits: Limits,
    replicas: BTreeMap<Vec<u8>, ReplicaRecord>,
    /// All keys, by the time at which they are dropped.
    expiry: BTreeSet<(Micros, Vec<u8>)>,
    /// Fingerprints of each range, by the second in which records expire at their origin. They are
    /// updated with each change, so a summary costs the same for any number of records.
    fingerprints: BTreeMap<u64, Vec<u64>>,
}

/// Effect of [`ReplicaSet::merge`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// Something that is compared between replicas changed.
    Changed,
    /// Nothing that is compared changed.
    Unchanged,
    /// There is no room; the record was not taken.
    Full,
}

/// Position of a page of entries in the table.
#[derive(Clone, Copy, Debug)]
pub struct PageRequest<'a> {
    /// For each range, whether its entries are wanted.
    pub differing_ranges: &'a [bool],
    /// Only keys behind this one.
    pub after: Option<&'a [u8]>,
    /// No further entry is begun once the page has so many bytes.
    pub max_bytes: usize,
}

/// A page of entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Entries in the order of their keys.
    pub entries: Vec<Entry>,
    /// Whether more follow.
    pub has_more: bool,
}

/// The range of a key.
pub fn range_of(key: &[u8]) -> usize {
    usize::from(blake3::hash(key).as_bytes()[0]) % RANGES
}

/// Estimated bytes of an entry on the wire.
pub fn wire_bytes(entry: &Entry) -> usize {
    entry.key.len() + ENTRY_WIRE_BYTES + entry.records.len() * RECORD_WIRE_BYTES
}

/// Fingerprint of what all voters should agree on of a key at a time.
pub fn fingerprint_of(key: &[u8], replica: &ReplicaRecord, now: Micros) -> u64 {
    replica
        .iter()
        .filter(|(_, record)| expiry_second(**record) >= first_compared_second(now))
        .fold(0, |sum, (origin, record)| {
            sum ^ entry::fingerprint_with_key(key, origin, record)
        })
}

impl ReplicaSet {
    /// An empty table.
    pub fn new(limits: Limits) -> Self {
        ReplicaSet {
            limits,
            replicas: BTreeMap::new(),
            expiry: BTreeSet::new(),
            fingerprints: BTreeMap::new(),
        }
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// The replica record of a key.
    pub fn get(&self, key: &[u8]) -> Option<&ReplicaRecord> {
        self.replicas.get(key)
    }

    /// Takes a replica record from the store at a start. For how long the voter was down is not
    /// known: records are retained for the whole time once more, and a record dated in the future
    /// is bound to no place.
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

    /// Merges a record of an origin into the replica record of a key.
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

    /// Drops what has expired, and returns its keys.
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

    /// When [`ReplicaSet::expire`] has something to drop.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.expiry.first().map(|(until, _)| *until)
    }

    /// One fingerprint for each range, of records that are not about to expire.
    pub fn range_fingerprints(&self, now: Micros) -> Vec<u64> {
        let mut sums = vec![0u64; RANGES];
        for (_, of_second) in self.fingerprints.range(first_compared_second(now)..) {
            for (sum, fingerprint) in sums.iter_mut().zip(of_second) {
                *sum ^= fingerprint;
            }
        }
        sums
    }

    /// Adds a record's fingerprint, or removes it again: both are an exclusive or.
    fn toggle_fingerprint(&mut self, key: &[u8], origin: &Origin, record: &Record) {
        let second = expiry_second(*record);
        let of_second = self
            .fingerprints
            .entry(second)
            .or_insert_with(|| vec![0; RANGES]);
        of_second[range_of(key)] ^= entry::fingerprint_with_key(key, origin, record);
        if of_second.iter().all(|fingerprint| *fingerprint == 0) {
            self.fingerprints.remove(&second);
        }
    }

    /// The next entries of ranges that differ from another voter's.
    pub fn page(&self, request: PageRequest<'_>, now: Micros) -> Page {
        let mut page = Page {
            entries: Vec::new(),
            has_more: false,
        };
        if !request.differing_ranges.contains(&true) {
            return page;
        }
        let first = request.after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut page_bytes = 0;
        for (key, replica) in self.replicas.range::<[u8], _>((first, Bound::Unbounded)) {
            let is_wanted = request.differing_ranges.get(range_of(key)).copied();
            if !is_wanted.unwrap_or(true) {
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

/// The second in which a record expires at its origin.
fn expiry_second(record: Record) -> u64 {
    record.origin_expiry_ms / 1000
}

/// Records that expire in this second or later are compared.
fn first_compared_second(now: Micros) -> u64 {
    (now + EXPIRY_MARGIN) / 1_000_000 + 1
}
