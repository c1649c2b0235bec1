//! What was measured, at which size of the fleet.

use serde::Serialize;

/// The size at which something was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Size {
    /// Gateways of the fleet.
    pub gateways: usize,
    /// Engines of the fleet.
    pub engines: usize,
    /// Idle clients of one gateway.
    pub clients: usize,
    /// Requests a second of one gateway.
    pub rate: f64,
}

/// What varies from one measurement of a series to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Axis {
    /// Engines, with gateways in proportion.
    Engines,
    /// Gateways alone.
    Gateways,
    /// Idle clients of a gateway.
    Clients,
    /// Requests a second of a gateway.
    Rate,
    /// Keepers that vote.
    Keepers,
    /// Tasks of a fleet, each with one owner.
    Tasks,
    /// Keyed requests of a simulated fleet.
    Keyed,
    /// Keyed requests a second of a real fleet.
    Claims,
    /// Entries that a keeper holds.
    Held,
    /// Links of other gateways to a real keeper.
    Links,
    /// Changes of the configuration, one after the other.
    Reloads,
}

/// How a figure was come by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// Cores that ship, in this process.
    Hollow,
    /// Processes of the program.
    Real,
    /// A simulated fleet of the cores that ship.
    Simulated,
}

/// A figure at several sizes, of which one quantity varies.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// Name of the figure.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// How it was come by.
    pub source: Source,
    /// What varies.
    pub axis: Axis,
    /// Measurements, from the least size to the greatest.
    pub points: Vec<Point>,
}

/// The repeats of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// The size on the axis.
    pub at: f64,
    /// The whole size.
    pub size: Size,
    /// A value for each repeat.
    pub values: Vec<f64>,
}

impl Point {
    /// The middle value, or the mean of the two in the middle.
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

    /// Greatest less least value.
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

/// Collects the points of several figures that are measured together.
#[derive(Default)]
pub struct Collected {
    /// Figures by name and axis.
    pub series: Vec<Series>,
}

/// What identifies a figure.
#[derive(Clone, Copy, Debug)]
pub struct Figure {
    /// Its name.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// How it is come by.
    pub source: Source,
}

impl Collected {
    /// Adds one value of a figure; values of one size are its repeats.
    pub fn add(&mut self, figure: Figure, axis: Axis, (at, size): (f64, Size), value: f64) {
        let known = self
            .series
            .iter()
            .position(|own| (own.name, own.axis) == (figure.name, axis));
        let place = known.unwrap_or_else(|| {
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
        let points = &mut self.series[place].points;
        match points.iter_mut().find(|point| point.at == at) {
            Some(point) => point.values.push(value),
            None => points.push(Point {
                at,
                size,
                values: vec![value],
            }),
        }
    }

    /// A figure along an axis, if it was measured.
    pub fn find(&self, name: &str, axis: Axis) -> Option<&Series> {
        self.series
            .iter()
            .find(|own| own.name == name && own.axis == axis)
    }
}
