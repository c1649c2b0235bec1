//! What a scale run prints: a line of JSON for each series, slope and prediction, then a table.

use std::fmt::Write;

use serde::Serialize;

use super::fit::{self, Law, Slope};
use super::measure::{Axis, Series};
use super::run::{Outcome, Predicted};

/// The fleet ahead that slopes are taken to.
pub const TARGET_GATEWAYS: f64 = 1_700.0;
/// Engines there.
pub const TARGET_ENGINES: f64 = 4_100.0;
/// Idle clients of a gateway there.
pub const TARGET_CLIENTS: f64 = 4_120.0;
/// Requests a second of a gateway there.
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

/// Where the target lies on an axis, if it names a size there.
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

/// All lines of JSON.
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

fn name(axis: Axis) -> &'static str {
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

/// A figure with three digits that tell.
pub fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        size if size >= 1e5 => format!("{value:.0}"),
        size if size >= 100.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.5}"),
    }
}

fn law(slope: &Slope) -> &'static str {
    match slope.law {
        Law::Flat => "flat",
        Law::Linear => "linear",
        Law::Logarithmic => "log",
        Law::Quadratic => "square",
        Law::Inverse => "inverse",
    }
}

/// One row for each series: its figures, its slope, and what was predicted of its greatest point.
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
            format!("{} | {}", law(&slope), figures.join(" | "))
        });
        let own = |other: &&Predicted| (other.name, other.axis) == (series.name, series.axis);
        let predicted = outcome
            .predictions
            .iter()
            .find(own)
            .map_or("-".into(), |own| {
                let of = &own.prediction;
                let mark = if of.holds() { "" } else { ", no basis" };
                format!(
                    "{}, {}, {:.0}%{mark}",
                    short(of.predicted),
                    short(of.measured),
                    of.error * 100.0
                )
            });
        let axis = name(series.axis);
        // Writing to a text cannot fail.
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

/// The last line: the verdict, and figures as `name=value`.
pub fn verdict(outcome: &Outcome, seed: u64) -> String {
    let word = if outcome.violations.is_empty() {
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
    let off = outcome
        .predictions
        .iter()
        .filter(|own| !own.prediction.holds())
        .count();
    format!(
        "verdict={word} seed={seed} case=scale requests={} unanswered={} visits={} decision_us={} \
         request_us={} predictions={} predictions_off={off}",
        outcome.requests,
        outcome.unanswered,
        median("decision.visits", Axis::Engines),
        median("decision.time", Axis::Engines),
        median("process.request", Axis::Engines),
        outcome.predictions.len(),
    )
}
