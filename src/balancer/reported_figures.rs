//! Reported figures: checks the figures that engines report before any estimate learns from them.
//!
//! An engine may report anything that parses as a number: an infinity, a NaN, a negative number or
//! one beyond what any engine can do. A single such figure would stay in an estimate for as long as
//! the process runs, so it counts as not reported.

use crate::interface::{LoadReport, MachineKind, ResourceUsage, Settings};

/// Largest memory that a query may have used, in multiples of the largest engine's memory: a query
/// may need more memory than its engine has.
const MAX_MEMORY_MULTIPLE: f64 = 100.0;
/// Largest number of queries on an engine, per core.
const MAX_QUERIES_PER_CORE: f64 = 1_000.0;
/// Largest share of an engine's cores, memory or disks that may be in use: queries may be granted
/// more than there is.
const MAX_USED_SHARE: f64 = 10.0;
/// Largest factor by which an engine may run faster than one core for each thread of a query.
const MAX_SPEED: f64 = 10.0;

/// The largest plausible figures, from the settings.
pub(super) struct FigureLimits {
    memory_mb: f64,
    queries: f64,
}

impl FigureLimits {
    pub(super) fn new(settings: &Settings) -> Self {
        let largest =
            |of: fn(&MachineKind) -> f64| settings.kinds.iter().map(of).fold(1.0, f64::max);
        FigureLimits {
            memory_mb: MAX_MEMORY_MULTIPLE * largest(|kind| kind.memory_mb),
            queries: MAX_QUERIES_PER_CORE * largest(|kind| kind.cores),
        }
    }

    /// Returns the usage of an attempt that ran for at most `max_work` of thread time on one core
    /// per thread; `None` if one of its figures is implausible, since the other figure of the same
    /// answer can't be trusted either.
    pub(super) fn checked_usage(
        &self,
        usage: ResourceUsage,
        max_work: f64,
    ) -> Option<ResourceUsage> {
        let is_work_plausible = usage.work > 0.0 && usage.work <= MAX_SPEED * max_work;
        let is_memory_plausible = is_within(usage.memory_mb, self.memory_mb);
        (is_work_plausible && is_memory_plausible).then_some(usage)
    }

    /// Returns the load report without its implausible figures.
    pub(super) fn checked_report(&self, report: LoadReport) -> LoadReport {
        let query_count =
            |count: Option<f64>| count.filter(|count| is_within(*count, self.queries));
        let used_share =
            |share: Option<f64>| share.filter(|share| is_within(*share, MAX_USED_SHARE));
        LoadReport {
            in_flight: query_count(report.in_flight),
            waiting_for_memory: query_count(report.waiting_for_memory),
            cores_busy: used_share(report.cores_busy),
            memory_granted: used_share(report.memory_granted),
            disks_busy: used_share(report.disks_busy),
        }
    }
}

/// Returns the share of the work that a progress report states, at most 1; `None` if the share is
/// implausible.
pub(super) fn checked_share(share: f64) -> Option<f64> {
    is_within(share, f64::MAX).then(|| share.min(1.0))
}

/// Returns whether a figure is between 0 and `max`; NaN is not.
fn is_within(figure: f64, max: f64) -> bool {
    (0.0..=max).contains(&figure)
}
