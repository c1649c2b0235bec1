//! Draws plots with a named row of bars over time for each object.

use std::fmt::Write;

use eideryard::interface::Micros;
use maud::{html, Markup};

use super::frame::{escaped, Plot, LEFT};
use super::Span;

const ROW_HEIGHT: f64 = 22.0;
/// Vertical space between the bars of two rows.
const ROW_GAP: f64 = 6.0;
const FIRST_ROW_TOP: f64 = 12.0;
/// Vertical space above and below all rows.
const MARGINS: f64 = 16.0 + 28.0;
/// Minimum width of a bar, so that short ones remain visible.
const MIN_BAR_WIDTH: f64 = 2.0;
/// Maximum length of a name in characters; longer ones are shortened.
const MAX_NAME: usize = 26;

/// One bar of a row.
pub struct Bar {
    /// Start of the time that the bar covers.
    pub from: Micros,
    /// End of the time that the bar covers.
    pub to: Micros,
    /// Class of the bar in the style sheet, which sets the colour.
    pub style: &'static str,
    /// Description of the bar, which browsers show as a tooltip.
    pub text: String,
    /// Opacity from 0 to 1; other values are clamped.
    pub opacity: f64,
}

/// A named row of bars.
pub struct Row {
    /// Label at the left of the row.
    pub name: String,
    /// Bars of the row, in any order; they may overlap.
    pub bars: Vec<Bar>,
}

/// Draws rows of bars over time. `text` is the description for screen readers.
pub fn rows(title: &str, text: &str, span: Span, rows: &[Row]) -> Markup {
    let mut content = String::new();
    for (number, row) in rows.iter().enumerate() {
        let top = FIRST_ROW_TOP + ROW_HEIGHT * number as f64;
        for bar in &row.bars {
            write_bar(&mut content, bar, span, top);
        }
        let _ = write!(
            content,
            r#"<text class="name" x="{:.0}" y="{:.1}" text-anchor="end">{}</text>"#,
            LEFT - 8.0,
            top + ROW_HEIGHT - 10.0,
            escaped(&shortened(&row.name))
        );
    }
    let plot = Plot {
        title,
        text,
        height: MARGINS + ROW_HEIGHT * rows.len() as f64,
        span,
        bands: &[],
        content: &content,
    };
    html! {
        figure {
            figcaption { (title) }
            (plot.draw())
        }
    }
}

fn write_bar(out: &mut String, bar: &Bar, span: Span, top: f64) {
    let from = span.x(bar.from);
    let to = span.x(bar.to);
    let _ = write!(
        out,
        concat!(
            r#"<rect class="bar {}" x="{:.1}" y="{:.1}" width="{:.1}" height="{:.1}" "#,
            r#"fill-opacity="{:.2}"><title>{}</title></rect>"#
        ),
        bar.style,
        from,
        top,
        (to - from).max(MIN_BAR_WIDTH),
        ROW_HEIGHT - ROW_GAP,
        bar.opacity.clamp(0.0, 1.0),
        escaped(&bar.text)
    );
}

fn shortened(name: &str) -> String {
    if name.chars().count() <= MAX_NAME {
        return name.to_string();
    }
    name.chars().take(MAX_NAME - 1).chain(['…']).collect()
}
