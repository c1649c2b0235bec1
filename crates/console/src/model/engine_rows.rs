//! The rows of the table of engines.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use eideryard::interface::{EngineId, Phase};
use eideryard_event_analysis::state::Engine;
use eideryard_event_analysis::View;

use super::Sort;

/// Number of time buckets that a sparkline shows.
pub const SPARKLINE_BUCKETS: usize = 20;

/// One row of the table of engines, with sums over the last run of each gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRow {
    /// Engine that the row shows.
    pub engine: EngineId,
    /// Name of the engine, or its ID if no log states the name.
    pub name: String,
    /// State as one word: `up`, `draining`, `removed`, `missed` (down) or `quarantine`.
    pub state: &'static str,
    /// Number of attempts that are running on the engine.
    pub in_flight: usize,
    /// Memory granted to the running attempts, in MB.
    pub granted_mb: f64,
    /// Number of running attempts by rank.
    pub in_flight_by_rank: [u32; 4],
    /// Number of answers in each of the last time buckets, the oldest first.
    pub answers_per_bucket: Vec<u64>,
    /// Number of attempts that the engine answered.
    pub answered: u64,
    /// Number of attempts that failed: those with any outcome except answered, cancelled and not
    /// sent.
    pub failed: u64,
}

impl EngineRow {
    fn new(view: &View, engine: EngineId) -> Self {
        EngineRow {
            engine,
            name: view.fleet.engine_name(engine),
            state: "up",
            in_flight: 0,
            granted_mb: 0.0,
            in_flight_by_rank: [0; 4],
            answers_per_bucket: answers_per_bucket(view, engine),
            answered: 0,
            failed: 0,
        }
    }

    /// Adds one gateway's state of the engine.
    fn add(&mut self, engine: &Engine, is_down: bool) {
        self.state = match engine.phase {
            Phase::Draining => "draining",
            Phase::Removed => "removed",
            Phase::Ready if is_down => "missed",
            Phase::Ready if engine.is_quarantined => "quarantine",
            Phase::Ready => self.state,
        };
        self.in_flight += engine.in_flight;
        self.granted_mb += engine.granted_mb;
        let ranks = self.in_flight_by_rank.iter_mut();
        for (sum, in_flight) in ranks.zip(engine.in_flight_by_rank) {
            *sum += in_flight;
        }
        let [answered, error, at_capacity, timed_out, no_connection, broken, ..] = engine.outcomes;
        self.answered += answered;
        self.failed += error + at_capacity + timed_out + no_connection + broken;
    }

    fn compare(&self, other: &EngineRow, sort: Sort) -> Ordering {
        let order = match sort {
            Sort::Name => Ordering::Equal,
            Sort::InFlight => other.in_flight.cmp(&self.in_flight),
            Sort::Memory => other.granted_mb.total_cmp(&self.granted_mb),
            Sort::Rate => other
                .answers_per_bucket
                .last()
                .cmp(&self.answers_per_bucket.last()),
            Sort::Failed => other.failed.cmp(&self.failed),
        };
        order.then_with(|| self.name.cmp(&other.name))
    }
}

/// Returns the rows of all engines in the given order.
pub(super) fn engine_rows(view: &View, sort: Sort) -> Vec<EngineRow> {
    let mut rows: BTreeMap<EngineId, EngineRow> = BTreeMap::new();
    for (_, run) in view.fleet.latest_runs() {
        for (id, engine) in &run.engines {
            let row = rows.entry(*id).or_insert_with(|| EngineRow::new(view, *id));
            row.add(engine, view.detector.is_down(*id));
        }
    }
    let mut rows: Vec<EngineRow> = rows.into_values().collect();
    rows.sort_by(|a, b| a.compare(b, sort));
    rows
}

/// Returns the number of an engine's answers in each of the last [`SPARKLINE_BUCKETS`] time
/// buckets, the oldest first.
pub fn answers_per_bucket(view: &View, engine: EngineId) -> Vec<u64> {
    let buckets = &view.series.buckets;
    let first = buckets.len().saturating_sub(SPARKLINE_BUCKETS);
    let mut rates = Vec::with_capacity(SPARKLINE_BUCKETS);
    for bucket in &buckets[first..] {
        let sums = bucket.engines.get(&engine);
        rates.push(sums.map_or(0, |sums| u64::from(sums.answered)));
    }
    rates
}
