//! Which gateways vote together: those whose operator's files name the same keepers. Pure.
//!
//! Replicas are compared within a group alone: a gateway whose file names other keepers is turned
//! away by them, so it holds none of their entries and they hold none of its.

use std::collections::BTreeMap;

use eideryard_emulators::scenario::GatewaySpec;

/// How a line of an operator's file that names a keeper begins.
const KEEPER: &str = "keeper ";

/// Gateways that are keepers by their own files, all of which name the same keepers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterGroup {
    /// The keepers that the files name, whether or not these run.
    pub named: Vec<String>,
    /// Those of them whose own files agree.
    pub members: Vec<String>,
}

impl VoterGroup {
    /// Whether so many members can ever be a majority.
    pub fn can_have_majority(&self) -> bool {
        self.members.len() * 2 > self.named.len()
    }
}

/// The keepers that a gateway's operator's file names.
fn keepers_named(gateway: &GatewaySpec) -> Vec<String> {
    let named = gateway
        .operator
        .iter()
        .filter_map(|line| line.trim().strip_prefix(KEEPER));
    let mut names: Vec<String> = named
        .filter_map(|rest| rest.split_whitespace().next())
        .map(str::to_string)
        .collect();
    names.sort();
    names
}

/// The groups of all keepers of a scenario.
pub fn groups(gateways: &[GatewaySpec]) -> Vec<VoterGroup> {
    let mut members: BTreeMap<Vec<String>, Vec<String>> = BTreeMap::new();
    for gateway in gateways {
        let named = keepers_named(gateway);
        if named.contains(&gateway.name) {
            members.entry(named).or_default().push(gateway.name.clone());
        }
    }
    members
        .into_iter()
        .map(|(named, members)| VoterGroup { named, members })
        .collect()
}
