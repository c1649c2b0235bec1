//! The table of engines, indexed so that a decision visits only the engines that it is about.
//!
//! Owned by [`crate::balancer::Balancer`]. Nothing here decides anything.
//!
//! * A [`Ring`] for each placement that classes have: its open engines in the order of their
//!   hashes.
//! * The *active* engines: those whose state time alone may change. An engine becomes active with
//!   each change and leaves that index once it is at rest.
//! * Sums over the engines at rest, so that nobody has to walk over them.

use crate::engine_state::EngineState;
use crate::hash::mix;
use crate::interface::{Class, Endpoint, EngineId, MachineKind, Micros};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Steps a core in which the capacity of engines at rest is summed: whole numbers add and subtract
/// exactly.
const CAPACITY_STEPS_PER_CORE: f64 = (1u64 << 20) as f64;
/// A ring is rebuilt where more than one in so many of its engines has changed.
const REBUILD_FRACTION: usize = 16;

/// Hash and number of an engine: its position on a ring.
pub(crate) type RingEntry = (u64, EngineId);

/// Open engines that one placement allows, ordered by the hash that all gateways share.
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

/// Threads and memory of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Capacity {
    pub(crate) threads: f64,
    pub(crate) memory_mb: f64,
}

/// All engines that the list names or that still hold work of this gateway.
pub(crate) struct EngineTable {
    engines: BTreeMap<EngineId, EngineState>,
    active: BTreeSet<EngineId>,
    rings: Vec<Ring>,
    /// The first class with the placement of each ring.
    ring_class: Vec<usize>,
    /// The ring of each class.
    class_ring: Vec<usize>,
    /// Cores of an engine of each kind.
    cores: Vec<f64>,
    listed_count: usize,
    open_count: usize,
    /// Cached sum over the open engines, until the list changes.
    open_capacity: Cell<Option<Capacity>>,
    /// Capacity of the open engines at rest, in steps.
    resting_steps: u64,
    /// Engines that the list has changed since the rings were last brought up to date.
    changed: Vec<EngineId>,
    /// How often an engine was accessed.
    visits: Cell<u64>,
}

impl EngineTable {
    pub(crate) fn new(classes: &[Class], kinds: &[MachineKind]) -> Self {
        let mut ring_class: Vec<usize> = Vec::new();
        let mut class_ring = Vec::new();
        for (index, class) in classes.iter().enumerate() {
            let has_same_placement = |&other: &usize| {
                let other = &classes[other];
                other.zones_only == class.zones_only && other.kinds_only == class.kinds_only
            };
            let known_ring = ring_class.iter().position(has_same_placement);
            class_ring.push(known_ring.unwrap_or(ring_class.len()));
            if known_ring.is_none() {
                ring_class.push(index);
            }
        }
        EngineTable {
            engines: BTreeMap::new(),
            active: BTreeSet::new(),
            rings: ring_class.iter().map(|_| Ring::default()).collect(),
            ring_class,
            class_ring,
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

    /// How often an engine was accessed so far.
    pub(crate) fn visits(&self) -> u64 {
        self.visits.get()
    }

    pub(crate) fn get(&self, id: &EngineId) -> Option<&EngineState> {
        self.count_visit();
        self.engines.get(id)
    }

    /// Gives write access to an engine, which becomes active.
    pub(crate) fn get_mut(&mut self, id: &EngineId) -> Option<&mut EngineState> {
        self.count_visit();
        self.activate(id);
        self.engines.get_mut(id)
    }

    /// Every engine of the list; a full walk, for rare events only.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &EngineState> {
        self.engines
            .values()
            .inspect(|_| self.count_visit())
            .filter(|engine| engine.is_listed)
    }

    /// The engines that time may change: among them all that hold work, are cold or on probation.
    pub(crate) fn active(&self) -> impl Iterator<Item = &EngineState> + Clone {
        self.active
            .iter()
            .filter_map(|id| self.engines.get(id))
            .inspect(|_| self.count_visit())
    }

    /// The open engines that a class may use, in the order of their hashes.
    pub(crate) fn ring(&self, class: usize) -> &[RingEntry] {
        &self.rings[self.class_ring[class]].order
    }

    pub(crate) fn listed_count(&self) -> usize {
        self.listed_count
    }

    pub(crate) fn open_count(&self) -> usize {
        self.open_count
    }

    /// Sum over the open engines of a capacity, each divided by `divisor` first. It has to depend
    /// on the list alone, since it is cached until the list changes.
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

    /// Cores of the open engines at rest, each divided by its slowdown.
    pub(crate) fn resting_cores(&self) -> f64 {
        self.resting_steps as f64 / CAPACITY_STEPS_PER_CORE
    }

    /// Index of the engine's machine kind in the settings.
    pub(crate) fn kind_index(&self, engine: &EngineState) -> usize {
        (engine.endpoint.kind as usize).min(self.cores.len() - 1)
    }

    /// Changes what the list says of an engine; a new one is added first.
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

    /// Brings the rings up to date with the list; `may_place` says whether a class may use an
    /// engine.
    pub(crate) fn update_rings(&mut self, may_place: impl Fn(usize, &Endpoint) -> bool) {
        let changed = std::mem::take(&mut self.changed);
        for (ring, &class) in self.rings.iter_mut().zip(&self.ring_class) {
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

    /// Applies `update` to the active engines; drops those that are neither listed nor hold work,
    /// and lets rest those that time changes no more.
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

    /// Takes an engine that time changes no more out of the active ones.
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
