//! The table of engines, indexed so that a decision visits the engines that it is about and never
//! all of them. Nothing here decides anything.
//!
//! * A [`Ring`] for each placement that classes have: its open engines in the order of their
//!   hashes.
//! * The *active* engines: those whose state time alone may change. All that is changed becomes
//!   active; it is dropped from the index again when it has come to rest.
//! * Sums over the engines that rest, so that nobody has to go over them.

use crate::interface::{Class, Endpoint, EngineId, Kind, Micros};
use crate::state::{mix, Engine};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Steps a core in which the capacity of resting engines is summed: whole numbers add and subtract
/// exactly.
const CAPACITY_STEPS: f64 = (1u64 << 20) as f64;
/// A ring is built anew where more than one in so many of its engines has changed.
const REBUILD_PART: usize = 16;

/// Open engines that one placement allows, ordered by the hash that all gateways share.
#[derive(Default)]
struct Ring {
    order: Vec<(u64, EngineId)>,
}

impl Ring {
    fn set(&mut self, engine: EngineId, open: bool) {
        let place = (mix(engine as u64), engine);
        match (self.order.binary_search(&place), open) {
            (Err(at), true) => self.order.insert(at, place),
            (Ok(at), false) => _ = self.order.remove(at),
            _ => {}
        }
    }

    fn rebuild(&mut self, open: impl Iterator<Item = EngineId>) {
        self.order.clear();
        self.order
            .extend(open.map(|engine| (mix(engine as u64), engine)));
        self.order.sort_unstable();
    }
}

/// All engines that the list names or that still hold work of this gateway.
pub(crate) struct Engines {
    table: BTreeMap<EngineId, Engine>,
    active: BTreeSet<EngineId>,
    rings: Vec<Ring>,
    /// The first class with the placement of each ring, and the ring of each class.
    ring_class: Vec<usize>,
    ring_of: Vec<usize>,
    /// Cores of an engine of each kind.
    cores: Vec<f64>,
    listed: usize,
    open: usize,
    /// Sums over the open engines, until the list changes.
    sums: Cell<Option<(f64, f64)>>,
    /// Capacity of the open engines that rest, in steps.
    resting: u64,
    /// Engines that the list has changed since the rings were last brought up to date.
    changed: Vec<EngineId>,
    visits: Cell<u64>,
}

impl Engines {
    pub(crate) fn new(classes: &[Class], kinds: &[Kind]) -> Self {
        let mut ring_class: Vec<usize> = Vec::new();
        let mut ring_of = Vec::new();
        for (class, own) in classes.iter().enumerate() {
            let placement = (&own.zones_only, &own.kinds_only);
            let same = |&other: &usize| {
                (&classes[other].zones_only, &classes[other].kinds_only) == placement
            };
            let ring = ring_class.iter().position(same).unwrap_or(ring_class.len());
            if ring == ring_class.len() {
                ring_class.push(class);
            }
            ring_of.push(ring);
        }
        Engines {
            table: BTreeMap::new(),
            active: BTreeSet::new(),
            rings: ring_class.iter().map(|_| Ring::default()).collect(),
            ring_class,
            ring_of,
            cores: kinds.iter().map(|kind| kind.cores).collect(),
            listed: 0,
            open: 0,
            sums: Cell::new(None),
            resting: 0,
            changed: Vec::new(),
            visits: Cell::new(0),
        }
    }

    fn visit(&self) {
        self.visits.set(self.visits.get() + 1);
    }

    pub(crate) fn get(&self, id: &EngineId) -> Option<&Engine> {
        self.visit();
        self.table.get(id)
    }

    /// What may change becomes active.
    pub(crate) fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.visit();
        self.activate(id);
        self.table.get_mut(id)
    }

    /// Every engine of the list, for what is rare.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &Engine> {
        self.table
            .values()
            .inspect(|_| self.visit())
            .filter(|engine| engine.listed)
    }

    /// The engines that time may change: among them all that hold work, are cold or on probation.
    pub(crate) fn active(&self) -> impl Iterator<Item = &Engine> + Clone {
        self.active
            .iter()
            .filter_map(|id| self.table.get(id))
            .inspect(|_| self.visit())
    }

    /// The open engines that a class may use, with their hashes, in the order of these.
    pub(crate) fn ring(&self, class: usize) -> &[(u64, EngineId)] {
        &self.rings[self.ring_of[class]].order
    }

    pub(crate) fn listed_count(&self) -> usize {
        self.listed
    }

    pub(crate) fn open_count(&self) -> usize {
        self.open
    }

    /// Sums of two figures over the open engines, each figure divided first. They have to depend on
    /// the list alone: what they gave is kept until the list changes.
    pub(crate) fn sums_of_open(&self, over: f64, of: impl Fn(&Engine) -> (f64, f64)) -> (f64, f64) {
        self.sums.get().unwrap_or_else(|| {
            let open = self.listed().filter(|engine| engine.open()).map(of);
            let sums = open.fold((0.0, 0.0), |sum, own| {
                (sum.0 + own.0 / over, sum.1 + own.1 / over)
            });
            self.sums.set(Some(sums));
            sums
        })
    }

    /// Cores of the open engines that rest, each at the pace it has shown.
    pub(crate) fn resting_cores(&self) -> f64 {
        self.resting as f64 / CAPACITY_STEPS
    }

    pub(crate) fn kind_of(&self, engine: &Engine) -> usize {
        (engine.entry.kind as usize).min(self.cores.len() - 1)
    }

    /// Changes what the list says of an engine; a new one is added first.
    pub(crate) fn relist(
        &mut self,
        entry: Endpoint,
        now: Micros,
        change: impl FnOnce(&mut Engine),
    ) {
        self.visit();
        let active = &mut self.active;
        self.table.entry(entry.engine).or_insert_with(|| {
            active.insert(entry.engine);
            Engine {
                listed: false,
                ..Engine::new(entry)
            }
        });
        self.activate(&entry.engine);
        self.count(entry.engine, false);
        if let Some(engine) = self.table.get_mut(&entry.engine) {
            change(engine);
        }
        self.count(entry.engine, true);
        self.settle(entry.engine, now);
        self.changed.push(entry.engine);
        self.sums.set(None);
    }

    /// Brings the rings up to date with the list; `may_place` says whether a class may use an
    /// engine.
    pub(crate) fn reindex(&mut self, may_place: impl Fn(usize, &Endpoint) -> bool) {
        let changed = std::mem::take(&mut self.changed);
        for (ring, &class) in self.rings.iter_mut().zip(&self.ring_class) {
            let usable = |engine: &Engine| engine.open() && may_place(class, &engine.entry);
            if changed.len() * REBUILD_PART > ring.order.len() {
                ring.rebuild(
                    self.table
                        .iter()
                        .filter(|(_, engine)| usable(engine))
                        .map(|(&id, _)| id),
                );
                continue;
            }
            for id in &changed {
                ring.set(*id, self.table.get(id).is_some_and(usable));
            }
        }
    }

    /// Lets time pass over the active engines; drops what is neither listed nor holds work, and
    /// lets rest what time changes no more.
    pub(crate) fn pass_time(&mut self, now: Micros, mut each: impl FnMut(&mut Engine)) {
        for id in self.active.iter().copied().collect::<Vec<_>>() {
            self.visit();
            let Some(engine) = self.table.get_mut(&id) else {
                continue;
            };
            each(engine);
            if engine.listed || !engine.out.is_empty() {
                self.settle(id, now);
            } else {
                self.table.remove(&id);
                self.active.remove(&id);
            }
        }
    }

    /// Adds an engine to what is counted of the list, or takes it out.
    fn count(&mut self, id: EngineId, add: bool) {
        let Some(engine) = self.table.get(&id) else {
            return;
        };
        let (listed, open) = (engine.listed as usize, engine.open() as usize);
        let counted = |count: usize, own: usize| if add { count + own } else { count - own };
        self.listed = counted(self.listed, listed);
        self.open = counted(self.open, open);
    }

    fn activate(&mut self, id: &EngineId) {
        let Some(engine) = self.table.get(id) else {
            return;
        };
        let steps = self.capacity_steps(engine);
        if self.active.insert(*id) {
            self.resting -= steps;
        }
    }

    /// Lets an active engine rest, if time changes nothing of it.
    fn settle(&mut self, id: EngineId, now: Micros) {
        let Some(engine) = self.table.get_mut(&id).filter(|engine| engine.rests(now)) else {
            return;
        };
        engine.slowdown = engine.best_slowdown;
        (engine.spent, engine.ideal) = (0.0, 0.0);
        self.active.remove(&id);
        self.resting += self.capacity_steps(&self.table[&id]);
    }

    fn capacity_steps(&self, engine: &Engine) -> u64 {
        let cores = if engine.open() {
            self.cores[self.kind_of(engine)]
        } else {
            0.0
        };
        (cores / engine.slowness() * CAPACITY_STEPS) as u64
    }
}

impl crate::balancer::Balancer {
    /// How often an engine was looked at so far: what decisions cost, as a count.
    pub fn visits(&self) -> u64 {
        self.engines.visits.get()
    }

    /// Engines that the list names.
    pub fn listed_engines(&self) -> usize {
        self.engines.listed_count()
    }
}

impl std::ops::Index<&EngineId> for Engines {
    type Output = Engine;

    fn index(&self, id: &EngineId) -> &Engine {
        self.visit();
        &self.table[id]
    }
}
