//! The parts that all plots have: axes, bands, and descriptions for screen readers.

use std::fmt::Write;

use eideryard::interface::Micros;
use maud::{html, Markup, PreEscaped};

use super::{Band, Span};
use crate::format::clock;

pub(super) const WIDTH: f64 = 960.0;
/// Horizontal space for names and labels at the left.
pub(super) const LEFT: f64 = 168.0;
const RIGHT: f64 = 16.0;
/// Vertical space for the time axis below the plot.
const BOTTOM: f64 = 24.0;
/// Vertical position at which bands and grid lines start.
const TOP: f64 = 8.0;
/// Vertical position of the highest value.
const VALUE_TOP: f64 = 16.0;
/// Maximum number of intervals between marks on the time axis.
const MAX_TIME_MARKS: u64 = 8;
/// Possible intervals between marks on the time axis, in seconds.
const TIME_STEPS: [u64; 14] = [
    1, 2, 5, 10, 20, 30, 60, 120, 300, 600, 1800, 3600, 7200, 21_600,
];
/// Interval between marks in seconds if all [`TIME_STEPS`] are too short: a day.
const LONGEST_TIME_STEP: u64 = 86_400;
/// Multiples of a power of ten that count as round numbers.
const ROUND_STEPS: [f64; 9] = [1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 10.0];

impl Span {
    /// Returns the horizontal position of a time; times outside the span are clamped to it.
    pub(super) fn x(&self, at: Micros) -> f64 {
        let offset = at.clamp(self.from, self.to) - self.from;
        let length = (self.to - self.from).max(1);
        LEFT + offset as f64 / length as f64 * (WIDTH - LEFT - RIGHT)
    }

    /// Returns the times that are marked on the axis.
    fn marks(&self) -> Vec<Micros> {
        let seconds = (self.to - self.from) / 1_000_000;
        let fits = |step: &&u64| seconds / **step <= MAX_TIME_MARKS;
        let step = TIME_STEPS.iter().find(fits).unwrap_or(&LONGEST_TIME_STEP) * 1_000_000;
        let mut marks = Vec::new();
        let mut at = self.from.div_ceil(step) * step;
        while at <= self.to {
            marks.push(at);
            at += step;
        }
        marks
    }
}

/// The vertical axis of a plot of values.
#[derive(Clone, Copy)]
pub(super) struct ValueAxis<'a> {
    pub height: f64,
    /// Value at the upper end of the axis, a round number.
    greatest: f64,
    unit: &'a str,
}

impl<'a> ValueAxis<'a> {
    /// Creates an axis for values from 0 to at least `highest`.
    pub fn new(height: f64, highest: f64, unit: &'a str) -> Self {
        ValueAxis {
            height,
            greatest: round_up(highest.max(1.0)),
            unit,
        }
    }

    /// Returns the vertical position of a value.
    pub fn y(&self, value: f64) -> f64 {
        let bottom = self.height - BOTTOM;
        bottom - value / self.greatest * (bottom - VALUE_TOP)
    }

    /// Returns SVG lines and labels at zero, half the highest value and the highest value.
    pub fn grid(&self) -> String {
        let mut grid = String::new();
        let bottom = self.height - BOTTOM;
        for part in [0.0, 0.5, 1.0] {
            let y = bottom - part * (bottom - VALUE_TOP);
            let mut label = number(self.greatest * part);
            if part == 1.0 {
                label = format!("{label} {}", self.unit);
            }
            let _ = write!(
                grid,
                concat!(
                    r#"<line class="grid" x1="{0}" x2="{1:.0}" y1="{2:.1}" y2="{2:.1}"/>"#,
                    r#"<text x="{3:.0}" y="{4:.1}" text-anchor="end">{5}</text>"#
                ),
                LEFT,
                WIDTH - RIGHT,
                y,
                LEFT - 6.0,
                y + 4.0,
                label
            );
        }
        grid
    }
}

/// Returns the smallest round number that is at least `value`.
fn round_up(value: f64) -> f64 {
    let power = 10f64.powf(value.max(1e-6).log10().floor());
    ROUND_STEPS
        .iter()
        .map(|step| step * power)
        // Tolerates a rounding error of up to 0.1 %.
        .find(|rounded| *rounded >= value * 0.999)
        .unwrap_or(value)
}

/// Formats a number in few characters.
pub(super) fn number(value: f64) -> String {
    if value >= 10_000.0 {
        format!("{:.0}k", value / 1000.0)
    } else if value >= 10.0 || value == value.round() {
        format!("{value:.0}")
    } else {
        format!("{value:.1}")
    }
}

/// Escapes the characters that have a meaning in SVG.
pub(super) fn escaped(text: &str) -> String {
    html! { (text) }.into_string()
}

/// The content and description of a plot.
pub(super) struct Plot<'a> {
    pub title: &'a str,
    /// Description for screen readers.
    pub text: &'a str,
    pub height: f64,
    pub span: Span,
    pub bands: &'a [Band],
    /// SVG elements that are drawn within the axes.
    pub content: &'a str,
}

impl Plot<'_> {
    /// Returns the plot as an SVG element.
    pub fn draw(&self) -> Markup {
        let mut background = String::new();
        self.write_bands(&mut background);
        self.write_time_axis(&mut background);
        let label = format!("{}. {}", self.title, self.text);
        html! {
            svg viewBox=(format!("0 0 {WIDTH} {}", self.height)) role="img" aria-label=(label) {
                title { (self.title) }
                desc { (self.text) }
                (PreEscaped(background))
                (PreEscaped(self.content))
            }
        }
    }

    fn write_bands(&self, out: &mut String) {
        for band in self.bands {
            let from = self.span.x(band.from);
            let to = self.span.x(band.to);
            let _ = write!(
                out,
                concat!(
                    r#"<rect class="{}" x="{:.1}" y="8" width="{:.1}" height="{:.1}">"#,
                    "<title>{}</title></rect>"
                ),
                if band.is_gap { "gap" } else { "band" },
                from,
                (to - from).max(1.0),
                self.height - BOTTOM - TOP,
                escaped(&band.name)
            );
        }
    }

    fn write_time_axis(&self, out: &mut String) {
        for at in self.span.marks() {
            let _ = write!(
                out,
                concat!(
                    r#"<line class="grid" x1="{0:.1}" x2="{0:.1}" y1="8" y2="{1}"/>"#,
                    r#"<text x="{0:.1}" y="{2:.0}" text-anchor="middle">{3}</text>"#
                ),
                self.span.x(at),
                self.height - BOTTOM,
                self.height - 8.0,
                clock(at)
            );
        }
    }
}
