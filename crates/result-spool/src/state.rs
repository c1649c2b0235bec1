//! Tracks where each page is stored and makes all decisions of the spool. The host carries out the
//! decisions and reports the outcome; nothing here does I/O or reads a clock.
//!
//! `admission` decides whether a new result fits, `page_moves` which pages go to disk; this file
//! has the rest of a result's life: its pages, readers, expiry and end.

use std::collections::{BTreeMap, BTreeSet};

use crate::limits::*;
use crate::Micros;

pub use admission::{Admission, RejectReason};
pub use page_moves::SpoolAction;
use stored_result::{Page, State, StoredResult, Tier};

mod admission;
mod page_moves;
mod stored_result;

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
