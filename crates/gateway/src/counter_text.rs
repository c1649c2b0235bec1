//! Formats the counters of the gateway's parts for the log. The names are an interface for scripts
//! that read the log, so they are fixed here, independently of the names of types and fields.

use crate::intent_durability::{IntentCounters, IntentDurability};
use crate::result_spool::ResultSpoolCounters;

/// Formats a group of counters: `Name { first: 1, second: 2 }`.
fn format_group(name: &str, counters: &[(&str, u64)]) -> String {
    let pairs: Vec<String> = counters
        .iter()
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    format!("{name} {{ {} }}", pairs.join(", "))
}

/// Formats the counters of intent durability and, in a fleet, of replication and leases.
pub fn format_intent_durability(durability: &IntentDurability) -> String {
    let mut text = format!("; {}", format_intents(&durability.counters));
    let Some(driver) = durability.replication() else {
        return text;
    };
    text.push_str(&format!("; {}", format_replication(&driver.counters())));
    if let Some(driver) = driver.leases() {
        text.push_str(&format!(
            "; {}; probes_spared: {}",
            format_leases(&driver.counters()),
            driver.probes_spared()
        ));
    }
    text
}

/// Formats the group `Counted`: intents, and requests that were refused because their intents could
/// not be made durable.
pub fn format_intents(counters: &IntentCounters) -> String {
    format_group(
        "Counted",
        &[
            ("intents", counters.intents),
            ("waited", counters.waited),
            ("pinned", counters.known_prior_location),
            ("doubted", counters.unknown_prior_location),
            ("refused_full", counters.refused_full),
            ("refused_stalled", counters.refused_stalled),
            ("refused_no_majority", counters.refused_no_majority),
            ("drains_heard", counters.drains_from_peers),
        ],
    )
}

/// Formats the group `Spooled`: results in the result spool and disk errors.
pub fn format_result_spool(counters: &ResultSpoolCounters) -> String {
    format_group(
        "Spooled",
        &[
            ("begun", counters.begun),
            ("whole", counters.completed),
            ("dropped", counters.dropped),
            ("parts", counters.parts_sent),
            ("returned", counters.reattached),
            ("gone", counters.not_found),
            ("disk_errors", counters.disk_errors),
        ],
    )
}

/// Formats the group `Counted` for replication: claims, their answers, and transfers between
/// replicas.
pub fn format_replication(counters: &eideryard_replication::core::Counters) -> String {
    format_group(
        "Counted",
        &[
            ("claims", counters.claims),
            ("granted", counters.granted),
            ("earlier", counters.prior_runs_found),
            ("without_majority", counters.without_majority),
            ("sent_without", counters.sent_without_majority),
            ("answered", counters.accepted),
            ("turned_away", counters.rejected),
            ("mended", counters.repaired),
            ("caught_up_bytes", counters.transferred_bytes),
            ("resent", counters.resent),
        ],
    )
}

/// Formats the group `Counted` for leases: leases won and lost, and messages counted by the
/// validity of their fencing tokens.
pub fn format_leases(counters: &eideryard_leases::Counters) -> String {
    format_group(
        "Counted",
        &[
            ("won", counters.acquired),
            ("lost", counters.lost),
            ("applied", counters.applied),
            ("fenced", counters.fenced),
            ("turned_away", counters.rejected),
        ],
    )
}
