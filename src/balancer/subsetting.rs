//! Subsetting: selects the engines that this gateway uses and its share of each.
//!
//! With many gateways, a gateway's share of an engine may be too small for a single query. If
//! possible, each gateway then uses only a few engines, chosen on a ring that all gateways compute
//! alike. Otherwise "shares are below one query", as comments call this mode: each gateway may use
//! all engines, and the load of all gateways on an engine is estimated from its load reports.

use super::admission::START_THREADS_PER_CORE;
use crate::engine_table::{EngineTable, RingEntry};
use crate::interface::{EngineId, Micros, Settings};

/// Minimum number of engines in a subset, and minimum number that a table group has an affinity to.
pub(super) const MIN_SUBSET: usize = 2;
/// Subsets are used if a gateway's share of each engine in a subset of `MIN_SUBSET` is at least
/// this many queries of the class with the most threads.
const MIN_SUBSET_SHARE: f64 = 0.75;

/// The mode of subsetting and this gateway's share of the engines.
pub(super) struct Subsetting {
    /// Number of gateways in this tier, this one included.
    peers: f64,
    /// Where the subset starts on the ring of engines, as a fraction of the ring's length.
    ring_position: f64,
    /// Number of queries that the engine with the most cores runs at its thread bound, if all are
    /// of the class with the most threads.
    queries_per_engine: f64,
    /// Whether only answers to probes report how many queries an engine has in flight. If so,
    /// subsets aren't used.
    counts_by_probe: bool,
    is_subset_used: bool,
    is_share_below_one_query: bool,
    engine_share: f64,
}

impl Subsetting {
    pub(super) fn new(settings: &Settings, ring_position: f64) -> Self {
        let max_cores = settings
            .kinds
            .iter()
            .map(|kind| kind.cores)
            .fold(0.0, f64::max);
        let max_threads = settings
            .classes
            .iter()
            .map(|class| class.threads)
            .fold(1.0, f64::max);
        Subsetting {
            peers: settings.peers,
            ring_position,
            queries_per_engine: START_THREADS_PER_CORE * max_cores / max_threads,
            counts_by_probe: settings.counts_by_probe,
            is_subset_used: false,
            is_share_below_one_query: false,
            engine_share: 1.0,
        }
    }

    /// Selects the mode, and the share of each engine, for the given number of open engines.
    pub(super) fn update(&mut self, open_engines: usize) {
        let open_count = open_engines as f64;
        let is_share_too_small = self.peers > self.queries_per_engine;
        let min_capacity = MIN_SUBSET_SHARE * MIN_SUBSET as f64 * self.peers;
        let can_use_subsets =
            !self.counts_by_probe && self.queries_per_engine * open_count >= min_capacity;
        self.is_subset_used = is_share_too_small && can_use_subsets;
        self.is_share_below_one_query = is_share_too_small && !can_use_subsets;
        self.engine_share = if self.is_share_below_one_query {
            1.0
        } else if self.is_subset_used {
            let subset_size = (self.queries_per_engine * open_count / self.peers)
                .round()
                .max(MIN_SUBSET as f64);
            open_count / self.peers / subset_size
        } else {
            1.0 / self.peers
        };
    }

    /// Returns whether this gateway's share of an engine is less than one query and no subset is
    /// used. If so, decisions use the load of all gateways on an engine, as estimated from the
    /// engine's reports.
    pub(super) fn is_share_below_one_query(&self) -> bool {
        self.is_share_below_one_query
    }

    /// Returns the fraction of an engine's capacity that this gateway's bounds are computed from; 1
    /// if shares are below one query.
    pub(super) fn engine_share(&self) -> f64 {
        self.engine_share
    }

    /// Returns the open engines that requests of a class may be placed on, in ring order: all of
    /// them, or this gateway's subset. In the subset, a quarantined engine is replaced by the next
    /// engine on the ring.
    pub(super) fn engines<'a>(
        &'a self,
        table: &'a EngineTable,
        class: usize,
        now: Micros,
    ) -> impl Iterator<Item = RingEntry> + 'a {
        let ring = table.ring(class);
        let (first, size) = if self.is_subset_used {
            self.subset_bounds(ring.len())
        } else {
            (0, ring.len())
        };
        let (before, after) = ring.split_at(first.min(ring.len().saturating_sub(1)));
        let is_usable =
            move |id: &EngineId| !self.is_subset_used || now >= table[id].quarantined_until;
        after
            .iter()
            .chain(before)
            .copied()
            .filter(move |(_, id)| is_usable(id))
            .take(size)
    }

    /// Returns the index of the subset's first engine on a ring of the given length, and the size
    /// of the subset.
    fn subset_bounds(&self, ring_length: usize) -> (usize, usize) {
        let length = ring_length as f64;
        let size = (length / self.peers / self.engine_share).round() as usize;
        let first = (self.ring_position * length) as usize;
        (first, size.max(MIN_SUBSET))
    }
}
