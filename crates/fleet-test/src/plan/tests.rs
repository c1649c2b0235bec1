//! Tests of drawn plans.

use super::*;

const CASES: [Case; 5] = [
    Case::Store,
    Case::Copies,
    Case::Owner,
    Case::Power,
    Case::Mix,
];

#[test]
fn every_plan_parses_and_depends_only_on_its_arguments() {
    for case in CASES {
        let plans: Vec<Plan> = (0..200)
            .map(|seed| draw(case, seed, 3 + seed as usize % 10, 20, true))
            .collect();
        for (seed, plan) in plans.iter().enumerate() {
            plan.scenario("drawn")
                .unwrap_or_else(|e| panic!("{e}\n{plan}"));
            assert!(!plan.faults.is_empty(), "seed {seed}");
            assert_eq!(*plan, draw(case, seed as u64, 3 + seed % 10, 20, true));
            assert_eq!(Plan::from_text(&plan.to_string()), *plan);
        }
        assert!(plans.windows(2).all(|pair| pair[0] != pair[1]));
    }
}

#[test]
fn mixed_plans_contain_every_kind_of_fault() {
    let faults: String = (0..60)
        .map(|seed| draw(Case::Mix, seed, 5, 20, true).faults.join("\n"))
        .collect();
    for fault in [
        "kill-gateway",
        "stop-gateway",
        "pause-gateway",
        "wipe-directory",
        "link-cut",
        "way there",
        "link-delay",
        "link-stall",
        "link-swallow",
        "link-flap",
        "link-throttle",
        "link-reset",
        "kill a",
        "drain",
        "bulletin down",
    ] {
        assert!(faults.contains(fault), "no {fault}");
    }
    let power: String = (0..60)
        .map(|seed| draw(Case::Power, seed, 5, 20, true).faults.join("\n"))
        .collect();
    let loses_power_twice = |seed| {
        draw(Case::Power, seed, 5, 20, true)
            .to_string()
            .matches("power-loss")
            .count()
            == 2
    };
    assert!(power.contains("put-back-directory") && (0..60).any(loses_power_twice));
}
