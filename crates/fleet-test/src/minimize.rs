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
mod tests;
