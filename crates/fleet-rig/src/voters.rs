//! Which gateways vote together: those whose operator's files name the same keepers. Pure.
//!
//! Replicas are compared within a group alone: a gateway whose file names other keepers is turned away by
//! them, so it holds none of their entries and they hold none of its.

use std::collections::BTreeMap;

use eideryard_standin::scenario::GatewaySpec;

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
    let named = gateway.operator.iter().filter_map(|line| line.trim().strip_prefix(KEEPER));
    let mut names: Vec<String> =
        named.filter_map(|rest| rest.split_whitespace().next()).map(str::to_string).collect();
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
    members.into_iter().map(|(named, members)| VoterGroup { named, members }).collect()
}

#[cfg(test)]
mod tests {
    use eideryard_standin::scenario::Scenario;

    use super::*;

    #[test]
    fn keepers_are_grouped_by_the_keepers_that_their_files_name() {
        let gateway = |name: &str, keepers: &[&str]| {
            let lines: String =
                keepers.iter().map(|own| format!("operator \"keeper {own} {{peer {own}}}\"\n")).collect();
            format!("gateway {name} {{\n{lines}}}\n")
        };
        let text = gateway("g1", &["g1", "g2", "g3"])
            + &gateway("g2", &["g3", "g2", "g1"])
            + &gateway("g3", &["g1", "g2", "g3"])
            + &gateway("g4", &["g1", "g2", "g4"])
            + &gateway("g5", &["g1", "g2", "g3"])
            + &gateway("g6", &[]);
        let scenario = Scenario::read("groups", &text).expect("it can be read");
        let groups = groups(&scenario.gateways);
        let members: Vec<Vec<&str>> =
            groups.iter().map(|group| group.members.iter().map(String::as_str).collect()).collect();
        assert_eq!(members, [vec!["g1", "g2", "g3"], vec!["g4"]], "g5 only asks, g6 knows no fleet");
        assert_eq!(groups.iter().map(VoterGroup::can_have_majority).collect::<Vec<_>>(), [true, false]);
    }
}
