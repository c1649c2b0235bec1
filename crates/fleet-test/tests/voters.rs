//! Voter groups, as the gateways' configurations name them.

use eideryard_emulators::scenario::Scenario;
use eideryard_fleet_test::voters::{groups, VoterGroup};

/// Replicas are compared within a voter group. Guards against a comparison across gateways whose
/// files name different voters: these share no entries.
#[test]
fn voters_are_grouped_by_the_voters_that_their_files_name() {
    let gateway = |name: &str, voters: &[&str]| {
        let lines: String = voters
            .iter()
            .map(|voter| format!("operator \"keeper {voter} {{peer {voter}}}\"\n"))
            .collect();
        format!("gateway {name} {{\n{lines}}}\n")
    };
    let text = gateway("g1", &["g1", "g2", "g3"])
        + &gateway("g2", &["g3", "g2", "g1"])
        + &gateway("g3", &["g1", "g2", "g3"])
        + &gateway("g4", &["g1", "g2", "g4"])
        + &gateway("g5", &["g1", "g2", "g3"])
        + &gateway("g6", &[]);
    let scenario = Scenario::read("groups", &text).expect("the scenario must be readable");
    let groups = groups(&scenario.gateways);
    let members: Vec<Vec<&str>> = groups
        .iter()
        .map(|group| group.members.iter().map(String::as_str).collect())
        .collect();
    assert_eq!(
        members,
        [vec!["g1", "g2", "g3"], vec!["g4"]],
        "g5 isn't one of the voters that it names, g6 names none"
    );
    assert_eq!(
        groups
            .iter()
            .map(VoterGroup::can_have_majority)
            .collect::<Vec<_>>(),
        [true, false]
    );
}
