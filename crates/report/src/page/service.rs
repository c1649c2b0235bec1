//! The section on service: answers, latency, classes and tenants.

use std::collections::BTreeMap;

use eideryard_event_analysis::series::Bucket;
use eideryard_event_analysis::View;
use eideryard_event_log::totals::GROUP_VALUES;
use eideryard_event_log::{AnswerKind, GroupTotals};
use maud::{html, Markup};

use super::{table_head, MAX_LINES};
use crate::plot::{self, Band, Line, Point, Span};
use crate::summary;

/// Column titles of the values of [`GroupTotals`], in the order of [`GroupTotals::values`].
const TOTALS: [&str; GROUP_VALUES] = [
    "taken",
    "served",
    "refused",
    "failed",
    "forgotten",
    "lost",
    "late",
];
const LATENCY_COLUMNS: [&str; 3] = ["median ms", "90% ms", "99% ms"];
const LATENCY_QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];
/// Percentile that the plot of latency shows.
const PLOTTED_PERCENTILE: f64 = 0.9;

pub(super) fn section(view: &View, span: Span) -> Markup {
    let bands = bands(view);
    html! {
        (plot_answers(view, span, &bands))
        (plot_latency(view, span, &bands))
        (class_table(view))
        (tenant_table(view))
        (plot_tenants(view, span, &bands))
    }
}

// ---- Plots ----

/// Returns the episodes that are highlighted in plots: all except symptoms of other episodes.
fn bands(view: &View) -> Vec<Band> {
    let now = view.detector.now();
    let mut bands = Vec::new();
    for episode in view.detector.episodes() {
        if summary::is_symptom(&episode.kind) {
            continue;
        }
        let (from, to) = episode.span(now);
        bands.push(Band::new(from, to, view, &episode.kind));
    }
    bands
}

/// Returns a value of each bucket as a rate per second.
fn rates(view: &View, value: impl Fn(&Bucket) -> u32) -> Vec<Point> {
    let seconds = view.series.width as f64 / 1e6;
    plot_points(view, |bucket| Some(f64::from(value(bucket)) / seconds))
}

fn plot_points(view: &View, value: impl Fn(&Bucket) -> Option<f64>) -> Vec<Point> {
    let buckets = view.series.buckets.iter().enumerate();
    buckets
        .map(|(index, bucket)| Point {
            at: view.series.start_of(index),
            value: value(bucket),
        })
        .collect()
}

fn plot_answers(view: &View, span: Span, bands: &[Band]) -> Markup {
    let mut areas = Vec::new();
    for kind in AnswerKind::ALL {
        areas.push(Line {
            name: kind.name().into(),
            style: answer_style(kind).into(),
            points: rates(view, |bucket| bucket.total(|class| class.ended(kind))),
        });
    }
    let title = "Answers by outcome";
    plot::stacked(title, "a second", span, bands, &areas, view.series.width)
}

/// Returns the class in the style sheet for the area of this kind of answer.
fn answer_style(kind: AnswerKind) -> &'static str {
    match kind {
        AnswerKind::Served => "served",
        AnswerKind::Refused => "refused",
        AnswerKind::Failed => "failed",
        AnswerKind::Abandoned => "forgotten",
        AnswerKind::Undelivered => "lost",
    }
}

fn plot_latency(view: &View, span: Span, bands: &[Band]) -> Markup {
    let classes = view.series.buckets.iter().flat_map(|bucket| {
        let classes = bucket.classes.iter();
        classes.map(|(class, sums)| (*class, sums.received))
    });
    let mut lines = Vec::new();
    for (number, class) in busiest(classes).into_iter().enumerate() {
        lines.push(Line {
            name: view.fleet.class_name(class),
            style: line_style(number),
            points: plot_points(view, |bucket| {
                let sums = bucket.classes.get(&class)?;
                sums.latency.percentile(PLOTTED_PERCENTILE)
            }),
        });
    }
    let title = "90th percentile of latency by class";
    plot::lines(title, "ms", span, bands, &lines)
}

fn plot_tenants(view: &View, span: Span, bands: &[Band]) -> Markup {
    let tenants = view.series.buckets.iter().flat_map(|bucket| {
        let tenants = bucket.tenants.iter();
        tenants.map(|(tenant, received)| (*tenant, *received))
    });
    let mut lines = Vec::new();
    for (number, tenant) in busiest(tenants).into_iter().enumerate() {
        lines.push(Line {
            name: view.fleet.tenant_name(tenant),
            style: line_style(number),
            points: rates(view, |bucket| {
                bucket.tenants.get(&tenant).copied().unwrap_or(0)
            }),
        });
    }
    plot::lines("Requests by tenant", "a second", span, bands, &lines)
}

fn line_style(number: usize) -> String {
    format!("s{number}")
}

/// Returns the [`MAX_LINES`] groups with the most requests, the busiest first.
fn busiest(counts: impl Iterator<Item = (usize, u32)>) -> Vec<usize> {
    let mut sums: BTreeMap<usize, u64> = BTreeMap::new();
    for (group, count) in counts {
        *sums.entry(group).or_default() += u64::from(count);
    }
    let mut groups: Vec<(u64, usize)> = sums
        .into_iter()
        .map(|(group, count)| (count, group))
        .collect();
    groups.sort_by(|a, b| b.cmp(a));
    groups.truncate(MAX_LINES);
    groups.into_iter().map(|(_, group)| group).collect()
}

// ---- Tables ----

fn class_table(view: &View) -> Markup {
    let mut sums = GroupSums::default();
    for (_, run) in view.fleet.runs() {
        sums.add(&run.tally().classes);
    }
    let mut columns = TOTALS.to_vec();
    columns.extend(LATENCY_COLUMNS);
    html! {
        table {
            caption { "Service by class" }
            (table_head(&["class"], &columns))
            tbody {
                @for (class, values) in sums.present() {
                    tr {
                        th scope="row" { (view.fleet.class_name(class)) }
                        @for value in values { td class="n" { (value) } }
                        @for quantile in LATENCY_QUANTILES {
                            td class="n" { (latency_cell(view, class, quantile)) }
                        }
                    }
                }
            }
        }
    }
}

fn tenant_table(view: &View) -> Markup {
    let mut sums = GroupSums::default();
    for (_, run) in view.fleet.runs() {
        sums.add(&run.tally().tenants);
    }
    html! {
        table {
            caption { "Service by tenant" }
            (table_head(&["tenant"], &TOTALS))
            tbody {
                @for (tenant, values) in sums.present() {
                    tr {
                        th scope="row" { (view.fleet.tenant_name(tenant)) }
                        @for value in values { td class="n" { (value) } }
                    }
                }
            }
        }
    }
}

/// Totals of classes or tenants, summed over all runs.
#[derive(Default)]
struct GroupSums(Vec<[u64; GROUP_VALUES]>);

impl GroupSums {
    fn add(&mut self, groups: &[GroupTotals]) {
        if self.0.len() < groups.len() {
            self.0.resize(groups.len(), [0; GROUP_VALUES]);
        }
        for (sums, group) in self.0.iter_mut().zip(groups) {
            for (sum, value) in sums.iter_mut().zip(group.values()) {
                *sum += value;
            }
        }
    }

    /// Returns the groups that received requests, with their indexes.
    fn present(&self) -> impl Iterator<Item = (usize, &[u64; GROUP_VALUES])> {
        let groups = self.0.iter().enumerate();
        groups.filter(|(_, [received, ..])| *received > 0)
    }
}

fn latency_cell(view: &View, class: usize, quantile: f64) -> String {
    match latency_ms(view, class, quantile) {
        Some(milliseconds) => milliseconds.to_string(),
        None => "–".into(),
    }
}

/// Returns a quantile of the latency of a class at all gateways, or `None` if no request of the
/// class was served.
fn latency_ms(view: &View, class: usize, quantile: f64) -> Option<u64> {
    let mut histograms = view
        .fleet
        .runs()
        .filter_map(|(_, run)| run.latency.get(class));
    let mut sum = histograms.next()?.clone();
    for histogram in histograms {
        // This can't fail because all histograms have the same bounds.
        let _ = sum.add(histogram);
    }
    (!sum.is_empty()).then(|| sum.value_at_quantile(quantile))
}
