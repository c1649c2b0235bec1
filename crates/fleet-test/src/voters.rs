//! Groups the gateways that vote together: those whose operator files name the same voters (called
//! keepers there). No I/O.
//!
//! Replicas are compared only within a group: voters reject the connections of a gateway whose file
//! names other voters, so no entries pass between them.

use std::collections::BTreeMap;

use eideryard_emulators::scenario::GatewaySpec;

/// How a line of the operator file that names a voter begins.
const KEEPER: &str = "keeper ";

/// Gateways that are voters by their own operator files, all of which name the same voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterGroup {
    /// The voters that the files name, sorted; also those that the scenario doesn't contain.
    pub named: Vec<String>,
    /// Those of them whose own files name the same voters.
    pub members: Vec<String>,
}

impl VoterGroup {
    /// Whether the members are a majority of the voters that the files name.
    pub fn can_have_majority(&self) -> bool {
        self.members.len() * 2 > self.named.len()
    }
}

/// The voters that the operator file of a gateway names, sorted.
fn named_voters(gateway: &GatewaySpec) -> Vec<String> {
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

/// Groups the voters of a scenario. A gateway whose own file doesn't name it is in no group.
pub fn groups(gateways: &[GatewaySpec]) -> Vec<VoterGroup> {
    let mut members: BTreeMap<Vec<String>, Vec<String>> = BTreeMap::new();
    for gateway in gateways {
        let named = named_voters(gateway);
        if named.contains(&gateway.name) {
            members.entry(named).or_default().push(gateway.name.clone());
        }
    }
    members
        .into_iter()
        .map(|(named, members)| VoterGroup { named, members })
        .collect()
}
