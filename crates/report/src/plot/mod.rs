//! SVG plots over time. Colours are defined in the page's style sheet and therefore adapt to light
//! and dark mode. Each line also has a dash pattern and a name, so that readers need not
//! distinguish the colours.

mod bars;
mod curves;
mod frame;

use eideryard::interface::Micros;
use eideryard_event_analysis::{EpisodeKind, View};

use crate::summary;

pub use bars::{rows, Bar, Row};
pub use curves::{lines, stacked};

/// The time that all plots of a page show.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Start of the horizontal axis.
    pub from: Micros,
    /// End of the horizontal axis, later than the start.
    pub to: Micros,
}

/// A value at a time.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Time of the value.
    pub at: Micros,
    /// The value; without one, a line is interrupted and an area has a height of 0.
    pub value: Option<f64>,
}

/// A line, or the area below it in a stacked plot.
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Class in the style sheet: `s0` to `s7`, or a class named for its meaning such as `served`.
    pub style: String,
    /// Points, sorted by time.
    pub points: Vec<Point>,
}

/// An interval that is highlighted in the background of a plot: an episode or a gap in a log.
pub struct Band {
    from: Micros,
    to: Micros,
    name: String,
    is_gap: bool,
}

impl Band {
    /// Creates the band of an episode.
    pub fn new(from: Micros, to: Micros, view: &View, kind: &EpisodeKind) -> Self {
        Band {
            from,
            to,
            name: summary::title(view, kind),
            is_gap: matches!(kind, EpisodeKind::LogGap(_)),
        }
    }
}
