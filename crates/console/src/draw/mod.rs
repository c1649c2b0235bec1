//! Draws a model on a screen. No information depends on colour: states are shown as words and rates
//! as bars.

mod details;
mod header;
mod table;
mod tables;

use eideryard_event_analysis::View;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Modifier, Style};
use ratatui::widgets::{Paragraph, Wrap};
use ratatui::Frame;

use crate::model::{Model, Page, SPARKLINE_BUCKETS};
use tables::Grouping;

/// Minimum width of the screen in characters.
pub const MIN_WIDTH: u16 = 80;
/// Minimum height of the screen in lines.
pub const MIN_HEIGHT: u16 = 24;
const HEADER_HEIGHT: u16 = 4;
const FOOTER_HEIGHT: u16 = 2;

const KEYS: &str = "Tab page  ↑↓ row  Enter open  Esc back  s sort  Space pause  ←→ 1 s  \
     PgUp/PgDn 10 s  l live  q quit";

/// Characters of a sparkline, from zero to the highest value.
const BLOCK_MARKS: [char; 9] = [' ', '▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
/// Characters of a sparkline for terminals without block characters.
const ASCII_MARKS: [char; 9] = [' ', '.', ':', '-', '=', '+', '*', '%', '#'];

/// What the terminal can display.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DisplayOptions {
    /// Whether colours are used; false if the environment variable `NO_COLOR` is set.
    pub has_colours: bool,
    /// Whether block characters and arrows are used; true if the locale's encoding is UTF-8.
    pub has_blocks: bool,
}

/// Draws the header, the page of the model with data of the view, and the list of keys.
pub fn draw(frame: &mut Frame<'_>, model: &Model, view: &View, options: DisplayOptions) {
    let area = frame.area();
    if area.width < MIN_WIDTH || area.height < MIN_HEIGHT {
        draw_too_small(frame, area);
        return;
    }
    let [top, body, bottom] = Layout::vertical([
        Constraint::Length(HEADER_HEIGHT),
        Constraint::Min(1),
        Constraint::Length(FOOTER_HEIGHT),
    ])
    .areas(area);
    header::draw(frame, model, view, options, top);
    match model.page {
        Page::Engines => tables::draw_engines(frame, model, view, options, body),
        Page::Classes => tables::draw_groups(frame, view, options, body, Grouping::Class),
        Page::Tenants => tables::draw_groups(frame, view, options, body, Grouping::Tenant),
        Page::Episodes => tables::draw_episodes(frame, model, view, body),
        Page::Requests => tables::draw_requests(frame, model, view, body),
        Page::Engine(engine) => details::draw_engine(frame, view, options, body, engine),
        Page::Request(id) => details::draw_request(frame, view, body, id),
    }
    draw_keys(frame, options, bottom);
}

fn draw_too_small(frame: &mut Frame<'_>, area: Rect) {
    let text = format!(
        "The console needs {MIN_WIDTH} by {MIN_HEIGHT} characters, but the terminal has {} by {}.",
        area.width, area.height
    );
    frame.render_widget(Paragraph::new(text).wrap(Wrap { trim: true }), area);
}

fn draw_keys(frame: &mut Frame<'_>, options: DisplayOptions, area: Rect) {
    let keys = if options.has_blocks {
        KEYS.to_string()
    } else {
        KEYS.replace("↑↓", "j/k").replace("←→", "h/l")
    };
    frame.render_widget(Paragraph::new(keys).wrap(Wrap { trim: true }), area);
}

fn bold() -> Style {
    Style::new().add_modifier(Modifier::BOLD)
}

/// Returns a line of characters whose heights show the values relative to the highest one.
fn sparkline(values: &[u64], options: DisplayOptions) -> String {
    let greatest = values.iter().copied().max().unwrap_or(0).max(1);
    let marks = if options.has_blocks {
        BLOCK_MARKS
    } else {
        ASCII_MARKS
    };
    let steps = marks.len() as u64 - 1;
    // Rounds up, so that small values differ from zero.
    let mark = |value: &u64| marks[(value * steps).div_ceil(greatest) as usize];
    let line: String = values.iter().map(mark).collect();
    format!("{line:>SPARKLINE_BUCKETS$}")
}
