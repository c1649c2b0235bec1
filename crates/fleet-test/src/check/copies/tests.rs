//! Tests of this module, on small inputs.

use super::*;
use eideryard_replication::{Origin, Phase, Record};

#[test]
fn a_keeper_that_lacks_a_record_breaks_the_rule() {
    let record = Record {
        version: 1,
        phase: Phase::InFlight,
        location: None,
        since: 1,
        until: 2,
        origin_expiry_ms: 20_000,
    };
    let held: VoterReplicas = [(
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
            &[("g1".into(), held.clone()), ("g2".into(), other)],
            10_000,
            &mut verdict,
        );
        (verdict.count(Rule::Copies), verdict.figures["differ"])
    };
    assert_eq!(
        (count(held.clone()), count(VoterReplicas::new())),
        ((0, 0), (1, 1))
    );
}
