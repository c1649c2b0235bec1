//! Groups of gateways that vote together.

use eideryard_emulators::scenario::Scenario;
use eideryard_fleet_test::voters::{groups, VoterGroup};

#[test]
fn keepers_are_grouped_by_the_keepers_that_their_files_name() {
    let gateway = |name: &str, keepers: &[&str]| {
        let lines: String = keepers
            .iter()
            .map(|own| format!("operator \"keeper {own} {{peer {own}}}\"\n"))
            .collect();
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
    let members: Vec<Vec<&str>> = groups
        .iter()
        .map(|group| group.members.iter().map(String::as_str).collect())
        .collect();
    assert_eq!(
        members,
        [vec!["g1", "g2", "g3"], vec!["g4"]],
        "g5 only asks, g6 knows no fleet"
    );
    assert_eq!(
        groups
            .iter()
            .map(VoterGroup::can_have_majority)
            .collect::<Vec<_>>(),
        [true, false]
    );
}
