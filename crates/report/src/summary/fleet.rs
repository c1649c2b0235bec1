//! Describes the state of the fleet: peers, votes and leases.

use std::collections::BTreeMap;

use eideryard_event_analysis::{GatewayRun, View};

/// Describes the last state that each gateway logged of its peers, its vote and its leases. Returns
/// one line for each gateway whose log states any of them.
pub fn fleet(view: &View) -> Vec<String> {
    let mut lines = Vec::new();
    for (_, run) in view.fleet.latest_runs() {
        let is_in_fleet =
            !run.peers.is_empty() || !run.rejected_peers.is_empty() || run.is_voter.is_some();
        if is_in_fleet {
            lines.push(format!("{}: {}", run.name, describe_run(view, run)));
        }
    }
    lines
}

fn describe_run(view: &View, run: &GatewayRun) -> String {
    let mut parts = describe_peers(run);
    for (name, reason) in &run.rejected_peers {
        parts.push(format!("handshake with {name} rejected ({reason})"));
    }
    if let Some(is_voter) = run.is_voter {
        let state = if is_voter { "votes" } else { "catches up" };
        parts.push(state.into());
    }
    if !run.leases.is_empty() {
        parts.push(format!(
            "probes for the whole fleet: {}",
            describe_leases(view, run)
        ));
    }
    if run.rejected_work > 0 {
        parts.push(format!(
            "messages of former lease owners rejected: {}",
            run.rejected_work
        ));
    }
    if run.has_majority == Some(false) {
        parts.push("NO MAJORITY".into());
    }
    parts.join("; ")
}

/// Lists the names of peers by their state.
fn describe_peers(run: &GatewayRun) -> Vec<String> {
    let mut states: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (name, state) in &run.peers {
        states.entry(state).or_default().push(name);
    }
    states
        .iter()
        .map(|(state, names)| format!("{state}: {}", names.join(" ")))
        .collect()
}

fn describe_leases(view: &View, run: &GatewayRun) -> String {
    let leases = run.leases.iter();
    let names: Vec<String> = leases
        .map(|(engine, term)| format!("{} (term {term})", view.fleet.engine_name(*engine)))
        .collect();
    names.join(" ")
}
