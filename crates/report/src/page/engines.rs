//! The section on engines: a plot with a row of bars for each engine, and a table.

use eideryard::interface::{EngineId, Phase};
use eideryard_event_analysis::series::EngineBucket;
use eideryard_event_analysis::state::Engine;
use eideryard_event_analysis::View;
use maud::{html, Markup};

use super::{table_head, MAX_ROWS};
use crate::format::{clock, plural};
use crate::plot::{self, Bar, Row, Span};

/// Column titles of the outcomes of attempts, in the order of the variants of `Outcome`.
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
/// Opacity of a bar without an answer. The bar with the most answers has an opacity of 1.
const MIN_OPACITY: f64 = 0.15;

pub(super) fn section(view: &View, span: Span) -> Markup {
    let engines = all_engines(view);
    html! {
        (plot_answers(view, span, &engines))
        (table(view, &engines))
    }
}

/// Returns all engines that any gateway knows, sorted by name.
fn all_engines(view: &View) -> Vec<EngineId> {
    let runs = view.fleet.runs();
    let engines = runs.flat_map(|(_, run)| run.engines.keys().copied());
    let mut engines: Vec<EngineId> = engines.collect();
    engines.sort_by_key(|engine| (view.fleet.engine_name(*engine), *engine));
    engines.dedup();
    engines
}

fn plot_answers(view: &View, span: Span, engines: &[EngineId]) -> Markup {
    let most_answers = most_answers(view);
    let shown = engines.iter().take(MAX_ROWS);
    let rows: Vec<Row> = shown
        .map(|engine| Row {
            name: view.fleet.engine_name(*engine),
            bars: bars(view, *engine, most_answers),
        })
        .collect();
    let hidden = engines.len().saturating_sub(MAX_ROWS);
    html! {
        (plot::rows(
            "Answers by engine: darker means more; times with failed attempts are marked",
            "One row for each engine; the table below shows the sums.", span, &rows
        ))
        @if hidden > 0 { p { "Only in the table: " (plural(hidden as u64, "further engine")) "." } }
    }
}

/// Returns the highest number of answers from any engine in any bucket, at least 1.
fn most_answers(view: &View) -> u32 {
    let buckets = view.series.buckets.iter();
    let engines = buckets.flat_map(|bucket| bucket.engines.values());
    let answers = engines.map(|engine| engine.answered);
    answers.max().unwrap_or(0).max(1)
}

/// Returns a bar for each bucket in which attempts on the engine were answered or failed.
fn bars(view: &View, engine: EngineId, most_answers: u32) -> Vec<Bar> {
    let mut bars = Vec::new();
    for (index, bucket) in view.series.buckets.iter().enumerate() {
        let Some(sums) = bucket.engines.get(&engine) else {
            continue;
        };
        if sums.answered + sums.failed > 0 {
            let from = view.series.start_of(index);
            bars.push(Bar {
                from,
                to: view.series.start_of(index + 1),
                style: if sums.failed > 0 { "bad" } else { "served" },
                text: format!(
                    "{}: {} sent, {} answered, {} failed",
                    clock(from),
                    sums.sent,
                    sums.answered,
                    sums.failed
                ),
                opacity: opacity(sums, most_answers),
            });
        }
    }
    bars
}

fn opacity(sums: &EngineBucket, most_answers: u32) -> f64 {
    if sums.failed > 0 {
        return 1.0;
    }
    MIN_OPACITY + (1.0 - MIN_OPACITY) * f64::from(sums.answered) / f64::from(most_answers)
}

fn table(view: &View, engines: &[EngineId]) -> Markup {
    let mut number_columns = vec!["sent"];
    number_columns.extend(OUTCOMES);
    let text_columns = ["engine", "address", "last phase"];
    html! {
        table {
            caption { "Attempts by engine, over all gateways" }
            (table_head(&text_columns, &number_columns))
            tbody {
                @for engine in engines { (table_row(view, *engine)) }
            }
        }
        p class="small" {
            "This table counts the attempts in the records. Attempts during a gap in a record are "
            "counted only in the gateways' totals."
        }
    }
}

fn table_row(view: &View, engine: EngineId) -> Markup {
    let runs = view.fleet.runs();
    let states: Vec<&Engine> = runs
        .filter_map(|(_, run)| run.engines.get(&engine))
        .collect();
    let last = states.last();
    let phase = last.map(|state| state.phase).unwrap_or_default();
    let sent: u64 = states.iter().map(|state| state.sent).sum();
    html! {
        tr {
            th scope="row" { (view.fleet.engine_name(engine)) }
            td { (last.map_or("", |state| state.address.as_str())) }
            td { (phase_name(phase)) }
            td class="n" { (sent) }
            @for outcome in 0..OUTCOMES.len() {
                td class="n" { (states.iter().map(|state| state.outcomes[outcome]).sum::<u64>()) }
            }
        }
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Draining => "draining",
        Phase::Removed => "removed",
        Phase::Ready => "up",
    }
}
