//! Subsetting: which part of the engines this gateway uses, and its share of each.
//!
//! With many gateways a share of every engine may be too small for a query. Where possible each
//! gateway then uses a few engines only, chosen on a ring that all gateways compute alike. Else
//! shares are below one query, and whole engines are judged by their reports.

use super::admission::START_THREADS_PER_CORE;
use crate::engine_table::{EngineTable, RingEntry};
use crate::interface::{EngineId, Micros, Settings};

/// Engines in the smallest subset, and those that a table group has an affinity to.
pub(super) const MIN_SUBSET: usize = 2;
/// Least share of an engine in a subset of that size, in shares that the widest query fits in.
const MIN_SUBSET_SHARE: f64 = 0.75;

/// This gateway's part of the engines.
pub(super) struct Subsetting {
    /// Gateways in this tier.
    peers: f64,
    /// Where the subset begins on a ring of engines, as a part of the whole.
    ring_position: f64,
    /// Queries of the widest class that the largest engine runs at its thread bound.
    queries_per_engine: f64,
    /// Only probes count queries.
    counts_by_probe: bool,
    uses_subset: bool,
    share_below_one_query: bool,
    engine_share: f64,
}

impl Subsetting {
    pub(super) fn new(settings: &Settings, ring_position: f64) -> Self {
        let most_cores = settings
            .kinds
            .iter()
            .map(|kind| kind.cores)
            .fold(0.0, f64::max);
        let most_threads = settings
            .classes
            .iter()
            .map(|class| class.threads)
            .fold(1.0, f64::max);
        Subsetting {
            peers: settings.peers,
            ring_position,
            queries_per_engine: START_THREADS_PER_CORE * most_cores / most_threads,
            counts_by_probe: settings.counts_by_probe,
            uses_subset: false,
            share_below_one_query: false,
            engine_share: 1.0,
        }
    }

    /// Chooses the mode and the share for so many open engines.
    pub(super) fn update(&mut self, open_engines: usize) {
        let open = open_engines as f64;
        let is_share_too_small = self.peers > self.queries_per_engine;
        let min_capacity = MIN_SUBSET_SHARE * MIN_SUBSET as f64 * self.peers;
        let can_use_subsets =
            !self.counts_by_probe && self.queries_per_engine * open >= min_capacity;
        self.uses_subset = is_share_too_small && can_use_subsets;
        self.share_below_one_query = is_share_too_small && !can_use_subsets;
        self.engine_share = if self.share_below_one_query {
            1.0
        } else if self.uses_subset {
            let subset_size = (self.queries_per_engine * open / self.peers)
                .round()
                .max(MIN_SUBSET as f64);
            open / self.peers / subset_size
        } else {
            1.0 / self.peers
        };
    }

    /// Whether this gateway's share of an engine is less than one query, so that whole engines are
    /// judged by their reports.
    pub(super) fn share_below_one_query(&self) -> bool {
        self.share_below_one_query
    }

    /// The part of an engine's capacity that this gateway's bounds are computed from.
    pub(super) fn engine_share(&self) -> f64 {
        self.engine_share
    }

    /// The open engines that a class is placed among, in the order of the ring: all, or this
    /// gateway's subset, where the next on the ring replaces a quarantined one.
    pub(super) fn engines<'a>(
        &'a self,
        table: &'a EngineTable,
        class: usize,
        now: Micros,
    ) -> impl Iterator<Item = RingEntry> + 'a {
        let ring = table.ring(class);
        let (first, size) = if self.uses_subset {
            self.subset_bounds(ring.len())
        } else {
            (0, ring.len())
        };
        let (before, after) = ring.split_at(first.min(ring.len().saturating_sub(1)));
        let is_usable =
            move |id: &EngineId| !self.uses_subset || now >= table[id].quarantined_until;
        after
            .iter()
            .chain(before)
            .copied()
            .filter(move |(_, id)| is_usable(id))
            .take(size)
    }

    /// Index of the subset's first engine on a ring of this length, and its size.
    fn subset_bounds(&self, ring_length: usize) -> (usize, usize) {
        let length = ring_length as f64;
        let size = (length / self.peers / self.engine_share).round() as usize;
        let first = (self.ring_position * length) as usize;
        (first, size.max(MIN_SUBSET))
    }
}
