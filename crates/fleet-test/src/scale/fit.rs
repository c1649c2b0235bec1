//! Slopes over the size of a fleet, and what they predict. Pure.

use serde::Serialize;

use super::measure::{Point, Series};

/// A prediction that is off by more is no basis for a figure.
pub const MAX_ERROR: f64 = 0.25;
/// A figure that grows by less over its whole axis, as a part of itself, counts as flat.
const FLAT: f64 = 0.1;

/// How a figure grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Law {
    /// It doesn't.
    Flat,
    /// With the size itself.
    Linear,
    /// With the logarithm of the size.
    Logarithmic,
    /// With the square of the size.
    Quadratic,
    /// With one over the size: it falls.
    Inverse,
}

/// Those that are tried; with two sizes every one fits, so the first is taken.
const LAWS: [Law; 4] = [Law::Linear, Law::Logarithmic, Law::Quadratic, Law::Inverse];
/// Sizes from which points tell laws from each other.
const TELLING: usize = 3;

/// A line through the points of a series.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// The law that was taken.
    pub law: Law,
    /// Growth for one more of the axis, or of what its law makes of it.
    pub slope: f64,
    /// What the line gives where its law gives nothing.
    pub intercept: f64,
    /// Root of the mean square distance of single values from the line.
    pub scatter: f64,
    /// The same for the law that lies next nearest.
    pub scatter_of_next: f64,
}

/// The greatest point of a series, predicted from all smaller ones and then measured.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Prediction {
    /// The greatest size.
    pub at: f64,
    /// What the smaller sizes say of it.
    pub predicted: f64,
    /// What was measured there.
    pub measured: f64,
    /// Distance of the two as a part of the measured one.
    pub error: f64,
}

impl Prediction {
    /// Whether it is a basis for a figure.
    pub fn holds(&self) -> bool {
        self.error <= MAX_ERROR
    }
}

fn transformed(law: Law, at: f64) -> f64 {
    match law {
        Law::Logarithmic => at.max(1.0).ln(),
        Law::Quadratic => at * at,
        Law::Inverse => 1.0 / at.max(1.0),
        Law::Linear | Law::Flat => at,
    }
}

impl Slope {
    /// What the line gives at a size.
    pub fn value(&self, at: f64) -> f64 {
        self.intercept + self.slope * transformed(self.law, at)
    }

    /// The size at which the figure reaches a limit, if it ever does.
    pub fn reaches(&self, limit: f64) -> Option<f64> {
        let place = (limit - self.intercept) / self.slope;
        match self.law {
            _ if self.slope <= 0.0 => None,
            Law::Flat | Law::Inverse => None,
            Law::Linear => Some(place),
            Law::Logarithmic => Some(place.exp()),
            Law::Quadratic => Some(place.max(0.0).sqrt()),
        }
    }
}

fn line(points: &[Point], law: Law) -> Option<Slope> {
    let each = |point: &Point| {
        let at = transformed(law, point.at);
        point
            .values
            .iter()
            .map(move |&value| (at, value))
            .collect::<Vec<_>>()
    };
    let places: Vec<(f64, f64)> = points.iter().flat_map(each).collect();
    let (slope, intercept): (f64, f64) = linreg::linear_regression_of(&places).ok()?;
    let square = |&(at, value): &(f64, f64)| (value - intercept - slope * at).powi(2);
    let scatter = (places.iter().map(square).sum::<f64>() / places.len() as f64).sqrt();
    Some(Slope {
        law,
        slope,
        intercept,
        scatter,
        scatter_of_next: f64::NAN,
    })
}

/// The law that lies nearest to the points; none for fewer than two sizes.
pub fn slope(points: &[Point]) -> Option<Slope> {
    let tried = if points.len() < TELLING {
        &LAWS[..1]
    } else {
        &LAWS[..]
    };
    let mut lines: Vec<Slope> = tried.iter().filter_map(|&law| line(points, law)).collect();
    lines.sort_by(|a, b| a.scatter.total_cmp(&b.scatter));
    let mut taken = *lines.first()?;
    taken.scatter_of_next = lines.get(1).map_or(f64::NAN, |next| next.scatter);
    let ends = [points.first()?, points.last()?].map(|point| taken.value(point.at));
    if (ends[1] - ends[0]).abs() <= FLAT * ends[0].abs().max(ends[1].abs()) {
        taken.law = Law::Flat;
        taken.intercept = points.iter().map(Point::median).sum::<f64>() / points.len() as f64;
        taken.slope = 0.0;
    }
    Some(taken)
}

/// From all points but the greatest; none where fewer than three are there.
pub fn prediction(series: &Series) -> Option<Prediction> {
    let (greatest, smaller) = series.points.split_last()?;
    let predicted = slope(smaller)
        .filter(|_| smaller.len() > 1)?
        .value(greatest.at);
    let measured = greatest.median();
    let missed = (predicted - measured).abs();
    // Of nothing, any other prediction is all wrong.
    let error = match measured == 0.0 {
        true if missed == 0.0 => 0.0,
        true => 1.0,
        false => missed / measured.abs(),
    };
    Some(Prediction {
        at: greatest.at,
        predicted,
        measured,
        error,
    })
}
