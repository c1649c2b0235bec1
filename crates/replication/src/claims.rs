//! Claims that this gateway makes, and the records that it has written itself.
//!
//! Before a gateway sends a request to an engine, it claims the request's key at all voters. The
//! claim is granted once a majority of the voters has stored it durably and none of these voters
//! reports an earlier run of the key that the balancer does not know of. The claim and the query
//! for earlier runs are one message, so a first attempt costs one round trip. A voter merges a
//! claim before it replies, and two majorities have a voter in common, so of two claims on a key,
//! at least one claimant learns of the other claim.

use std::collections::{BTreeMap, BTreeSet};

use eideryard_intent_log::Location;

use crate::entry::{Phase, Record, ReportedRun};
use crate::message::ClaimRejection;
use crate::Micros;

/// Time after which a claim without a majority fails.
pub const CLAIM_TIMEOUT: Micros = 500_000;
/// Maximum difference between the start of a run that the balancer knows and the start in a report
/// of the same run.
const REPORT_TOLERANCE: Micros = 50_000;
/// Maximum number of updates that are resent to one voter at a time, when its link comes up or when
/// it lacks some.
pub const MAX_RESENT_UPDATES: usize = 64;

/// A possible earlier run, at an engine, of a request with a given key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PriorRun {
    /// Location of the run; `None` if it may have run at several.
    pub location: Option<Location>,
    /// Earliest time at which the run may have begun, by this gateway's clock.
    pub since: Micros,
}

/// Possible earlier runs of the requests with one key.
pub type PriorRuns = Vec<PriorRun>;

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The request may be sent.
    Granted,
    /// The claim is refused because of these runs, not all of which the balancer knows of. The
    /// balancer may decide again, taking them into account.
    PriorRunsFound(PriorRuns),
    /// No majority of the voters has accepted the claim. Contains the runs that a minority
    /// reported, unless the balancer knows all of them.
    NoMajority(PriorRuns),
}

/// A claim that has no verdict yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingClaim {
    key: Vec<u8>,
    version: u32,
    requested_at: Micros,
    /// Voters that have stored the claim durably.
    accepted_by: BTreeSet<usize>,
    rejected_by: BTreeMap<usize, ClaimRejection>,
    /// Runs that the balancer knows of.
    known_runs: PriorRuns,
    /// Runs that voters have reported.
    reported_runs: PriorRuns,
}

impl PendingClaim {
    /// Returns the reported runs, the earliest at each location, or nothing if the balancer knows
    /// all of them.
    fn into_unknown_runs(self) -> PriorRuns {
        let PendingClaim {
            known_runs,
            mut reported_runs,
            ..
        } = self;
        let is_known = |run: &PriorRun| {
            known_runs.iter().any(|known| {
                known.location == run.location && known.since <= run.since + REPORT_TOLERANCE
            })
        };
        if reported_runs.iter().all(is_known) {
            return PriorRuns::new();
        }
        reported_runs.sort();
        reported_runs.dedup_by_key(|run| run.location);
        reported_runs
    }

    fn is_timed_out(&self, now: Micros) -> bool {
        self.requested_at + CLAIM_TIMEOUT <= now
    }
}

/// A record that this gateway has written. It is retained until all voters have its last version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LocalRecord {
    record: Record,
    written_at: Micros,
    missing_at_voters: BTreeSet<usize>,
}

/// Claims without a verdict, and the records that this gateway has written.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Claims {
    voters: usize,
    /// Last version that this incarnation gave to a record of any key. Versions are counted across
    /// all keys, because a key whose record was dropped and that is claimed again must not get an
    /// earlier version.
    last_version: u32,
    pending: BTreeMap<u64, PendingClaim>,
    records: BTreeMap<Vec<u8>, LocalRecord>,
    /// For each voter, the keys whose last version it has not acknowledged.
    missing_keys: BTreeMap<usize, BTreeSet<Vec<u8>>>,
    /// Keys of all records, by the time at which the record expires.
    expiry: BTreeSet<(Micros, Vec<u8>)>,
}

impl Claims {
    /// Creates an empty state for a fleet of `voters` voters.
    pub fn new(voters: usize) -> Self {
        Claims {
            voters,
            ..Claims::default()
        }
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters / 2 + 1
    }

    /// Returns the number of claims without a verdict.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of records that this gateway has written and still retains.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of keys whose last version a voter lacks, for the voter that lacks the
    /// most.
    pub fn replication_lag(&self) -> usize {
        self.missing_keys
            .values()
            .map(BTreeSet::len)
            .max()
            .unwrap_or(0)
    }

    /// Writes a new version of the record of a key and returns it. No voter has that version yet.
    pub fn write(&mut self, now: Micros, key: &[u8], mut record: Record) -> Record {
        if let Some(previous) = self.records.get(key).map(|local| local.record) {
            record.since = record.since.min(previous.since);
            record.until = record.until.max(previous.until);
            self.expiry.remove(&(previous.until, key.to_vec()));
        }
        self.last_version += 1;
        record.version = self.last_version;
        let local = LocalRecord {
            record,
            written_at: now,
            missing_at_voters: (0..self.voters).collect(),
        };
        self.records.insert(key.to_vec(), local);
        self.expiry.insert((record.until, key.to_vec()));
        for voter in 0..self.voters {
            let missing = self.missing_keys.entry(voter).or_default();
            missing.insert(key.to_vec());
        }
        record
    }

    /// Returns the record that this gateway has written for a key.
    pub fn get(&self, key: &[u8]) -> Option<&Record> {
        self.records.get(key).map(|local| &local.record)
    }

    /// Handles the confirmation of a voter that it has durably stored a version of a record. The
    /// record is dropped once all voters have it and no attempt is in flight.
    pub fn on_acknowledged(&mut self, voter: usize, key: &[u8], version: u32) {
        let Some(local) = self.records.get_mut(key) else {
            return;
        };
        if local.record.version > version {
            return;
        }
        local.missing_at_voters.remove(&voter);
        let is_done = local.missing_at_voters.is_empty() && local.record.phase != Phase::InFlight;
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
        for voter in local.missing_at_voters {
            self.remove_missing(voter, key);
        }
    }

    /// Returns records that a voter lacks and that were written at `written_until` or earlier, at
    /// most [`MAX_RESENT_UPDATES`].
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

    /// Opens a claim for a version of a record. `known_runs` are the runs that the balancer knows
    /// of.
    pub fn open(
        &mut self,
        now: Micros,
        number: u64,
        key: &[u8],
        version: u32,
        known_runs: PriorRuns,
    ) {
        let claim = PendingClaim {
            key: key.to_vec(),
            version,
            requested_at: now,
            accepted_by: BTreeSet::new(),
            rejected_by: BTreeMap::new(),
            known_runs,
            reported_runs: PriorRuns::new(),
        };
        self.pending.insert(number, claim);
    }

    /// Returns the key and the version of a claim without a verdict.
    pub fn pending_version(&self, number: u64) -> Option<(Vec<u8>, u32)> {
        let claim = self.pending.get(&number)?;
        Some((claim.key.clone(), claim.version))
    }

    /// Counts the vote of a voter that has stored a claim. Returns the verdict once there is one.
    ///
    /// A vote that is processed after the timeout, for example because the process was suspended,
    /// doesn't grant the claim: voters may have dropped the claim's record by then.
    pub fn on_accepted(
        &mut self,
        now: Micros,
        number: u64,
        voter: usize,
        reported_runs: &[ReportedRun],
    ) -> Option<Verdict> {
        let majority = self.majority();
        let claim = self.pending.get_mut(&number)?;
        claim.accepted_by.insert(voter);
        // The voter measured the age after the claim was sent. Subtracting the age from the time of
        // sending can make the run appear older than it is, but never younger.
        let requested_at = claim.requested_at;
        claim
            .reported_runs
            .extend(reported_runs.iter().map(|run| PriorRun {
                location: run.location,
                since: requested_at.saturating_sub(run.age),
            }));
        if claim.is_timed_out(now) {
            return self.close_without_majority(number);
        }
        if claim.accepted_by.len() < majority {
            return None;
        }
        let unknown = self.pending.remove(&number)?.into_unknown_runs();
        Some(if unknown.is_empty() {
            Verdict::Granted
        } else {
            Verdict::PriorRunsFound(unknown)
        })
    }

    /// Counts the rejection of a claim by a voter. Returns a verdict if a majority has become
    /// impossible.
    pub fn on_rejected(
        &mut self,
        number: u64,
        voter: usize,
        reason: ClaimRejection,
    ) -> Option<Verdict> {
        let majority = self.majority();
        let claim = self.pending.get_mut(&number)?;
        claim.rejected_by.insert(voter, reason);
        if self.voters - claim.rejected_by.len() >= majority {
            return None;
        }
        self.close_without_majority(number)
    }

    fn close_without_majority(&mut self, number: u64) -> Option<Verdict> {
        let claim = self.pending.remove(&number)?;
        Some(Verdict::NoMajority(claim.into_unknown_runs()))
    }

    /// Closes claims that are older than [`CLAIM_TIMEOUT`] and returns their verdicts.
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

    /// Drops a claim whose verdict is no longer needed.
    pub fn cancel(&mut self, number: u64) {
        self.pending.remove(&number);
    }

    /// Drops expired records; the voters drop their copies too.
    pub fn expire(&mut self, now: Micros) {
        while self.expiry.first().is_some_and(|(until, _)| *until <= now) {
            let Some((_, key)) = self.expiry.pop_first() else {
                break;
            };
            self.forget(&key);
        }
    }

    /// Returns the time at which [`Claims::time_out`] or [`Claims::expire`] has to be called next;
    /// `None` if there is nothing to wait for.
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
