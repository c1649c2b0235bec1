//! Draws the pages of one engine and of one request.

use eideryard::interface::EngineId;
use eideryard_event_analysis::notable::NotableRequest;
use eideryard_event_analysis::state::{Attempt, Engine};
use eideryard_event_analysis::{GatewayRun, View};
use eideryard_event_log::text::{outcome_name, phase_name};
use eideryard_report::format::{clock, clock_ms, duration, plural};
use ratatui::layout::Rect;
use ratatui::text::Line;
use ratatui::widgets::{Paragraph, Wrap};
use ratatui::Frame;

use super::{bold, sparkline, DisplayOptions};
use crate::model::answers_per_bucket;

/// Names of outcomes on the page, in the order of the variants of `Outcome`.
const OUTCOMES: [&str; 8] = [
    "answered",
    "error",
    "full",
    "timed out",
    "no connection",
    "broken",
    "cancelled",
    "unsent",
];

pub(super) fn draw_engine(
    frame: &mut Frame<'_>,
    view: &View,
    options: DisplayOptions,
    area: Rect,
    engine: EngineId,
) {
    let title = format!("Engine {}", view.fleet.engine_name(engine));
    let rates = sparkline(&answers_per_bucket(view, engine), options);
    let mut lines = vec![
        Line::styled(title, bold()),
        Line::from(format!("answers, 20 s: {rates}")),
    ];
    for (_, run) in view.fleet.runs() {
        if let Some(engine) = run.engines.get(&engine) {
            lines.extend(engine_lines(run, engine));
        }
    }
    draw_lines(frame, area, lines);
}

/// Returns the lines on one gateway's state of an engine.
fn engine_lines(run: &GatewayRun, engine: &Engine) -> Vec<Line<'static>> {
    let load = format!(
        "{} in flight, {:.0} threads, {:.0} MB granted",
        engine.in_flight, engine.threads, engine.granted_mb
    );
    let state = format!(
        "at {} (started {}): {}, {load}",
        run.name,
        clock(run.epoch),
        phase_name(engine.phase)
    );
    let last_answer = engine.last_answer_at.map(clock_ms);
    let totals = format!(
        "address {}, sent {}, last answer {}",
        engine.address,
        engine.sent,
        last_answer.unwrap_or_else(|| "never".into())
    );
    let outcomes: Vec<String> = OUTCOMES
        .iter()
        .zip(engine.outcomes)
        .filter(|(_, count)| *count > 0)
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    let recent: Vec<&str> = engine
        .recent_outcomes
        .iter()
        .map(|outcome| outcome_name(*outcome))
        .collect();
    vec![
        Line::from(""),
        Line::styled(state, bold()),
        Line::from(totals),
        Line::from(outcomes.join(", ")),
        Line::from(format!("last: {}", recent.join(" "))),
    ]
}

pub(super) fn draw_request(frame: &mut Frame<'_>, view: &View, area: Rect, id: u64) {
    let mut lines = vec![Line::styled(format!("Request {id:016x}"), bold())];
    for request in view.notables.iter() {
        if request.id == Some(id) {
            lines.push(Line::from(request_line(view, request)));
            for attempt in request.attempts() {
                lines.push(Line::from(attempt_line(view, attempt)));
            }
        }
    }
    lines.push(Line::from(""));
    lines.push(Line::from(format!(
        "All entries of this request: eideryard records find {id:016x} DIR..."
    )));
    draw_lines(frame, area, lines);
}

fn request_line(view: &View, request: &NotableRequest) -> String {
    let run = view.fleet.run(request.source);
    let gateway = run.map_or("", |run| run.name.as_str());
    let answered_after = request.duration.map(duration);
    format!(
        "{} at {gateway}: class {}, tenant {}: {}{} after {} and {}",
        clock_ms(request.at),
        view.fleet.class_name(request.class),
        view.fleet.tenant_name(request.tenant),
        request.kind.name(),
        if request.is_late { ", late," } else { "" },
        answered_after.unwrap_or_else(|| "an unknown time".into()),
        plural(request.attempt_count as u64, "attempt"),
    )
}

fn attempt_line(view: &View, attempt: &Attempt) -> String {
    let end = match attempt.ended {
        None => "running when the request was answered".into(),
        Some((outcome, at)) => {
            let run_time = duration(at - attempt.sent_at);
            format!("{} after {run_time}", outcome_name(outcome))
        }
    };
    format!(
        "  {} to {}: {end}",
        clock_ms(attempt.sent_at),
        view.fleet.engine_name(attempt.engine)
    )
}

fn draw_lines(frame: &mut Frame<'_>, area: Rect, lines: Vec<Line<'_>>) {
    frame.render_widget(Paragraph::new(lines).wrap(Wrap { trim: false }), area);
}
