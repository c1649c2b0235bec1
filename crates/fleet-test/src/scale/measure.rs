//! Measured values, with the size of the fleet at which they were measured.

use serde::Serialize;

/// The size of a fleet at which a value was measured. The fields are written as JSON.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Size {
    /// Number of gateways in the fleet, hollow and real.
    pub gateways: usize,
    /// Number of engines in the fleet.
    pub engines: usize,
    /// Number of idle clients of one gateway.
    pub clients: usize,
    /// Requests per second of one gateway.
    pub rate: f64,
}

/// The quantity that varies over the points of a series. Variant names are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Axis {
    /// Number of engines, with a proportional number of gateways.
    Engines,
    /// Number of gateways, with a constant number of engines.
    Gateways,
    /// Number of idle clients of a gateway.
    Clients,
    /// Requests per second of a gateway.
    Rate,
    /// Number of voters.
    Keepers,
    /// Number of tasks of a fleet, each with one owner.
    Tasks,
    /// Number of keyed requests of a simulated fleet.
    Keyed,
    /// Keyed requests per second of a real fleet.
    Claims,
    /// Number of entries that a voter stores.
    Held,
    /// Number of hollow gateways linked to each real voter.
    Links,
    /// Number of consecutive configuration changes.
    Reloads,
}

/// How a figure was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// With the production libraries in this process, without sockets.
    Hollow,
    /// With processes of the program.
    Real,
    /// In a simulated fleet that runs the production protocol code.
    Simulated,
}

/// Values of one figure along one axis.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// Name of the figure, such as `process.request`.
    pub name: &'static str,
    /// Unit of the values, as the report prints it.
    pub unit: &'static str,
    /// How the values were measured.
    pub source: Source,
    /// The quantity that varies.
    pub axis: Axis,
    /// Points in the order of measurement, from the smallest size to the largest.
    pub points: Vec<Point>,
}

/// The repeated measurements at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// Position on the axis.
    pub at: f64,
    /// Size of the fleet there.
    pub size: Size,
    /// One value per repeat.
    pub values: Vec<f64>,
}

impl Point {
    /// Median of the values; NaN if there are none.
    pub fn median(&self) -> f64 {
        let mut sorted = self.values.clone();
        sorted.sort_unstable_by(f64::total_cmp);
        let middle = sorted.len() / 2;
        match sorted.len() % 2 {
            _ if sorted.is_empty() => f64::NAN,
            1 => sorted[middle],
            _ => (sorted[middle - 1] + sorted[middle]) / 2.0,
        }
    }

    /// Difference of the largest and the smallest value.
    pub fn spread(&self) -> f64 {
        let greatest = self
            .values
            .iter()
            .copied()
            .fold(f64::NEG_INFINITY, f64::max);
        let least = self.values.iter().copied().fold(f64::INFINITY, f64::min);
        greatest - least
    }
}

/// Collection of all measured figures.
#[derive(Default)]
pub struct Collected {
    /// One series per name and axis, in the order of their first value.
    pub series: Vec<Series>,
}

/// A figure to which values are added.
#[derive(Clone, Copy, Debug)]
pub struct Figure {
    /// Name of the figure, such as `process.request`.
    pub name: &'static str,
    /// Unit of the values, as the report prints it.
    pub unit: &'static str,
    /// How the values are measured.
    pub source: Source,
}

impl Collected {
    /// Adds one value of a figure at a size. Several values at one size are its repeats.
    pub fn add(&mut self, figure: Figure, axis: Axis, (at, size): (f64, Size), value: f64) {
        let found = self
            .series
            .iter()
            .position(|series| (series.name, series.axis) == (figure.name, axis));
        let index = found.unwrap_or_else(|| {
            let Figure { name, unit, source } = figure;
            self.series.push(Series {
                name,
                unit,
                source,
                axis,
                points: Vec::new(),
            });
            self.series.len() - 1
        });
        let points = &mut self.series[index].points;
        match points.iter_mut().find(|point| point.at == at) {
            Some(point) => point.values.push(value),
            None => points.push(Point {
                at,
                size,
                values: vec![value],
            }),
        }
    }

    /// The series of a figure along an axis, if it was measured.
    pub fn find(&self, name: &str, axis: Axis) -> Option<&Series> {
        self.series
            .iter()
            .find(|series| series.name == name && series.axis == axis)
    }
}
