//! A scale run: sweeps over one quantity at a time, then over engines and gateways in proportion,
//! each with the greatest point predicted before it is measured.

use std::io;
use std::path::Path;

use serde::Serialize;

use super::checks;
use super::fit::{self, Prediction};
use super::measure::{Axis, Collected, Figure, Series, Size};
use super::sizes::{Sizes, ENGINES_A_GATEWAY};
use super::voters::VoterFleet;

/// Something that was counted and must not be.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// What was counted.
    pub what: String,
}

/// A prediction of one figure.
#[derive(Clone, Debug, Serialize)]
pub struct Predicted {
    /// The figure.
    pub name: &'static str,
    /// What varies.
    pub axis: Axis,
    /// The prediction and what came of it.
    #[serde(flatten)]
    pub prediction: Prediction,
}

/// All that a run measured.
#[derive(Default)]
pub struct Outcome {
    /// Figures.
    pub collected: Collected,
    /// Predictions, each made before its point was measured.
    pub predictions: Vec<Predicted>,
    /// What must not be.
    pub violations: Vec<Violation>,
    /// Requests of all gateways.
    pub requests: u64,
    /// Those without an end.
    pub unanswered: u64,
}

/// A size on the axis of a sweep, with the whole size there.
pub(super) type Place = (f64, Size);

/// What measures one place of a sweep.
type Measure<'a> = fn(&mut Run<'a>, Axis, Place) -> io::Result<()>;

/// Plays everything; `predicted` is handed each prediction before its point is measured.
pub struct Run<'a> {
    /// What is played.
    pub sizes: &'a Sizes,
    /// The program for real gateways; without it there are none.
    pub program: Option<&'a Path>,
    /// Is handed name, axis, size and value of a prediction.
    pub predicted: &'a mut dyn FnMut(&str, Axis, f64, f64),
    /// What was measured so far.
    pub outcome: Outcome,
    /// Voters start slowly, so several sweeps share them.
    pub(super) voters: Option<VoterFleet>,
}

pub(super) fn ascending<T: Copy + PartialOrd>(values: &[T]) -> Vec<T> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
    sorted.dedup_by(|a, b| a == b);
    sorted
}

pub(super) fn places(counts: &[usize], size: impl Fn(usize) -> Size) -> Vec<Place> {
    ascending(counts)
        .into_iter()
        .map(|count| (count as f64, size(count)))
        .collect()
}

fn in_proportion(engines: usize) -> usize {
    ((engines as f64 / ENGINES_A_GATEWAY).round() as usize).max(1)
}

impl<'a> Run<'a> {
    /// One that has measured nothing yet.
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

    /// Plays all sweeps and checks the counts.
    pub fn play(mut self) -> io::Result<Outcome> {
        self.start_voters()?;
        self.hollow_sweeps()?;
        self.shared_sweeps()?;
        self.voter_sweeps()?;
        if self.program.is_some() {
            self.real_sweeps()?;
        }
        checks::counts(&mut self.outcome);
        Ok(self.outcome)
    }

    fn hollow_sweeps(&mut self) -> io::Result<()> {
        self.sweep(
            Axis::Gateways,
            &self.by_gateways(),
            Self::hollow_by_gateways,
        )?;
        self.sweep(Axis::Rate, &self.by_rate(), Self::hollow)?;
        self.sweep(Axis::Engines, &self.by_engines(), Self::lists)?;
        self.sweep(
            Axis::Engines,
            &self.by_engines(),
            Self::hollow_in_proportion,
        )
    }

    fn real_sweeps(&mut self) -> io::Result<()> {
        let middle = self.middle();
        let clients = places(&self.sizes.clients, |clients| Size { clients, ..middle });
        let reloads = places(&self.sizes.reloads(), |_| middle);
        self.sweep(Axis::Rate, &self.by_rate(), Self::real_requests)?;
        self.sweep(Axis::Clients, &clients, Self::real_clients)?;
        self.sweep(Axis::Engines, &self.by_engines(), Self::real_lists)?;
        self.sweep(Axis::Reloads, &reloads, Self::real_reloads)?;
        self.sweep(Axis::Engines, &self.by_engines(), Self::together)
    }

    fn by_engines(&self) -> Vec<Place> {
        let middle = self.middle();
        let size = |engines| Size {
            engines,
            gateways: in_proportion(engines),
            ..middle
        };
        places(&self.sizes.engines, size)
    }

    fn by_gateways(&self) -> Vec<Place> {
        let middle = self.middle();
        places(&self.sizes.gateways, |gateways| Size { gateways, ..middle })
    }

    fn by_rate(&self) -> Vec<Place> {
        let middle = self.middle();
        ascending(&self.sizes.rate)
            .into_iter()
            .map(|rate| (rate, Size { rate, ..middle }))
            .collect()
    }

    /// The size from which one quantity at a time is varied.
    pub(super) fn middle(&self) -> Size {
        let engines = ascending(&self.sizes.engines);
        let engines = engines[engines.len() / 2];
        let rate = self.sizes.rate.iter().copied().fold(0.0, f64::max);
        Size {
            gateways: in_proportion(engines),
            engines,
            clients: 0,
            rate,
        }
    }

    /// Measures places from the least to the greatest, and predicts the last from the others first.
    pub(super) fn sweep(
        &mut self,
        axis: Axis,
        places: &[Place],
        measure: Measure<'a>,
    ) -> io::Result<()> {
        let Some((last, first)) = places.split_last() else {
            return Ok(());
        };
        for place in first {
            measure(self, axis, *place)?;
        }
        let before_last = first.last().map(|place| place.0);
        let ended_there = |own: &&Series| {
            own.axis == axis && own.points.last().map(|point| point.at) == before_last
        };
        let series: Vec<Series> = self
            .outcome
            .collected
            .series
            .iter()
            .filter(ended_there)
            .cloned()
            .collect();
        for own in series.iter().filter(|own| own.points.len() > 1) {
            if let Some(slope) = fit::slope(&own.points) {
                (self.predicted)(own.name, axis, last.0, slope.value(last.0));
            }
        }
        measure(self, axis, *last)?;
        let names: Vec<&'static str> = series.iter().map(|own| own.name).collect();
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

    pub(super) fn add(&mut self, figure: Figure, axis: Axis, place: Place, value: f64) {
        self.outcome.collected.add(figure, axis, place, value);
    }

    pub(super) fn seeds(&self) -> impl Iterator<Item = u64> {
        let first = self.sizes.seed;
        (0..self.sizes.repeats as u64).map(move |repeat| first.wrapping_add(repeat << 20))
    }
}
