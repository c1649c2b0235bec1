//! Tests of the reduction of plans.

use super::*;

#[test]
fn only_faults_that_are_needed_together_remain() {
    let faults: Vec<String> = (0..23)
        .map(|number| format!("at {number}ms reset e-1"))
        .collect();
    let plan = Plan {
        head: "seed 1\n".into(),
        faults,
    };
    let mut plays = 0;
    let needs = |plan: &Plan, numbers: &[u32]| {
        numbers
            .iter()
            .all(|n| plan.faults.contains(&format!("at {n}ms reset e-1")))
    };
    let small = minimize(&plan, |plan| {
        plays += 1;
        needs(plan, &[3, 11, 22])
    });
    assert_eq!(
        small.faults,
        ["at 3ms reset e-1", "at 11ms reset e-1", "at 22ms reset e-1"]
    );
    assert!(plays < 40, "{plays}");
    // If either of two faults suffices, only one remains.
    let either = minimize(&plan, |plan| needs(plan, &[5]) || needs(plan, &[6]));
    assert_eq!(either.faults.len(), 1);
}
