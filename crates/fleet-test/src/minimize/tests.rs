//! Tests of this module, on small inputs.

use super::*;

#[test]
fn only_what_is_needed_together_stays_whatever_else_there_was() {
    let faults: Vec<String> = (0..23)
        .map(|number| format!("at {number}ms reset e-1"))
        .collect();
    let plan = Plan {
        head: "seed 1\n".into(),
        faults,
    };
    let mut asked = 0;
    let needs = |plan: &Plan, numbers: &[u32]| {
        numbers
            .iter()
            .all(|n| plan.faults.contains(&format!("at {n}ms reset e-1")))
    };
    let small = minimize(&plan, |plan| {
        asked += 1;
        needs(plan, &[3, 11, 22])
    });
    assert_eq!(
        small.faults,
        ["at 3ms reset e-1", "at 11ms reset e-1", "at 22ms reset e-1"]
    );
    assert!(asked < 40, "{asked}");
    // One of two is enough: either stays, never both.
    let either = minimize(&plan, |plan| needs(plan, &[5]) || needs(plan, &[6]));
    assert_eq!(either.faults.len(), 1);
}
