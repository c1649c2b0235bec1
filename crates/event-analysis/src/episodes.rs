//! Finds troubles by their symptoms: when each began, was worst and ended, and which overlap.
//!
//! Facts are summed second by second; symptoms are judged over windows of a few seconds against the
//! fleet's own past. Nothing is learned or concluded from seconds in which a record has a gap:
//! episodes that touch one say so.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::IpAddr;

use eideryard::interface::{EngineId, Micros, Outcome, Phase};
use eideryard_event_log::AnswerKind;

use crate::series::Sketch;
use crate::state::{Fact, LoggedText};

const SECOND: Micros = 1_000_000;
/// Symptoms are judged over so many seconds.
const WINDOW: usize = 3;
/// A symptom that is gone for so long has ended: shorter pauses belong to it.
const QUIET: Micros = 3 * SECOND;
/// What is usual forgets with this time constant, in seconds.
const USUAL_SPAN: f64 = 60.0;
/// Seconds of past that make something usual.
const MIN_PAST: u32 = 3;
/// Seconds with traffic after which what was never seen is new, not just the beginning.
const MUCH_PAST: u32 = 5;
/// So many times the usual is over it.
const OVER: f64 = 3.0;
/// Fewer refusals or resends in a window than this are never an episode, nor a smaller share of all
/// than this.
const MIN_COUNT: u32 = 8;
const MIN_SHARE: f64 = 0.05;
/// Latency that is usually `ms` is over it from twice that and so many milliseconds more on.
const SLOWER: f64 = 2.0;
const SLOWER_MS: f64 = 100.0;
const MIN_SAMPLES: u32 = 10;
/// A flood is at least so many requests a second, and this part of all.
const FLOOD_RATE: f64 = 20.0;
const FLOOD_SHARE: f64 = 0.4;
/// An engine that lost its connections is gone if it says nothing good for so long.
const GONE_AFTER: Micros = SECOND;
/// Engines that go within this time of each other went together.
const TOGETHER: Micros = 3 * SECOND;
/// A roster out of reach for less than this is a reconnect.
const ROSTER_SILENT: Micros = 1_500_000;
/// Bounds: episodes kept, and addresses that are told apart in a second.
const MAX_EPISODES: usize = 4096;
const MAX_ADDRESSES: usize = 65_536;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Engines that ended, or can't be reached.
    EnginesGone(BTreeSet<EngineId>),
    Drain(EngineId),
    Quarantine(EngineId),
    Refusals,
    Resends,
    /// Slower than usual, by class.
    Latency(usize),
    /// The bulletin is out of reach of gateways, by source.
    RosterSilent(BTreeSet<usize>),
    FloodOfTenant(usize),
    FloodOfAddress(IpAddr),
    /// A record lacks entries, or breaks off.
    Gap(usize),
}

impl Kind {
    /// One word for tables and filters.
    pub fn word(&self) -> &'static str {
        match self {
            Kind::EnginesGone(_) => "engines gone",
            Kind::Drain(_) => "drain",
            Kind::Quarantine(_) => "quarantine",
            Kind::Refusals => "refusals",
            Kind::Resends => "resends",
            Kind::Latency(_) => "latency",
            Kind::RosterSilent(_) => "roster silent",
            Kind::FloodOfTenant(_) | Kind::FloodOfAddress(_) => "flood",
            Kind::Gap(_) => "gap",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Episode {
    pub kind: Kind,
    pub begin: Micros,
    /// When it was worst, and how bad: engines gone, a rate a second, a share, milliseconds; by
    /// kind.
    pub peak_at: Micros,
    pub peak: f64,
    /// Nothing while it lasts.
    pub end: Option<Micros>,
    /// What was usual before, in the peak's unit.
    pub usual: f64,
    /// Times within it in which a record has a gap: what was so then is not known.
    pub unknown: Vec<(Micros, Micros)>,
    /// How many entries a gap left out, where that is known.
    pub left_out: Option<u64>,
    /// The address that most of a tenant's flood came from.
    pub from: Option<IpAddr>,
}

impl Episode {
    fn new(kind: Kind, begin: Micros, peak: f64, usual: f64) -> Self {
        let (end, unknown, left_out, from) = Default::default();
        Episode {
            kind,
            begin,
            peak_at: begin,
            peak,
            end,
            usual,
            unknown,
            left_out,
            from,
        }
    }

    /// Its time, up to `now` where it lasts.
    pub fn span(&self, now: Micros) -> (Micros, Micros) {
        (self.begin, self.end.unwrap_or(now.max(self.begin)))
    }
}

/// Two episodes at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlap {
    pub first: usize,
    pub second: usize,
    pub from: Micros,
    pub to: Micros,
}

/// Adds a stretch of time to others that lie apart and in order.
fn merge(spans: &mut Vec<(Micros, Micros)>, (mut from, mut to): (Micros, Micros)) {
    spans.retain(|own| {
        let apart = own.1 < from || to < own.0;
        if !apart {
            (from, to) = (from.min(own.0), to.max(own.1));
        }
        apart
    });
    let place = spans.partition_point(|own| own.0 < from);
    spans.insert(place, (from, to));
}

/// What is usual, as a mean that forgets.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    mean: f64,
    seen: u32,
}

impl Usual {
    /// Of something new: nothing is usual, once there was a past without it.
    fn new(past: u32) -> Self {
        Usual {
            mean: 0.0,
            seen: if past >= MUCH_PAST { MIN_PAST } else { 0 },
        }
    }

    fn learn(&mut self, value: f64) {
        self.seen = self.seen.saturating_add(1);
        self.mean += (value - self.mean) / (self.seen as f64).min(USUAL_SPAN);
    }

    fn known(&self) -> Option<f64> {
        (self.seen >= MIN_PAST).then_some(self.mean)
    }
}

/// One second's sums.
#[derive(Clone, Debug, Default)]
struct Second {
    taken: u32,
    ended: u32,
    refused: u32,
    sent: u32,
    again: u32,
    tenants: BTreeMap<usize, u32>,
    addresses: HashMap<IpAddr, u32>,
    /// Of each tenant, by address.
    pairs: HashMap<(usize, IpAddr), u32>,
    latency: BTreeMap<usize, Sketch>,
}

/// An engine that lost a connection: since when, and whether it refused one.
#[derive(Clone, Copy, Debug)]
struct Silent {
    since: Micros,
    refused: bool,
}

#[derive(Default)]
pub struct Detector {
    pub episodes: Vec<Episode>,
    /// Places of those that last, by kind; and when their symptom was seen last.
    open: BTreeMap<Kind, (usize, Micros)>,
    second: Second,
    second_at: Micros,
    window: VecDeque<Second>,
    refusals: Usual,
    resends: Usual,
    tenants: BTreeMap<usize, Usual>,
    addresses: HashMap<IpAddr, Usual>,
    latency: BTreeMap<usize, Usual>,
    silent: BTreeMap<EngineId, Silent>,
    /// Engines that were listed, with what the list last said, and those that run again or were
    /// taken off.
    phases: BTreeMap<EngineId, Phase>,
    /// The place of the episode of engines that went together, and those of it that are still gone.
    gone: Option<(usize, BTreeSet<EngineId>)>,
    roster: Option<usize>,
    roster_lost: BTreeMap<usize, Micros>,
    /// Seconds with requests that were judged.
    busy: u32,
    /// Gaps that were told, by source.
    gaps: Vec<(usize, Micros, Micros)>,
    now: Micros,
}

impl Detector {
    pub fn new() -> Self {
        Self::default()
    }

    pub fn take(&mut self, said: &LoggedText) {
        let at = said.at;
        self.pass(at);
        let second = &mut self.second;
        match said.fact {
            Fact::Taken { tenant, from, .. } => {
                second.taken += 1;
                *second.tenants.entry(tenant).or_default() += 1;
                if let Some(from) = from.filter(|_| second.pairs.len() < MAX_ADDRESSES) {
                    *second.addresses.entry(from).or_default() += 1;
                    *second.pairs.entry((tenant, from)).or_default() += 1;
                }
            }
            Fact::Ended {
                class, how, took, ..
            } => {
                second.ended += 1;
                second.refused += (how == AnswerKind::Refused) as u32;
                if let Some(took) = took.filter(|_| how == AnswerKind::Served) {
                    second.latency.entry(class).or_default().add(took);
                }
            }
            Fact::Refused { .. } => {
                second.ended += 1;
                second.refused += 1;
            }
            Fact::Sent { again, .. } => {
                second.sent += 1;
                second.again += again as u32;
            }
            Fact::Out {
                engine, outcome, ..
            } => self.out(engine, outcome, at),
            Fact::Listed {
                engine,
                phase,
                started_anew,
            } => self.listed(engine, phase, started_anew, at),
            Fact::Quarantine {
                engine,
                begins: true,
            } => {
                self.begin(Kind::Quarantine(engine), at, 1.0, 0.0);
            }
            Fact::Quarantine {
                engine,
                begins: false,
            } => self.end(&Kind::Quarantine(engine), at),
            Fact::Roster { heard: false } => _ = self.roster_lost.entry(said.source).or_insert(at),
            Fact::Roster { heard: true } | Fact::RosterEvent { .. } => {
                self.roster_lost.remove(&said.source);
                self.roster_heard(at);
            }
            Fact::Over | Fact::Breaks => {
                // A gateway that is no more misses no roster.
                self.roster_lost.remove(&said.source);
                self.roster_heard(at);
            }
            Fact::Missing { from, entries } => self.missing(said.source, from, at, entries),
            Fact::Began { .. } | Fact::Stopping => {}
        }
    }

    /// Engines that are missed now.
    pub fn is_missed(&self, engine: EngineId) -> bool {
        self.gone
            .as_ref()
            .is_some_and(|(_, gone)| gone.contains(&engine))
    }

    /// Nothing more comes; what had ended before a time is not told.
    pub fn finish(&mut self, from: Micros) {
        // The second that has begun is judged too, but it is not later for that.
        let now = self.now;
        self.pass(now + SECOND);
        self.now = now;
        for (source, from, to) in self.gaps.clone() {
            self.mark_unknown(source, from, to);
        }
        self.episodes
            .retain(|episode| episode.end.is_none_or(|end| end >= from));
        self.gaps.retain(|(_, _, to)| *to >= from);
        self.episodes
            .sort_by(|a, b| (a.begin, &a.kind).cmp(&(b.begin, &b.kind)));
        self.open.clear();
    }

    pub fn overlaps(&self) -> Vec<Overlap> {
        let mut overlaps = Vec::new();
        for (first, one) in self.episodes.iter().enumerate() {
            for (second, other) in self.episodes.iter().enumerate().skip(first + 1) {
                let ((a, b), (c, d)) = (one.span(self.now), other.span(self.now));
                let (from, to) = (a.max(c), b.min(d));
                if from < to {
                    overlaps.push(Overlap {
                        first,
                        second,
                        from,
                        to,
                    });
                }
            }
        }
        overlaps
    }

    /// Times of which a source's record tells nothing.
    pub fn gaps(&self) -> &[(usize, Micros, Micros)] {
        &self.gaps
    }

    pub fn now(&self) -> Micros {
        self.now
    }

    // ---- Seconds ----

    /// Judges each second that is over.
    fn pass(&mut self, at: Micros) {
        self.now = self.now.max(at);
        if self.second_at == 0 {
            self.second_at = at - at % SECOND;
        }
        while self.second_at + SECOND <= at {
            // After a long quiet nothing is left to judge.
            if at > self.second_at + (WINDOW as Micros + 10) * SECOND
                && self.window.iter().all(|s| s.taken + s.ended == 0)
            {
                self.close_quiet(at);
                self.second_at = at - at % SECOND;
                self.second = Second::default();
                return;
            }
            self.judge();
            self.second_at += SECOND;
        }
    }

    fn judge(&mut self) {
        let end = self.second_at + SECOND;
        self.window.push_back(std::mem::take(&mut self.second));
        if self.window.len() > WINDOW {
            self.window.pop_front();
        }
        self.judge_engines(end);
        self.judge_roster(end);
        let seconds = self.window.len() as f64;
        let sum = |of: fn(&Second) -> u32| self.window.iter().map(of).sum::<u32>();
        let (refused, ended, again, sent) = (
            sum(|s| s.refused),
            sum(|s| s.ended),
            sum(|s| s.again),
            sum(|s| s.sent),
        );
        let taken = sum(|s| s.taken) as f64;
        self.judge_share(Kind::Refusals, refused, ended, end);
        self.judge_share(Kind::Resends, again, sent, end);
        let (mut tenants, mut addresses) = (BTreeMap::new(), HashMap::new());
        let mut latency: BTreeMap<usize, Sketch> = BTreeMap::new();
        for second in &self.window {
            second
                .tenants
                .iter()
                .for_each(|(tenant, count)| *tenants.entry(*tenant).or_insert(0) += count);
            second
                .addresses
                .iter()
                .for_each(|(from, count)| *addresses.entry(*from).or_insert(0) += count);
            second
                .latency
                .iter()
                .for_each(|(class, sketch)| latency.entry(*class).or_default().merge(sketch));
        }
        self.judge_floods(&tenants, &addresses, taken, seconds, end);
        self.judge_latency(&latency, end);
        self.busy = self.busy.saturating_add((taken > 0.0) as u32);
        self.close_quiet(end);
    }

    fn judge_share(&mut self, kind: Kind, count: u32, of: u32, end: Micros) {
        let usual = if kind == Kind::Refusals {
            &mut self.refusals
        } else {
            &mut self.resends
        };
        let (share, before) = (
            count as f64 / of.max(1) as f64,
            usual.known().unwrap_or(0.0),
        );
        if count >= MIN_COUNT && share > (OVER * before).max(MIN_SHARE) {
            self.seen(kind, end, share, before);
        } else if of > 0 {
            usual.learn(share);
        }
    }

    fn judge_floods(
        &mut self,
        tenants: &BTreeMap<usize, u32>,
        addresses: &HashMap<IpAddr, u32>,
        taken: f64,
        seconds: f64,
        end: Micros,
    ) {
        let is_flood = |count: u32, usual: f64| {
            let rate = count as f64 / seconds;
            rate >= FLOOD_RATE && rate > OVER * usual && count as f64 >= FLOOD_SHARE * taken
        };
        let mut flooding = 0;
        for tenant in tenants
            .keys()
            .chain(self.tenants.keys())
            .copied()
            .collect::<BTreeSet<_>>()
        {
            let count = tenants.get(&tenant).copied().unwrap_or(0);
            let usual = self.tenants.entry(tenant).or_insert(Usual::new(self.busy));
            match usual.known().filter(|usual| is_flood(count, *usual)) {
                Some(before) => {
                    flooding += 1;
                    let from = self.most_from(tenant, count);
                    let place = self.seen(
                        Kind::FloodOfTenant(tenant),
                        end,
                        count as f64 / seconds,
                        before,
                    );
                    if let Some(episode) = place.and_then(|place| self.episodes.get_mut(place)) {
                        episode.from = from.or(episode.from);
                    }
                }
                None => usual.learn(count as f64 / seconds),
            }
        }
        let mut floods = Vec::new();
        for (from, count) in addresses {
            if self.addresses.len() >= MAX_ADDRESSES && !self.addresses.contains_key(from) {
                continue;
            }
            let usual = self.addresses.entry(*from).or_insert(Usual::new(self.busy));
            match usual.known().filter(|usual| is_flood(*count, *usual)) {
                Some(before) => floods.push((*from, *count, before)),
                None => usual.learn(*count as f64 / seconds),
            }
        }
        // One flood is one episode: that of a tenant names its address.
        for (from, count, before) in floods.into_iter().filter(|_| flooding == 0) {
            self.seen(
                Kind::FloodOfAddress(from),
                end,
                count as f64 / seconds,
                before,
            );
        }
    }

    /// The address that at least half of a tenant's requests in the window came from.
    fn most_from(&self, tenant: usize, count: u32) -> Option<IpAddr> {
        let mut own: BTreeMap<IpAddr, u32> = BTreeMap::new();
        for ((of, from), count) in self.window.iter().flat_map(|second| &second.pairs) {
            if *of == tenant {
                *own.entry(*from).or_default() += count;
            }
        }
        own.into_iter()
            .find(|(_, from)| 2 * from >= count)
            .map(|(from, _)| from)
    }

    fn judge_latency(&mut self, latency: &BTreeMap<usize, Sketch>, end: Micros) {
        for (class, sketch) in latency {
            let Some(ms) = sketch
                .percentile(0.9)
                .filter(|_| sketch.count() >= MIN_SAMPLES)
            else {
                continue;
            };
            let usual = self.latency.entry(*class).or_default();
            match usual
                .known()
                .filter(|usual| ms > SLOWER * usual + SLOWER_MS)
            {
                Some(before) => _ = self.seen(Kind::Latency(*class), end, ms, before),
                None => usual.learn(ms),
            }
        }
    }

    // ---- Engines and roster ----

    fn out(&mut self, engine: EngineId, outcome: Outcome, at: Micros) {
        match outcome {
            Outcome::Answered | Outcome::AtCapacity | Outcome::Error => self.speaks(engine, at),
            Outcome::Broken => {
                self.silent.entry(engine).or_insert(Silent {
                    since: at,
                    refused: false,
                });
            }
            Outcome::NoConnection => {
                self.silent
                    .entry(engine)
                    .or_insert(Silent {
                        since: at,
                        refused: true,
                    })
                    .refused = true;
            }
            _ => {}
        }
    }

    fn speaks(&mut self, engine: EngineId, at: Micros) {
        self.silent.remove(&engine);
        if let Some((place, gone)) = &mut self.gone {
            gone.remove(&engine);
            if gone.is_empty() {
                let place = *place;
                self.gone = None;
                self.close_at(place, at);
            }
        }
    }

    fn listed(&mut self, engine: EngineId, phase: Phase, started_anew: bool, at: Micros) {
        let before = self.phases.insert(engine, phase);
        if self.phases.len() > MAX_ADDRESSES {
            self.phases.retain(|_, phase| *phase != Phase::Removed);
        }
        match phase {
            Phase::Draining if before != Some(Phase::Draining) => {
                _ = self.begin(Kind::Drain(engine), at, 1.0, 0.0);
            }
            Phase::Draining => {}
            Phase::Ready => {
                self.end(&Kind::Drain(engine), at);
                if started_anew {
                    self.speaks(engine, at);
                    self.end(&Kind::Quarantine(engine), at);
                }
            }
            Phase::Removed => {
                self.end(&Kind::Drain(engine), at);
                self.end(&Kind::Quarantine(engine), at);
                // Whoever is off the list is missed no more.
                self.speaks(engine, at);
            }
        }
    }

    fn judge_engines(&mut self, end: Micros) {
        let is_gone = |silent: &Silent| silent.refused || silent.since + GONE_AFTER <= end;
        let gone: Vec<(EngineId, Micros)> = self
            .silent
            .iter()
            .filter(|(_, s)| is_gone(s))
            .map(|(engine, s)| (*engine, s.since))
            .collect();
        for (engine, since) in gone {
            let together = self.gone.as_ref().map(|(place, _)| *place).filter(|place| {
                let own = &self.episodes[*place];
                since <= own.begin + TOGETHER
                    || matches!(&own.kind, Kind::EnginesGone(set) if set.contains(&engine))
            });
            let place = match together {
                Some(place) => place,
                None => {
                    // Another group: what was gone before lasts for itself no longer.
                    if let Some((before, _)) = self.gone.take() {
                        self.close_at(before, since);
                    }
                    let kind = Kind::EnginesGone(BTreeSet::from([engine]));
                    let Some(place) = self.push(Episode::new(kind, since, 1.0, 0.0)) else {
                        return;
                    };
                    self.gone = Some((place, BTreeSet::new()));
                    place
                }
            };
            let episode = &mut self.episodes[place];
            if let Kind::EnginesGone(set) = &mut episode.kind {
                set.insert(engine);
            }
            episode.begin = episode.begin.min(since);
            if let Some((_, gone)) = &mut self.gone {
                gone.insert(engine);
                if gone.len() as f64 > episode.peak || episode.peak_at < episode.begin {
                    (episode.peak, episode.peak_at) = (gone.len() as f64, since.max(episode.begin));
                }
            }
        }
    }

    fn judge_roster(&mut self, end: Micros) {
        let lost: BTreeMap<usize, Micros> = self
            .roster_lost
            .iter()
            .filter(|(_, at)| **at + ROSTER_SILENT <= end)
            .map(|(s, at)| (*s, *at))
            .collect();
        let Some(first) = lost.values().min().copied() else {
            return;
        };
        let place = match self.roster {
            Some(place) => place,
            None => {
                let kind = Kind::RosterSilent(BTreeSet::new());
                let Some(place) = self.push(Episode::new(kind, first, 0.0, 0.0)) else {
                    return;
                };
                self.roster = Some(place);
                place
            }
        };
        let episode = &mut self.episodes[place];
        if let Kind::RosterSilent(set) = &mut episode.kind {
            set.extend(lost.keys());
        }
        episode.begin = episode.begin.min(first);
        if lost.len() as f64 > episode.peak {
            (episode.peak, episode.peak_at) = (lost.len() as f64, end);
        }
    }

    fn roster_heard(&mut self, at: Micros) {
        if self.roster_lost.is_empty() {
            if let Some(place) = self.roster.take() {
                self.close_at(place, at);
            }
        }
    }

    fn missing(&mut self, source: usize, from: Micros, to: Micros, entries: Option<u64>) {
        if self.gaps.len() >= MAX_EPISODES {
            return;
        }
        self.gaps.push((source, from, to));
        let mut episode = Episode::new(
            Kind::Gap(source),
            from,
            (to.saturating_sub(from)) as f64 / 1e6,
            0.0,
        );
        (episode.end, episode.left_out) = (Some(to), entries);
        self.push(episode);
    }

    fn mark_unknown(&mut self, source: usize, from: Micros, to: Micros) {
        let now = self.now;
        for episode in &mut self.episodes {
            let (begin, end) = episode.span(now);
            if episode.kind != Kind::Gap(source) && begin < to && from < end {
                merge(&mut episode.unknown, (from.max(begin), to.min(end)));
            }
        }
    }

    // ---- Episodes ----

    fn push(&mut self, episode: Episode) -> Option<usize> {
        if self.episodes.len() >= MAX_EPISODES {
            return None;
        }
        self.episodes.push(episode);
        Some(self.episodes.len() - 1)
    }

    fn begin(&mut self, kind: Kind, at: Micros, peak: f64, usual: f64) -> Option<usize> {
        if let Some((place, _)) = self.open.get(&kind) {
            return Some(*place);
        }
        let place = self.push(Episode::new(kind.clone(), at, peak, usual))?;
        self.open.insert(kind, (place, Micros::MAX));
        Some(place)
    }

    fn end(&mut self, kind: &Kind, at: Micros) {
        if let Some((place, _)) = self.open.remove(kind) {
            self.close_at(place, at);
        }
    }

    fn close_at(&mut self, place: usize, at: Micros) {
        if let Some(episode) = self.episodes.get_mut(place) {
            episode.end = Some(at.max(episode.begin));
        }
    }

    /// The symptom of an episode is there in the window that ends now.
    fn seen(&mut self, kind: Kind, end: Micros, how: f64, usual: f64) -> Option<usize> {
        let begin = end.saturating_sub(SECOND);
        let (place, last) = match self.open.get_mut(&kind) {
            Some((place, last)) => (*place, last),
            None => {
                let place = self.push(Episode::new(kind.clone(), begin, how, usual))?;
                let (place, last) = self.open.entry(kind).or_insert((place, end));
                (*place, last)
            }
        };
        *last = end;
        let episode = &mut self.episodes[place];
        if how > episode.peak {
            (episode.peak, episode.peak_at) = (how, begin);
        }
        Some(place)
    }

    /// Ends what wasn't seen for a while, at the time when it was seen last.
    fn close_quiet(&mut self, now: Micros) {
        let quiet = |last: Micros| last != Micros::MAX && last + QUIET <= now;
        let over: Vec<Kind> = self
            .open
            .iter()
            .filter(|(_, (_, last))| quiet(*last))
            .map(|(k, _)| k.clone())
            .collect();
        for kind in over {
            if let Some((place, last)) = self.open.remove(&kind) {
                // The window looks back: the symptom ended before it did.
                let seen = last.saturating_sub((WINDOW as Micros - 1) * SECOND);
                let begin = self.episodes[place].begin;
                self.close_at(place, seen.max(begin + SECOND));
            }
        }
    }
}
