//! Draws a model on a screen. Nothing depends on colour: states are words, rates are bars.

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

/// Least width of the screen in characters.
pub const MIN_WIDTH: u16 = 80;
/// Least height of the screen in lines.
pub const MIN_HEIGHT: u16 = 24;
const HEADER_HEIGHT: u16 = 4;
const FOOTER_HEIGHT: u16 = 2;

const KEYS: &str = "Tab page  ↑↓ row  Enter open  Esc back  s sort  Space pause  ←→ 1 s  \
     PgUp/PgDn 10 s  l live  q quit";

/// Marks of a sparkline, from nothing to the most.
const BLOCK_MARKS: [char; 9] = [' ', '▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
/// The same for terminals without block characters.
const ASCII_MARKS: [char; 9] = [' ', '.', ':', '-', '=', '+', '*', '%', '#'];

/// What the terminal can display.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DisplayOptions {
    /// Colours.
    pub has_colours: bool,
    /// Block characters and arrows.
    pub has_blocks: bool,
}

/// Draws a model of a view.
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
        "The console takes {MIN_WIDTH} by {MIN_HEIGHT} characters; this is {} by {}.",
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

/// A line of marks whose heights show values relative to the greatest.
fn sparkline(values: &[u64], options: DisplayOptions) -> String {
    let greatest = values.iter().copied().max().unwrap_or(0).max(1);
    let marks = if options.has_blocks {
        BLOCK_MARKS
    } else {
        ASCII_MARKS
    };
    let steps = marks.len() as u64 - 1;
    // Rounded up, so that little differs from nothing.
    let mark = |value: &u64| marks[(value * steps).div_ceil(greatest) as usize];
    let line: String = values.iter().map(mark).collect();
    format!("{line:>SPARKLINE_BUCKETS$}")
}
