//! Describes in sentences what the analysis found.

mod caveats;
mod episodes;
mod fleet;
mod headline;

use eideryard_event_analysis::View;
use eideryard_event_log::totals::Totals;
use eideryard_event_log::RejectReason;

use crate::format::list;

pub use caveats::{caveats, unanswered_at_break_off, unknown_losses};
pub(crate) use episodes::is_symptom;
pub use episodes::{describe, overlaps, subject, title};
pub use fleet::fleet;
pub use headline::headline;

/// Marks an episode during which a log has a gap. [`PARTLY_UNKNOWN`] explains the mark.
pub const PARTLY_UNKNOWN_MARK: &str = "\u{2020}";
/// Explanation of [`PARTLY_UNKNOWN_MARK`] on the page.
pub const PARTLY_UNKNOWN: &str =
    "a record has a gap within this time, which is listed as a separate episode; nothing is \
     concluded from the gap";

/// Returns the sums of the totals of all runs of all gateways.
pub fn totals(view: &View) -> Totals {
    let mut sums = Totals::default();
    for (_, run) in view.fleet.runs() {
        let totals = run.tally().totals;
        for (sum, (_, value)) in sums.values_mut().zip(totals.pairs()) {
            *sum += value;
        }
    }
    sums
}

/// Describes, by reason, the requests that were refused because an intent could not be made
/// durable. Returns `None` if there are none.
pub fn intent_refusals(totals: &Totals) -> Option<String> {
    let reasons = [
        (totals.intent_log_full, RejectReason::IntentLogFull),
        (totals.store_stalled, RejectReason::StoreStalled),
        (totals.no_majority, RejectReason::NoMajority),
    ];
    let mut counts = Vec::new();
    for (count, reason) in reasons {
        if count > 0 {
            counts.push(format!("{count} {}", reason.name()));
        }
    }
    (!counts.is_empty()).then(|| list(&counts))
}

/// Returns the name of a source's gateway.
fn gateway_name(view: &View, source: usize) -> String {
    match view.fleet.run(source) {
        Some(run) => run.name.clone(),
        None => format!("gateway {source}"),
    }
}
