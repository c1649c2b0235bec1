//! Scenarios: what is read, what is refused, and engines that do as they are told.

use eideryard_emulators::scenario::Scenario;
use std::time::Duration;

fn read(text: &str) -> Result<Scenario, String> {
    Scenario::read("a.scenario", text).map_err(|e| e.to_string())
}

#[test]
fn the_examples_can_be_read() {
    for name in ["toy", "incident"] {
        let path = format!(
            "{}/../../examples/{name}.scenario",
            env!("CARGO_MANIFEST_DIR")
        );
        let scenario = read(&std::fs::read_to_string(path).unwrap()).unwrap();
        assert!(!scenario.engines.is_empty());
    }
}

#[test]
fn steps_are_in_order_and_what_is_not_there_is_named() {
    let text =
        "engines 2 e {\n cores 2\n}\nat 5s start e-1\nat 1s kill e-1\nat 2s errors 50% e-1 e-2 for 250ms\n";
    let scenario = read(text).unwrap();
    let steps: Vec<_> = scenario
        .steps
        .iter()
        .map(|step| (step.at.as_secs(), step.action))
        .collect();
    assert_eq!(steps, [(1, "kill"), (2, "errors"), (5, "start")]);
    let errors = &scenario.steps[1];
    assert_eq!(
        (errors.share, errors.lasts, errors.names.len()),
        (0.5, Duration::from_millis(250), 2)
    );
    for (text, words) in [
        (
            "at 1s kill e-9\nengines 2 e {\n}\n",
            "a.scenario:1:1: 'e-9' is not there; there are: e-1, e-2",
        ),
        ("at 1s stall e-1 for ever", "a time like 250ms"),
        ("at 1s explode e-1", "is not a directive"),
        (
            "load a {\n class booking\n}",
            "class 'booking', which is not there",
        ),
        (
            "load a {\n tenant nobody\n}",
            "tenant 'nobody', which is not there",
        ),
        ("load a {\n from 10.0.0.1\n}", "expected one of 127.0.0.0/8"),
        (
            "at 1s bulletin sideways",
            "expected one of: up, down, silent",
        ),
        ("at 1s kill-gateway g1", "'g1' is not there"),
    ] {
        let said = read(text).expect_err(text);
        assert!(said.contains(words), "{text}: {said}");
    }
}

/// Seeded mutations of a scenario: read or refused, never more.
#[test]
fn mutated_scenarios_are_read_or_refused() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/incident.scenario"
    );
    let good: Vec<char> = std::fs::read_to_string(path).unwrap().chars().collect();
    let mut rng = fastrand::Rng::with_seed(3);
    let refused = (0..2000).filter(|_| {
        let mut text = good.clone();
        for _ in 0..rng.usize(1..6) {
            let (at, c) = (
                rng.usize(0..text.len()),
                *rng.choice(&['{', '}', '"', ' ', '\n', '9', 'x', '%', '-'])
                    .unwrap(),
            );
            if rng.bool() {
                text[at] = c;
            } else {
                text.insert(at, c);
            }
        }
        read(&text.into_iter().collect::<String>()).is_err()
    });
    assert!(refused.count() > 500);
}
