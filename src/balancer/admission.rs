//! Admission: whether an engine has room for a request.
//!
//! Bounds on threads and memory are shares of an engine's capacity. They apply only while the
//! engine is under pressure.

use super::Balancer;
use crate::engine_state::{EngineState, Reservation};
use crate::engine_table::Capacity;
use crate::interface::{MachineKind, Request};
use crate::request_state::PendingRequest;

/// Memory that may be reserved at the start, in multiples of an engine's memory.
const START_MEMORY_MULTIPLE: f64 = 3.0;
/// Threads a core of this gateway's share that may be in flight at the start.
pub(super) const START_THREADS_PER_CORE: f64 = 2.0;
/// Threads a core that imply pressure before latency can show it.
const PRESSURE_THREADS_PER_CORE: f64 = 1.6;
/// Threads a core up to which reports and loads are sent where shares are below one query.
const SMALL_SHARE_THREADS_PER_CORE: f64 = 1.2;
/// Threads a core of its share of all engines that a gateway may have in flight.
const QUOTA_THREADS_PER_CORE: f64 = 3.0;
/// Part of the room that a query counts as before its class's memory is known.
const UNKNOWN_MEMORY_PART: f64 = 0.125;
/// A class with mean work under this part of the mean of all is one of dashboards.
const DASHBOARD_WORK_PART: f64 = 0.5;

impl Balancer {
    /// Whether a class is of short queries, which run ahead of reports and loads.
    pub(super) fn is_dashboard(&self, class: usize) -> bool {
        let max_work = DASHBOARD_WORK_PART * self.traffic.mean_work;
        !self.settings.classes[class].is_load && self.class_estimates.mean_work(class) < max_work
    }

    /// Classes whose lightest query has room nowhere: their queued requests need no closer look.
    pub(super) fn full_classes(&self) -> Vec<bool> {
        (0..self.settings.classes.len())
            .map(|class| self.is_class_full(class))
            .collect()
    }

    fn is_class_full(&self, class: usize) -> bool {
        if self.subsetting.share_below_one_query() {
            return false;
        }
        let lightest = PendingRequest {
            request: Request {
                class,
                group: u64::MAX,
                ..Default::default()
            },
            memory_mb: f64::MIN_POSITIVE,
            ..Default::default()
        };
        !self
            .subset(class)
            .any(|(_, id)| self.has_room(&lightest, &self.engines[&id]))
    }

    /// Whether an engine is available and within both bounds.
    pub(super) fn has_room(&self, pending: &PendingRequest, engine: &EngineState) -> bool {
        if !self.is_available(pending, engine) {
            return false;
        }
        let class = pending.request.class;
        let share_below_one_query = self.subsetting.share_below_one_query();
        let cores = self.warm_cores(engine) * self.subsetting.engine_share();
        let foreign_threads = if share_below_one_query {
            self.foreign_threads(engine)
        } else {
            0.0
        };
        let threads_ahead = self.threads_ahead(class, engine) + foreign_threads;
        let threads = threads_ahead + self.settings.classes[class].threads;
        // Latency shows pressure seconds after the sends that cause it; threads imply it at once.
        let has_pressure = share_below_one_query
            || engine.is_under_pressure(self.now)
            || threads > PRESSURE_THREADS_PER_CORE * cores;
        // Where shares are below one query every gateway is idle on most engines, so being idle
        // there excuses nothing.
        if !has_pressure || engine.in_flight.is_empty() && !share_below_one_query {
            return true;
        }
        // The last query in may pass the bound: a small share would else stay partly unused.
        let max_threads = self.threads_per_core(class) * engine.bound_factor * cores;
        threads_ahead < max_threads && self.has_memory(pending, engine, foreign_threads)
    }

    /// Bound on threads a core for a class.
    fn threads_per_core(&self, class: usize) -> f64 {
        if !self.subsetting.share_below_one_query() {
            START_THREADS_PER_CORE
        } else if self.is_dashboard(class) {
            PRESSURE_THREADS_PER_CORE
        } else {
            SMALL_SHARE_THREADS_PER_CORE
        }
    }

    /// Threads in flight that a query of a class has to share the engine with. A dashboard runs
    /// ahead of what is larger, so only its like counts, until the engine is jammed.
    fn threads_ahead(&self, class: usize, engine: &EngineState) -> f64 {
        // What can't be cancelled jams for long, so there any pressure counts as a jam.
        let is_jammed = if self.settings.may_cancel {
            engine.is_jammed(self.now)
        } else {
            engine.is_under_pressure(self.now)
        };
        let counts_all =
            is_jammed || self.subsetting.share_below_one_query() || !self.is_dashboard(class);
        let is_ahead = |other: &&Reservation| counts_all || self.is_dashboard(other.class);
        engine
            .in_flight
            .values()
            .filter(is_ahead)
            .map(|reservation| reservation.threads)
            .sum()
    }

    fn has_memory(
        &self,
        pending: &PendingRequest,
        engine: &EngineState,
        foreign_threads: f64,
    ) -> bool {
        let memory_time = foreign_threads * self.traffic.mean_memory_time;
        let foreign_memory = memory_time / self.traffic.mean_work.max(1.0);
        let memory = engine.memory_mb + foreign_memory;
        let charge = self.charged_memory(pending, engine);
        let room = self.memory_room(engine);
        self.is_dashboard(pending.request.class)
            || memory + charge <= room
            || engine.in_flight.is_empty() && charge > room
    }

    /// Whether all that this gateway has in flight fits its share of all engines. It is checked
    /// where shares are below one query: in a jam nothing ends, so the quota stays taken and no
    /// gateway adds to the jam.
    pub(super) fn has_in_flight_quota(&self, pending: &PendingRequest) -> bool {
        let quota = self
            .engines
            .open_capacity(self.settings.peers, |engine| Capacity {
                threads: QUOTA_THREADS_PER_CORE * self.kind(engine).cores,
                memory_mb: START_MEMORY_MULTIPLE * self.kind(engine).memory_mb,
            });
        let mut threads = 0.0;
        let mut memory_mb = pending.memory_mb;
        for engine in self.engines.active().filter(|engine| engine.is_open()) {
            threads += engine.threads;
            memory_mb += engine.memory_mb;
        }
        let fits_memory = memory_mb <= quota.memory_mb || self.is_dashboard(pending.request.class);
        threads == 0.0 || threads < quota.threads && fits_memory
    }

    /// Memory that this gateway may reserve on an engine.
    fn memory_room(&self, engine: &EngineState) -> f64 {
        let memory_mb = self.kind(engine).memory_mb;
        START_MEMORY_MULTIPLE * engine.bound_factor * memory_mb * self.subsetting.engine_share()
    }

    /// Memory that a request counts as on an engine.
    pub(super) fn charged_memory(&self, pending: &PendingRequest, engine: &EngineState) -> f64 {
        if pending.memory_mb > 0.0 {
            pending.memory_mb
        } else {
            UNKNOWN_MEMORY_PART * self.memory_room(engine)
        }
    }

    pub(super) fn kind(&self, engine: &EngineState) -> &MachineKind {
        &self.settings.kinds[self.engines.kind_index(engine)]
    }

    /// Cores of an engine, as many as it has warmed up for.
    pub(super) fn warm_cores(&self, engine: &EngineState) -> f64 {
        self.kind(engine).cores * self.slow_start.capacity_part(engine, self.now)
    }

    /// Threads of other gateways' queries on an engine.
    pub(super) fn foreign_threads(&self, engine: &EngineState) -> f64 {
        let share_below_one_query = self.subsetting.share_below_one_query();
        let cores = self.kind(engine).cores;
        self.load_estimates
            .foreign_threads(engine, cores, share_below_one_query, self.now)
    }
}
