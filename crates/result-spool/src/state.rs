//! Tracks where each page is stored and makes all decisions of the spool. The host carries out the
//! decisions and reports the outcome; nothing here does I/O or reads a clock.

use std::collections::{BTreeMap, BTreeSet};

use crate::limits::*;
use crate::Micros;

/// The ID of a result, assigned by the host.
pub type ResultId = u64;

/// The owner of a result: the spool's space is divided fairly among tenants and among addresses.
/// Both IDs are assigned by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    /// The tenant of the request.
    pub tenant: u32,
    /// The client's network address, mapped to an ID.
    pub address: u64,
}

/// Why a result is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// Larger than [`Budget::max_result_bytes`], so a retry can't succeed.
    TooLarge,
    /// All space is used, or claimed by results that are still being received.
    Full,
    /// Space is short, and the result would exceed the tenant's share; see [`TENANT_SHARE`].
    TenantsShare,
    /// Space is short, and the result would exceed the share of the client's address; see
    /// [`ADDRESS_SHARE`].
    AddressShare,
}

impl RejectReason {
    /// Returns the reason as it is sent to clients.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectReason::TooLarge => "too-large",
            RejectReason::Full => "spool-full",
            RejectReason::TenantsShare => "tenants-share",
            RejectReason::AddressShare => "address-share",
        }
    }
}

/// The decision whether a new result may be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// There is room once the host has dropped these results with [`Spool::drop_result`].
    Admitted {
        /// Results to drop, in this order.
        to_drop: Vec<ResultId>,
    },
    /// There is no room.
    Rejected {
        /// Why there is no room.
        reason: RejectReason,
        /// Microseconds from now until a retry may succeed, estimated from the rate at which space
        /// has been freed recently; `None` if no retry can succeed.
        retry_after: Option<Micros>,
    },
}

/// An action on pages that the host must carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpoolAction {
    /// Write a page to disk: report the start with [`Spool::start_move`] and the end with
    /// [`Spool::finish_move`].
    Move {
        /// The result that the page belongs to.
        result: ResultId,
        /// Index of the page in the result, from 0.
        page: usize,
    },
}

/// Where a page is, or why it isn't available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageLocation {
    /// In memory, possibly while it is being written to disk.
    Memory,
    /// On disk only.
    Disk,
    /// Not yet received from the engine.
    NotYet,
    /// The result is complete and has fewer pages.
    PastEnd,
    /// The result failed before this page arrived. Pages read before remain valid.
    Failed,
    /// The result was dropped or never existed.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tier {
    Memory,
    /// Being written to disk; counted as used in memory and on disk.
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
    /// Pages are still arriving.
    Filling,
    Complete,
    Failed,
}

#[derive(Debug)]
struct StoredResult {
    owner: Owner,
    /// Expected size in bytes, claimed until the result has ended.
    expected: u64,
    /// Size of the pages received so far, in bytes.
    bytes: u64,
    /// The part of `bytes` that is in memory.
    in_memory: u64,
    pages: Vec<Page>,
    state: State,
    readers: u32,
    /// Index of the page after the last one that a reader requested; 0 if there is no reader.
    next: usize,
    /// A reader has received the whole result.
    delivered: bool,
    /// Time of the last page, read or change of state.
    touched_at: Micros,
}

impl StoredResult {
    /// Returns the bytes counted against the budget: the expected size while pages are arriving, if
    /// that is larger than the received size; otherwise the received size.
    fn claimed_bytes(&self) -> u64 {
        if self.state == State::Filling {
            self.expected.max(self.bytes)
        } else {
            self.bytes
        }
    }

    fn is_droppable(&self) -> bool {
        self.readers == 0 && self.state != State::Filling
    }
}

/// The decisions that can be switched off, so that the benchmark can measure the effect of each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Fraction of the total space that only small results may use; see [`SMALL_RESULT`].
    pub reserve: f64,
    /// Tenants and client addresses are limited to their shares while space is short.
    pub enforces_shares: bool,
    /// Delivered and failed results are dropped first, others only after their retention time. If
    /// false, the result that has been unused for longest is dropped.
    pub drops_delivered_first: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            reserve: SMALL_RESERVE,
            enforces_shares: true,
            drops_delivered_first: true,
        }
    }
}

/// All stored results and the space that they use. The host stores the pages themselves.
pub struct Spool {
    budget: Budget,
    policy: Policy,
    results: BTreeMap<ResultId, StoredResult>,
    /// Results that may be dropped, in the order of dropping: delivered ones before undelivered
    /// ones, then by the time of their last use.
    drop_candidates: BTreeSet<(bool, Micros, ResultId)>,
    memory_used: u64,
    disk_used: u64,
    /// Bytes being written to disk, counted in both `memory_used` and `disk_used`.
    moving_bytes: u64,
    claimed: u64,
    claimed_by_tenant: BTreeMap<u32, u64>,
    claimed_by_address: BTreeMap<u64, u64>,
    /// Set by a failed write: nothing is written to disk before this time.
    disk_fails_until: Option<Micros>,
    /// Bytes freed per microsecond recently: an average that decays with [`DRAIN_TIME_CONSTANT`].
    drain_rate: f64,
    drain_updated_at: Micros,
}

fn add_bytes<K: Ord>(sums: &mut BTreeMap<K, u64>, key: K, bytes: u64) {
    *sums.entry(key).or_default() += bytes;
}

fn subtract_bytes<K: Ord>(sums: &mut BTreeMap<K, u64>, key: K, bytes: u64) {
    if let std::collections::btree_map::Entry::Occupied(mut sum) = sums.entry(key) {
        *sum.get_mut() -= bytes;
        if *sum.get() == 0 {
            sum.remove();
        }
    }
}

impl Spool {
    /// Creates an empty spool with the default policy.
    pub fn new(budget: Budget, now: Micros) -> Self {
        Self::with_policy(budget, Policy::default(), now)
    }

    /// Creates an empty spool.
    pub fn with_policy(budget: Budget, policy: Policy, now: Micros) -> Self {
        Spool {
            budget,
            policy,
            results: BTreeMap::new(),
            drop_candidates: BTreeSet::new(),
            memory_used: 0,
            disk_used: 0,
            moving_bytes: 0,
            claimed: 0,
            claimed_by_tenant: BTreeMap::new(),
            claimed_by_address: BTreeMap::new(),
            disk_fails_until: None,
            drain_rate: 0.0,
            drain_updated_at: now,
        }
    }

    /// Returns the number of results, including results that are still being received.
    pub fn len(&self) -> usize {
        self.results.len()
    }

    /// Returns whether there are no results.
    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    /// Returns whether a result is stored or being received.
    pub fn contains(&self, id: ResultId) -> bool {
        self.results.contains_key(&id)
    }

    /// Returns the bytes used in memory, used on disk, and claimed in total.
    pub fn used(&self) -> (u64, u64, u64) {
        (self.memory_used, self.disk_used, self.claimed)
    }

    /// Returns the total space in bytes. While writes to disk fail, only the disk space in use
    /// counts.
    fn total(&self, now: Micros) -> u64 {
        match self.disk_fails_until {
            Some(until) if now < until => self.budget.memory + self.disk_used,
            _ => self.budget.total(),
        }
    }

    // ---- Admission ----

    /// Decides whether a result of an expected size fits, before its request is sent to an engine.
    /// Changes nothing.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn admit(&self, owner: Owner, expected: u64, now: Micros) -> Admission {
        let reject = |reason, retry_after| Admission::Rejected {
            reason,
            retry_after,
        };
        if expected > self.budget.max_result_bytes {
            return reject(RejectReason::TooLarge, None);
        }
        let total = self.total(now);
        let reserved = if expected <= SMALL_RESULT {
            0
        } else {
            (total as f64 * self.policy.reserve) as u64
        };
        let room = total.saturating_sub(reserved);
        let wanted = self.claimed + expected;
        let (mut to_drop, mut freed) = (Vec::new(), 0);
        if self.policy.enforces_shares && wanted as f64 > SHARE_PRESSURE * total as f64 {
            let share_excess = |sum: Option<&u64>, share: f64| {
                let limit = (total as f64 * share) as u64;
                // An owner that claims no space may always store a single result.
                sum.map_or(0, |sum| (sum + expected).saturating_sub(limit))
            };
            let mut tenant_excess =
                share_excess(self.claimed_by_tenant.get(&owner.tenant), TENANT_SHARE);
            let mut address_excess =
                share_excess(self.claimed_by_address.get(&owner.address), ADDRESS_SHARE);
            // The owner's own delivered results are dropped before its request is rejected.
            let delivered = self
                .drop_candidates
                .iter()
                .take_while(|(is_undelivered, ..)| !is_undelivered);
            for (_, _, id) in delivered {
                if tenant_excess + address_excess == 0 {
                    break;
                }
                let Some(stored) = self.results.get(id) else {
                    continue;
                };
                let is_over_share = (stored.owner.tenant == owner.tenant && tenant_excess > 0)
                    || (stored.owner.address == owner.address && address_excess > 0);
                if is_over_share {
                    let freed_if = |is_same: bool| if is_same { stored.bytes } else { 0 };
                    tenant_excess =
                        tenant_excess.saturating_sub(freed_if(stored.owner.tenant == owner.tenant));
                    address_excess = address_excess
                        .saturating_sub(freed_if(stored.owner.address == owner.address));
                    to_drop.push(*id);
                    freed += stored.bytes;
                }
            }
            if tenant_excess > 0 {
                return reject(
                    RejectReason::TenantsShare,
                    Some(self.estimate_retry_after(tenant_excess)),
                );
            }
            if address_excess > 0 {
                return reject(
                    RejectReason::AddressShare,
                    Some(self.estimate_retry_after(address_excess)),
                );
            }
        }
        let mut missing = wanted.saturating_sub(room + freed);
        let mut drop_candidates = self.drop_candidates.iter();
        let full = self.results.len() >= MAX_RESULTS;
        while missing > 0 || (full && to_drop.is_empty()) {
            let may_drop = |stored: &StoredResult, is_undelivered: bool| {
                !is_undelivered || stored.touched_at + self.budget.unclaimed_retention <= now
            };
            let next = drop_candidates.next().and_then(|(is_undelivered, _, id)| {
                self.results
                    .get(id)
                    .filter(|stored| may_drop(stored, *is_undelivered))
                    .map(|stored| (*id, stored.bytes))
            });
            let Some((id, bytes)) = next else {
                return reject(RejectReason::Full, Some(self.estimate_retry_after(missing)));
            };
            if !to_drop.contains(&id) {
                to_drop.push(id);
                missing = missing.saturating_sub(bytes);
            }
        }
        Admission::Admitted { to_drop }
    }

    /// Estimates how long it takes until the missing bytes are freed, from the recent rate at which
    /// space was freed.
    fn estimate_retry_after(&self, missing: u64) -> Micros {
        let wait = missing as f64 / self.drain_rate.max(1e-9);
        (wait as Micros).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Adds a result without pages. Its expected size is claimed until [`Spool::end`].
    pub fn begin(&mut self, id: ResultId, owner: Owner, expected: u64, now: Micros) {
        let stored = StoredResult {
            owner,
            expected,
            bytes: 0,
            in_memory: 0,
            pages: Vec::new(),
            state: State::Filling,
            readers: 0,
            next: 0,
            delivered: false,
            touched_at: now,
        };
        self.add_claim(owner, stored.claimed_bytes());
        self.results.insert(id, stored);
    }

    fn add_claim(&mut self, owner: Owner, bytes: u64) {
        self.claimed += bytes;
        add_bytes(&mut self.claimed_by_tenant, owner.tenant, bytes);
        add_bytes(&mut self.claimed_by_address, owner.address, bytes);
    }

    fn remove_claim(&mut self, owner: Owner, bytes: u64) {
        self.claimed -= bytes;
        subtract_bytes(&mut self.claimed_by_tenant, owner.tenant, bytes);
        subtract_bytes(&mut self.claimed_by_address, owner.address, bytes);
    }

    // ---- Pages ----

    /// Returns how many bytes of further pages may be requested from the engine now: the rest of
    /// the expected size, but at most half of the free memory. Meanwhile, pages of slow readers
    /// move to disk, so the engine is free long before the client has read its result.
    pub fn read_ahead_bytes(&self, id: ResultId) -> u64 {
        let Some(stored) = self
            .results
            .get(&id)
            .filter(|stored| stored.state == State::Filling)
        else {
            return 0;
        };
        let remaining = stored.expected.saturating_sub(stored.bytes);
        let free = self.budget.memory.saturating_sub(self.memory_used);
        // Near and past the expected size, further pages are requested one at a time.
        remaining.max(MIN_READ_AHEAD).min(free / 2)
    }

    /// Adds the size of a page that was received; ignored unless the result is being received.
    ///
    /// # Errors
    ///
    /// Returns the reason if the page doesn't fit. The caller must then end the result as failed.
    pub fn add_page(&mut self, id: ResultId, bytes: u64, now: Micros) -> Result<(), RejectReason> {
        let total = self.total(now);
        let Some(stored) = self
            .results
            .get_mut(&id)
            .filter(|stored| stored.state == State::Filling)
        else {
            return Ok(());
        };
        let before = stored.claimed_bytes();
        if stored.bytes + bytes > self.budget.max_result_bytes {
            return Err(RejectReason::TooLarge);
        }
        let after = before.max(stored.bytes + bytes);
        if self.claimed - before + after > total || self.memory_used + bytes > self.budget.memory {
            return Err(RejectReason::Full);
        }
        stored.bytes += bytes;
        stored.in_memory += bytes;
        stored.pages.push(Page {
            bytes,
            tier: Tier::Memory,
        });
        stored.touched_at = now;
        let owner = stored.owner;
        self.memory_used += bytes;
        self.remove_claim(owner, before);
        self.add_claim(owner, after);
        Ok(())
    }

    /// Ends a result: all of its pages have been received, or it has failed.
    pub fn end(&mut self, id: ResultId, is_complete: bool, now: Micros) {
        let Some(stored) = self
            .results
            .get_mut(&id)
            .filter(|stored| stored.state == State::Filling)
        else {
            return;
        };
        let before = stored.claimed_bytes();
        stored.state = if is_complete {
            State::Complete
        } else {
            State::Failed
        };
        stored.touched_at = now;
        let (owner, after) = (stored.owner, stored.claimed_bytes());
        self.remove_claim(owner, before);
        self.add_claim(owner, after);
        self.add_drop_candidate(id);
    }

    /// Adds a result to the drop candidates if it may be dropped.
    fn add_drop_candidate(&mut self, id: ResultId) {
        if let Some(stored) = self.results.get(&id).filter(|stored| stored.is_droppable()) {
            // Once its clients have been notified, a failed result isn't needed any longer, just
            // like a delivered one.
            let is_undelivered = self.policy.drops_delivered_first
                && !(stored.delivered || stored.state == State::Failed);
            self.drop_candidates
                .insert((is_undelivered, stored.touched_at, id));
        }
    }

    fn remove_drop_candidate(&mut self, id: ResultId) {
        if let Some(stored) = self.results.get(&id) {
            for is_undelivered in [false, true] {
                self.drop_candidates
                    .remove(&(is_undelivered, stored.touched_at, id));
            }
        }
    }

    /// Adds a reader: the result isn't dropped before [`Spool::close_reader`]. Returns false if the
    /// result doesn't exist.
    pub fn open_reader(&mut self, id: ResultId, now: Micros) -> bool {
        self.remove_drop_candidate(id);
        let Some(stored) = self.results.get_mut(&id) else {
            return false;
        };
        stored.readers += 1;
        stored.touched_at = now;
        true
    }

    /// Removes a reader. `delivered` is true if the reader has received the whole result.
    pub fn close_reader(&mut self, id: ResultId, delivered: bool, now: Micros) {
        if let Some(stored) = self
            .results
            .get_mut(&id)
            .filter(|stored| stored.readers > 0)
        {
            stored.readers -= 1;
            stored.delivered |= delivered;
            stored.touched_at = now;
            if stored.readers == 0 {
                stored.next = 0;
            }
            self.add_drop_candidate(id);
        }
    }

    /// Returns where a page is and records that it is being read. [`Spool::choose_moves`] leaves
    /// the next [`NEAR_PAGES`] pages in memory.
    pub fn locate_page(&mut self, id: ResultId, page: usize, now: Micros) -> PageLocation {
        let Some(stored) = self.results.get_mut(&id) else {
            return PageLocation::Gone;
        };
        if stored.readers > 0 {
            stored.touched_at = now;
        }
        stored.next = stored.next.max(page + 1);
        match (stored.pages.get(page), stored.state) {
            (
                Some(Page {
                    tier: Tier::Disk, ..
                }),
                _,
            ) => PageLocation::Disk,
            (Some(_), _) => PageLocation::Memory,
            (None, State::Filling) => PageLocation::NotYet,
            (None, State::Complete) => PageLocation::PastEnd,
            (None, State::Failed) => PageLocation::Failed,
        }
    }

    // ---- Memory to disk ----

    /// Chooses the pages to write to disk now: none while memory use is at most [`MOVE_HIGH_MARK`],
    /// above that mark as many as bring the use down to [`MOVE_LOW_MARK`]. The order is: results
    /// without a reader except for their first pages, the longest unused first; pages that readers
    /// have passed; pages furthest ahead of a reader; the first pages of results without a reader.
    /// The next [`NEAR_PAGES`] pages of a reader stay in memory.
    pub fn choose_moves(&self, now: Micros) -> Vec<SpoolAction> {
        let mark = |part: f64| (self.budget.memory as f64 * part) as u64;
        // Pages being written don't count. So the pages are scanned once for many arriving pages,
        // not for each of them.
        let staying = self.memory_used - self.moving_bytes;
        if staying <= mark(MOVE_HIGH_MARK) || self.disk_fails_until.is_some_and(|until| now < until)
        {
            return Vec::new();
        }
        let mut excess = staying.saturating_sub(mark(MOVE_LOW_MARK));
        let mut room = self.budget.disk.saturating_sub(self.disk_used);
        let mut pages: Vec<(u8, Micros, std::cmp::Reverse<usize>, ResultId, usize, u64)> = self
            .pages()
            .filter(|(_, _, page)| page.tier == Tier::Memory)
            .filter_map(|(id, index, page)| {
                let stored = &self.results[&id];
                let is_near = (stored.next..stored.next + NEAR_PAGES).contains(&index);
                let (rank, last_used) = match (stored.readers > 0, is_near) {
                    (false, false) => (0, stored.touched_at),
                    (true, false) if index < stored.next => (1, 0),
                    (true, false) => (2, 0),
                    (false, true) => (3, stored.touched_at),
                    (true, true) => return None,
                };
                let distance = index.abs_diff(stored.next);
                Some((
                    rank,
                    last_used,
                    std::cmp::Reverse(distance),
                    id,
                    index,
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
        let in_memory = self
            .results
            .iter()
            .filter(|(_, stored)| stored.in_memory > 0);
        in_memory.flat_map(|(id, stored)| {
            stored
                .pages
                .iter()
                .enumerate()
                .map(|(index, page)| (*id, index, *page))
        })
    }

    fn page_mut(&mut self, id: ResultId, page: usize) -> Option<&mut Page> {
        self.results.get_mut(&id)?.pages.get_mut(page)
    }

    /// Marks a page as being written to disk: until [`Spool::finish_move`] it counts as used in
    /// memory and on disk.
    pub fn start_move(&mut self, id: ResultId, page: usize) {
        if let Some(page) = self
            .page_mut(id, page)
            .filter(|page| page.tier == Tier::Memory)
        {
            page.tier = Tier::Moving;
            let bytes = page.bytes;
            self.disk_used += bytes;
            self.moving_bytes += bytes;
        }
    }

    /// Returns whether a page is being written to disk.
    pub fn is_moving(&self, id: ResultId, page: usize) -> bool {
        let page = self
            .results
            .get(&id)
            .and_then(|stored| stored.pages.get(page));
        page.is_some_and(|page| page.tier == Tier::Moving)
    }

    /// Ends the write of a page. If it failed, the page stays in memory and nothing is written
    /// before `retry_at`.
    pub fn finish_move(&mut self, id: ResultId, page: usize, written: bool, retry_at: Micros) {
        if !written {
            self.disk_fails_until = Some(retry_at);
        }
        if let Some(page) = self
            .page_mut(id, page)
            .filter(|page| page.tier == Tier::Moving)
        {
            page.tier = if written { Tier::Disk } else { Tier::Memory };
            let bytes = page.bytes;
            self.moving_bytes -= bytes;
            if written {
                self.memory_used -= bytes;
                self.results
                    .entry(id)
                    .and_modify(|stored| stored.in_memory -= bytes);
            } else {
                self.disk_used -= bytes;
            }
        }
    }

    // ---- Expiry ----

    /// Returns the time at which a result expires unless it is used before that; `None` if the
    /// result has readers, is being received or doesn't exist.
    pub fn expiry(&self, id: ResultId) -> Option<Micros> {
        let stored = self
            .results
            .get(&id)
            .filter(|stored| stored.is_droppable())?;
        let retention = if stored.delivered {
            self.budget.delivered_retention
        } else {
            self.budget.unclaimed_retention
        };
        Some(stored.touched_at + retention)
    }

    /// Drops a result and frees its space. Returns false if it has readers, is being received or
    /// doesn't exist.
    pub fn drop_result(&mut self, id: ResultId, now: Micros) -> bool {
        if !self
            .results
            .get(&id)
            .is_some_and(StoredResult::is_droppable)
        {
            return false;
        }
        self.remove_drop_candidate(id);
        let Some(stored) = self.results.remove(&id) else {
            return false;
        };
        for page in &stored.pages {
            self.memory_used -= if page.tier == Tier::Disk {
                0
            } else {
                page.bytes
            };
            self.disk_used -= if page.tier == Tier::Memory {
                0
            } else {
                page.bytes
            };
            self.moving_bytes -= if page.tier == Tier::Moving {
                page.bytes
            } else {
                0
            };
        }
        self.remove_claim(stored.owner, stored.claimed_bytes());
        let elapsed = now.saturating_sub(self.drain_updated_at) as f64;
        self.drain_rate *= (-elapsed / DRAIN_TIME_CONSTANT).exp();
        self.drain_rate += stored.bytes as f64 / DRAIN_TIME_CONSTANT;
        self.drain_updated_at = now;
        true
    }
}
