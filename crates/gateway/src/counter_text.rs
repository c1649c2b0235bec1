//! Counters of the gateway's parts as the log prints them. The names are an interface for scripts
//! that read the log; they are fixed here and are not the names of types and fields.

use crate::intent_durability::{IntentCounters, IntentDurability};
use crate::result_spool::ResultSpoolCounters;

/// A group's name and its counters: `Name { first: 1, second: 2 }`.
fn group(name: &str, counters: &[(&str, u64)]) -> String {
    let pairs: Vec<String> = counters
        .iter()
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    format!("{name} {{ {} }}", pairs.join(", "))
}

/// What the intent durability and, in a fleet, replication and leases have counted.
pub fn durability(durability: &IntentDurability) -> String {
    let mut text = format!("; {}", intents(&durability.counters));
    let Some(driver) = durability.replication() else {
        return text;
    };
    text.push_str(&format!("; {}", replication(&driver.counters())));
    if let Some(driver) = driver.leases() {
        text.push_str(&format!(
            "; {}; probes_spared: {}",
            leases(&driver.counters()),
            driver.probes_spared()
        ));
    }
    text
}

/// What was counted of intents.
pub fn intents(counters: &IntentCounters) -> String {
    group(
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

/// What was counted of spooled results.
pub fn spool(counters: &ResultSpoolCounters) -> String {
    group(
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

/// What was counted of replicas and claims.
pub fn replication(counters: &eideryard_replication::core::Counters) -> String {
    group(
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

/// What was counted of leases.
pub fn leases(counters: &eideryard_leases::Counters) -> String {
    group(
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
