//! The section on episodes: a timeline and a table.

use std::collections::BTreeMap;

use eideryard_event_analysis::{Episode, EpisodeKind, View};
use maud::{html, Markup};

use super::{sentences, MAX_ROWS};
use crate::format::{clock, clock_ms, duration, plural};
use crate::plot::{self, Bar, Row, Span};
use crate::summary;

pub(super) fn section(view: &View, span: Span) -> Markup {
    let overlaps = summary::overlaps(view);
    html! {
        @if view.detector.episodes().is_empty() {
            p { "No symptoms of an incident were found." }
        } @else {
            (timeline(view, span))
            @if !overlaps.is_empty() { (sentences(&overlaps)) }
            (table(view))
        }
    }
}

fn timeline(view: &View, span: Span) -> Markup {
    let mut rows: BTreeMap<(u8, String), Vec<Bar>> = BTreeMap::new();
    for episode in view.detector.episodes() {
        let key = (row_order(&episode.kind), row_name(view, &episode.kind));
        rows.entry(key).or_default().extend(bars(view, episode));
    }
    let rows: Vec<Row> = rows
        .into_iter()
        .take(MAX_ROWS)
        .map(|((_, name), bars)| Row { name, bars })
        .collect();
    let text = format!(
        "{} in {} rows; the table below contains the same data.",
        plural(view.detector.episodes().len() as u64, "episode"),
        rows.len()
    );
    plot::rows("Timeline of episodes", &text, span, &rows)
}

/// Returns the sort key of an episode's row in the timeline.
fn row_order(kind: &EpisodeKind) -> u8 {
    match kind {
        EpisodeKind::EnginesDown(_) => 0,
        EpisodeKind::TenantFlood(_) | EpisodeKind::AddressFlood(_) => 1,
        EpisodeKind::DiscoveryDown(_) => 2,
        EpisodeKind::Drain(_) => 3,
        EpisodeKind::Quarantine(_) => 4,
        EpisodeKind::Refusals => 5,
        EpisodeKind::Retries => 6,
        EpisodeKind::Latency(_) => 7,
        EpisodeKind::LogGap(_) => 8,
    }
}

/// Returns the class in the style sheet for an episode's bars.
fn bar_style(kind: &EpisodeKind) -> &'static str {
    match kind {
        EpisodeKind::EnginesDown(_) => "bad",
        EpisodeKind::TenantFlood(_) | EpisodeKind::AddressFlood(_) => "s2",
        EpisodeKind::DiscoveryDown(_) => "s5",
        EpisodeKind::Drain(_) | EpisodeKind::Quarantine(_) => "s4",
        EpisodeKind::Refusals => "refused",
        EpisodeKind::Retries => "s3",
        EpisodeKind::Latency(_) => "s1",
        EpisodeKind::LogGap(_) => "unknown",
    }
}

fn row_name(view: &View, kind: &EpisodeKind) -> String {
    match kind {
        EpisodeKind::EnginesDown(_) | EpisodeKind::Refusals | EpisodeKind::Retries => {
            kind.name().to_string()
        }
        kind => format!("{}: {}", kind.name(), summary::subject(view, kind)),
    }
}

/// Returns the bar of an episode, followed by the bars of the intervals about which nothing is
/// known.
fn bars(view: &View, episode: &Episode) -> Vec<Bar> {
    let (from, to) = episode.span(view.detector.now());
    let description = summary::describe(view, episode);
    let mut bars = vec![Bar {
        from,
        to,
        style: bar_style(&episode.kind),
        text: format!("{} to {}: {description}", clock(from), clock(to)),
        opacity: 1.0,
    }];
    for (from, to) in &episode.unknown {
        bars.push(Bar {
            from: *from,
            to: *to,
            style: "unknown",
            text: "not known".into(),
            opacity: 1.0,
        });
    }
    bars
}

fn table(view: &View) -> Markup {
    let episodes = view.detector.episodes();
    let is_partly_unknown = |episode: &Episode| !episode.unknown.is_empty();
    let columns = ["from", "to", "lasted", "kind", "what", "worst at"];
    html! {
        table id="episode-list" {
            caption { "Episodes by start time" }
            (super::table_head(&columns, &[]))
            tbody {
                @for episode in episodes {
                    @let (from, to) = episode.span(view.detector.now());
                    tr {
                        td { (clock_ms(from)) }
                        td { @if episode.ended_at.is_some() { (clock_ms(to)) } @else { "lasts" } }
                        td class="n" { (duration(to - from)) }
                        td { (episode.kind.name()) }
                        td {
                            (summary::describe(view, episode))
                            @if is_partly_unknown(episode) { " " (summary::PARTLY_UNKNOWN_MARK) }
                        }
                        td { (clock(episode.peak_at)) }
                    }
                }
            }
        }
        @if episodes.iter().any(is_partly_unknown) {
            p { (summary::PARTLY_UNKNOWN_MARK) " " (summary::PARTLY_UNKNOWN) }
        }
    }
}
