//! Fits of figures over the size of a fleet, and predictions from them. No input or output.

use serde::Serialize;

use super::measure::{Point, Series};

/// Largest relative error at which a prediction is still reliable.
pub const MAX_ERROR: f64 = 0.25;
/// A figure whose fit changes by at most this fraction over its whole axis counts as flat.
const FLAT: f64 = 0.1;

/// The function by which a figure grows with the size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Law {
    /// Constant.
    Flat,
    /// Proportional to the size, plus a constant.
    Linear,
    /// Proportional to the logarithm of the size, plus a constant.
    Logarithmic,
    /// Proportional to the square of the size, plus a constant.
    Quadratic,
    /// Proportional to the inverse of the size, plus a constant: falls as the size grows.
    Inverse,
}

/// Laws that are fitted. Every law fits two sizes exactly, in which case the first is used.
const LAWS: [Law; 4] = [Law::Linear, Law::Logarithmic, Law::Quadratic, Law::Inverse];
/// Number of sizes from which laws can be distinguished.
const MIN_SIZES_FOR_LAWS: usize = 3;

/// A fit of a law to the points of a series.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// The law that fits best.
    pub law: Law,
    /// Growth per unit of the axis, after the law's transformation of the axis.
    pub slope: f64,
    /// Value of the fit where the transform axis is 0.
    pub intercept: f64,
    /// Root mean square distance of the single values from the fit.
    pub scatter: f64,
    /// The same distance for the second-best law; NaN if only one was fitted.
    pub scatter_of_next: f64,
}

/// Prediction of the largest point of a series from all smaller ones, with its measured value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Prediction {
    /// The largest size on the axis.
    pub at: f64,
    /// Value that the fit of the smaller sizes predicts.
    pub predicted: f64,
    /// Median of the values measured there.
    pub measured: f64,
    /// Distance of prediction and measurement, as a fraction of the measurement.
    pub error: f64,
}

impl Prediction {
    /// Whether the error is small enough to rely on predictions of this figure.
    pub fn is_reliable(&self) -> bool {
        self.error <= MAX_ERROR
    }
}

fn transform(law: Law, at: f64) -> f64 {
    match law {
        Law::Logarithmic => at.max(1.0).ln(),
        Law::Quadratic => at * at,
        Law::Inverse => 1.0 / at.max(1.0),
        Law::Linear | Law::Flat => at,
    }
}

impl Slope {
    /// Value of the fit at a size.
    pub fn value(&self, at: f64) -> f64 {
        self.intercept + self.slope * transform(self.law, at)
    }

    /// The size at which the figure reaches `limit`; `None` if it doesn't grow.
    pub fn reaches(&self, limit: f64) -> Option<f64> {
        let transformed_size = (limit - self.intercept) / self.slope;
        match self.law {
            _ if self.slope <= 0.0 => None,
            Law::Flat | Law::Inverse => None,
            Law::Linear => Some(transformed_size),
            Law::Logarithmic => Some(transformed_size.exp()),
            Law::Quadratic => Some(transformed_size.max(0.0).sqrt()),
        }
    }
}

fn fit_law(points: &[Point], law: Law) -> Option<Slope> {
    let samples_of = |point: &Point| {
        let at = transform(law, point.at);
        point
            .values
            .iter()
            .map(move |&value| (at, value))
            .collect::<Vec<_>>()
    };
    let samples: Vec<(f64, f64)> = points.iter().flat_map(samples_of).collect();
    let (slope, intercept): (f64, f64) = linreg::linear_regression_of(&samples).ok()?;
    let square = |&(at, value): &(f64, f64)| (value - intercept - slope * at).powi(2);
    let scatter = (samples.iter().map(square).sum::<f64>() / samples.len() as f64).sqrt();
    Some(Slope {
        law,
        slope,
        intercept,
        scatter,
        scatter_of_next: f64::NAN,
    })
}

/// Fits all laws and returns the one with the least scatter; `None` for fewer than two sizes.
pub fn slope(points: &[Point]) -> Option<Slope> {
    let candidates = if points.len() < MIN_SIZES_FOR_LAWS {
        &LAWS[..1]
    } else {
        &LAWS[..]
    };
    let mut fits: Vec<Slope> = candidates
        .iter()
        .filter_map(|&law| fit_law(points, law))
        .collect();
    fits.sort_by(|a, b| a.scatter.total_cmp(&b.scatter));
    let mut best = *fits.first()?;
    best.scatter_of_next = fits.get(1).map_or(f64::NAN, |next| next.scatter);
    let ends = [points.first()?, points.last()?].map(|point| best.value(point.at));
    if (ends[1] - ends[0]).abs() <= FLAT * ends[0].abs().max(ends[1].abs()) {
        best.law = Law::Flat;
        best.intercept = points.iter().map(Point::median).sum::<f64>() / points.len() as f64;
        best.slope = 0.0;
    }
    Some(best)
}

/// Predicts the last point from all others; `None` for fewer than three points.
pub fn prediction(series: &Series) -> Option<Prediction> {
    let (largest, smaller) = series.points.split_last()?;
    let predicted = slope(smaller)
        .filter(|_| smaller.len() > 1)?
        .value(largest.at);
    let measured = largest.median();
    let difference = (predicted - measured).abs();
    // If the measurement is 0, any other prediction counts as 100% wrong.
    let error = match measured == 0.0 {
        true if difference == 0.0 => 0.0,
        true => 1.0,
        false => difference / measured.abs(),
    };
    Some(Prediction {
        at: largest.at,
        predicted,
        measured,
        error,
    })
}
