//! The table of gateways.

use eideryard_event_analysis::{GatewayRun, View};
use eideryard_event_log::totals::Totals;
use maud::{html, Markup};

use super::table_head;
use crate::format::{clock, clock_ms};
use crate::summary;

/// Column titles of the totals, which are also the names in [`Totals::pairs`].
const TOTALS: [&str; 9] = [
    "taken",
    "served",
    "refused",
    "failed",
    "invalid",
    "forgotten",
    "lost",
    "late",
    "sent",
];

pub(super) fn table(view: &View) -> Markup {
    let mut number_columns = TOTALS.to_vec();
    number_columns.extend(["open", "missing entries"]);
    let text_columns = ["gateway", "started", "last entry", "end"];
    html! {
        table {
            caption { "Totals of each run of each gateway" }
            (table_head(&text_columns, &number_columns))
            tbody {
                @for (_, run) in view.fleet.runs() { (run_row(run)) }
                (sum_row(view))
            }
        }
    }
}

fn run_row(run: &GatewayRun) -> Markup {
    html! {
        tr {
            th scope="row" { (run.name) }
            td { (clock(run.epoch)) }
            td { (clock_ms(run.last_at)) }
            td {
                @if run.has_ended() { "stopped" }
                @else if run.is_broken_off { "broke off" }
                @else { "runs" }
            }
            (total_cells(&run.tally().totals))
            td class="n" { (open_requests(run)) }
            td class="n" { (run.missing_entries) }
        }
    }
}

fn sum_row(view: &View) -> Markup {
    let open: u64 = view.fleet.runs().map(|(_, run)| open_requests(run)).sum();
    let missing: u64 = view.fleet.runs().map(|(_, run)| run.missing_entries).sum();
    html! {
        tr class="sum" {
            th scope="row" colspan="4" { "together" }
            (total_cells(&summary::totals(view)))
            td class="n" { (open) }
            td class="n" { (missing) }
        }
    }
}

fn total_cells(totals: &Totals) -> Markup {
    let shown = totals.pairs().filter(|(name, _)| TOTALS.contains(name));
    html! {
        @for (_, value) in shown { td class="n" { (value) } }
    }
}

fn open_requests(run: &GatewayRun) -> u64 {
    run.running_tally.tally.open_requests()
}
