//! The state of the group of gateways in words.

use std::collections::BTreeMap;

use eideryard_event_analysis::{GatewayRun, View};

/// What each gateway last said about its peers, votes and leases: one line for each that said
/// something.
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
        parts.push(format!("{name} turned away ({reason})"));
    }
    if let Some(is_voter) = run.is_voter {
        let state = if is_voter { "votes" } else { "catches up" };
        parts.push(state.into());
    }
    if !run.leases.is_empty() {
        parts.push(format!("probes for all {}", describe_leases(view, run)));
    }
    if run.rejected_work > 0 {
        parts.push(format!("turned away {} of late owners", run.rejected_work));
    }
    if run.has_majority == Some(false) {
        parts.push("NO MAJORITY".into());
    }
    parts.join("; ")
}

/// The names of peers by their state.
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
