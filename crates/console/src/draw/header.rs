//! Draws the header: the time, the rates of requests, and the episodes that have not ended.

use eideryard::interface::Micros;
use eideryard_event_analysis::series::Bucket;
use eideryard_event_analysis::View;
use eideryard_event_log::AnswerKind;
use eideryard_report::format::{clock, date, duration};
use eideryard_report::summary;
use ratatui::layout::Rect;
use ratatui::style::Color;
use ratatui::text::Line;
use ratatui::widgets::{Block, Borders, Paragraph};
use ratatui::Frame;

use super::{bold, DisplayOptions};
use crate::model::Model;

/// Time without a new entry in the logs after which the header says so. A gateway writes at least
/// one heartbeat a second.
const MAX_SILENCE: Micros = 5_000_000;

pub(super) fn draw(
    frame: &mut Frame<'_>,
    model: &Model,
    view: &View,
    options: DisplayOptions,
    area: Rect,
) {
    let episodes = lasting_episodes(view);
    let episode_style = if options.has_colours && !episodes.is_empty() {
        bold().fg(Color::Red)
    } else {
        bold()
    };
    let lines = vec![
        Line::styled(state_line(model, view), bold()),
        Line::from(rate_line(view)),
        Line::styled(episode_line(view, &episodes), episode_style),
    ];
    let block = Block::new().borders(Borders::BOTTOM);
    frame.render_widget(Paragraph::new(lines).block(block), area);
}

fn state_line(model: &Model, view: &View) -> String {
    let state = match model.paused_at {
        None if model.silent_for > MAX_SILENCE => {
            format!("live, silent for {}", duration(model.silent_for))
        }
        None => "live".to_string(),
        Some(_) => "PAUSED".to_string(),
    };
    let runs = view.fleet.active_runs();
    let mut gateways: Vec<&str> = runs.map(|(_, run)| run.name.as_str()).collect();
    if gateways.is_empty() {
        gateways.push("none running");
    }
    let now = view.fleet.now;
    format!(
        "eideryard  {} {}  {state}  gateways: {}",
        date(now),
        clock(now),
        gateways.join(" ")
    )
}

fn rate_line(view: &View) -> String {
    let runs = view.fleet.active_runs();
    let open: usize = runs.map(|(_, run)| run.unanswered_requests().count()).sum();
    // The last bucket is not complete yet, so the rates are those of the one before it.
    let mut newest_first = view.series.buckets.iter().rev();
    let bucket = newest_first.nth(1).or(view.series.buckets.last());
    let rate = |value: &dyn Fn(&Bucket) -> u32| {
        bucket.map_or(0.0, |bucket| {
            f64::from(value(bucket)) * 1e6 / view.series.width as f64
        })
    };
    let ended = |kind| rate(&|bucket| bucket.total(|class| class.ended(kind)));
    let refusal_reasons = summary::intent_refusals(&summary::totals(view))
        .map(|reasons| format!("  refusals: {reasons}"))
        .unwrap_or_default();
    format!(
        "requests/s {:.0}  served {:.0}  refused {:.0}  failed {:.0}  lost {:.0}  open {open}\
         {refusal_reasons}",
        rate(&|bucket| bucket.total(|class| class.received)),
        ended(AnswerKind::Served),
        ended(AnswerKind::Refused),
        ended(AnswerKind::Failed),
        ended(AnswerKind::Undelivered),
    )
}

fn lasting_episodes(view: &View) -> Vec<String> {
    let episodes = view.detector.episodes().iter();
    let lasting = episodes.filter(|episode| episode.ended_at.is_none());
    lasting
        .map(|episode| summary::title(view, &episode.kind))
        .collect()
}

fn episode_line(view: &View, lasting_episodes: &[String]) -> String {
    let mut line = if lasting_episodes.is_empty() {
        "no incident now".to_string()
    } else {
        format!("NOW: {}", lasting_episodes.join(", "))
    };
    let runs = view.fleet.active_runs();
    let isolated: Vec<&str> = runs
        .filter(|(_, run)| run.has_majority == Some(false))
        .map(|(_, run)| run.name.as_str())
        .collect();
    if !isolated.is_empty() {
        line += &format!("  NO MAJORITY of keepers at {}", isolated.join(" "));
    }
    line
}
