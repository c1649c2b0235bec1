//! The table of requests that were not served in time at the first attempt.

use eideryard::interface::Micros;
use eideryard_event_analysis::notable::NotableRequest;
use eideryard_event_analysis::state::Request;
use eideryard_event_analysis::View;
use maud::{html, Markup};

use super::table_head;
use crate::format::{clock_ms, plural};

/// Maximum number of open requests that are listed for one run that broke off.
const MAX_OPEN: usize = 500;
/// Shown in place of a value that is not known.
const UNKNOWN: &str = "–";

/// A row of the table.
struct RequestRow {
    at: Micros,
    id: Option<u64>,
    source: usize,
    class: usize,
    tenant: usize,
    end: String,
    duration: Option<Micros>,
    attempt_count: usize,
}

impl RequestRow {
    /// Creates the row of a request that ended.
    fn ended(request: &NotableRequest) -> Self {
        let late = if request.is_late { ", late" } else { "" };
        RequestRow {
            at: request.at,
            id: request.id,
            source: request.source,
            class: request.class,
            tenant: request.tenant,
            end: format!("{}{late}", request.kind.name()),
            duration: request.duration,
            attempt_count: request.attempt_count,
        }
    }

    /// Creates the row of a request that was open when its gateway's log broke off.
    fn open(request: &Request, source: usize, broken_off_at: Micros) -> Self {
        RequestRow {
            at: broken_off_at,
            id: Some(request.id),
            source,
            class: request.class,
            tenant: request.tenant,
            end: "open when the record broke off".into(),
            duration: None,
            attempt_count: request.attempt_count(),
        }
    }
}

/// Returns the rows sorted by time.
fn rows(view: &View) -> Vec<RequestRow> {
    let mut rows: Vec<RequestRow> = view.notables.iter().map(RequestRow::ended).collect();
    for (source, run) in view.fleet.runs() {
        if run.is_broken_off {
            let open = run.unanswered_requests().take(MAX_OPEN);
            rows.extend(open.map(|request| RequestRow::open(request, source, run.last_at)));
        }
    }
    rows.sort_by_key(|row| row.at);
    rows
}

pub(super) fn section(view: &View) -> Markup {
    let left_out = view.notables.left_out;
    let text_columns = ["ended", "id", "gateway", "class", "tenant", "end"];
    html! {
        p {
            "Requests that were refused, failed, lost, cancelled by the client, late, served by a "
            "retry, or open when a gateway broke off. "
            "A request that is not listed was served in time at its first attempt, unless it was "
            "open during a gap."
            @if left_out > 0 {
                " Not listed: " (plural(left_out, "request")) " between the first and the last of these."
            }
        }
        p class="find" {
            label for="find" { "Find an id: " }
            input id="find" type="search" placeholder="9b1f03aa" autocomplete="off";
            " " output id="found" for="find" {}
        }
        table id="asked" {
            caption { "Requests by end time" }
            (table_head(&text_columns, &["took ms", "attempts"]))
            tbody {
                @for row in rows(view) { (table_row(view, &row)) }
            }
        }
    }
}

fn table_row(view: &View, row: &RequestRow) -> Markup {
    let id = row.id.map(|id| format!("{id:016x}"));
    let run = view.fleet.run(row.source);
    let milliseconds = row.duration.map(|duration| (duration / 1000).to_string());
    html! {
        tr {
            td { (clock_ms(row.at)) }
            td class="id" { (id.as_deref().unwrap_or(UNKNOWN)) }
            td { (run.map_or("", |run| run.name.as_str())) }
            td { (view.fleet.class_name(row.class)) }
            td { (view.fleet.tenant_name(row.tenant)) }
            td { (row.end) }
            td class="n" { (milliseconds.as_deref().unwrap_or(UNKNOWN)) }
            td class="n" { (row.attempt_count) }
        }
    }
}
