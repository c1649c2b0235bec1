//! The table of engines, with indexes that let a decision visit only the engines it concerns.
//!
//! [`crate::balancer::Balancer`] owns the table. This module contains no policy. The indexes are:
//!
//! * One [`Ring`] for each set of placement rules that classes have: the open engines that the
//!   rules allow, ordered by hash.
//! * The *active* engines: those whose state may change just because time passes. Every change
//!   makes an engine active; the engine is removed from this index once it is at rest.
//! * Sums over the engines at rest, so that a decision need not visit each of these engines.

use crate::engine_state::EngineState;
use crate::hash::mix;
use crate::interface::{Class, Endpoint, EngineId, MachineKind, Micros};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Number of units per core in which the capacity of engines at rest is summed. The sum is an
/// integer, so additions and subtractions are exact.
const CAPACITY_STEPS_PER_CORE: f64 = (1u64 << 20) as f64;
/// A ring is rebuilt if more than 1 / `REBUILD_FRACTION` of its engines have changed.
const REBUILD_FRACTION: usize = 16;

/// Position of an engine on a ring: its hash, then its ID.
pub(crate) type RingEntry = (u64, EngineId);

/// Open engines that one set of placement rules allows, ordered by a hash that all gateways share.
#[derive(Default)]
struct Ring {
    order: Vec<RingEntry>,
}

impl Ring {
    fn insert(&mut self, engine: EngineId) {
        let entry = (mix(engine as u64), engine);
        if let Err(index) = self.order.binary_search(&entry) {
            self.order.insert(index, entry);
        }
    }

    fn remove(&mut self, engine: EngineId) {
        let entry = (mix(engine as u64), engine);
        if let Ok(index) = self.order.binary_search(&entry) {
            self.order.remove(index);
        }
    }

    fn rebuild(&mut self, engines: impl Iterator<Item = EngineId>) {
        self.order.clear();
        self.order
            .extend(engines.map(|engine| (mix(engine as u64), engine)));
        self.order.sort_unstable();
    }
}

/// Thread and memory capacity of one or more engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Capacity {
    pub(crate) threads: f64,
    pub(crate) memory_mb: f64,
}

/// All engines that are on the endpoint list or run attempts of this gateway.
pub(crate) struct EngineTable {
    engines: BTreeMap<EngineId, EngineState>,
    active: BTreeSet<EngineId>,
    rings: Vec<Ring>,
    /// For each ring, the first class that has the ring's placement rules.
    first_class_of_ring: Vec<usize>,
    /// For each class, the index of its ring.
    ring_of_class: Vec<usize>,
    /// Cores of an engine, by machine kind.
    cores: Vec<f64>,
    listed_count: usize,
    open_count: usize,
    /// Sum over the open engines, cached until the list changes.
    open_capacity: Cell<Option<Capacity>>,
    /// Capacity of the open engines at rest, in 1 / `CAPACITY_STEPS_PER_CORE` of a core.
    resting_steps: u64,
    /// Engines whose list entries have changed since the rings were last updated.
    changed: Vec<EngineId>,
    /// Number of accesses to engine states so far.
    visits: Cell<u64>,
}

impl EngineTable {
    pub(crate) fn new(classes: &[Class], kinds: &[MachineKind]) -> Self {
        let mut first_class_of_ring: Vec<usize> = Vec::new();
        let mut ring_of_class = Vec::new();
        for (index, class) in classes.iter().enumerate() {
            let has_same_placement = |&other: &usize| {
                let other = &classes[other];
                other.zones_only == class.zones_only && other.kinds_only == class.kinds_only
            };
            let known_ring = first_class_of_ring.iter().position(has_same_placement);
            ring_of_class.push(known_ring.unwrap_or(first_class_of_ring.len()));
            if known_ring.is_none() {
                first_class_of_ring.push(index);
            }
        }
        EngineTable {
            engines: BTreeMap::new(),
            active: BTreeSet::new(),
            rings: first_class_of_ring
                .iter()
                .map(|_| Ring::default())
                .collect(),
            first_class_of_ring,
            ring_of_class,
            cores: kinds.iter().map(|kind| kind.cores).collect(),
            listed_count: 0,
            open_count: 0,
            open_capacity: Cell::new(None),
            resting_steps: 0,
            changed: Vec::new(),
            visits: Cell::new(0),
        }
    }

    fn count_visit(&self) {
        self.visits.set(self.visits.get() + 1);
    }

    /// Returns the number of accesses to engines so far, a measure of the cost of decisions.
    pub(crate) fn visits(&self) -> u64 {
        self.visits.get()
    }

    pub(crate) fn get(&self, id: &EngineId) -> Option<&EngineState> {
        self.count_visit();
        self.engines.get(id)
    }

    /// Returns an engine for writing, and makes it active.
    pub(crate) fn get_mut(&mut self, id: &EngineId) -> Option<&mut EngineState> {
        self.count_visit();
        self.activate(id);
        self.engines.get_mut(id)
    }

    /// Iterates over all listed engines. This visits every engine, so it is for rare events only.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &EngineState> {
        self.engines
            .values()
            .inspect(|_| self.count_visit())
            .filter(|engine| engine.is_listed)
    }

    /// Iterates over the engines whose state may change over time. They include all that have
    /// attempts in flight, are cold or are on probation.
    pub(crate) fn active(&self) -> impl Iterator<Item = &EngineState> + Clone {
        self.active
            .iter()
            .filter_map(|id| self.engines.get(id))
            .inspect(|_| self.count_visit())
    }

    /// Returns the open engines that a class may use, ordered by hash.
    pub(crate) fn ring(&self, class: usize) -> &[RingEntry] {
        &self.rings[self.ring_of_class[class]].order
    }

    pub(crate) fn listed_count(&self) -> usize {
        self.listed_count
    }

    pub(crate) fn open_count(&self) -> usize {
        self.open_count
    }

    /// Returns the sum of `capacity_of` over the open engines, each divided by `divisor` first. The
    /// result is cached until the endpoint list changes, so both arguments must depend on that list
    /// only.
    pub(crate) fn open_capacity(
        &self,
        divisor: f64,
        capacity_of: impl Fn(&EngineState) -> Capacity,
    ) -> Capacity {
        if let Some(cached) = self.open_capacity.get() {
            return cached;
        }
        let mut sum = Capacity::default();
        for engine in self.listed().filter(|engine| engine.is_open()) {
            let capacity = capacity_of(engine);
            sum.threads += capacity.threads / divisor;
            sum.memory_mb += capacity.memory_mb / divisor;
        }
        self.open_capacity.set(Some(sum));
        sum
    }

    /// Returns the sum over the open engines at rest of their cores, each divided by its slowdown.
    pub(crate) fn resting_cores(&self) -> f64 {
        self.resting_steps as f64 / CAPACITY_STEPS_PER_CORE
    }

    /// Returns the index of the engine's machine kind in the settings.
    pub(crate) fn kind_index(&self, engine: &EngineState) -> usize {
        (engine.endpoint.kind as usize).min(self.cores.len() - 1)
    }

    /// Applies a change of an engine's list entry; a new engine is added first.
    pub(crate) fn update_listing(
        &mut self,
        endpoint: Endpoint,
        now: Micros,
        change: impl FnOnce(&mut EngineState),
    ) {
        let id = endpoint.engine;
        self.count_visit();
        self.add_unlisted(endpoint);
        self.activate(&id);
        self.subtract_from_counts(id);
        if let Some(engine) = self.engines.get_mut(&id) {
            change(engine);
        }
        self.add_to_counts(id);
        self.rest_if_settled(id, now);
        self.changed.push(id);
        self.open_capacity.set(None);
    }

    fn add_unlisted(&mut self, endpoint: Endpoint) {
        if self.engines.contains_key(&endpoint.engine) {
            return;
        }
        let engine = EngineState {
            is_listed: false,
            ..EngineState::new(endpoint)
        };
        self.engines.insert(endpoint.engine, engine);
        self.active.insert(endpoint.engine);
    }

    /// Updates the rings after changes of the endpoint list; `may_place` returns whether a class
    /// may use an engine.
    pub(crate) fn update_rings(&mut self, may_place: impl Fn(usize, &Endpoint) -> bool) {
        let changed = std::mem::take(&mut self.changed);
        for (ring, &class) in self.rings.iter_mut().zip(&self.first_class_of_ring) {
            let is_usable =
                |engine: &EngineState| engine.is_open() && may_place(class, &engine.endpoint);
            if changed.len() * REBUILD_FRACTION > ring.order.len() {
                let usable = self.engines.iter().filter(|(_, engine)| is_usable(engine));
                ring.rebuild(usable.map(|(&id, _)| id));
                continue;
            }
            for &id in &changed {
                if self.engines.get(&id).is_some_and(is_usable) {
                    ring.insert(id);
                } else {
                    ring.remove(id);
                }
            }
        }
    }

    /// Applies `update` to the active engines, drops those that are neither listed nor have
    /// attempts in flight, and removes those at rest from the index of active engines.
    pub(crate) fn update_active(&mut self, now: Micros, mut update: impl FnMut(&mut EngineState)) {
        let active: Vec<EngineId> = self.active.iter().copied().collect();
        for id in active {
            self.count_visit();
            let Some(engine) = self.engines.get_mut(&id) else {
                continue;
            };
            update(engine);
            if engine.is_listed || !engine.in_flight.is_empty() {
                self.rest_if_settled(id, now);
            } else {
                self.engines.remove(&id);
                self.active.remove(&id);
            }
        }
    }

    fn add_to_counts(&mut self, id: EngineId) {
        if let Some(engine) = self.engines.get(&id) {
            self.listed_count += usize::from(engine.is_listed);
            self.open_count += usize::from(engine.is_open());
        }
    }

    fn subtract_from_counts(&mut self, id: EngineId) {
        if let Some(engine) = self.engines.get(&id) {
            self.listed_count -= usize::from(engine.is_listed);
            self.open_count -= usize::from(engine.is_open());
        }
    }

    fn activate(&mut self, id: &EngineId) {
        let Some(engine) = self.engines.get(id) else {
            return;
        };
        let steps = self.capacity_steps(engine);
        if self.active.insert(*id) {
            self.resting_steps -= steps;
        }
    }

    /// Removes an engine from the index of active engines if it is at rest.
    fn rest_if_settled(&mut self, id: EngineId, now: Micros) {
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        if !engine.is_at_rest(now) {
            return;
        }
        engine.slowdown = engine.best_slowdown;
        engine.spent_sum = 0.0;
        engine.ideal_sum = 0.0;
        self.active.remove(&id);
        self.resting_steps += self.capacity_steps(&self.engines[&id]);
    }

    fn capacity_steps(&self, engine: &EngineState) -> u64 {
        let cores = if engine.is_open() {
            self.cores[self.kind_index(engine)]
        } else {
            0.0
        };
        (cores / engine.capacity_slowdown() * CAPACITY_STEPS_PER_CORE) as u64
    }
}

impl std::ops::Index<&EngineId> for EngineTable {
    type Output = EngineState;

    fn index(&self, id: &EngineId) -> &EngineState {
        self.count_visit();
        &self.engines[id]
    }
}
