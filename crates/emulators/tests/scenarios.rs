//! Guards against scenarios that are read wrongly, and against errors that don't name the cause.

use eideryard_emulators::scenario::Scenario;
use std::time::Duration;

fn read(text: &str) -> Result<Scenario, String> {
    Scenario::read("a.scenario", text).map_err(|e| e.to_string())
}

#[test]
fn the_example_scenarios_can_be_read() {
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
fn steps_are_sorted_by_time_and_invalid_scenarios_are_rejected() {
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
    for (text, expected) in [
        (
            "at 1s kill e-9\nengines 2 e {\n}\n",
            "a.scenario:1:1: the scenario doesn't define 'e-9'; expected one of: e-1, e-2",
        ),
        ("at 1s stall e-1 for ever", "a time like 250ms"),
        ("at 1s explode e-1", "is not a directive"),
        (
            "load a {\n class booking\n}",
            "uses the class 'booking', which the scenario doesn't define",
        ),
        (
            "load a {\n tenant nobody\n}",
            "uses the tenant 'nobody', which the scenario doesn't define",
        ),
        ("load a {\n from 10.0.0.1\n}", "expected one of 127.0.0.0/8"),
        (
            "at 1s bulletin sideways",
            "expected one of: up, down, silent",
        ),
        ("at 1s kill-gateway g1", "the scenario doesn't define 'g1'"),
    ] {
        let error = read(text).expect_err(text);
        assert!(error.contains(expected), "{text}: {error}");
    }
}

/// Guards against panics on invalid scenarios: reads seeded random mutations of a valid one.
#[test]
fn mutated_scenarios_are_read_or_rejected_without_a_panic() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/incident.scenario"
    );
    let original: Vec<char> = std::fs::read_to_string(path).unwrap().chars().collect();
    let mut rng = fastrand::Rng::with_seed(3);
    let rejected = (0..2000).filter(|_| {
        let mut text = original.clone();
        for _ in 0..rng.usize(1..6) {
            let (at, character) = (
                rng.usize(0..text.len()),
                *rng.choice(&['{', '}', '"', ' ', '\n', '9', 'x', '%', '-'])
                    .unwrap(),
            );
            if rng.bool() {
                text[at] = character;
            } else {
                text.insert(at, character);
            }
        }
        read(&text.into_iter().collect::<String>()).is_err()
    });
    assert!(rejected.count() > 500);
}
