//! Reduces a plan that breaks a rule: removes faults, first many at a time, then one by one, as
//! long as the plan still breaks the rule. No I/O: the caller plays the plans.

use crate::plan::Plan;

/// Reduces a plan until none of its faults can be removed. `breaks` tells whether a plan still
/// breaks the rule.
pub fn minimize(plan: &Plan, mut breaks: impl FnMut(&Plan) -> bool) -> Plan {
    let mut faults = plan.faults.clone();
    let mut size = faults.len().div_ceil(2).max(1);
    loop {
        let before = faults.len();
        let mut start = 0;
        while start < faults.len() {
            let mut fewer = faults.clone();
            fewer.drain(start..(start + size).min(fewer.len()));
            if breaks(&plan.with(&fewer)) {
                faults = fewer;
            } else {
                start += size;
            }
        }
        match size {
            // Removing one fault may make another one unnecessary, so single faults are tried until
            // none can be removed.
            1 if faults.len() == before => return plan.with(&faults),
            1 => {}
            _ => size = size.div_ceil(2),
        }
    }
}

#[cfg(test)]
mod tests;
