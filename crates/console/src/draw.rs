//! A model on a screen. Nothing depends on colour: states are words, rates are bars.

use eideryard_event_analysis::series::Bucket;
use eideryard_event_analysis::View;
use eideryard_event_log::text::{outcome_name, phase_name};
use eideryard_event_log::{AnswerKind, GroupTotals};
use eideryard_report::story::{self, clock, clock_ms, lasting};
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Modifier, Style};
use ratatui::text::Line;
use ratatui::widgets::{Block, Borders, Paragraph, Row, Table, TableState, Wrap};
use ratatui::Frame;

use crate::model::{Model, Page, SPARKS};

/// The least that all of it fits on.
pub const LEAST: (u16, u16) = (80, 24);
/// Records that told nothing for so long are said to be silent: gateways tell something each second
/// or so.
const SILENT: u64 = 5_000_000;
const SPARK: [char; 9] = [' ', '▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
/// Where the terminal knows no block characters.
const PLAIN: [char; 9] = [' ', '.', ':', '-', '=', '+', '*', '%', '#'];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Look {
    pub colours: bool,
    pub blocks: bool,
}

fn bold() -> Style {
    Style::new().add_modifier(Modifier::BOLD)
}

pub fn draw(frame: &mut Frame<'_>, model: &Model, view: &View, look: Look) {
    let area = frame.area();
    if area.width < LEAST.0 || area.height < LEAST.1 {
        let text = format!(
            "The console takes {} by {} characters; this is {} by {}.",
            LEAST.0, LEAST.1, area.width, area.height
        );
        return frame.render_widget(Paragraph::new(text).wrap(Wrap { trim: true }), area);
    }
    let [top, body, bottom] = Layout::vertical([
        Constraint::Length(4),
        Constraint::Min(1),
        Constraint::Length(2),
    ])
    .areas(area);
    head(frame, model, view, look, top);
    match model.page {
        Page::Engines => engines(frame, model, view, look, body),
        Page::Classes => lanes(frame, view, look, body, true),
        Page::Tenants => lanes(frame, view, look, body, false),
        Page::Episodes => episodes(frame, model, view, body),
        Page::Requests => requests(frame, model, view, body),
        Page::Engine(engine) => one_engine(frame, view, look, body, engine),
        Page::Request(id) => one_request(frame, view, body, id),
    }
    let keys = "Tab page  ↑↓ row  Enter open  Esc back  s sort  Space pause  ←→ 1 s  \
         PgUp/PgDn 10 s  l live  q quit";
    let keys = if look.blocks {
        keys.to_string()
    } else {
        keys.replace("↑↓", "j/k").replace("←→", "h/l")
    };
    frame.render_widget(Paragraph::new(keys).wrap(Wrap { trim: true }), bottom);
}

#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
fn head(frame: &mut Frame<'_>, model: &Model, view: &View, look: Look, area: Rect) {
    let now = view.fleet.now;
    let state = match model.paused_at {
        None if model.silent_for > SILENT => {
            format!("live, silent for {}", lasting(model.silent_for))
        }
        None => "live".to_string(),
        Some(_) => "PAUSED".to_string(),
    };
    let mut gateways: Vec<&str> = view
        .fleet
        .running()
        .map(|(_, start)| start.name.as_str())
        .collect();
    if gateways.is_empty() {
        gateways.push("none runs");
    }
    let open: usize = view
        .fleet
        .running()
        .map(|(_, start)| start.unanswered().count())
        .sum();
    let last = view
        .series
        .buckets
        .iter()
        .rev()
        .nth(1)
        .or(view.series.buckets.last());
    let rate = |of: &dyn Fn(&Bucket) -> u32| {
        last.map_or(0.0, |own| of(own) as f64 * 1e6 / view.series.width as f64)
    };
    let ended = |how| rate(&|bucket| bucket.total(|class| class.ended(how)));
    let first = format!(
        "eideryard  {} {}  {state}  gateways: {}",
        story::date(now),
        clock(now),
        gateways.join(" ")
    );
    let second = format!(
        "requests/s {:.0}  served {:.0}  refused {:.0}  failed {:.0}  lost {:.0}  open {open}",
        rate(&|bucket| bucket.total(|class| class.taken)),
        ended(AnswerKind::Served),
        ended(AnswerKind::Refused),
        ended(AnswerKind::Failed),
        ended(AnswerKind::Lost),
    );
    let lasting: Vec<String> = view
        .detector
        .episodes
        .iter()
        .filter(|episode| episode.end.is_none())
        .map(|episode| {
            format!(
                "{} ({})",
                episode.kind.word(),
                story::subject(view, &episode.kind)
            )
        })
        .collect();
    let wanting =
        story::wanting(&story::totals(view)).map(|reasons| format!("  for want: {reasons}"));
    let second = second + &wanting.unwrap_or_default();
    let apart = view
        .fleet
        .running()
        .filter(|(_, start)| start.majority == Some(false));
    let apart: Vec<&str> = apart.map(|(_, start)| start.name.as_str()).collect();
    let third = if lasting.is_empty() {
        "no trouble now".to_string()
    } else {
        format!("NOW: {}", lasting.join(", "))
    };
    let third = if apart.is_empty() {
        third
    } else {
        format!("{third}  NO MAJORITY of keepers at {}", apart.join(" "))
    };
    let style = if look.colours && !lasting.is_empty() {
        bold().fg(ratatui::style::Color::Red)
    } else {
        bold()
    };
    let lines = vec![
        Line::styled(first, bold()),
        Line::from(second),
        Line::styled(third, style),
    ];
    frame.render_widget(
        Paragraph::new(lines).block(Block::new().borders(Borders::BOTTOM)),
        area,
    );
}

fn spark(values: &[u64], look: Look) -> String {
    let most = values.iter().copied().max().unwrap_or(0).max(1);
    let marks = if look.blocks { SPARK } else { PLAIN };
    // Little is more than nothing.
    let mark = |value: &u64| marks[(value * 8).div_ceil(most) as usize];
    let line: String = values.iter().map(mark).collect();
    format!("{line:>SPARKS$}")
}

fn table(
    frame: &mut Frame<'_>,
    area: Rect,
    title: String,
    columns: &[(&str, u16)],
    rows: Vec<Vec<String>>,
    cursor: Option<usize>,
) {
    let header = Row::new(columns.iter().map(|(name, _)| *name)).style(bold());
    let widths = columns.iter().map(|(_, width)| match width {
        0 => Constraint::Min(8),
        width => Constraint::Length(*width),
    });
    let table = Table::new(rows.into_iter().map(Row::new), widths)
        .header(header)
        .block(Block::new().title(title))
        .row_highlight_style(Style::new().add_modifier(Modifier::REVERSED))
        .highlight_symbol("> ");
    let mut state = TableState::new().with_selected(cursor);
    frame.render_stateful_widget(table, area, &mut state);
}

fn engines(frame: &mut Frame<'_>, model: &Model, view: &View, look: Look, area: Rect) {
    let rows = model.engines(view);
    let cells = rows.iter().map(|row| {
        let [a, b, c, d] = row.ranks;
        vec![
            row.name.clone(),
            row.phase.to_string(),
            format!("{:>4}", row.in_flight),
            format!("{:>6.0}", row.granted_mb),
            format!("{d}/{c}/{b}/{a}"),
            spark(&row.rates, look),
            format!("{:>7}", row.answered),
            format!("{:>5}", row.bad),
        ]
    });
    let columns = [
        ("engine", 0),
        ("state", 10),
        ("out", 4),
        ("mem MB", 6),
        ("ranks 3-0", 9),
        ("answers, 20 s", 20),
        ("answers", 7),
        ("bad", 5),
    ];
    let title = format!("Engines, by {}", model.sort.name());
    table(
        frame,
        area,
        title,
        &columns,
        cells.collect(),
        Some(model.cursor),
    );
}

#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
fn lanes(frame: &mut Frame<'_>, view: &View, look: Look, area: Rect, classes: bool) {
    let mut sums: Vec<[u64; 7]> = Vec::new();
    for (_, start) in view.fleet.known() {
        let tally = start.tally();
        let lanes: &[GroupTotals] = if classes {
            &tally.classes
        } else {
            &tally.tenants
        };
        for (at, lane) in lanes.iter().enumerate() {
            if sums.len() <= at {
                sums.resize(at + 1, [0; 7]);
            }
            sums[at]
                .iter_mut()
                .zip(lane.values())
                .for_each(|(sum, value)| *sum += value);
        }
    }
    let buckets = &view.series.buckets;
    let shown = &buckets[buckets.len().saturating_sub(SPARKS)..];
    let rows = sums
        .iter()
        .enumerate()
        .filter(|(_, values)| values[0] > 0)
        .map(|(at, values)| {
            let name = if classes {
                view.fleet.class(at)
            } else {
                view.fleet.tenant(at)
            };
            let rates: Vec<u64> = shown
                .iter()
                .map(|bucket| {
                    if classes {
                        bucket.classes.get(&at).map_or(0, |own| own.taken as u64)
                    } else {
                        bucket.tenants.get(&at).map_or(0, |own| *own as u64)
                    }
                })
                .collect();
            let [taken, served, refused, failed, _, lost, late] = values;
            let mut cells = vec![name];
            cells.extend(
                [taken, served, refused, failed, lost, late].map(|value| format!("{value:>6}")),
            );
            cells.push(spark(&rates, look));
            cells
        });
    let columns = [
        (if classes { "class" } else { "tenant" }, 0),
        ("taken", 6),
        ("served", 6),
        ("refuse", 6),
        ("failed", 6),
        ("lost", 6),
        ("late", 6),
        ("taken, 20 s", 20),
    ];
    let title = if classes { "Classes" } else { "Tenants" };
    table(
        frame,
        area,
        format!("{title}, over all starts"),
        &columns,
        rows.collect(),
        None,
    );
}

fn episodes(frame: &mut Frame<'_>, model: &Model, view: &View, area: Rect) {
    let now = view.detector.now();
    let rows = view.detector.episodes.iter().map(|episode| {
        let (from, to) = episode.span(now);
        vec![
            clock(from),
            if episode.end.is_some() {
                clock(to)
            } else {
                "lasts".into()
            },
            episode.kind.word().to_string(),
            story::clause(view, episode),
        ]
    });
    let columns = [
        ("from", 8),
        ("to", 8),
        ("kind", 13),
        ("what (Enter: go to its worst moment)", 0),
    ];
    table(
        frame,
        area,
        "Episodes".into(),
        &columns,
        rows.collect(),
        Some(model.cursor),
    );
}

fn requests(frame: &mut Frame<'_>, model: &Model, view: &View, area: Rect) {
    let rows = model.requests(view).into_iter().map(|request| {
        vec![
            clock_ms(request.at),
            request
                .id
                .map_or_else(|| "-".into(), |id| format!("{id:016x}")),
            view.fleet
                .start(request.source)
                .map_or_else(String::new, |start| start.name.clone()),
            view.fleet.class(request.class),
            view.fleet.tenant(request.tenant),
            format!(
                "{}{}",
                request.how.name(),
                if request.late { " late" } else { "" }
            ),
            request.tries.to_string(),
        ]
    });
    let columns = [
        ("ended", 12),
        ("id", 16),
        ("gateway", 8),
        ("class", 0),
        ("tenant", 10),
        ("end", 12),
        ("tries", 5),
    ];
    let title = "Requests that were not simply served, the latest first".into();
    table(
        frame,
        area,
        title,
        &columns,
        rows.collect(),
        Some(model.cursor),
    );
}

fn one_engine(frame: &mut Frame<'_>, view: &View, look: Look, area: Rect, engine: u32) {
    let mut lines = vec![Line::styled(
        format!("Engine {}", view.fleet.engine(engine)),
        bold(),
    )];
    lines.push(Line::from(format!(
        "answers, 20 s: {}",
        spark(&crate::model::rates(view, engine), look)
    )));
    for (_, start) in view.fleet.known() {
        let Some(own) = start.engines.get(&engine) else {
            continue;
        };
        lines.push(Line::from(""));
        let out = format!(
            "{} out, {:.0} threads, {:.0} MB granted",
            own.in_flight, own.threads, own.granted_mb
        );
        lines.push(Line::styled(
            format!(
                "at {} (started {}): {}, {out}",
                start.name,
                clock(start.epoch),
                phase_name(own.phase)
            ),
            bold(),
        ));
        lines.push(Line::from(format!(
            "address {}, sent {}, last answer {}",
            own.address,
            own.sent,
            own.last_answer.map_or_else(|| "never".into(), clock_ms)
        )));
        let names = [
            "answered",
            "error",
            "full",
            "timed out",
            "no connection",
            "broken",
            "cancelled",
            "unsent",
        ];
        let outcomes: Vec<String> = names
            .iter()
            .zip(own.outcomes)
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        lines.push(Line::from(outcomes.join(", ")));
        let recent: Vec<String> = own
            .recent
            .iter()
            .map(|outcome| outcome_name(*outcome).to_string())
            .collect();
        lines.push(Line::from(format!("last: {}", recent.join(" "))));
    }
    frame.render_widget(Paragraph::new(lines).wrap(Wrap { trim: false }), area);
}

fn one_request(frame: &mut Frame<'_>, view: &View, area: Rect, id: u64) {
    let mut lines = vec![Line::styled(format!("Request {id:016x}"), bold())];
    for request in view
        .notables
        .iter()
        .filter(|request| request.id == Some(id))
    {
        let gateway = view
            .fleet
            .start(request.source)
            .map_or("", |start| start.name.as_str());
        let took = request
            .took
            .map_or_else(|| "a time not known".into(), lasting);
        lines.push(Line::from(format!(
            "{} at {gateway}: class {}, tenant {}: {}{} after {took} and {}",
            clock_ms(request.at),
            view.fleet.class(request.class),
            view.fleet.tenant(request.tenant),
            request.how.name(),
            if request.late { ", late," } else { "" },
            story::plural(request.tries as u64, "attempt"),
        )));
        for attempt in request.attempts() {
            let ended = attempt.ended.map_or_else(
                || "out when it was answered".into(),
                |(outcome, at)| {
                    format!(
                        "{} after {}",
                        outcome_name(outcome),
                        lasting(at - attempt.sent_at)
                    )
                },
            );
            lines.push(Line::from(format!(
                "  {} to {}: {ended}",
                clock_ms(attempt.sent_at),
                view.fleet.engine(attempt.engine)
            )));
        }
    }
    lines.push(Line::from(""));
    lines.push(Line::from(format!(
        "Every entry of it: eideryard records find {id:016x} DIR..."
    )));
    frame.render_widget(Paragraph::new(lines).wrap(Wrap { trim: false }), area);
}
