//! What all plots have: the axes, the bands, and the texts for those who don't see them.

use std::fmt::Write;

use eideryard::interface::Micros;
use maud::{html, Markup, PreEscaped};

use super::{Band, Span};
use crate::format::clock;

pub(super) const WIDTH: f64 = 960.0;
/// Room for names at the left.
pub(super) const LEFT: f64 = 168.0;
const RIGHT: f64 = 16.0;
/// Room for the time axis below the plot.
const BOTTOM: f64 = 24.0;
/// Where bands and grid lines start.
const TOP: f64 = 8.0;
/// Where the greatest value is drawn.
const VALUE_TOP: f64 = 16.0;
/// Most marks on the time axis.
const MAX_TIME_MARKS: u64 = 8;
/// Steps of the time axis in seconds.
const TIME_STEPS: [u64; 14] = [
    1, 2, 5, 10, 20, 30, 60, 120, 300, 600, 1800, 3600, 7200, 21_600,
];
/// The step for longer times.
const LONGEST_TIME_STEP: u64 = 86_400;
/// Round numbers up to the next power of ten.
const ROUND_STEPS: [f64; 9] = [1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 10.0];

impl Span {
    /// The horizontal position of a time.
    pub(super) fn x(&self, at: Micros) -> f64 {
        let offset = at.clamp(self.from, self.to) - self.from;
        let length = (self.to - self.from).max(1);
        LEFT + offset as f64 / length as f64 * (WIDTH - LEFT - RIGHT)
    }

    /// The times that are marked on the axis.
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
    /// The greatest value that it shows, a round number.
    greatest: f64,
    unit: &'a str,
}

impl<'a> ValueAxis<'a> {
    /// An axis for values up to this.
    pub fn new(height: f64, highest: f64, unit: &'a str) -> Self {
        ValueAxis {
            height,
            greatest: round_up(highest.max(1.0)),
            unit,
        }
    }

    /// The vertical position of a value.
    pub fn y(&self, value: f64) -> f64 {
        let bottom = self.height - BOTTOM;
        bottom - value / self.greatest * (bottom - VALUE_TOP)
    }

    /// Lines and labels at zero, half and the greatest value.
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

/// The smallest round number that is no less.
fn round_up(value: f64) -> f64 {
    let power = 10f64.powf(value.max(1e-6).log10().floor());
    ROUND_STEPS
        .iter()
        .map(|step| step * power)
        // A little less counts as equal.
        .find(|rounded| *rounded >= value * 0.999)
        .unwrap_or(value)
}

/// A number in few characters.
pub(super) fn number(value: f64) -> String {
    if value >= 10_000.0 {
        format!("{:.0}k", value / 1000.0)
    } else if value >= 10.0 || value == value.round() {
        format!("{value:.0}")
    } else {
        format!("{value:.1}")
    }
}

/// A text with the characters escaped that SVG doesn't take.
pub(super) fn escaped(text: &str) -> String {
    html! { (text) }.into_string()
}

/// What a plot shows and how it is described.
pub(super) struct Plot<'a> {
    pub title: &'a str,
    pub text: &'a str,
    pub height: f64,
    pub span: Span,
    pub bands: &'a [Band],
    /// SVG elements within the axes.
    pub content: &'a str,
}

impl Plot<'_> {
    /// The SVG element.
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
