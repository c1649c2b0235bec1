//! Claims of this gateway, and the records that it wrote itself.
//!
//! Before a gateway sends a request it claims the key at all voters. The claim is granted once a
//! majority holds it durably and none of them knows of a run that the balancer was not told of.
//! Claim and query are one message, so a first attempt costs one round trip. A voter merges a claim
//! before it answers, and two majorities overlap in a voter: of two claims on a key at least one
//! learns of the other.

use std::collections::{BTreeMap, BTreeSet};

use eideryard_intent_log::Location;

use crate::entry::{Phase, Record, ReportedRun};
use crate::message::ClaimRejection;
use crate::Micros;

/// A claim without a majority after this time is given up.
pub const CLAIM_TIMEOUT: Micros = 500_000;
/// Two reports of the same run may differ in its start by so much.
const REPORT_TOLERANCE: Micros = 50_000;
/// Updates that are sent to one voter in one poll, where its link has come up or it missed some.
pub const MAX_RESENT_UPDATES: usize = 64;

/// A run that may have happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PriorRun {
    /// Where; `None` for several places.
    pub location: Option<Location>,
    /// Earliest time at which it may have run, by this gateway's clock.
    pub since: Micros,
}

/// Runs of one key that may have happened.
pub type PriorRuns = Vec<PriorRun>;

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The request may be sent.
    Granted,
    /// The balancer has to be told of these runs first.
    PriorRunsFound(PriorRuns),
    /// No majority answered; the runs that the others reported and the balancer was not told of.
    NoMajority(PriorRuns),
}

/// A claim that has no verdict yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingClaim {
    key: Vec<u8>,
    version: u32,
    requested_at: Micros,
    /// Voters that hold the claim.
    accepted: BTreeSet<usize>,
    rejected: BTreeMap<usize, ClaimRejection>,
    /// Runs that the balancer was told of.
    known: PriorRuns,
    /// Runs that voters reported.
    reported: PriorRuns,
}

impl PendingClaim {
    /// The reported runs, the earliest of each place, if the balancer was not told of one of them.
    fn into_unknown_runs(self) -> PriorRuns {
        let PendingClaim {
            known,
            mut reported,
            ..
        } = self;
        let is_known = |run: &PriorRun| {
            known.iter().any(|known| {
                known.location == run.location && known.since <= run.since + REPORT_TOLERANCE
            })
        };
        if reported.iter().all(is_known) {
            return PriorRuns::new();
        }
        reported.sort();
        reported.dedup_by_key(|run| run.location);
        reported
    }

    fn is_timed_out(&self, now: Micros) -> bool {
        self.requested_at + CLAIM_TIMEOUT <= now
    }
}

/// A record that this gateway wrote, until all voters have its last version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LocalRecord {
    record: Record,
    written_at: Micros,
    missing_at: BTreeSet<usize>,
}

/// Claims without a verdict, and the records that this gateway wrote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Claims {
    voters: usize,
    /// Versions given by this incarnation, over all keys: a key that was forgotten and is claimed
    /// again must not restart at the first version.
    versions: u32,
    pending: BTreeMap<u64, PendingClaim>,
    records: BTreeMap<Vec<u8>, LocalRecord>,
    /// For each voter, the keys whose last version it does not have.
    missing_keys: BTreeMap<usize, BTreeSet<Vec<u8>>>,
    expiry: BTreeSet<(Micros, Vec<u8>)>,
}

impl Claims {
    /// No claims, in a fleet with so many voters.
    pub fn new(voters: usize) -> Self {
        Claims {
            voters,
            ..Claims::default()
        }
    }

    /// Voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters / 2 + 1
    }

    /// Number of claims without a verdict.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Number of records that this gateway wrote and still holds.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Largest number of keys whose last version one voter does not have.
    pub fn replication_lag(&self) -> usize {
        self.missing_keys
            .values()
            .map(BTreeSet::len)
            .max()
            .unwrap_or(0)
    }

    /// Writes a new version of a record, which no voter has yet, and returns it.
    pub fn write(&mut self, now: Micros, key: &[u8], mut record: Record) -> Record {
        if let Some(previous) = self.records.get(key).map(|local| local.record) {
            record.since = record.since.min(previous.since);
            record.until = record.until.max(previous.until);
            self.expiry.remove(&(previous.until, key.to_vec()));
        }
        self.versions += 1;
        record.version = self.versions;
        let local = LocalRecord {
            record,
            written_at: now,
            missing_at: (0..self.voters).collect(),
        };
        self.records.insert(key.to_vec(), local);
        self.expiry.insert((record.until, key.to_vec()));
        for voter in 0..self.voters {
            let missing = self.missing_keys.entry(voter).or_default();
            missing.insert(key.to_vec());
        }
        record
    }

    /// The record that this gateway wrote of a key.
    pub fn get(&self, key: &[u8]) -> Option<&Record> {
        self.records.get(key).map(|local| &local.record)
    }

    /// A voter has a version of a record durably.
    pub fn on_acknowledged(&mut self, voter: usize, key: &[u8], version: u32) {
        let Some(local) = self.records.get_mut(key) else {
            return;
        };
        if local.record.version > version {
            return;
        }
        local.missing_at.remove(&voter);
        let is_done = local.missing_at.is_empty() && local.record.phase != Phase::InFlight;
        self.remove_missing(voter, key);
        if is_done {
            self.forget(key);
        }
    }

    fn remove_missing(&mut self, voter: usize, key: &[u8]) {
        if let Some(missing) = self.missing_keys.get_mut(&voter) {
            missing.remove(key);
        }
    }

    fn forget(&mut self, key: &[u8]) {
        let Some(local) = self.records.remove(key) else {
            return;
        };
        self.expiry.remove(&(local.record.until, key.to_vec()));
        for voter in local.missing_at {
            self.remove_missing(voter, key);
        }
    }

    /// Records written up to a time that a voter does not have, at most [`MAX_RESENT_UPDATES`].
    pub fn missing_records(&self, voter: usize, written_until: Micros) -> Vec<(Vec<u8>, Record)> {
        self.missing_keys
            .get(&voter)
            .into_iter()
            .flatten()
            .filter_map(|key| Some((key, self.records.get(key)?)))
            .filter(|(_, local)| local.written_at <= written_until)
            .take(MAX_RESENT_UPDATES)
            .map(|(key, local)| (key.clone(), local.record))
            .collect()
    }

    /// Opens a claim for a version of a record. `known` are the runs that the balancer was told of.
    pub fn open(&mut self, now: Micros, number: u64, key: &[u8], version: u32, known: PriorRuns) {
        let claim = PendingClaim {
            key: key.to_vec(),
            version,
            requested_at: now,
            accepted: BTreeSet::new(),
            rejected: BTreeMap::new(),
            known,
            reported: PriorRuns::new(),
        };
        self.pending.insert(number, claim);
    }

    /// Key and version of a claim without a verdict.
    pub fn pending_version(&self, number: u64) -> Option<(Vec<u8>, u32)> {
        let claim = self.pending.get(&number)?;
        Some((claim.key.clone(), claim.version))
    }

    /// A voter holds a claim. Returns the verdict, once there is one. A vote that is processed
    /// after the timeout, as by a process that was stopped, grants nothing: voters may have dropped
    /// the claim by then.
    pub fn on_accepted(
        &mut self,
        now: Micros,
        number: u64,
        voter: usize,
        reported_runs: &[ReportedRun],
    ) -> Option<Verdict> {
        let majority = self.majority();
        let claim = self.pending.get_mut(&number)?;
        claim.accepted.insert(voter);
        // The voter measured the age after the request was sent, so the run may be older than that
        // by now, but never younger.
        let requested_at = claim.requested_at;
        claim
            .reported
            .extend(reported_runs.iter().map(|view| PriorRun {
                location: view.location,
                since: requested_at.saturating_sub(view.age),
            }));
        if claim.is_timed_out(now) {
            return self.close_without_majority(number);
        }
        if claim.accepted.len() < majority {
            return None;
        }
        let unknown = self.pending.remove(&number)?.into_unknown_runs();
        Some(if unknown.is_empty() {
            Verdict::Granted
        } else {
            Verdict::PriorRunsFound(unknown)
        })
    }

    /// A voter rejects a claim. Returns a verdict where a majority can't be reached any more.
    pub fn on_rejected(
        &mut self,
        number: u64,
        voter: usize,
        reason: ClaimRejection,
    ) -> Option<Verdict> {
        let majority = self.majority();
        let claim = self.pending.get_mut(&number)?;
        claim.rejected.insert(voter, reason);
        if self.voters - claim.rejected.len() >= majority {
            return None;
        }
        self.close_without_majority(number)
    }

    fn close_without_majority(&mut self, number: u64) -> Option<Verdict> {
        let claim = self.pending.remove(&number)?;
        Some(Verdict::NoMajority(claim.into_unknown_runs()))
    }

    /// Closes claims that are past [`CLAIM_TIMEOUT`].
    pub fn time_out(&mut self, now: Micros) -> Vec<(u64, Verdict)> {
        let timed_out: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, claim)| claim.is_timed_out(now))
            .map(|(number, _)| *number)
            .collect();
        timed_out
            .into_iter()
            .filter_map(|number| Some((number, self.close_without_majority(number)?)))
            .collect()
    }

    /// Drops a claim that is no longer wanted.
    pub fn cancel(&mut self, number: u64) {
        self.pending.remove(&number);
    }

    /// Forgets records that voters drop by now too.
    pub fn expire(&mut self, now: Micros) {
        while self.expiry.first().is_some_and(|(until, _)| *until <= now) {
            let Some((_, key)) = self.expiry.pop_first() else {
                break;
            };
            self.forget(&key);
        }
    }

    /// When [`Claims::time_out`] or [`Claims::expire`] has something to do.
    pub fn next_deadline(&self) -> Option<Micros> {
        let timeout = self
            .pending
            .values()
            .map(|claim| claim.requested_at + CLAIM_TIMEOUT)
            .min();
        let expiry = self.expiry.first().map(|(until, _)| *until);
        timeout.into_iter().chain(expiry).min()
    }
}
