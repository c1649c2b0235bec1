//! What a gateway asks of the keepers before it sends: a claim is granted once a majority holds it
//! durably and none of them knows of a run that the module was not told of.
//!
//! Claim and question are one message, so a first try costs one round trip. Each keeper joins a
//! claim before it answers, and two majorities share a keeper: of two claims on a key at least one
//! hears of the other.

use std::collections::{BTreeMap, BTreeSet};

use eideryard_intent_log::Place;

use crate::entry::{Phase, Record, ReplicaView};
use crate::message::ClaimRejection;
use crate::Micros;

/// A claim without a majority by then is given up.
pub const BOUND: Micros = 500_000;
/// Ages of one run as two messages told them may differ so much.
const JITTER: Micros = 50_000;
/// Updates that go to a keeper in one look, where its link came up anew or it missed some.
pub const RESENT: usize = 64;

/// Where a key may have run, and since when by this gateway's clock.
pub type PriorRuns = Vec<(Option<Place>, Micros)>;

/// What becomes of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It may be sent.
    Granted,
    /// The module has to be told first.
    Earlier(PriorRuns),
    /// What a minority told of runs that the module was not told of.
    NoMajority(PriorRuns),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Claim {
    key: Vec<u8>,
    version: u32,
    asked: Micros,
    /// Keepers that hold it, and that said why not.
    votes: BTreeSet<usize>,
    turned: BTreeMap<usize, ClaimRejection>,
    /// What the module was told before, and what keepers told now: place and since when.
    known: PriorRuns,
    seen: PriorRuns,
}

impl Claim {
    /// What the module was not told, one for each place: the earliest.
    fn untold(self) -> PriorRuns {
        let Claim {
            known, mut seen, ..
        } = self;
        let told = |place: &Option<_>, since: Micros| {
            known
                .iter()
                .any(|(own, at)| own == place && *at <= since + JITTER)
        };
        if seen.iter().all(|(place, since)| told(place, *since)) {
            return PriorRuns::new();
        }
        seen.sort();
        seen.dedup_by_key(|(place, _)| *place);
        seen
    }
}

/// A record of this gateway's own, until all keepers have its last version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Own {
    pub record: Record,
    written: Micros,
    lacking: BTreeSet<usize>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Claims {
    keepers: usize,
    /// Versions of this incarnation's records: one that was forgotten here must not begin anew.
    versions: u32,
    open: BTreeMap<u64, Claim>,
    own: BTreeMap<Vec<u8>, Own>,
    /// Own keys that each keeper lacks.
    lacking: BTreeMap<usize, BTreeSet<Vec<u8>>>,
    expiry: BTreeSet<(Micros, Vec<u8>)>,
}

impl Claims {
    pub fn new(keepers: usize) -> Self {
        Claims {
            keepers,
            ..Claims::default()
        }
    }

    pub fn majority(&self) -> usize {
        self.keepers / 2 + 1
    }

    pub fn open(&self) -> usize {
        self.open.len()
    }

    pub fn own(&self) -> usize {
        self.own.len()
    }

    /// Keys whose last version some keeper lacks.
    pub fn lagging(&self) -> usize {
        self.lacking.values().map(BTreeSet::len).max().unwrap_or(0)
    }

    /// A new version of an own record, which all keepers lack now.
    pub fn write(&mut self, now: Micros, key: &[u8], mut record: Record) -> Record {
        let before = self.own.get(key).map(|own| own.record);
        if let Some(before) = before {
            record.since = record.since.min(before.since);
            record.until = record.until.max(before.until);
            self.expiry.remove(&(before.until, key.to_vec()));
        }
        self.versions += 1;
        record.version = self.versions;
        let lacking = (0..self.keepers).collect();
        self.own.insert(
            key.to_vec(),
            Own {
                record,
                written: now,
                lacking,
            },
        );
        self.expiry.insert((record.until, key.to_vec()));
        for keeper in 0..self.keepers {
            self.lacking.entry(keeper).or_default().insert(key.to_vec());
        }
        record
    }

    pub fn get(&self, key: &[u8]) -> Option<&Record> {
        self.own.get(key).map(|own| &own.record)
    }

    /// A keeper has a version of an own record.
    pub fn has(&mut self, keeper: usize, key: &[u8], version: u32) {
        let Some(own) = self
            .own
            .get_mut(key)
            .filter(|own| own.record.version <= version)
        else {
            return;
        };
        own.lacking.remove(&keeper);
        let done = own.lacking.is_empty() && own.record.phase != Phase::Out;
        self.lacking.get_mut(&keeper).map(|keys| keys.remove(key));
        if done {
            self.forget(&key.to_vec());
        }
    }

    fn forget(&mut self, key: &Vec<u8>) {
        if let Some(own) = self.own.remove(key) {
            self.expiry.remove(&(own.record.until, key.clone()));
            for keeper in own.lacking {
                self.lacking.get_mut(&keeper).map(|keys| keys.remove(key));
            }
        }
    }

    /// What a keeper lacks of what was written up to a time, a part of it.
    pub fn lacks(&self, keeper: usize, written: Micros) -> Vec<(Vec<u8>, Record)> {
        let keys = self.lacking.get(&keeper).into_iter().flatten();
        let known = keys.filter_map(|key| Some((key, self.own.get(key)?)));
        let known = known.filter(|(_, own)| own.written <= written);
        known
            .take(RESENT)
            .map(|(key, own)| (key.clone(), own.record))
            .collect()
    }

    pub fn begin(&mut self, now: Micros, number: u64, key: &[u8], version: u32, known: PriorRuns) {
        let (votes, turned, seen) = Default::default();
        let claim = Claim {
            key: key.to_vec(),
            version,
            asked: now,
            votes,
            turned,
            known,
            seen,
        };
        self.open.insert(number, claim);
    }

    /// Key and version of a claim that is open.
    pub fn asked(&self, number: u64) -> Option<(Vec<u8>, u32)> {
        self.open
            .get(&number)
            .map(|claim| (claim.key.clone(), claim.version))
    }

    /// A keeper holds a claim. A verdict, once there is one. Votes that are looked at too late, as
    /// by a process that stood still, grant nothing: keepers may have let go of the claim by then.
    pub fn vote(
        &mut self,
        now: Micros,
        number: u64,
        keeper: usize,
        seen: &[ReplicaView],
    ) -> Option<Verdict> {
        let majority = self.majority();
        let claim = self.open.get_mut(&number)?;
        let late = claim.asked + BOUND <= now;
        claim.votes.insert(keeper);
        // It was told after it was asked: it may be older than that by now, never younger.
        let told = seen
            .iter()
            .map(|seen| (seen.place, claim.asked.saturating_sub(seen.age)));
        claim.seen.extend(told);
        if late {
            let claim = self.open.remove(&number)?;
            return Some(Verdict::NoMajority(claim.untold()));
        }
        if claim.votes.len() < majority {
            return None;
        }
        let untold = self.open.remove(&number)?.untold();
        Some(if untold.is_empty() {
            Verdict::Granted
        } else {
            Verdict::Earlier(untold)
        })
    }

    /// A keeper doesn't answer it. A verdict, where no majority is left.
    pub fn turned(&mut self, number: u64, keeper: usize, why: ClaimRejection) -> Option<Verdict> {
        let majority = self.majority();
        let claim = self.open.get_mut(&number)?;
        claim.turned.insert(keeper, why);
        if self.keepers - claim.turned.len() >= majority {
            return None;
        }
        let claim = self.open.remove(&number)?;
        Some(Verdict::NoMajority(claim.untold()))
    }

    /// Claims that have waited for too long.
    pub fn late(&mut self, now: Micros) -> Vec<(u64, Verdict)> {
        let late = self
            .open
            .iter()
            .filter(|(_, claim)| claim.asked + BOUND <= now);
        let late: Vec<u64> = late.map(|(number, _)| *number).collect();
        let ended = late
            .into_iter()
            .filter_map(|number| Some((number, self.open.remove(&number)?.untold())));
        ended
            .map(|(number, untold)| (number, Verdict::NoMajority(untold)))
            .collect()
    }

    /// The claim is not asked for any more.
    pub fn drop_claim(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Forgets own records that their keepers drop by now too.
    pub fn expire(&mut self, now: Micros) {
        while let Some((until, key)) = self
            .expiry
            .first()
            .cloned()
            .filter(|(until, _)| *until <= now)
        {
            self.expiry.remove(&(until, key.clone()));
            self.forget(&key);
        }
    }

    pub fn due(&self) -> Option<Micros> {
        let late = self.open.values().map(|claim| claim.asked + BOUND).min();
        late.into_iter()
            .chain(self.expiry.first().map(|(until, _)| *until))
            .min()
    }
}
