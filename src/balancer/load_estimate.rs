//! Load estimates: slowdown and pressure of an engine, from this gateway's attempts, and the load
//! of other gateways, from load reports.

use super::admission::START_THREADS_PER_CORE;
use super::class_estimates::{LEARNING_RATE, MAX_DEVIATION};
use crate::engine_state::EngineState;
use crate::interface::{LoadReport, Micros};

/// Time constant with which observed latency decays, as a fraction of the warm-up duration.
const LATENCY_TIME_CONSTANT: f64 = 0.2;
/// An engine is under pressure above this multiple of its best slowdown.
const PRESSURE_SLOWDOWN: f64 = 1.2;
/// An engine is saturated above this multiple of its best slowdown.
const SATURATION_SLOWDOWN: f64 = 3.0;
/// A load report in which a larger share of the cores or disks is busy, or of the memory is
/// granted, indicates pressure.
const PRESSURE_BUSY_SHARE: f64 = 0.95;
/// Threads per core that other gateways are assumed to use until a report arrives.
const ASSUMED_FOREIGN_LOAD: f64 = 1.0;
/// Lower limit on the factor on an engine's bounds, so that the engine always gets some work.
const MIN_BOUND_FACTOR: f64 = 0.7;
/// Relative increase of the bounds after an outcome without pressure.
const BOUND_STEP: f64 = 0.01;
/// Decrease of the bounds after an outcome under pressure, as a multiple of `BOUND_STEP`.
const BOUND_CUT_STEPS: f64 = 4.0;

impl EngineState {
    /// Returns whether the engine is under pressure: according to a recent report or rejection, or
    /// because its slowdown is well above its best. The engine's bounds apply only then.
    pub(super) fn is_under_pressure(&self, now: Micros) -> bool {
        let is_slow = self.slowdown > PRESSURE_SLOWDOWN * self.best_slowdown;
        now < self.pressure_until || now >= self.latency_ignored_until && is_slow
    }

    /// Returns whether the engine recently reported that it is busy or rejected an attempt, or is
    /// far slower than at its best.
    pub(super) fn is_saturated(&self, now: Micros) -> bool {
        now < self.pressure_until || self.slowdown > SATURATION_SLOWDOWN * self.best_slowdown
    }

    /// Updates the slowdown: time spent divided by ideal time, over attempts that ended recently
    /// and attempts in flight. Attempts in flight count because few attempts end on a saturated
    /// engine. Without progress reports an attempt is assumed to have run at its ideal speed so
    /// far. `time_constant` is in microseconds.
    pub(super) fn update_slowdown(
        &mut self,
        now: Micros,
        time_constant: f64,
        ended: Option<EndedRun>,
    ) {
        let decay = (-((now - self.observed_at) as f64) / time_constant).exp();
        self.observed_at = now;
        let ended = ended.unwrap_or_default();
        let max_spent = MAX_DEVIATION * ended.ideal * self.slowdown;
        self.spent_sum = self.spent_sum * decay + ended.spent.min(max_spent);
        self.ideal_sum = self.ideal_sum * decay + ended.ideal;
        let mut spent = self.spent_sum;
        let mut ideal = self.ideal_sum;
        for reservation in self.in_flight.values() {
            if reservation.has_waited {
                continue;
            }
            let age = (now - reservation.sent_at) as f64;
            let (elapsed, done) = match reservation.progress {
                Some(mark) => (mark.elapsed, mark.done),
                None => (age, age.min(reservation.ideal_duration)),
            };
            spent += elapsed.min(MAX_DEVIATION * done * self.slowdown);
            ideal += done;
        }
        // Without observations the slowdown decays to the best slowdown, so that a high value
        // doesn't outlast its cause.
        self.slowdown = if ideal > 1.0 {
            spent / ideal
        } else {
            self.best_slowdown + (self.slowdown - self.best_slowdown) * decay
        };
        self.best_slowdown = self.best_slowdown.min(self.slowdown);
    }

    /// Reduces the engine's bounds if it is under pressure, else raises them again.
    pub(super) fn adapt_bounds(&mut self, now: Micros) {
        if self.is_under_pressure(now) {
            self.cut_bounds();
        } else {
            self.change_bounds(1.0);
        }
    }

    /// Reduces the engine's bounds once, by `BOUND_CUT_STEPS` steps.
    pub(super) fn cut_bounds(&mut self) {
        self.change_bounds(-BOUND_CUT_STEPS);
    }

    /// Changes the factor on the engine's bounds by a number of steps, within its limits.
    fn change_bounds(&mut self, steps: f64) {
        let changed = self.bound_factor * (1.0 + steps * BOUND_STEP);
        self.bound_factor = changed.clamp(MIN_BOUND_FACTOR, 1.0);
    }
}

/// Duration of an attempt that has ended and its duration on an idle engine, in microseconds.
#[derive(Clone, Copy, Default)]
pub(super) struct EndedRun {
    pub(super) spent: f64,
    pub(super) ideal: f64,
}

/// Values that are needed to interpret a load report.
pub(super) struct ReportContext {
    /// Cores of the engine.
    pub(super) cores: f64,
    /// Mean number of threads of a query.
    pub(super) threads_per_query: f64,
    /// How long a report of a busy engine counts as pressure.
    pub(super) pressure_duration: Micros,
    pub(super) now: Micros,
}

/// Estimates of the load that other gateways put on engines.
pub(super) struct LoadEstimates {
    /// Time constant with which observed latency decays, in microseconds.
    latency_time_constant: f64,
    /// Threads per core that queries of other gateways occupy, averaged over engines.
    baseline_load: f64,
    /// Whether any report has contained the number of queries in flight.
    has_query_counts: bool,
    /// Whether any report has contained figures from which an engine's load can be estimated.
    has_reports: bool,
}

impl LoadEstimates {
    pub(super) fn new(warm_up_duration: Micros) -> Self {
        LoadEstimates {
            latency_time_constant: (LATENCY_TIME_CONSTANT * warm_up_duration as f64).max(1.0),
            baseline_load: 0.0,
            has_query_counts: false,
            has_reports: false,
        }
    }

    /// Returns the time constant with which observed latency decays, in microseconds.
    pub(super) fn latency_time_constant(&self) -> f64 {
        self.latency_time_constant
    }

    pub(super) fn has_reports(&self) -> bool {
        self.has_reports
    }

    /// Returns the number of threads per core that queries of other gateways occupy, averaged over
    /// engines.
    pub(super) fn baseline_load(&self) -> f64 {
        self.baseline_load
    }

    pub(super) fn restore_baseline_load(&mut self, load: f64) {
        self.baseline_load = load;
    }

    /// Sets the load that is assumed before the first request or report. If shares are below one
    /// query, there are many other gateways, so engines are unlikely to be idle.
    pub(super) fn assume_start_load(&mut self, is_share_below_one_query: bool) {
        self.baseline_load = if is_share_below_one_query {
            ASSUMED_FOREIGN_LOAD
        } else {
            0.0
        };
    }

    /// Decays the load assumed at the start as long as no report has arrived.
    pub(super) fn decay_assumed_load(&mut self, elapsed: Micros) {
        if !self.has_reports {
            self.baseline_load *= (-(elapsed as f64) / self.latency_time_constant).exp();
        }
    }

    /// Returns the estimated threads of other gateways on an engine. The value from the engine's
    /// last report decays to the mean over all engines.
    pub(super) fn foreign_threads(
        &self,
        engine: &EngineState,
        cores: f64,
        is_share_below_one_query: bool,
        now: Micros,
    ) -> f64 {
        let decay = (-((now - engine.reported_at) as f64) / self.latency_time_constant).exp();
        let baseline_threads = self.baseline_load * cores;
        let decayed_threads = baseline_threads + (engine.foreign_load - baseline_threads) * decay;
        let saturation_slowdown = if self.has_query_counts {
            SATURATION_SLOWDOWN
        } else {
            PRESSURE_SLOWDOWN
        };
        let is_saturated = engine.slowdown > saturation_slowdown * engine.best_slowdown;
        // An engine that is saturated by disks or memory has idle cores. If shares are below one
        // query, a report without a query count therefore can't lower the estimate below the mean,
        // and a slowdown far above the best gives a lower limit on the number of threads.
        let min_threads = if !is_share_below_one_query || !is_saturated && self.has_query_counts {
            0.0
        } else if is_saturated {
            engine.slowdown * cores
        } else {
            baseline_threads
        };
        decayed_threads.max(min_threads)
    }

    /// Updates an engine's pressure and the estimated load of other gateways with a load report.
    pub(super) fn apply_report(
        &mut self,
        engine: &mut EngineState,
        report: &LoadReport,
        context: &ReportContext,
    ) {
        let now = context.now;
        let reported_shares = [report.cores_busy, report.disks_busy, report.memory_granted];
        let max_busy_share = reported_shares.into_iter().flatten().reduce(f64::max);
        let is_busy = max_busy_share.is_some_and(|share| share > PRESSURE_BUSY_SHARE);
        if report.waiting_for_memory > Some(1.0) || is_busy {
            let pressure_until = now + context.pressure_duration;
            engine.pressure_until = engine.pressure_until.max(pressure_until);
        }
        let max_threads = START_THREADS_PER_CORE * context.cores;
        let reported_threads = report
            .in_flight
            .map(|queries| queries * context.threads_per_query);
        // Latency also depends on which tables are cached, so a report of few threads overrides
        // pressure that latency indicates.
        engine.latency_ignored_until =
            if reported_threads.is_some_and(|threads| threads <= max_threads) {
                now + self.latency_time_constant as Micros
            } else {
                0
            };
        let implied_threads =
            max_busy_share.map(|share| share * START_THREADS_PER_CORE * context.cores);
        let Some(threads) = reported_threads
            .into_iter()
            .chain(implied_threads)
            .reduce(f64::max)
        else {
            return;
        };
        engine.foreign_load = (threads - engine.threads).max(0.0);
        engine.reported_at = now;
        self.has_query_counts |= reported_threads.is_some();
        self.has_reports = true;
        self.baseline_load +=
            LEARNING_RATE * (engine.foreign_load / context.cores - self.baseline_load);
    }
}
