//! Copies agree: what keepers hold of a key at the end is the same, unless its origin has let go of
//! it.

use eideryard_replication::compare::{compare, VoterReplicas};

use super::{Break, Rule, Subject, Verdict};

/// Compares the replicas of one group of keepers at a time in Unix milliseconds.
pub fn check(keepers: &[(String, VoterReplicas)], now_ms: u64, verdict: &mut Verdict) {
    let held: Vec<VoterReplicas> = keepers.iter().map(|(_, held)| held.clone()).collect();
    let comparison = compare(&held, now_ms);
    verdict.add_to_figure("copies", comparison.compared);
    verdict.add_to_figure("differ", comparison.differences.len() as u64);
    for own in comparison.differences {
        let lacks = keepers
            .iter()
            .zip(&own.missing)
            .filter(|(_, lacks)| !lacks.is_empty());
        let lacks: Vec<String> = lacks
            .map(|((name, _), lacks)| format!("{name} lacks {lacks:?}"))
            .collect();
        let key: String = own.key.iter().map(|byte| format!("{byte:02x}")).collect();
        let text = format!("copies of {key} differ: {}", lacks.join("; "));
        verdict.add(Break {
            rule: Rule::Copies,
            subject: Subject::Gateway("keepers".into()),
            from: 0,
            to: 0,
            text,
        });
    }
}

#[cfg(test)]
mod tests;
