//! One gateway's part in the fleet's copies: messages, time and durable writes in, outputs out.

use std::collections::{BTreeMap, BTreeSet};

use eideryard_intent_log::Place;

use crate::anti_entropy::{Budget, ReplicationProgress, PATIENCE, SCRUB};
use crate::claims::{Claims, PriorRuns, Verdict, BOUND};
use crate::drains::{Drain, Drains};
use crate::entry::{self, Origin, Phase, Record, ReplicaRecord, ReplicaView};
use crate::message::{ClaimRejection, Entry, Message};
use crate::replica_set::{cost, Limits, MergeResult, ReplicaSet};
use crate::Micros;

/// Bytes of one part of a catch-up at the most.
const PART: usize = 32 << 10;
/// What is lacking at keepers is looked at so often.
const LOOK: Micros = 250_000;

/// Who a message comes from or goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Peer {
    /// A keeper, by the link that this gateway made to it.
    Voter(usize),
    /// Whoever made this link here.
    Requester(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Keepers of the fleet, and which of them this gateway is.
    pub keepers: usize,
    pub own: Option<usize>,
    /// The longest that any record is kept: longest wait, window and slack.
    pub longest: Micros,
    pub limits: Limits,
    /// Of catch-up, to all together.
    pub bytes_per_s: u64,
    /// What becomes of claims without a majority: sent all the same, or refused.
    pub send_without: bool,
}

/// Why a gateway takes up no claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// So many of its own records are not at all keepers yet, nor over: it forgets none early.
    Full,
    NoMajority,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send(Peer, Message),
    /// Make this copy of a key durable, or drop it; then, and only then, come the others.
    Store {
        key: Vec<u8>,
        copy: Option<ReplicaRecord>,
        then: Vec<Output>,
    },
    /// This keeper's own vote on its own claim.
    OwnVote {
        number: u64,
        seen: Vec<ReplicaView>,
    },
    Verdict(u64, Verdict),
    /// A list that another one has says so of an engine.
    Drained(Drain),
    /// What another one has learned, and how long ago.
    Hints {
        lessons: Vec<u8>,
        age: Micros,
    },
    /// From now on this keeper votes: the store is to remember it behind all that it was given, and
    /// all who made links here are to hear of it.
    Votes,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    pub claims: u64,
    pub granted: u64,
    pub earlier: u64,
    pub without_majority: u64,
    /// Of these, sent all the same.
    pub sent_without: u64,
    /// Claims of others that were answered, and turned away.
    pub answered: u64,
    pub turned_away: u64,
    /// Records that a scrub or a catch-up brought.
    pub mended: u64,
    pub caught_up_bytes: u64,
    pub resent: u64,
}

/// A keeper as this one knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Known {
    up: bool,
    votes: bool,
    /// When it was asked for copies, under which number, and when the last part came.
    asked: Option<(Micros, u64, Micros)>,
    not_before: Micros,
}

/// What is still to go to one that asked for copies.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asked {
    number: u64,
    differ: Vec<bool>,
    behind: Option<Vec<u8>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Core {
    plan: Config,
    origin: Origin,
    pub standing: ReplicationProgress,
    copies: ReplicaSet,
    claims: Claims,
    keepers: Vec<Known>,
    asked: BTreeMap<u64, Asked>,
    /// All who made links here.
    askers: BTreeSet<u64>,
    drains: Drains,
    /// What this gateway has learned, and when.
    hints: Option<(Vec<u8>, Micros)>,
    budget: Budget,
    numbers: u64,
    looked_at: Micros,
    scrubbed_at: Micros,
    scrubs: usize,
    pub counted: Counters,
}

impl Core {
    /// At a start. `whole`: the store has all that this keeper ever acknowledged, and it voted.
    pub fn start(
        plan: Config,
        origin: Origin,
        whole: bool,
        found: impl Iterator<Item = (Vec<u8>, ReplicaRecord)>,
        now: Micros,
    ) -> Self {
        let standing = match (plan.own, whole) {
            (None, _) => ReplicationProgress::Asker,
            (Some(_), true) => ReplicationProgress::Votes,
            (Some(_), false) => ReplicationProgress::CatchesUp {
                until: now + plan.longest,
                heard: Default::default(),
            },
        };
        let mut copies = ReplicaSet::new(plan.limits);
        found.for_each(|(key, copy)| copies.restore(key, copy, plan.longest, now));
        let keepers = vec![Known::default(); plan.keepers];
        let (claims, budget) = (Claims::new(plan.keepers), Budget::new(plan.bytes_per_s));
        let (asked, counted) = Default::default();
        Core {
            plan,
            origin,
            standing,
            copies,
            claims,
            keepers,
            asked,
            askers: BTreeSet::new(),
            drains: Drains::default(),
            hints: None,
            budget,
            numbers: 0,
            looked_at: now,
            scrubbed_at: now,
            scrubs: 0,
            counted,
        }
    }

    pub fn origin(&self) -> Origin {
        self.origin
    }

    pub fn copies(&self) -> &ReplicaSet {
        &self.copies
    }

    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Why no claim is taken up now, if none is.
    pub fn refuses(&self) -> Option<ClaimError> {
        if self.claims.own() >= self.plan.limits.entries {
            return Some(ClaimError::Full);
        }
        (!self.plan.send_without && !self.majority_stands()).then_some(ClaimError::NoMajority)
    }

    /// Whether a claim can be granted, as far as this gateway knows.
    pub fn majority_stands(&self) -> bool {
        let own = self.plan.own.filter(|_| self.standing.votes());
        let others = self
            .keepers
            .iter()
            .filter(|keeper| keeper.up && keeper.votes)
            .count();
        others + usize::from(own.is_some()) >= self.claims.majority()
    }

    /// A request is about to be sent: `number` names the claim. `known` is what the module was told
    /// of it.
    #[allow(clippy::too_many_arguments)]
    pub fn claim(
        &mut self,
        now: Micros,
        number: u64,
        key: &[u8],
        place: Option<Place>,
        since: Micros,
        keep: Micros,
        known: PriorRuns,
    ) -> Vec<Output> {
        self.counted.claims += 1;
        let until = now + keep.min(self.plan.longest);
        let nominal_ms = until / 1000;
        let record = Record {
            version: 0,
            phase: Phase::Out,
            place,
            since,
            until,
            nominal_ms,
        };
        let record = self.claims.write(now, key, record);
        self.claims.begin(now, number, key, record.version, known);
        let mut travels = record.travels(now);
        if since < now {
            // Under way it grows older, for as long as the claim may wait.
            travels.age += BOUND;
        }
        let mut outputs = Vec::new();
        for keeper in self.reached() {
            let (key, origin) = (key.to_vec(), self.origin);
            let claim = Message::Claim {
                number,
                key,
                origin,
                record: travels,
            };
            outputs.push(Output::Send(Peer::Voter(keeper), claim));
        }
        if let Some(own) = self.plan.own {
            let seen = self
                .copies
                .get(key)
                .map_or(Vec::new(), |copy| entry::seen(copy, self.origin, now));
            match (
                self.copies.join(key, self.origin, record),
                self.standing.votes(),
            ) {
                (MergeResult::Full, _) => {
                    outputs.extend(self.turned(number, own, ClaimRejection::Full));
                }
                (_, votes) => {
                    self.claims.has(own, key, record.version);
                    let then = Some(Output::OwnVote { number, seen }).filter(|_| votes);
                    outputs.push(self.store(key, then.into_iter().collect()));
                    if !votes {
                        outputs.extend(self.turned(number, own, ClaimRejection::CatchingUp));
                    }
                }
            }
        }
        outputs
    }

    fn store(&self, key: &[u8], then: Vec<Output>) -> Output {
        Output::Store {
            key: key.to_vec(),
            copy: self.copies.get(key).cloned(),
            then,
        }
    }

    fn decided(&mut self, number: u64, verdict: Option<Verdict>) -> Option<Output> {
        let verdict = verdict?;
        match verdict {
            Verdict::Granted => self.counted.granted += 1,
            Verdict::Earlier(_) => self.counted.earlier += 1,
            Verdict::NoMajority(_) => self.counted.without_majority += 1,
        }
        let verdict = match verdict {
            Verdict::NoMajority(told) if self.plan.send_without && told.is_empty() => {
                self.counted.sent_without += 1;
                Verdict::Granted
            }
            // What a minority told is heeded all the same.
            Verdict::NoMajority(told) if self.plan.send_without => Verdict::Earlier(told),
            verdict => verdict,
        };
        Some(Output::Verdict(number, verdict))
    }

    fn turned(&mut self, number: u64, keeper: usize, why: ClaimRejection) -> Option<Output> {
        let verdict = self.claims.turned(number, keeper, why);
        self.decided(number, verdict)
    }

    fn vote(
        &mut self,
        now: Micros,
        number: u64,
        keeper: usize,
        seen: &[ReplicaView],
    ) -> Option<Output> {
        let verdict = self.claims.vote(now, number, keeper, seen);
        self.decided(number, verdict)
    }

    /// This keeper's own copy of its own claim is durable.
    pub fn own_vote(&mut self, now: Micros, number: u64, seen: &[ReplicaView]) -> Option<Output> {
        let own = self.plan.own?;
        self.vote(now, number, own, seen)
    }

    /// A claim is not asked for any more; what keepers hold of it is made void by [`Core::ended`].
    pub fn drop_claim(&mut self, number: u64) {
        self.claims.drop_claim(number);
    }

    /// All attempts at an own key have ended, for now.
    pub fn ended(
        &mut self,
        now: Micros,
        key: &[u8],
        place: Option<Place>,
        ran: bool,
        keep: Micros,
    ) -> Vec<Output> {
        let Some(before) = self.claims.get(key).copied() else {
            return Vec::new();
        };
        let until = now + keep.min(self.plan.longest);
        let phase = if ran { Phase::Ran } else { Phase::Void };
        let record = Record {
            phase,
            place,
            until,
            nominal_ms: until / 1000,
            ..before
        };
        let record = self.claims.write(now, key, record);
        let mut outputs = Vec::new();
        if let Some(own) = self.plan.own {
            if self.copies.join(key, self.origin, record) != MergeResult::Full {
                self.claims.has(own, key, record.version);
                outputs.push(self.store(key, Vec::new()));
            }
        }
        for keeper in self.reached() {
            outputs.push(self.update(now, keeper, key.to_vec(), record));
        }
        outputs
    }

    fn update(&self, now: Micros, keeper: usize, key: Vec<u8>, record: Record) -> Output {
        let record = record.travels(now);
        Output::Send(
            Peer::Voter(keeper),
            Message::Update {
                key,
                origin: self.origin,
                record,
            },
        )
    }

    /// A link to a keeper came up or broke, or some who asked is gone.
    pub fn link(&mut self, now: Micros, peer: Peer, up: bool) -> Vec<Output> {
        match peer {
            Peer::Voter(keeper) => {
                let Some(known) = self.keepers.get_mut(keeper) else {
                    return Vec::new();
                };
                *known = Known {
                    up,
                    ..Known::default()
                };
                if up {
                    let mut outputs = self.resend(now, keeper, now);
                    let drains: Vec<Drain> = self.drains.all().collect();
                    if !drains.is_empty() {
                        outputs.push(Output::Send(peer, Message::Drains { drains }));
                    }
                    return outputs;
                }
            }
            Peer::Requester(link) if up => {
                self.askers.insert(link);
                return self.greets(now, peer);
            }
            Peer::Requester(link) => {
                self.asked.remove(&link);
                self.askers.remove(&link);
            }
        }
        Vec::new()
    }

    /// What one who made a link here is told at once: whether this keeper votes, drains, and what
    /// it learned.
    fn greets(&self, now: Micros, peer: Peer) -> Vec<Output> {
        let mut told = vec![Message::Stands {
            votes: self.standing.votes(),
        }];
        let drains: Vec<Drain> = self.drains.all().collect();
        told.extend((!drains.is_empty()).then_some(Message::Drains { drains }));
        let hints = self.hints.as_ref();
        told.extend(hints.map(|(lessons, at)| Message::Hints {
            lessons: lessons.clone(),
            age: now.saturating_sub(*at),
        }));
        told.into_iter()
            .map(|message| Output::Send(peer, message))
            .collect()
    }

    /// This gateway has learned something that one who begins may take for a hint.
    pub fn learned(&mut self, now: Micros, lessons: Vec<u8>) {
        self.hints = Some((lessons, now));
    }

    /// The own list says so of engines.
    pub fn drained(&mut self, drains: Vec<Drain>) -> Vec<Output> {
        self.passes_on(drains, None)
    }

    /// News goes on to all that are linked, but for the one that told it.
    fn passes_on(&mut self, drains: Vec<Drain>, from: Option<Peer>) -> Vec<Output> {
        let news: Vec<Drain> = drains
            .into_iter()
            .filter(|drain| self.drains.hears(*drain))
            .collect();
        if news.is_empty() {
            return Vec::new();
        }
        let keepers = self.reached().into_iter().map(Peer::Voter);
        let askers = self.askers.iter().copied().map(Peer::Requester);
        let others = keepers.chain(askers).filter(|peer| Some(*peer) != from);
        let told = |peer| {
            Output::Send(
                peer,
                Message::Drains {
                    drains: news.clone(),
                },
            )
        };
        let own = news.iter().copied().map(Output::Drained);
        own.chain(others.map(told)).collect()
    }

    /// What binds this gateway beyond its own list.
    pub fn binds(&self, engine: u32, booted_at: u64, number: u64) -> Option<Drain> {
        self.drains.binds(engine, booted_at, number)
    }

    /// A link stands but its other end is not heard, or is heard again.
    pub fn hears_state(&mut self, now: Micros, peer: Peer, heard: bool) -> Vec<Output> {
        let Peer::Voter(keeper) = peer else {
            return Vec::new();
        };
        let Some(known) = self.keepers.get_mut(keeper) else {
            return Vec::new();
        };
        if std::mem::replace(&mut known.up, heard) || !heard {
            return Vec::new();
        }
        self.resend(now, keeper, now)
    }

    /// What a keeper lacks of what was written up to a time.
    fn resend(&mut self, now: Micros, keeper: usize, written: Micros) -> Vec<Output> {
        let lacks = self.claims.lacks(keeper, written);
        self.counted.resent += lacks.len() as u64;
        lacks
            .into_iter()
            .map(|(key, record)| self.update(now, keeper, key, record))
            .collect()
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn hears(&mut self, now: Micros, from: Peer, message: Message) -> Vec<Output> {
        match (from, message) {
            (
                Peer::Requester(_),
                Message::Claim {
                    number,
                    key,
                    origin,
                    record,
                },
            ) => self.claimed(now, from, number, key, origin, record.arrives(now, None)),
            (
                Peer::Requester(_),
                Message::Update {
                    key,
                    origin,
                    record,
                },
            ) => {
                let (version, record) = (record.version, record.arrives(now, None));
                match self.copies.join(&key, origin, record) {
                    MergeResult::Full => Vec::new(),
                    _ => {
                        let told = Output::Send(
                            from,
                            Message::Updated {
                                key: key.clone(),
                                version,
                            },
                        );
                        vec![self.store(&key, vec![told])]
                    }
                }
            }
            (Peer::Requester(link), Message::Ask { number, prints }) => {
                let own = self.copies.prints(now);
                let differ = own
                    .iter()
                    .enumerate()
                    .map(|(range, print)| prints.get(range) != Some(print));
                let asked = Asked {
                    number,
                    differ: differ.collect(),
                    behind: None,
                };
                self.asked.insert(link, asked);
                self.answer(now)
            }
            (Peer::Voter(keeper), Message::Claimed { number, seen }) => {
                if let Some((key, version)) = self.claims.asked(number) {
                    self.claims.has(keeper, &key, version);
                }
                self.vote(now, number, keeper, &seen).into_iter().collect()
            }
            (Peer::Voter(keeper), Message::NotNow { number, why }) => {
                if why == ClaimRejection::CatchingUp {
                    self.keepers[keeper].votes = false;
                }
                self.turned(number, keeper, why).into_iter().collect()
            }
            (Peer::Voter(keeper), Message::Updated { key, version }) => {
                self.claims.has(keeper, &key, version);
                Vec::new()
            }
            (Peer::Voter(keeper), Message::Stands { votes }) => {
                self.keepers[keeper].votes = votes;
                Vec::new()
            }
            (Peer::Voter(keeper), Message::Later { ms, .. }) => {
                let known = &mut self.keepers[keeper];
                (known.asked, known.not_before) = (None, now + ms * 1000);
                Vec::new()
            }
            (from, Message::Drains { drains }) => self.passes_on(drains, Some(from)),
            (Peer::Voter(_), Message::Hints { lessons, age }) => {
                vec![Output::Hints { lessons, age }]
            }
            (
                Peer::Voter(keeper),
                Message::Part {
                    number,
                    entries,
                    last,
                    votes,
                },
            ) => self.part(now, keeper, number, entries, last, votes),
            // A keeper asks nothing on a link that it did not make, and answers nothing unasked.
            _ => Vec::new(),
        }
    }

    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    fn claimed(
        &mut self,
        now: Micros,
        from: Peer,
        number: u64,
        key: Vec<u8>,
        origin: Origin,
        record: Record,
    ) -> Vec<Output> {
        let seen = self
            .copies
            .get(&key)
            .map_or(Vec::new(), |copy| entry::seen(copy, origin, now));
        let joined = self.copies.join(&key, origin, record);
        if joined == MergeResult::Full {
            self.counted.turned_away += 1;
            return vec![Output::Send(
                from,
                Message::NotNow {
                    number,
                    why: ClaimRejection::Full,
                },
            )];
        }
        if !self.standing.votes() {
            // What is claimed is kept; the vote is what it can't give.
            self.counted.turned_away += 1;
            let turned = Output::Send(
                from,
                Message::NotNow {
                    number,
                    why: ClaimRejection::CatchingUp,
                },
            );
            return vec![self.store(&key, Vec::new()), turned];
        }
        self.counted.answered += 1;
        let vote = Output::Send(from, Message::Claimed { number, seen });
        vec![self.store(&key, vec![vote])]
    }

    /// Sends those who asked for copies what the budget allows.
    fn answer(&mut self, now: Micros) -> Vec<Output> {
        let mut outputs = Vec::new();
        let links: Vec<u64> = self.asked.keys().copied().collect();
        for link in links {
            let Some(asked) = self.asked.get_mut(&link) else {
                continue;
            };
            let number = asked.number;
            let bytes = match self.budget.may(now) {
                Ok(bytes) => bytes.min(PART),
                Err(ms) => {
                    // Who has begun to get its part goes on where it was; others come again.
                    if asked.behind.is_none() {
                        self.asked.remove(&link);
                        let later = Message::Later { number, ms };
                        outputs.push(Output::Send(Peer::Requester(link), later));
                    }
                    continue;
                }
            };
            let (entries, more) =
                self.copies
                    .page(&asked.differ, asked.behind.as_deref(), bytes, now);
            self.budget.went(entries.iter().map(cost).sum());
            asked.behind = entries
                .last()
                .map(|entry| entry.key.clone())
                .or(asked.behind.take());
            let votes = self.standing.votes();
            if !more {
                self.asked.remove(&link);
            }
            let part = Message::Part {
                number,
                entries,
                last: !more,
                votes,
            };
            outputs.push(Output::Send(Peer::Requester(link), part));
        }
        outputs
    }

    fn part(
        &mut self,
        now: Micros,
        keeper: usize,
        number: u64,
        entries: Vec<Entry>,
        last: bool,
        votes: bool,
    ) -> Vec<Output> {
        let asked = self.keepers[keeper]
            .asked
            .filter(|(_, asked, _)| *asked == number);
        let Some((asked_at, ..)) = asked else {
            return Vec::new();
        };
        let mut outputs = Vec::new();
        for entry in entries {
            self.counted.caught_up_bytes += cost(&entry) as u64;
            let mut changed = false;
            for (origin, record) in &entry.records {
                let record = record.arrives(now, Some(asked_at));
                let joined = self.copies.join(&entry.key, *origin, record);
                self.counted.mended += u64::from(joined == MergeResult::Changed);
                changed |= joined == MergeResult::Changed;
            }
            if changed {
                outputs.push(self.store(&entry.key, Vec::new()));
            }
        }
        if last {
            self.keepers[keeper].asked = None;
            self.keepers[keeper].not_before = now + SCRUB;
            if self.standing.heard(keeper, votes, self.plan.keepers) {
                outputs.push(Output::Votes);
            }
        } else {
            self.keepers[keeper].asked = Some((asked_at, number, now));
        }
        outputs
    }

    /// Keepers that this gateway has a link to.
    fn reached(&self) -> Vec<usize> {
        (0..self.keepers.len())
            .filter(|keeper| self.keepers[*keeper].up)
            .collect()
    }

    /// What time brings.
    pub fn work(&mut self, now: Micros) -> Vec<Output> {
        let mut outputs = Vec::new();
        for (number, verdict) in self.claims.late(now) {
            outputs.extend(self.decided(number, Some(verdict)));
        }
        self.claims.expire(now);
        for key in self.copies.expire(now) {
            outputs.push(Output::Store {
                key,
                copy: None,
                then: Vec::new(),
            });
        }
        if self.standing.work(now) {
            outputs.push(Output::Votes);
        }
        outputs.extend(self.answer(now));
        if now >= self.looked_at + LOOK {
            self.looked_at = now;
            for keeper in self.reached() {
                outputs.extend(self.resend(now, keeper, now.saturating_sub(LOOK)));
            }
        }
        outputs.extend(self.asks(now));
        outputs
    }

    /// Asks others for what this keeper lacks: all of them until it votes, then one in turn.
    fn asks(&mut self, now: Micros) -> Vec<Output> {
        if self.plan.own.is_none() {
            return Vec::new();
        }
        let scrub = self.standing.votes();
        if scrub && now < self.scrubbed_at + SCRUB {
            return Vec::new();
        }
        let free = |known: &Known| {
            let waits = known.asked.is_some_and(|(.., at)| now < at + PATIENCE);
            known.up && !waits && now >= known.not_before
        };
        let mut chosen = self.reached();
        chosen.retain(|keeper| free(&self.keepers[*keeper]));
        if scrub {
            self.scrubbed_at = now;
            self.scrubs += 1;
            let count = chosen.len().max(1);
            chosen = chosen
                .into_iter()
                .cycle()
                .skip(self.scrubs % count)
                .take(1)
                .collect();
        }
        let mut outputs = Vec::new();
        for keeper in chosen {
            self.numbers += 1;
            let (number, prints) = (self.numbers, self.copies.prints(now));
            self.keepers[keeper].asked = Some((now, number, now));
            outputs.push(Output::Send(
                Peer::Voter(keeper),
                Message::Ask { number, prints },
            ));
        }
        outputs
    }

    /// When [`Core::work`] has something to do.
    pub fn due(&self) -> Micros {
        let own = self.copies.due().into_iter().chain(self.claims.due()).min();
        let look = self.looked_at + LOOK;
        own.map_or(look, |own| own.min(look))
    }
}
