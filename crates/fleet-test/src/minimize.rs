//! Makes a plan that breaks a rule smaller: drops faults, first many at a time, then one by one,
//! for as long as it still breaks. Pure; whether a plan breaks is asked of the caller.

use crate::plan::Plan;

/// The smallest plan found of which no fault can be dropped.
pub fn minimize(plan: &Plan, mut breaks: impl FnMut(&Plan) -> bool) -> Plan {
    let mut faults = plan.faults.clone();
    let mut size = faults.len().div_ceil(2).max(1);
    loop {
        let before = faults.len();
        let mut at = 0;
        while at < faults.len() {
            let mut fewer = faults.clone();
            fewer.drain(at..(at + size).min(fewer.len()));
            if breaks(&plan.with(&fewer)) {
                faults = fewer;
            } else {
                at += size;
            }
        }
        match size {
            // What was needed may be needed no more once others are gone.
            1 if faults.len() == before => return plan.with(&faults),
            1 => {}
            _ => size = size.div_ceil(2),
        }
    }
}

#[cfg(test)]
mod tests {
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
}
