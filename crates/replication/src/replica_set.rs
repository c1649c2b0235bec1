//! A keeper's table of copies: joins, bounds, what is dropped when, prints by range, and pages of
//! what another one lacks.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::entry::{self, Origin, Record, ReplicaRecord};
use crate::message::Entry;
use crate::Micros;

/// Ranges that a summary has a print for.
pub const RANGES: usize = 64;
/// Copies that their origins let go of within this are no longer compared: another keeper may have
/// dropped them already.
pub const FADES: Micros = 1_000_000;
/// Records of one key: each incarnation that tried it. One more is refused.
pub const MAX_RECORDS: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Keys of the whole fleet that a keeper holds.
    pub entries: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaSet {
    limits: Limits,
    copies: BTreeMap<Vec<u8>, ReplicaRecord>,
    /// All keys, by when they may be dropped.
    expiry: BTreeSet<(Micros, Vec<u8>)>,
    /// Prints of all records by the second in which their origins let go of them, one for each
    /// range: kept with every change, so that a summary costs the same however many copies there
    /// are.
    prints: BTreeMap<u64, Vec<u64>>,
}

/// What a join did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    Changed,
    /// Nothing that others would see.
    Same,
    /// There is no room.
    Full,
}

fn until(copy: &ReplicaRecord) -> Micros {
    copy.values().map(|record| record.until).max().unwrap_or(0)
}

/// The range of a key.
pub fn range(key: &[u8]) -> usize {
    usize::from(blake3::hash(key).as_bytes()[0]) % RANGES
}

impl ReplicaSet {
    pub fn new(limits: Limits) -> Self {
        ReplicaSet {
            limits,
            copies: BTreeMap::new(),
            expiry: BTreeSet::new(),
            prints: BTreeMap::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.copies.len()
    }

    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    pub fn get(&self, key: &[u8]) -> Option<&ReplicaRecord> {
        self.copies.get(key)
    }

    /// From the store, at a start. How long the keeper was away is not known: what is kept is kept
    /// for its whole time once more, and what is dated in the future is pinned to no place.
    pub fn restore(&mut self, key: Vec<u8>, mut copy: ReplicaRecord, longest: Micros, now: Micros) {
        for record in copy.values_mut() {
            if record.since > now {
                (record.since, record.place) = (now, None);
            }
            record.until = now + longest;
        }
        for (origin, record) in copy.iter() {
            self.printed(&key, origin, record);
        }
        self.expiry.insert((until(&copy), key.clone()));
        self.copies.insert(key, copy);
    }

    pub fn join(&mut self, key: &[u8], origin: Origin, record: Record) -> MergeResult {
        let known = self.copies.get(key);
        let full = known.map_or(self.copies.len() >= self.limits.entries, |copy| {
            copy.len() >= MAX_RECORDS && !copy.contains_key(&origin)
        });
        if full {
            return MergeResult::Full;
        }
        let copy = self.copies.entry(key.to_vec()).or_default();
        let (before, old) = (until(copy), copy.get(&origin).copied());
        let changed = entry::join(copy, origin, record);
        let (after, new) = (until(copy), copy.get(&origin).copied());
        if old.map(seconds_of) != new.map(seconds_of) || changed {
            old.iter()
                .chain(&new)
                .for_each(|record| self.printed(key, &origin, record));
        }
        if before != after {
            self.expiry.remove(&(before, key.to_vec()));
            self.expiry.insert((after, key.to_vec()));
        }
        if changed {
            MergeResult::Changed
        } else {
            MergeResult::Same
        }
    }

    /// Drops what is over; gives the keys.
    pub fn expire(&mut self, now: Micros) -> Vec<Vec<u8>> {
        let mut gone = Vec::new();
        while self.expiry.first().is_some_and(|(until, _)| *until <= now) {
            let Some((_, key)) = self.expiry.pop_first() else {
                break;
            };
            let copy = self.copies.remove(&key).unwrap_or_default();
            for (origin, record) in copy.iter() {
                self.printed(&key, origin, record);
            }
            gone.push(key);
        }
        gone
    }

    pub fn due(&self) -> Option<Micros> {
        self.expiry.first().map(|(until, _)| *until)
    }

    /// One print for each range, of what is not about to be dropped.
    pub fn prints(&self, now: Micros) -> Vec<u64> {
        let mut prints = vec![0u64; RANGES];
        for own in self.prints.range(lasts_from(now)..).map(|(_, own)| own) {
            prints
                .iter_mut()
                .zip(own)
                .for_each(|(sum, print)| *sum ^= print);
        }
        prints
    }

    /// Puts a record's print in, or takes it out: the same.
    fn printed(&mut self, key: &[u8], origin: &Origin, record: &Record) {
        let prints = self
            .prints
            .entry(seconds_of(*record))
            .or_insert_with(|| vec![0; RANGES]);
        prints[range(key)] ^= entry::print_in(key, origin, record);
        if prints.iter().all(|print| *print == 0) {
            self.prints.remove(&seconds_of(*record));
        }
    }

    /// The next entries, behind a key, of ranges whose prints differ from another one's; up to so
    /// many bytes, and whether there are more.
    pub fn page(
        &self,
        differ: &[bool],
        behind: Option<&[u8]>,
        bytes: usize,
        now: Micros,
    ) -> (Vec<Entry>, bool) {
        if !differ.contains(&true) {
            return (Vec::new(), false);
        }
        let from = behind.map_or(Bound::Unbounded, Bound::Excluded);
        let (mut entries, mut size) = (Vec::new(), 0);
        for (key, copy) in self.copies.range::<[u8], _>((from, Bound::Unbounded)) {
            if !differ.get(range(key)).copied().unwrap_or(true) {
                continue;
            }
            if size >= bytes {
                return (entries, true);
            }
            let records = copy
                .iter()
                .map(|(origin, record)| (*origin, record.travels(now)))
                .collect();
            let entry = Entry {
                key: key.clone(),
                records,
            };
            size += cost(&entry);
            entries.push(entry);
        }
        (entries, false)
    }
}

/// What an entry takes on the wire, about.
pub fn cost(entry: &Entry) -> usize {
    entry.key.len() + 4 + entry.records.len() * 40
}

/// The second in which a record's origin lets go of it.
fn seconds_of(record: Record) -> u64 {
    record.nominal_ms / 1000
}

/// Records that end in this second or later are compared.
fn lasts_from(now: Micros) -> u64 {
    (now + FADES) / 1_000_000 + 1
}

/// Of what all keepers should agree on of a key.
pub fn print_of(key: &[u8], copy: &ReplicaRecord, now: Micros) -> u64 {
    let lasting = copy
        .iter()
        .filter(|(_, record)| seconds_of(**record) >= lasts_from(now));
    lasting.fold(0, |sum, (origin, record)| {
        sum ^ entry::print_in(key, origin, record)
    })
}
