//! Builds the HTML page.

mod engines;
mod episodes;
mod gateways;
mod requests;
mod service;

use eideryard_event_analysis::View;
use maud::{html, Markup, PreEscaped, DOCTYPE};

use crate::format::{clock, date};
use crate::plot::Span;
use crate::summary;

const STYLE: &str = include_str!("page.css");
/// Filters the table of requests by ID. Without scripts, the reader can use the text search of the
/// browser instead.
const SCRIPT: &str = include_str!("page.js");
/// Minimum length of the time that plots show.
const MIN_SPAN_MICROS: u64 = 1_000_000;
/// Maximum number of lines in one plot.
const MAX_LINES: usize = 8;
/// Maximum number of rows in one plot.
const MAX_ROWS: usize = 40;

/// Returns the report of a view as one HTML page.
pub fn page(view: &View) -> String {
    let span = span(view);
    let title = title(view, span);
    let markup = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                meta name="color-scheme" content="light dark";
                title { (title) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                (header(view, &title, span))
                (main(view, span))
                footer class="small" {
                    "Generated from the gateways' records. Totals are the gateways' own tallies. "
                    "To list all entries of one request: "
                    code { "eideryard records find ID DIR..." }
                }
                script { (PreEscaped(SCRIPT)) }
            }
        }
    };
    markup.into_string()
}

/// Returns the time that all plots show.
fn span(view: &View) -> Span {
    let first = view.fleet.runs().map(|(_, run)| run.first_at).min();
    let from = first.unwrap_or(0).max(view.from);
    let to = view.fleet.now.max(from + MIN_SPAN_MICROS);
    Span { from, to }
}

fn title(view: &View, span: Span) -> String {
    let date = date(span.from);
    if view.detector.episodes().is_empty() {
        format!("Fleet report, {date}")
    } else {
        format!("Incident report, {date}")
    }
}

fn header(view: &View, title: &str, span: Span) -> Markup {
    html! {
        header {
            h1 { (title) }
            p class="head" { (summary::headline(view)) "." }
            p class="small" {
                "All times are in UTC, by the gateways' own clocks; " (date(span.from)) ", "
                (clock(span.from)) " to " (clock(span.to)) "."
            }
        }
    }
}

fn main(view: &View, span: Span) -> Markup {
    let caveats = summary::caveats(view);
    let fleet = summary::fleet(view);
    html! {
        main {
            @if !caveats.is_empty() {
                (section("known", "What is not known", &sentences(&caveats)))
            }
            @if !fleet.is_empty() {
                (section("fleet", "State of the fleet at the end", &sentences(&fleet)))
            }
            (section("episodes", "Episodes", &episodes::section(view, span)))
            (section("gateways", "Gateways", &gateways::table(view)))
            (section("service", "Service", &service::section(view, span)))
            (section("engines", "Engines", &engines::section(view, span)))
            (section(
                "requests", "Requests not served in time at the first attempt",
                &requests::section(view)
            ))
        }
    }
}

fn section(id: &str, title: &str, content: &Markup) -> Markup {
    html! {
        section aria-labelledby=(id) {
            h2 id=(id) { (title) }
            (content)
        }
    }
}

fn sentences(sentences: &[String]) -> Markup {
    html! {
        ul { @for sentence in sentences { li { (sentence) "." } } }
    }
}

/// Returns the head of a table. The columns of numbers are aligned to the right.
fn table_head(text_columns: &[&str], number_columns: &[&str]) -> Markup {
    html! {
        thead { tr {
            @for column in text_columns { th scope="col" { (column) } }
            @for column in number_columns { th scope="col" class="n" { (column) } }
        } }
    }
}
