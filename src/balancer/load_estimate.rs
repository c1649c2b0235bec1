//! Load estimates: an engine's slowdown and pressure from this gateway's own attempts, and the load
//! of other gateways from reports.

use super::admission::START_THREADS_PER_CORE;
use super::class_estimates::{LEARNING_RATE, MAX_DEVIATION};
use crate::engine_state::EngineState;
use crate::interface::{LoadReport, Micros};

/// Time constant of observed latency, in parts of the warm-up duration.
const LATENCY_MEMORY: f64 = 0.2;
/// Slowdown over an engine's best from which it is under pressure.
const PRESSURE_SLOWDOWN: f64 = 1.2;
/// Slowdown over an engine's best from which it is jammed.
const JAM_SLOWDOWN: f64 = 3.0;
/// Share of busy cores, busy disks or granted memory in a report that is pressure.
const PRESSURE_BUSY_SHARE: f64 = 0.95;
/// Threads a core that others are assumed to hold until a report arrives.
const START_LOAD: f64 = 1.0;
/// Least share to which an engine's bounds are cut: work must go on.
const MIN_BOUND_FACTOR: f64 = 0.7;
/// Step by which an outcome without pressure widens the bounds.
const BOUND_STEP: f64 = 0.01;
/// Steps by which an outcome under pressure cuts the bounds.
const BOUND_CUT_STEPS: f64 = 4.0;

impl EngineState {
    /// Whether the engine's bounds apply.
    pub(super) fn is_under_pressure(&self, now: Micros) -> bool {
        let is_slow = self.slowdown > PRESSURE_SLOWDOWN * self.best_slowdown;
        now < self.pressure_until || now >= self.latency_ignored_until && is_slow
    }

    /// Whether the engine is reported busy or far slower than at its best.
    pub(super) fn is_jammed(&self, now: Micros) -> bool {
        now < self.pressure_until || self.slowdown > JAM_SLOWDOWN * self.best_slowdown
    }

    /// Updates the slowdown, time spent over ideal time, of what ended lately and of what is in
    /// flight: a jam shows in what does not end. Without progress notes an attempt is assumed to
    /// have run at its ideal pace so far.
    pub(super) fn update_slowdown(&mut self, now: Micros, memory: f64, ended: Option<EndedRun>) {
        let remaining = (-((now - self.observed_at) as f64) / memory).exp();
        self.observed_at = now;
        let ended = ended.unwrap_or_default();
        let max_spent = MAX_DEVIATION * ended.ideal * self.slowdown;
        self.spent_sum = self.spent_sum * remaining + ended.spent.min(max_spent);
        self.ideal_sum = self.ideal_sum * remaining + ended.ideal;
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
        // Without evidence a bad figure fades: it must not outlive its cause.
        self.slowdown = if ideal > 1.0 {
            spent / ideal
        } else {
            self.best_slowdown + (self.slowdown - self.best_slowdown) * remaining
        };
        self.best_slowdown = self.best_slowdown.min(self.slowdown);
    }

    /// Cuts the engine's bounds under pressure and widens them again without.
    pub(super) fn adapt_bounds(&mut self, now: Micros) {
        if self.is_under_pressure(now) {
            self.cut_bounds();
        } else {
            self.change_bounds(1.0);
        }
    }

    pub(super) fn cut_bounds(&mut self) {
        self.change_bounds(-BOUND_CUT_STEPS);
    }

    fn change_bounds(&mut self, steps: f64) {
        let changed = self.bound_factor * (1.0 + steps * BOUND_STEP);
        self.bound_factor = changed.clamp(MIN_BOUND_FACTOR, 1.0);
    }
}

/// Time that an attempt spent and its ideal time, in microseconds.
#[derive(Clone, Copy, Default)]
pub(super) struct EndedRun {
    pub(super) spent: f64,
    pub(super) ideal: f64,
}

/// What a report is compared with.
pub(super) struct ReportContext {
    /// Cores of the engine.
    pub(super) cores: f64,
    /// Mean threads of a query.
    pub(super) threads_per_query: f64,
    /// For how long a busy report counts as pressure.
    pub(super) pressure_duration: Micros,
    pub(super) now: Micros,
}

/// What is known of the load that other gateways put on engines.
pub(super) struct LoadEstimates {
    /// Time constant of observed latency, in microseconds.
    latency_memory: f64,
    /// Threads a core that others hold on the mean engine.
    baseline_load: f64,
    has_query_counts: bool,
    has_reports: bool,
}

impl LoadEstimates {
    pub(super) fn new(warm_up_duration: Micros) -> Self {
        LoadEstimates {
            latency_memory: (LATENCY_MEMORY * warm_up_duration as f64).max(1.0),
            baseline_load: 0.0,
            has_query_counts: false,
            has_reports: false,
        }
    }

    /// Time constant of observed latency, in microseconds.
    pub(super) fn latency_memory(&self) -> f64 {
        self.latency_memory
    }

    pub(super) fn has_reports(&self) -> bool {
        self.has_reports
    }

    /// Threads a core that others hold on the mean engine.
    pub(super) fn baseline_load(&self) -> f64 {
        self.baseline_load
    }

    pub(super) fn restore_baseline_load(&mut self, load: f64) {
        self.baseline_load = load;
    }

    /// Before anything is known, engines don't count as idle where other gateways are many.
    pub(super) fn assume_start_load(&mut self, share_below_one_query: bool) {
        self.baseline_load = if share_below_one_query {
            START_LOAD
        } else {
            0.0
        };
    }

    /// Where no engine reports, the load assumed at the start fades.
    pub(super) fn fade_assumed_load(&mut self, elapsed: Micros) {
        if !self.has_reports {
            self.baseline_load *= (-(elapsed as f64) / self.latency_memory).exp();
        }
    }

    /// Threads of other gateways on an engine: its last report fades to the baseline.
    pub(super) fn foreign_threads(
        &self,
        engine: &EngineState,
        cores: f64,
        share_below_one_query: bool,
        now: Micros,
    ) -> f64 {
        let remaining = (-((now - engine.reported_at) as f64) / self.latency_memory).exp();
        let usual = self.baseline_load * cores;
        let reported = usual + (engine.foreign_load - usual) * remaining;
        let jam_slowdown = if self.has_query_counts {
            JAM_SLOWDOWN
        } else {
            PRESSURE_SLOWDOWN
        };
        let is_jammed = engine.slowdown > jam_slowdown * engine.best_slowdown;
        // A jam on disks or memory leaves cores idle: a report without a count of queries shows no
        // engine emptier than usual, and latency far over the best tells how many it holds.
        let least = if !share_below_one_query || !is_jammed && self.has_query_counts {
            0.0
        } else if is_jammed {
            engine.slowdown * cores
        } else {
            usual
        };
        reported.max(least)
    }

    /// Takes in what an engine reports of itself.
    pub(super) fn apply_report(
        &mut self,
        engine: &mut EngineState,
        report: &LoadReport,
        context: &ReportContext,
    ) {
        let now = context.now;
        let shares = [report.cores_busy, report.disks_busy, report.memory_granted];
        let busy = shares.into_iter().flatten().reduce(f64::max);
        let is_busy = busy.is_some_and(|share| share > PRESSURE_BUSY_SHARE);
        if report.waiting_for_memory > Some(1.0) || is_busy {
            let pressure_until = now + context.pressure_duration;
            engine.pressure_until = engine.pressure_until.max(pressure_until);
        }
        let max_threads = START_THREADS_PER_CORE * context.cores;
        let counted = report
            .in_flight
            .map(|queries| queries * context.threads_per_query);
        // Latency also varies with what queries find cached, so a count of few threads overrules
        // it.
        engine.latency_ignored_until = if counted.is_some_and(|threads| threads <= max_threads) {
            now + self.latency_memory as Micros
        } else {
            0
        };
        let implied = busy.map(|share| share * START_THREADS_PER_CORE * context.cores);
        let Some(threads) = counted.into_iter().chain(implied).reduce(f64::max) else {
            return;
        };
        engine.foreign_load = (threads - engine.threads).max(0.0);
        engine.reported_at = now;
        self.has_query_counts |= counted.is_some();
        self.has_reports = true;
        self.baseline_load +=
            LEARNING_RATE * (engine.foreign_load / context.cores - self.baseline_load);
    }
}
