//! Comparison of replica records between voters, read from their stores. Used by tools and checks,
//! not by a running gateway.

use std::collections::{BTreeMap, BTreeSet};

use crate::entry::{self, Origin, ReplicaRecord};
use crate::replica_set::EXPIRY_MARGIN;

/// Replica records of one voter, by the intent log's keys.
pub type VoterReplicas = BTreeMap<Vec<u8>, ReplicaRecord>;

/// A key of which voters hold different records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The key.
    pub key: Vec<u8>,
    /// For each voter, in their order: the origins whose newest record it lacks, with the version
    /// that it holds.
    pub missing: Vec<Vec<(Origin, Option<u32>)>>,
}

/// Result of [`compare`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comparison {
    /// Number of keys that were compared.
    pub compared: u64,
    /// Keys that differ.
    pub differences: Vec<Difference>,
}

/// Version and fingerprint of a record; the greater one is the newer.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Revision {
    version: u32,
    fingerprint: u64,
}

/// Reads replica records from the keys and values of a store; other keys are skipped.
pub fn read_replicas<'a>(pairs: impl Iterator<Item = (&'a [u8], &'a [u8])>) -> VoterReplicas {
    pairs
        .filter_map(|(key, value)| {
            let key = key.strip_prefix(entry::PREFIX)?;
            Some((key.to_vec(), entry::from_bytes(value)?))
        })
        .collect()
}

/// Compares the replicas of several voters at a time in Unix milliseconds. Records that are about
/// to expire are left out.
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
