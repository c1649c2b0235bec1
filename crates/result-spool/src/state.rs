//! Which pages are where, and what is decided about them. The host does what is chosen and tells
//! how it went.

use std::collections::{BTreeMap, BTreeSet};

use crate::limits::*;
use crate::Micros;

/// A result, as the host numbers it.
pub type ResultId = u64;

/// Whose a result is, by numbers that the host gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    pub tenant: u32,
    pub address: u64,
}

/// Why there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// No result may be so large: trying again is of no use.
    TooLarge,
    /// All is taken, or promised.
    Full,
    /// Its tenant, or its address, holds its part of what is short.
    TenantsShare,
    AddressShare,
}

impl RejectReason {
    pub fn as_str(self) -> &'static str {
        match self {
            RejectReason::TooLarge => "too-large",
            RejectReason::Full => "spool-full",
            RejectReason::TenantsShare => "tenants-share",
            RejectReason::AddressShare => "address-share",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// There is room, once these are dropped.
    Admitted { to_drop: Vec<ResultId> },
    /// When to come back, by how fast room comes free; nothing where that is of no use.
    Rejected {
        reason: RejectReason,
        retry_after: Option<Micros>,
    },
}

/// What the host is to do with pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpoolAction {
    /// Write this page of a result to disk, and tell with [`Spool::finish_move`].
    Move { result: ResultId, page: usize },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageLocation {
    Memory,
    Disk,
    /// It has not come from the engine yet.
    NotYet,
    /// The result ended before this page.
    PastEnd,
    /// The result ended as failed: what was read before stays valid, the rest never comes.
    Failed,
    /// Dropped, or never there.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tier {
    Memory,
    /// Being written; it counts in both.
    Moving,
    Disk,
}

#[derive(Clone, Copy, Debug)]
struct Page {
    bytes: u64,
    tier: Tier,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Filling,
    Whole,
    Failed,
}

#[derive(Debug)]
struct Held {
    owner: Owner,
    promised: u64,
    bytes: u64,
    /// Of these, in memory.
    in_memory: u64,
    pages: Vec<Page>,
    state: State,
    readers: u32,
    /// The page that is read next, as far as the readers have come.
    next: usize,
    delivered: bool,
    touched_at: Micros,
}

impl Held {
    /// What it may take in all: what is there, or promised while more comes.
    fn claim(&self) -> u64 {
        if self.state == State::Filling {
            self.promised.max(self.bytes)
        } else {
            self.bytes
        }
    }

    fn droppable(&self) -> bool {
        self.readers == 0 && self.state != State::Filling
    }
}

/// The choices that can be switched off, to see what each is good for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Part of all room for small results only.
    pub reserve: f64,
    /// Shares of tenants and addresses bind under pressure.
    pub shares: bool,
    /// Delivered results go first, others only past their time; else simply the longest unused.
    pub by_value: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            reserve: RESERVE,
            shares: true,
            by_value: true,
        }
    }
}

pub struct Spool {
    budget: Budget,
    policy: Policy,
    results: BTreeMap<ResultId, Held>,
    /// Those that may go, in the order in which they do: delivered ones first, the longest unused
    /// first.
    leaving: BTreeSet<(bool, Micros, ResultId)>,
    memory: u64,
    disk: u64,
    /// Of both: being written.
    moving: u64,
    claims: u64,
    tenants: BTreeMap<u32, u64>,
    addresses: BTreeMap<u64, u64>,
    /// Nothing is written before.
    disk_fails_until: Option<Micros>,
    /// Bytes a microsecond that came free lately.
    drain: f64,
    drained_at: Micros,
}

fn add<K: Ord>(sums: &mut BTreeMap<K, u64>, key: K, bytes: u64) {
    *sums.entry(key).or_default() += bytes;
}

fn take<K: Ord>(sums: &mut BTreeMap<K, u64>, key: K, bytes: u64) {
    if let std::collections::btree_map::Entry::Occupied(mut sum) = sums.entry(key) {
        *sum.get_mut() -= bytes;
        if *sum.get() == 0 {
            sum.remove();
        }
    }
}

impl Spool {
    pub fn new(budget: Budget, now: Micros) -> Self {
        Self::with_policy(budget, Policy::default(), now)
    }

    pub fn with_policy(budget: Budget, policy: Policy, now: Micros) -> Self {
        Spool {
            budget,
            policy,
            results: BTreeMap::new(),
            leaving: BTreeSet::new(),
            memory: 0,
            disk: 0,
            moving: 0,
            claims: 0,
            tenants: BTreeMap::new(),
            addresses: BTreeMap::new(),
            disk_fails_until: None,
            drain: 0.0,
            drained_at: now,
        }
    }

    pub fn len(&self) -> usize {
        self.results.len()
    }

    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    pub fn contains(&self, id: ResultId) -> bool {
        self.results.contains_key(&id)
    }

    /// Bytes in memory, on disk, and claimed in all.
    pub fn used(&self) -> (u64, u64, u64) {
        (self.memory, self.disk, self.claims)
    }

    /// All room there is now: without the disk while that fails, but for what is there already.
    fn total(&self, now: Micros) -> u64 {
        match self.disk_fails_until {
            Some(until) if now < until => self.budget.memory + self.disk,
            _ => self.budget.total(),
        }
    }

    // ---- Admission ----

    /// Whether a result of an expected size will fit, before anything is sent for it.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn admit(&self, owner: Owner, expected: u64, now: Micros) -> Admission {
        let no = |reason, retry_after| Admission::Rejected {
            reason,
            retry_after,
        };
        if expected > self.budget.max_result_bytes {
            return no(RejectReason::TooLarge, None);
        }
        let total = self.total(now);
        let kept_back = if expected <= SMALL {
            0
        } else {
            (total as f64 * self.policy.reserve) as u64
        };
        let room = total.saturating_sub(kept_back);
        let wanted = self.claims + expected;
        let (mut to_drop, mut freed) = (Vec::new(), 0);
        if self.policy.shares && wanted as f64 > PRESSURE * total as f64 {
            let over = |sum: Option<&u64>, share: f64| {
                let most = (total as f64 * share) as u64;
                // One alone may always have what a single result may.
                sum.map_or(0, |sum| (sum + expected).saturating_sub(most))
            };
            let mut of_tenant = over(self.tenants.get(&owner.tenant), TENANT_SHARE);
            let mut of_address = over(self.addresses.get(&owner.address), ADDRESS_SHARE);
            // What it has been delivered goes before it is refused more.
            let delivered = self.leaving.iter().take_while(|(unclaimed, ..)| !unclaimed);
            for (_, _, id) in delivered {
                if of_tenant + of_address == 0 {
                    break;
                }
                let Some(held) = self.results.get(id) else {
                    continue;
                };
                let helps = (held.owner.tenant == owner.tenant && of_tenant > 0)
                    || (held.owner.address == owner.address && of_address > 0);
                if helps {
                    let own = |same: bool| if same { held.bytes } else { 0 };
                    of_tenant = of_tenant.saturating_sub(own(held.owner.tenant == owner.tenant));
                    of_address =
                        of_address.saturating_sub(own(held.owner.address == owner.address));
                    to_drop.push(*id);
                    freed += held.bytes;
                }
            }
            if of_tenant > 0 {
                return no(RejectReason::TenantsShare, Some(self.advice(of_tenant)));
            }
            if of_address > 0 {
                return no(RejectReason::AddressShare, Some(self.advice(of_address)));
            }
        }
        let mut short = wanted.saturating_sub(room + freed);
        let mut leaving = self.leaving.iter();
        let full = self.results.len() >= MAX_RESULTS;
        while short > 0 || (full && to_drop.is_empty()) {
            let last = |held: &Held, unclaimed: bool| {
                !unclaimed || held.touched_at + self.budget.unclaimed_retention <= now
            };
            let next = leaving.next().and_then(|(unclaimed, _, id)| {
                self.results
                    .get(id)
                    .filter(|held| last(held, *unclaimed))
                    .map(|held| (*id, held.bytes))
            });
            let Some((id, bytes)) = next else {
                return no(RejectReason::Full, Some(self.advice(short)));
            };
            if !to_drop.contains(&id) {
                to_drop.push(id);
                short = short.saturating_sub(bytes);
            }
        }
        Admission::Admitted { to_drop }
    }

    /// How long it takes until so much comes free, at the rate of late.
    fn advice(&self, short: u64) -> Micros {
        let wait = short as f64 / self.drain.max(1e-9);
        (wait as Micros).clamp(MIN_ADVICE, MAX_ADVICE)
    }

    pub fn begin(&mut self, id: ResultId, owner: Owner, promised: u64, now: Micros) {
        let held = Held {
            owner,
            promised,
            bytes: 0,
            in_memory: 0,
            pages: Vec::new(),
            state: State::Filling,
            readers: 0,
            next: 0,
            delivered: false,
            touched_at: now,
        };
        self.claim(owner, held.claim());
        self.results.insert(id, held);
    }

    fn claim(&mut self, owner: Owner, bytes: u64) {
        self.claims += bytes;
        add(&mut self.tenants, owner.tenant, bytes);
        add(&mut self.addresses, owner.address, bytes);
    }

    fn unclaim(&mut self, owner: Owner, bytes: u64) {
        self.claims -= bytes;
        take(&mut self.tenants, owner.tenant, bytes);
        take(&mut self.addresses, owner.address, bytes);
    }

    // ---- Pages ----

    /// Bytes that an engine may be asked for ahead of what is there. What is promised is there to
    /// be filled, yet no faster than memory takes it: a slow reader's engine reads on into the disk
    /// and is free all the same.
    pub fn read_ahead_bytes(&self, id: ResultId) -> u64 {
        let Some(held) = self
            .results
            .get(&id)
            .filter(|held| held.state == State::Filling)
        else {
            return 0;
        };
        let left = held.promised.saturating_sub(held.bytes);
        let free = self.budget.memory.saturating_sub(self.memory);
        // Who is near the end of what was promised goes on page by page: more is asked for as it
        // comes.
        left.max(MIN_AHEAD).min(free / 2)
    }

    /// A page has come. An error: the result can't be kept, which is its failure.
    pub fn add_page(&mut self, id: ResultId, bytes: u64, now: Micros) -> Result<(), RejectReason> {
        let total = self.total(now);
        let Some(held) = self
            .results
            .get_mut(&id)
            .filter(|held| held.state == State::Filling)
        else {
            return Ok(());
        };
        let before = held.claim();
        if held.bytes + bytes > self.budget.max_result_bytes {
            return Err(RejectReason::TooLarge);
        }
        let after = before.max(held.bytes + bytes);
        if self.claims - before + after > total || self.memory + bytes > self.budget.memory {
            return Err(RejectReason::Full);
        }
        held.bytes += bytes;
        held.in_memory += bytes;
        held.pages.push(Page {
            bytes,
            tier: Tier::Memory,
        });
        held.touched_at = now;
        let owner = held.owner;
        self.memory += bytes;
        self.unclaim(owner, before);
        self.claim(owner, after);
        Ok(())
    }

    /// No more pages come: it is whole, or it has failed.
    pub fn end(&mut self, id: ResultId, whole: bool, now: Micros) {
        let Some(held) = self
            .results
            .get_mut(&id)
            .filter(|held| held.state == State::Filling)
        else {
            return;
        };
        let before = held.claim();
        held.state = if whole { State::Whole } else { State::Failed };
        held.touched_at = now;
        let (owner, after) = (held.owner, held.claim());
        self.unclaim(owner, before);
        self.claim(owner, after);
        self.file(id);
    }

    /// Puts a result where it belongs among those that may go.
    fn file(&mut self, id: ResultId) {
        if let Some(held) = self.results.get(&id).filter(|held| held.droppable()) {
            // A failed one is of no more use once it was told, so it goes like one delivered.
            let unclaimed =
                self.policy.by_value && !(held.delivered || held.state == State::Failed);
            self.leaving.insert((unclaimed, held.touched_at, id));
        }
    }

    fn unfile(&mut self, id: ResultId) {
        if let Some(held) = self.results.get(&id) {
            for unclaimed in [false, true] {
                self.leaving.remove(&(unclaimed, held.touched_at, id));
            }
        }
    }

    /// A client reads from now on, until [`Spool::close_reader`]: meanwhile the result stays.
    pub fn open_reader(&mut self, id: ResultId, now: Micros) -> bool {
        self.unfile(id);
        let Some(held) = self.results.get_mut(&id) else {
            return false;
        };
        held.readers += 1;
        held.touched_at = now;
        true
    }

    pub fn close_reader(&mut self, id: ResultId, delivered: bool, now: Micros) {
        if let Some(held) = self.results.get_mut(&id).filter(|held| held.readers > 0) {
            held.readers -= 1;
            held.delivered |= delivered;
            held.touched_at = now;
            if held.readers == 0 {
                held.next = 0;
            }
            self.file(id);
        }
    }

    /// Where a page is, for one who reads it now.
    pub fn locate_page(&mut self, id: ResultId, page: usize, now: Micros) -> PageLocation {
        let Some(held) = self.results.get_mut(&id) else {
            return PageLocation::Gone;
        };
        if held.readers > 0 {
            held.touched_at = now;
        }
        held.next = held.next.max(page + 1);
        match (held.pages.get(page), held.state) {
            (
                Some(Page {
                    tier: Tier::Disk, ..
                }),
                _,
            ) => PageLocation::Disk,
            (Some(_), _) => PageLocation::Memory,
            (None, State::Filling) => PageLocation::NotYet,
            (None, State::Whole) => PageLocation::PastEnd,
            (None, State::Failed) => PageLocation::Failed,
        }
    }

    // ---- Memory to disk ----

    /// Pages that go to disk now: none below the upper mark; above it down to the lower one. First
    /// those of results that nobody reads, the longest unused first, their first pages last; before
    /// these, what readers have passed and what is furthest ahead of them. What a reader takes next
    /// stays.
    pub fn choose_moves(&self, now: Micros) -> Vec<SpoolAction> {
        let mark = |part: f64| (self.budget.memory as f64 * part) as u64;
        // What is on its way needs no second choice, so pages are looked through once for many that
        // come.
        let staying = self.memory - self.moving;
        if staying <= mark(MOVE_FROM) || self.disk_fails_until.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let mut excess = staying.saturating_sub(mark(MOVE_TO));
        let mut room = self.budget.disk.saturating_sub(self.disk);
        let mut pages: Vec<(u8, Micros, std::cmp::Reverse<usize>, ResultId, usize, u64)> = self
            .pages()
            .filter(|(_, _, page)| page.tier == Tier::Memory)
            .filter_map(|(id, at, page)| {
                let held = &self.results[&id];
                let near = (held.next..held.next + NEAR_PAGES).contains(&at);
                let (order, since) = match (held.readers > 0, near) {
                    (false, false) => (0, held.touched_at),
                    (true, false) if at < held.next => (1, 0),
                    (true, false) => (2, 0),
                    (false, true) => (3, held.touched_at),
                    (true, true) => return None,
                };
                let distance = at.abs_diff(held.next);
                Some((
                    order,
                    since,
                    std::cmp::Reverse(distance),
                    id,
                    at,
                    page.bytes,
                ))
            })
            .collect();
        pages.sort_unstable();
        let mut choices = Vec::new();
        for (.., result, page, bytes) in pages {
            if excess == 0 || bytes > room {
                break;
            }
            excess = excess.saturating_sub(bytes);
            room -= bytes;
            choices.push(SpoolAction::Move { result, page });
        }
        choices
    }

    fn pages(&self) -> impl Iterator<Item = (ResultId, usize, Page)> + '_ {
        let in_memory = self.results.iter().filter(|(_, held)| held.in_memory > 0);
        in_memory.flat_map(|(id, held)| {
            held.pages
                .iter()
                .enumerate()
                .map(|(at, page)| (*id, at, *page))
        })
    }

    fn page_mut(&mut self, id: ResultId, page: usize) -> Option<&mut Page> {
        self.results.get_mut(&id)?.pages.get_mut(page)
    }

    /// A page is being written: it counts in both places until [`Spool::finish_move`].
    pub fn start_move(&mut self, id: ResultId, page: usize) {
        if let Some(page) = self
            .page_mut(id, page)
            .filter(|page| page.tier == Tier::Memory)
        {
            page.tier = Tier::Moving;
            let bytes = page.bytes;
            self.disk += bytes;
            self.moving += bytes;
        }
    }

    pub fn is_moving(&self, id: ResultId, page: usize) -> bool {
        let page = self.results.get(&id).and_then(|held| held.pages.get(page));
        page.is_some_and(|page| page.tier == Tier::Moving)
    }

    /// It was written, or could not be: then nothing is written for a while, and what is in memory
    /// stays there.
    pub fn finish_move(&mut self, id: ResultId, page: usize, written: bool, again_at: Micros) {
        if !written {
            self.disk_fails_until = Some(again_at);
        }
        if let Some(page) = self
            .page_mut(id, page)
            .filter(|page| page.tier == Tier::Moving)
        {
            page.tier = if written { Tier::Disk } else { Tier::Memory };
            let bytes = page.bytes;
            self.moving -= bytes;
            if written {
                self.memory -= bytes;
                self.results
                    .entry(id)
                    .and_modify(|held| held.in_memory -= bytes);
            } else {
                self.disk -= bytes;
            }
        }
    }

    // ---- Leaving ----

    /// When a result's time is over, unless it is used until then.
    pub fn expiry(&self, id: ResultId) -> Option<Micros> {
        let held = self.results.get(&id).filter(|held| held.droppable())?;
        let keeps = if held.delivered {
            self.budget.delivered_retention
        } else {
            self.budget.unclaimed_retention
        };
        Some(held.touched_at + keeps)
    }

    /// Forgets a result. False: it is read or still comes, so it stays.
    pub fn drop_result(&mut self, id: ResultId, now: Micros) -> bool {
        if !self.results.get(&id).is_some_and(Held::droppable) {
            return false;
        }
        self.unfile(id);
        let Some(held) = self.results.remove(&id) else {
            return false;
        };
        for page in &held.pages {
            self.memory -= if page.tier == Tier::Disk {
                0
            } else {
                page.bytes
            };
            self.disk -= if page.tier == Tier::Memory {
                0
            } else {
                page.bytes
            };
            self.moving -= if page.tier == Tier::Moving {
                page.bytes
            } else {
                0
            };
        }
        self.unclaim(held.owner, held.claim());
        let passed = now.saturating_sub(self.drained_at) as f64;
        self.drain *= (-passed / DRAIN_SPAN).exp();
        self.drain += held.bytes as f64 / DRAIN_SPAN;
        self.drained_at = now;
        true
    }
}
