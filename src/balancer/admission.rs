//! Admission: whether an engine has room for a request.
//!
//! This gateway's threads and memory in flight on an engine are bounded by its share of the
//! engine's capacity. The bounds apply only while the engine is under pressure.

use super::Balancer;
use crate::engine_state::{EngineState, Reservation};
use crate::engine_table::Capacity;
use crate::interface::{MachineKind, Request};
use crate::request_state::PendingRequest;

/// Bound on memory reserved on an engine before `bound_factor` reduces it, in multiples of the
/// engine's memory.
const START_MEMORY_MULTIPLE: f64 = 3.0;
/// Bound on threads in flight before `bound_factor` reduces it, per core of this gateway's share.
pub(super) const START_THREADS_PER_CORE: f64 = 2.0;
/// Threads per core above which an engine counts as under pressure, even before its latency rises.
/// Also the bound for dashboards if shares are below one query.
const PRESSURE_THREADS_PER_CORE: f64 = 1.6;
/// Bound on threads per core for reports and loads if shares are below one query.
const SMALL_SHARE_THREADS_PER_CORE: f64 = 1.2;
/// Threads that a gateway may have in flight across all engines, per core of its share of the
/// engines.
const QUOTA_THREADS_PER_CORE: f64 = 3.0;
/// Memory charged for a query without a memory estimate, as a fraction of the memory bound.
const UNKNOWN_MEMORY_FRACTION: f64 = 0.125;
/// A class whose mean work is below this fraction of the mean over all requests is a class of
/// dashboards.
const DASHBOARD_WORK_FRACTION: f64 = 0.5;

impl Balancer {
    /// Returns whether the queries of a class are dashboards, which are short and run ahead of
    /// reports and loads. A class of loads is never a dashboard class.
    pub(super) fn is_dashboard(&self, class: usize) -> bool {
        let max_work = DASHBOARD_WORK_FRACTION * self.traffic.mean_work;
        !self.settings.classes[class].is_load && self.class_estimates.mean_work(class) < max_work
    }

    /// Returns, for each class, whether no engine has room even for its smallest possible query, in
    /// which case its queued requests need not be checked one by one.
    pub(super) fn full_classes(&self) -> Vec<bool> {
        (0..self.settings.classes.len())
            .map(|class| self.is_class_full(class))
            .collect()
    }

    fn is_class_full(&self, class: usize) -> bool {
        if self.subsetting.is_share_below_one_query() {
            return false;
        }
        let lightest_request = PendingRequest {
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
            .any(|(_, id)| self.has_room(&lightest_request, &self.engines[&id]))
    }

    /// Returns whether an engine is available to a request and, if it is under pressure, within the
    /// bounds on threads and memory.
    pub(super) fn has_room(&self, pending: &PendingRequest, engine: &EngineState) -> bool {
        if !self.is_available(pending, engine) {
            return false;
        }
        let class = pending.request.class;
        let is_share_below_one_query = self.subsetting.is_share_below_one_query();
        let cores = self.warm_cores(engine) * self.subsetting.engine_share();
        let foreign_threads = if is_share_below_one_query {
            self.foreign_threads(engine)
        } else {
            0.0
        };
        let threads_ahead = self.threads_ahead(class, engine) + foreign_threads;
        let threads = threads_ahead + self.settings.classes[class].threads;
        // Latency shows pressure only seconds after the sends that cause it; the number of threads
        // shows it at once.
        let has_pressure = is_share_below_one_query
            || engine.is_under_pressure(self.now)
            || threads > PRESSURE_THREADS_PER_CORE * cores;
        // An engine on which this gateway has nothing in flight is exempt from the bounds. If
        // shares are below one query, most engines would be exempt, so there is no exemption then.
        if !has_pressure || engine.in_flight.is_empty() && !is_share_below_one_query {
            return true;
        }
        // The last query may exceed the bound: otherwise part of a small share would stay unused.
        let max_threads = self.threads_per_core(class) * engine.bound_factor * cores;
        threads_ahead < max_threads && self.has_memory(pending, engine, foreign_threads)
    }

    /// Returns the bound on threads in flight per core for queries of a class, before
    /// `bound_factor` reduces it.
    fn threads_per_core(&self, class: usize) -> f64 {
        if !self.subsetting.is_share_below_one_query() {
            START_THREADS_PER_CORE
        } else if self.is_dashboard(class) {
            PRESSURE_THREADS_PER_CORE
        } else {
            SMALL_SHARE_THREADS_PER_CORE
        }
    }

    /// Returns the threads in flight that count against the thread bound for a query of a class.
    /// Dashboards run ahead of reports and loads, so for a dashboard only other dashboards count,
    /// unless the engine is saturated or shares are below one query.
    fn threads_ahead(&self, class: usize, engine: &EngineState) -> f64 {
        // If attempts can't be cancelled, saturation lasts long, so any pressure counts as
        // saturation.
        let is_saturated = if self.settings.may_cancel {
            engine.is_saturated(self.now)
        } else {
            engine.is_under_pressure(self.now)
        };
        let should_count_all =
            is_saturated || self.subsetting.is_share_below_one_query() || !self.is_dashboard(class);
        let is_ahead = |other: &&Reservation| should_count_all || self.is_dashboard(other.class);
        engine
            .in_flight
            .values()
            .filter(is_ahead)
            .map(|reservation| reservation.threads)
            .sum()
    }

    /// Returns whether the request's memory fits the memory bound of an engine. Dashboards always
    /// fit, and a request larger than the bound fits an engine on which this gateway has nothing in
    /// flight.
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
        let bound = self.memory_bound(engine);
        self.is_dashboard(pending.request.class)
            || memory + charge <= bound
            || engine.in_flight.is_empty() && charge > bound
    }

    /// Returns whether the gateway's attempts in flight across all engines leave room for the
    /// request within the gateway's share of total capacity. This is checked only if shares are
    /// below one query. When engines are saturated, no attempt ends, so the quota stays used up and
    /// the gateway adds nothing to the overload.
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
        let is_memory_within_quota =
            memory_mb <= quota.memory_mb || self.is_dashboard(pending.request.class);
        threads == 0.0 || threads < quota.threads && is_memory_within_quota
    }

    /// Returns the memory that this gateway may reserve on an engine, in megabytes.
    fn memory_bound(&self, engine: &EngineState) -> f64 {
        let memory_mb = self.kind(engine).memory_mb;
        START_MEMORY_MULTIPLE * engine.bound_factor * memory_mb * self.subsetting.engine_share()
    }

    /// Returns the memory that is charged for a request on an engine, in megabytes: its corrected
    /// estimate, or a fraction of the memory bound if none is known.
    pub(super) fn charged_memory(&self, pending: &PendingRequest, engine: &EngineState) -> f64 {
        if pending.memory_mb > 0.0 {
            pending.memory_mb
        } else {
            UNKNOWN_MEMORY_FRACTION * self.memory_bound(engine)
        }
    }

    pub(super) fn kind(&self, engine: &EngineState) -> &MachineKind {
        &self.settings.kinds[self.engines.kind_index(engine)]
    }

    /// Returns the number of cores of an engine, times the fraction of its capacity that the engine
    /// has reached while warming up.
    pub(super) fn warm_cores(&self, engine: &EngineState) -> f64 {
        self.kind(engine).cores * self.slow_start.capacity_fraction(engine, self.now)
    }

    /// Returns the estimated threads of other gateways' queries on an engine.
    pub(super) fn foreign_threads(&self, engine: &EngineState) -> f64 {
        let is_share_below_one_query = self.subsetting.is_share_below_one_query();
        let cores = self.kind(engine).cores;
        self.load_estimates
            .foreign_threads(engine, cores, is_share_below_one_query, self.now)
    }
}
