//! Compares the replica records in the stores of several voters. Used by tools and checks, not by a
//! running gateway.

use std::collections::{BTreeMap, BTreeSet};

use crate::entry::{self, Origin, ReplicaRecord};
use crate::replica_set::EXPIRY_MARGIN;

/// Replica records of one voter, by the key in the intent log.
pub type VoterReplicas = BTreeMap<Vec<u8>, ReplicaRecord>;

/// A key whose records differ between voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The key in the intent log, without a prefix.
    pub key: Vec<u8>,
    /// For each voter, in the order of the arguments to [`compare`]: the origins whose newest
    /// record the voter lacks, each with the version that the voter has instead, or `None` if it
    /// has none.
    pub missing: Vec<Vec<(Origin, Option<u32>)>>,
}

/// Result of [`compare`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comparison {
    /// Number of keys with at least one record that is not about to expire.
    pub compared: u64,
    /// Keys whose records differ, sorted by key.
    pub differences: Vec<Difference>,
}

/// Version and fingerprint of a record. The higher revision is the newer one.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Revision {
    version: u32,
    fingerprint: u64,
}

/// Reads the replica records among the keys and values of a store. Other keys, and values that
/// can't be decoded, are skipped.
pub fn read_replicas<'a>(pairs: impl Iterator<Item = (&'a [u8], &'a [u8])>) -> VoterReplicas {
    pairs
        .filter_map(|(key, value)| {
            let key = key.strip_prefix(entry::PREFIX)?;
            Some((key.to_vec(), entry::from_bytes(value)?))
        })
        .collect()
}

/// Compares the replica records of several voters. `now_ms` is the current time in Unix
/// milliseconds: records that are about to expire are skipped, since some voters may already have
/// dropped them.
pub fn compare(voters: &[VoterReplicas], now_ms: u64) -> Comparison {
    let keys: BTreeSet<&Vec<u8>> = voters.iter().flat_map(|voter| voter.keys()).collect();
    let mut compared = 0;
    let mut differences = Vec::new();
    for key in keys {
        let revisions: Vec<_> = voters
            .iter()
            .map(|voter| live_revisions(voter.get(key), now_ms))
            .collect();
        if revisions.iter().any(|revisions| !revisions.is_empty()) {
            compared += 1;
        }
        let missing = missing_records(&revisions);
        if missing.iter().any(|missing| !missing.is_empty()) {
            differences.push(Difference {
                key: key.clone(),
                missing,
            });
        }
    }
    Comparison {
        compared,
        differences,
    }
}

fn live_revisions(replica: Option<&ReplicaRecord>, now_ms: u64) -> BTreeMap<Origin, Revision> {
    replica
        .into_iter()
        .flatten()
        .filter(|(_, record)| record.origin_expiry_ms > now_ms + EXPIRY_MARGIN / 1000)
        .map(|(origin, record)| {
            let revision = Revision {
                version: record.version,
                fingerprint: entry::fingerprint(origin, record),
            };
            (*origin, revision)
        })
        .collect()
}

fn missing_records(voters: &[BTreeMap<Origin, Revision>]) -> Vec<Vec<(Origin, Option<u32>)>> {
    let mut newest: BTreeMap<Origin, Revision> = BTreeMap::new();
    for (origin, revision) in voters.iter().flatten() {
        let known = newest.entry(*origin).or_default();
        *known = (*known).max(*revision);
    }
    voters
        .iter()
        .map(|revisions| {
            newest
                .iter()
                .map(|(origin, newest)| (origin, newest, revisions.get(origin)))
                .filter(|(_, newest, present)| {
                    present.map(|present| present.fingerprint) != Some(newest.fingerprint)
                })
                .map(|(origin, _, present)| (*origin, present.map(|present| present.version)))
                .collect()
        })
        .collect()
}
