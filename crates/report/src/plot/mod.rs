//! SVG plots over time. Colours come from the page's style sheet, so that they follow light and
//! dark mode; each line also has a dash pattern and a name, so that none depends on its colour.

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
    /// Its start.
    pub from: Micros,
    /// Its end.
    pub to: Micros,
}

/// A value at a time.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// The time.
    pub at: Micros,
    /// The value; a line breaks where there is none.
    pub value: Option<f64>,
}

/// A line or, where it is stacked, an area.
pub struct Line {
    /// Its name in the legend.
    pub name: String,
    /// Its class in the style sheet: `s0` to `s7`, or one that is named for its meaning.
    pub style: String,
    /// Its points, by time.
    pub points: Vec<Point>,
}

/// A stretch of time behind a plot: what happened, or that a log has a gap.
pub struct Band {
    from: Micros,
    to: Micros,
    name: String,
    is_gap: bool,
}

impl Band {
    /// The band of an episode.
    pub fn new(from: Micros, to: Micros, view: &View, kind: &EpisodeKind) -> Self {
        Band {
            from,
            to,
            name: summary::title(view, kind),
            is_gap: matches!(kind, EpisodeKind::LogGap(_)),
        }
    }
}
