//! Output of a scale run: a line of JSON for each series, slope and prediction, a table, and the
//! verdict.

use std::fmt::Write;

use serde::Serialize;

use super::fit::{self, Law, Slope};
use super::measure::{Axis, Series};
use super::run::{Outcome, Predicted};

/// Number of gateways of the target fleet, for which slopes are extrapolated.
pub const TARGET_GATEWAYS: f64 = 1_700.0;
/// Number of engines of the target fleet.
pub const TARGET_ENGINES: f64 = 4_100.0;
/// Idle clients per gateway of the target fleet.
pub const TARGET_CLIENTS: f64 = 4_120.0;
/// Requests per second and gateway of the target fleet.
pub const TARGET_RATE: f64 = 447.0;

#[derive(Serialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
enum Line<'a> {
    Series(&'a Series),
    Slope {
        name: &'a str,
        axis: Axis,
        #[serde(flatten)]
        slope: Slope,
        at_target: Option<f64>,
    },
    Prediction(&'a Predicted),
}

fn json(line: &Line<'_>) -> String {
    serde_json::to_string(line).unwrap_or_else(|e| format!("{{\"error\":\"{e}\"}}"))
}

/// Position of the target fleet on an axis, if it defines one.
pub fn target(axis: Axis) -> Option<f64> {
    match axis {
        Axis::Engines => Some(TARGET_ENGINES),
        Axis::Gateways => Some(TARGET_GATEWAYS),
        Axis::Clients => Some(TARGET_CLIENTS),
        Axis::Rate => Some(TARGET_RATE),
        Axis::Links => Some(TARGET_GATEWAYS),
        Axis::Tasks => Some(TARGET_ENGINES),
        Axis::Keepers | Axis::Keyed | Axis::Claims | Axis::Held | Axis::Reloads => None,
    }
}

/// The lines of JSON: each series, followed by its slope, then all predictions.
pub fn lines(outcome: &Outcome) -> Vec<String> {
    let mut lines = Vec::new();
    for series in &outcome.collected.series {
        lines.push(json(&Line::Series(series)));
        if let Some(slope) = fit::slope(&series.points) {
            let at_target = target(series.axis).map(|at| slope.value(at));
            lines.push(json(&Line::Slope {
                name: series.name,
                axis: series.axis,
                slope,
                at_target,
            }));
        }
    }
    lines.extend(
        outcome
            .predictions
            .iter()
            .map(|prediction| json(&Line::Prediction(prediction))),
    );
    lines
}

fn axis_name(axis: Axis) -> &'static str {
    match axis {
        Axis::Engines => "engines",
        Axis::Gateways => "gateways",
        Axis::Clients => "clients",
        Axis::Rate => "rate",
        Axis::Keepers => "keepers",
        Axis::Keyed => "keyed",
        Axis::Tasks => "tasks",
        Axis::Claims => "claims",
        Axis::Held => "held",
        Axis::Links => "links",
        Axis::Reloads => "reloads",
    }
}

/// Formats a value with at least three significant digits.
pub fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        magnitude if magnitude >= 1e5 => format!("{value:.0}"),
        magnitude if magnitude >= 100.0 => format!("{value:.1}"),
        magnitude if magnitude >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.5}"),
    }
}

fn law_name(slope: &Slope) -> &'static str {
    match slope.law {
        Law::Flat => "flat",
        Law::Linear => "linear",
        Law::Logarithmic => "log",
        Law::Quadratic => "square",
        Law::Inverse => "inverse",
    }
}

/// Formats a table with one row per series: its medians, its slope, and the prediction of its
/// largest point.
pub fn table(outcome: &Outcome) -> String {
    let mut text = String::from(
        "figure | axis | unit | medians by size | law | slope | intercept | scatter | predicted, measured\n",
    );
    for series in &outcome.collected.series {
        let medians: Vec<String> = series
            .points
            .iter()
            .map(|point| format!("{}: {}", point.at, short(point.median())))
            .collect();
        let slope = fit::slope(&series.points).map_or("- | - | - | -".into(), |slope| {
            let figures = [slope.slope, slope.intercept, slope.scatter].map(short);
            format!("{} | {}", law_name(&slope), figures.join(" | "))
        });
        let is_of_series =
            |predicted: &&Predicted| (predicted.name, predicted.axis) == (series.name, series.axis);
        let predicted =
            outcome
                .predictions
                .iter()
                .find(is_of_series)
                .map_or("-".into(), |predicted| {
                    let prediction = &predicted.prediction;
                    let reliability = if prediction.is_reliable() {
                        ""
                    } else {
                        ", no basis"
                    };
                    format!(
                        "{}, {}, {:.0}%{reliability}",
                        short(prediction.predicted),
                        short(prediction.measured),
                        prediction.error * 100.0
                    )
                });
        let axis = axis_name(series.axis);
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{} | {axis} | {} | {} | {slope} | {predicted}",
            series.name,
            series.unit,
            medians.join(", ")
        );
    }
    text
}

/// Formats the last line: the verdict, and figures as `name=value`.
pub fn verdict(outcome: &Outcome, seed: u64) -> String {
    let verdict = if outcome.violations.is_empty() {
        "kept"
    } else {
        "broken"
    };
    let median = |name: &str, axis: Axis| {
        let series = outcome.collected.find(name, axis);
        series
            .and_then(|series| series.points.last())
            .map_or("-".into(), |point| short(point.median()))
    };
    let predictions_off = outcome
        .predictions
        .iter()
        .filter(|predicted| !predicted.prediction.is_reliable())
        .count();
    format!(
        "verdict={verdict} seed={seed} case=scale requests={} unanswered={} visits={} decision_us={} \
         request_us={} predictions={} predictions_off={predictions_off}",
        outcome.requests,
        outcome.unanswered,
        median("decision.visits", Axis::Engines),
        median("decision.time", Axis::Engines),
        median("process.request", Axis::Engines),
        outcome.predictions.len(),
    )
}
