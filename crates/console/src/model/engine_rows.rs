//! The rows of the table of engines.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use eideryard::interface::{EngineId, Phase};
use eideryard_event_analysis::state::Engine;
use eideryard_event_analysis::View;

use super::Sort;

/// Buckets of time of a sparkline.
pub const SPARKLINE_BUCKETS: usize = 20;

/// One row of the table of engines: the sums over the last run of each gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRow {
    /// The engine.
    pub engine: EngineId,
    /// Its name.
    pub name: String,
    /// Its state in one word.
    pub state: &'static str,
    /// Attempts that run there.
    pub in_flight: usize,
    /// Memory granted to them.
    pub granted_mb: f64,
    /// Attempts that run there, by rank.
    pub in_flight_by_rank: [u32; 4],
    /// Answers in each of the last buckets of time, the oldest first.
    pub answers_per_bucket: Vec<u64>,
    /// Attempts that it answered.
    pub answered: u64,
    /// Attempts that ended badly.
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

    /// Adds what one gateway knows of the engine.
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

/// The rows of all engines in this order.
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

/// Answers of an engine in each of the last buckets of time, the oldest first.
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
