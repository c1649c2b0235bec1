//! What happened, in sentences.

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

/// Marks an episode in whose time a log has a gap; [`PARTLY_UNKNOWN`] explains it.
pub const PARTLY_UNKNOWN_MARK: &str = "\u{2020}";
/// What [`PARTLY_UNKNOWN_MARK`] means.
pub const PARTLY_UNKNOWN: &str =
    "within this time a record has a gap, which is an episode of its own: nothing is concluded from it";

/// Totals over all runs of all gateways.
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

/// Refusals for want of a durable intent, by reason; `None` if there are none.
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

/// The name of a source's gateway.
fn gateway_name(view: &View, source: usize) -> String {
    match view.fleet.run(source) {
        Some(run) => run.name.clone(),
        None => format!("gateway {source}"),
    }
}
