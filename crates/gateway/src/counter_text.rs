//! Counters of the gateway's parts as the log prints them. The names are an interface for scripts
//! that read the log; they are fixed here and are not the names of types and fields.

use crate::intent_durability::Counted;
use crate::result_spool::ResultSpoolCounters;

/// A group's name and its counters: `Name { first: 1, second: 2 }`.
fn group(name: &str, counters: &[(&str, u64)]) -> String {
    let pairs: Vec<String> = counters
        .iter()
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    format!("{name} {{ {} }}", pairs.join(", "))
}

/// What was counted of intents.
pub fn intents(counted: &Counted) -> String {
    group(
        "Counted",
        &[
            ("intents", counted.intents),
            ("waited", counted.waited),
            ("pinned", counted.pinned),
            ("doubted", counted.doubted),
            ("refused_full", counted.refused_full),
            ("refused_stalled", counted.refused_stalled),
            ("refused_no_majority", counted.refused_no_majority),
            ("drains_heard", counted.drains_heard),
        ],
    )
}

/// What was counted of spooled results.
pub fn spool(counted: &ResultSpoolCounters) -> String {
    group(
        "Spooled",
        &[
            ("begun", counted.begun),
            ("whole", counted.whole),
            ("dropped", counted.dropped),
            ("parts", counted.parts),
            ("returned", counted.returned),
            ("gone", counted.gone),
            ("disk_errors", counted.disk_errors),
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
