//! A scale run: sweeps over one quantity at a time, and over engines with a proportional number of
//! gateways. The largest point of each sweep is predicted before it is measured.

use std::io;
use std::path::Path;

use serde::Serialize;

use super::checks;
use super::fit::{self, Prediction};
use super::measure::{Axis, Collected, Figure, Series, Size};
use super::sizes::{Sizes, ENGINES_A_GATEWAY};
use super::voters::VoterFleet;

/// A count that breaks a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Name of the rule, as it is printed.
    pub rule: &'static str,
    /// Description of what was counted.
    pub what: String,
}

/// Prediction of one figure's largest point.
#[derive(Clone, Debug, Serialize)]
pub struct Predicted {
    /// Name of the figure.
    pub name: &'static str,
    /// The quantity that varies.
    pub axis: Axis,
    /// The predicted and the measured value.
    #[serde(flatten)]
    pub prediction: Prediction,
}

/// Result of a run.
#[derive(Default)]
pub struct Outcome {
    /// All measured figures.
    pub collected: Collected,
    /// Predictions, each with the value measured afterwards.
    pub predictions: Vec<Predicted>,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Number of requests of all gateways, hollow and real.
    pub requests: u64,
    /// Number of these requests without a final answer.
    pub unanswered: u64,
}

/// A position on the axis of a sweep, and the size of the fleet there.
pub(super) type SweepPoint = (f64, Size);

/// Function that measures one point of a sweep.
type Measure<'a> = fn(&mut Run<'a>, Axis, SweepPoint) -> io::Result<()>;

/// A scale run in progress.
pub struct Run<'a> {
    /// Sizes to measure, and other options.
    pub sizes: &'a Sizes,
    /// Program to start as real gateways; `None` measures hollow gateways only.
    pub program: Option<&'a Path>,
    /// Called with name, axis, size and value of each prediction, before its point is measured.
    pub predicted: &'a mut dyn FnMut(&str, Axis, f64, f64),
    /// Results so far.
    pub outcome: Outcome,
    /// Voters wait before they first vote, so several sweeps share them.
    pub(super) voters: Option<VoterFleet>,
}

pub(super) fn ascending<T: Copy + PartialOrd>(values: &[T]) -> Vec<T> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
    sorted.dedup_by(|a, b| a == b);
    sorted
}

pub(super) fn sweep_points(counts: &[usize], size: impl Fn(usize) -> Size) -> Vec<SweepPoint> {
    ascending(counts)
        .into_iter()
        .map(|count| (count as f64, size(count)))
        .collect()
}

fn proportional_gateways(engines: usize) -> usize {
    ((engines as f64 / ENGINES_A_GATEWAY).round() as usize).max(1)
}

impl<'a> Run<'a> {
    /// Creates a run without results.
    pub fn new(
        sizes: &'a Sizes,
        program: Option<&'a Path>,
        predicted: &'a mut dyn FnMut(&str, Axis, f64, f64),
    ) -> Self {
        Run {
            sizes,
            program,
            predicted,
            outcome: Outcome::default(),
            voters: None,
        }
    }

    /// Runs all sweeps and checks the counts.
    pub fn play(mut self) -> io::Result<Outcome> {
        self.start_voters()?;
        self.hollow_sweeps()?;
        self.shared_sweeps()?;
        self.voter_sweeps()?;
        if self.program.is_some() {
            self.real_sweeps()?;
        }
        checks::check_counts(&mut self.outcome);
        Ok(self.outcome)
    }

    fn hollow_sweeps(&mut self) -> io::Result<()> {
        self.sweep(
            Axis::Gateways,
            &self.by_gateways(),
            Self::measure_hollow_by_gateways,
        )?;
        self.sweep(Axis::Rate, &self.by_rate(), Self::measure_hollow)?;
        self.sweep(Axis::Engines, &self.by_engines(), Self::measure_lists)?;
        self.sweep(
            Axis::Engines,
            &self.by_engines(),
            Self::measure_hollow_in_proportion,
        )
    }

    fn real_sweeps(&mut self) -> io::Result<()> {
        let middle = self.middle();
        let clients = sweep_points(&self.sizes.clients, |clients| Size { clients, ..middle });
        let reloads = sweep_points(&self.sizes.reloads(), |_| middle);
        self.sweep(Axis::Rate, &self.by_rate(), Self::measure_real_requests)?;
        self.sweep(Axis::Clients, &clients, Self::measure_real_clients)?;
        self.sweep(Axis::Engines, &self.by_engines(), Self::measure_real_lists)?;
        self.sweep(Axis::Reloads, &reloads, Self::measure_real_reloads)?;
        self.sweep(
            Axis::Engines,
            &self.by_engines(),
            Self::measure_real_and_hollow,
        )
    }

    fn by_engines(&self) -> Vec<SweepPoint> {
        let middle = self.middle();
        let size = |engines| Size {
            engines,
            gateways: proportional_gateways(engines),
            ..middle
        };
        sweep_points(&self.sizes.engines, size)
    }

    fn by_gateways(&self) -> Vec<SweepPoint> {
        let middle = self.middle();
        sweep_points(&self.sizes.gateways, |gateways| Size { gateways, ..middle })
    }

    fn by_rate(&self) -> Vec<SweepPoint> {
        let middle = self.middle();
        ascending(&self.sizes.rate)
            .into_iter()
            .map(|rate| (rate, Size { rate, ..middle }))
            .collect()
    }

    /// The size of the fleet while one other quantity varies.
    pub(super) fn middle(&self) -> Size {
        let engines = ascending(&self.sizes.engines);
        let engines = engines[engines.len() / 2];
        let rate = self.sizes.rate.iter().copied().fold(0.0, f64::max);
        Size {
            gateways: proportional_gateways(engines),
            engines,
            clients: 0,
            rate,
        }
    }

    /// Measures the points of a sweep in ascending order. Before the last one, predicts its values
    /// from the others.
    pub(super) fn sweep(
        &mut self,
        axis: Axis,
        points: &[SweepPoint],
        measure: Measure<'a>,
    ) -> io::Result<()> {
        let Some((last, smaller)) = points.split_last() else {
            return Ok(());
        };
        for point in smaller {
            measure(self, axis, *point)?;
        }
        let before_last = smaller.last().map(|point| point.0);
        let has_all_points = |series: &&Series| {
            series.axis == axis && series.points.last().map(|point| point.at) == before_last
        };
        let series: Vec<Series> = self
            .outcome
            .collected
            .series
            .iter()
            .filter(has_all_points)
            .cloned()
            .collect();
        for series in series.iter().filter(|series| series.points.len() > 1) {
            if let Some(slope) = fit::slope(&series.points) {
                (self.predicted)(series.name, axis, last.0, slope.value(last.0));
            }
        }
        measure(self, axis, *last)?;
        let names: Vec<&'static str> = series.iter().map(|series| series.name).collect();
        for name in names {
            let series = self.outcome.collected.find(name, axis);
            let prediction = series.and_then(fit::prediction);
            self.outcome
                .predictions
                .extend(prediction.map(|prediction| Predicted {
                    name,
                    axis,
                    prediction,
                }));
        }
        Ok(())
    }

    pub(super) fn add(&mut self, figure: Figure, axis: Axis, point: SweepPoint, value: f64) {
        self.outcome.collected.add(figure, axis, point, value);
    }

    pub(super) fn seeds(&self) -> impl Iterator<Item = u64> {
        let first = self.sizes.seed;
        (0..self.sizes.repeats as u64).map(move |repeat| first.wrapping_add(repeat << 20))
    }
}
