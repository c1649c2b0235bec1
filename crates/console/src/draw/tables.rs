//! Draws the pages that are tables.

use eideryard_event_analysis::notable::NotableRequest;
use eideryard_event_analysis::series::Bucket;
use eideryard_event_analysis::{Episode, View};
use eideryard_event_log::totals::GROUP_VALUES;
use eideryard_event_log::GroupTotals;
use eideryard_report::format::{clock, clock_ms};
use eideryard_report::summary;
use ratatui::layout::Rect;
use ratatui::Frame;

use super::table::{Column, Table};
use super::{sparkline, DisplayOptions};
use crate::model::{EngineRow, Model, SPARKLINE_BUCKETS};

const SPARKLINE_WIDTH: u16 = SPARKLINE_BUCKETS as u16;

// ---- Engines ----

pub(super) fn draw_engines(
    frame: &mut Frame<'_>,
    model: &Model,
    view: &View,
    options: DisplayOptions,
    area: Rect,
) {
    let rows = model.engines(view);
    let table = Table {
        title: format!("Engines, by {}", model.sort.name()),
        columns: vec![
            Column::rest("engine"),
            Column::fixed("state", 10),
            Column::fixed("out", 4),
            Column::fixed("mem MB", 6),
            Column::fixed("ranks 3-0", 9),
            Column::fixed("answers, 20 s", SPARKLINE_WIDTH),
            Column::fixed("answers", 7),
            Column::fixed("bad", 5),
        ],
        rows: rows.iter().map(|row| engine_cells(row, options)).collect(),
        cursor: Some(model.cursor),
    };
    table.draw(frame, area);
}

fn engine_cells(row: &EngineRow, options: DisplayOptions) -> Vec<String> {
    let [rank_0, rank_1, rank_2, rank_3] = row.in_flight_by_rank;
    vec![
        row.name.clone(),
        row.state.to_string(),
        format!("{:>4}", row.in_flight),
        format!("{:>6.0}", row.granted_mb),
        format!("{rank_3}/{rank_2}/{rank_1}/{rank_0}"),
        sparkline(&row.answers_per_bucket, options),
        format!("{:>7}", row.answered),
        format!("{:>5}", row.failed),
    ]
}

// ---- Classes and tenants ----

/// The property that requests are grouped by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Grouping {
    Class,
    Tenant,
}

impl Grouping {
    fn page_title(self) -> &'static str {
        match self {
            Grouping::Class => "Classes, sums of all runs",
            Grouping::Tenant => "Tenants, sums of all runs",
        }
    }

    fn column_title(self) -> &'static str {
        match self {
            Grouping::Class => "class",
            Grouping::Tenant => "tenant",
        }
    }

    fn group_name(self, view: &View, index: usize) -> String {
        match self {
            Grouping::Class => view.fleet.class_name(index),
            Grouping::Tenant => view.fleet.tenant_name(index),
        }
    }

    /// Returns the number of requests of a group that were received in a time bucket.
    fn received(self, bucket: &Bucket, index: usize) -> u64 {
        let received = match self {
            Grouping::Class => bucket.classes.get(&index).map(|class| class.received),
            Grouping::Tenant => bucket.tenants.get(&index).copied(),
        };
        u64::from(received.unwrap_or(0))
    }

    /// Returns the totals of all groups, summed over all runs.
    fn sums(self, view: &View) -> Vec<[u64; GROUP_VALUES]> {
        let mut sums = Vec::new();
        for (_, run) in view.fleet.runs() {
            let tally = run.tally();
            match self {
                Grouping::Class => add_totals(&mut sums, &tally.classes),
                Grouping::Tenant => add_totals(&mut sums, &tally.tenants),
            }
        }
        sums
    }
}

fn add_totals(sums: &mut Vec<[u64; GROUP_VALUES]>, groups: &[GroupTotals]) {
    if sums.len() < groups.len() {
        sums.resize(groups.len(), [0; GROUP_VALUES]);
    }
    for (sum, group) in sums.iter_mut().zip(groups) {
        for (value, more) in sum.iter_mut().zip(group.values()) {
            *value += more;
        }
    }
}

pub(super) fn draw_groups(
    frame: &mut Frame<'_>,
    view: &View,
    options: DisplayOptions,
    area: Rect,
    grouping: Grouping,
) {
    let mut rows = Vec::new();
    for (index, values) in grouping.sums(view).iter().enumerate() {
        let [received, ..] = values;
        if *received > 0 {
            rows.push(group_cells(view, options, grouping, index, values));
        }
    }
    let table = Table {
        title: grouping.page_title().into(),
        columns: vec![
            Column::rest(grouping.column_title()),
            Column::fixed("taken", 6),
            Column::fixed("served", 6),
            Column::fixed("refuse", 6),
            Column::fixed("failed", 6),
            Column::fixed("lost", 6),
            Column::fixed("late", 6),
            Column::fixed("taken, 20 s", SPARKLINE_WIDTH),
        ],
        rows,
        cursor: None,
    };
    table.draw(frame, area);
}

fn group_cells(
    view: &View,
    options: DisplayOptions,
    grouping: Grouping,
    index: usize,
    values: &[u64; GROUP_VALUES],
) -> Vec<String> {
    let buckets = &view.series.buckets;
    let shown = &buckets[buckets.len().saturating_sub(SPARKLINE_BUCKETS)..];
    let rates: Vec<u64> = shown
        .iter()
        .map(|bucket| grouping.received(bucket, index))
        .collect();
    let [received, served, refused, failed, _forgotten, lost, late] = values;
    let mut cells = vec![grouping.group_name(view, index)];
    for value in [received, served, refused, failed, lost, late] {
        cells.push(format!("{value:>6}"));
    }
    cells.push(sparkline(&rates, options));
    cells
}

// ---- Episodes ----

pub(super) fn draw_episodes(frame: &mut Frame<'_>, model: &Model, view: &View, area: Rect) {
    let episodes = view.detector.episodes().iter();
    let table = Table {
        title: "Episodes".into(),
        columns: vec![
            Column::fixed("from", 8),
            Column::fixed("to", 8),
            Column::fixed("kind", 13),
            Column::rest("what (Enter: go to its peak)"),
        ],
        rows: episodes
            .map(|episode| episode_cells(view, episode))
            .collect(),
        cursor: Some(model.cursor),
    };
    table.draw(frame, area);
}

fn episode_cells(view: &View, episode: &Episode) -> Vec<String> {
    let (from, to) = episode.span(view.detector.now());
    let end = if episode.ended_at.is_some() {
        clock(to)
    } else {
        "lasts".into()
    };
    vec![
        clock(from),
        end,
        episode.kind.name().to_string(),
        summary::describe(view, episode),
    ]
}

// ---- Requests ----

pub(super) fn draw_requests(frame: &mut Frame<'_>, model: &Model, view: &View, area: Rect) {
    let requests = model.requests(view);
    let table = Table {
        title: "Requests not served in time at the first attempt, the latest first".into(),
        columns: vec![
            Column::fixed("ended", 12),
            Column::fixed("id", 16),
            Column::fixed("gateway", 8),
            Column::rest("class"),
            Column::fixed("tenant", 10),
            Column::fixed("end", 12),
            Column::fixed("tries", 5),
        ],
        rows: requests
            .into_iter()
            .map(|request| request_cells(view, request))
            .collect(),
        cursor: Some(model.cursor),
    };
    table.draw(frame, area);
}

fn request_cells(view: &View, request: &NotableRequest) -> Vec<String> {
    let id = request.id.map(|id| format!("{id:016x}"));
    let gateway = view.fleet.run(request.source).map(|run| run.name.clone());
    let late = if request.is_late { " late" } else { "" };
    vec![
        clock_ms(request.at),
        id.unwrap_or_else(|| "-".into()),
        gateway.unwrap_or_default(),
        view.fleet.class_name(request.class),
        view.fleet.tenant_name(request.tenant),
        format!("{}{late}", request.kind.name()),
        request.attempt_count.to_string(),
    ]
}
