//! The rule on replicas: at the end of a run all voters of a group hold the same replicas, except
//! for entries that their origin no longer needs.

use eideryard_replication::compare::{compare, VoterReplicas};

use super::{Break, Rule, Subject, Verdict};

/// Compares the replicas of the voters of one group. `now_ms`: Unix milliseconds, for expiry.
pub fn check(voters: &[(String, VoterReplicas)], now_ms: u64, verdict: &mut Verdict) {
    let replicas: Vec<VoterReplicas> = voters
        .iter()
        .map(|(_, replicas)| replicas.clone())
        .collect();
    let comparison = compare(&replicas, now_ms);
    verdict.add_to_figure("copies", comparison.compared);
    verdict.add_to_figure("differ", comparison.differences.len() as u64);
    for difference in comparison.differences {
        let missing = voters
            .iter()
            .zip(&difference.missing)
            .filter(|(_, missing)| !missing.is_empty());
        let missing: Vec<String> = missing
            .map(|((name, _), missing)| format!("{name} lacks {missing:?}"))
            .collect();
        let key: String = difference
            .key
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        let text = format!("replicas of key {key} differ: {}", missing.join("; "));
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
