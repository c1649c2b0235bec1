//! Tests of the rule on replicas.

use super::*;
use eideryard_replication::{Origin, Phase, Record};

#[test]
fn a_voter_without_a_record_breaks_the_rule() {
    let record = Record {
        version: 1,
        phase: Phase::InFlight,
        location: None,
        since: 1,
        until: 2,
        origin_expiry_ms: 20_000,
    };
    let complete: VoterReplicas = [(
        b"key".to_vec(),
        [(
            Origin {
                identity: 1,
                start: 1,
            },
            record,
        )]
        .into(),
    )]
    .into();
    let count = |other: VoterReplicas| {
        let mut verdict = Verdict::default();
        check(
            &[("g1".into(), complete.clone()), ("g2".into(), other)],
            10_000,
            &mut verdict,
        );
        (verdict.count(Rule::Copies), verdict.figures["differ"])
    };
    assert_eq!(
        (count(complete.clone()), count(VoterReplicas::new())),
        ((0, 0), (1, 1))
    );
}
