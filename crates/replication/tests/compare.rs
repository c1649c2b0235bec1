//! The comparison of voters' stores must report a record that one voter lost or has only in an
//! older version. It must not report one that expires soon, because some voters may already have
//! dropped it.

use eideryard_replication::compare::{compare, Comparison, VoterReplicas};
use eideryard_replication::{Origin, Phase, Record};

const ORIGIN: Origin = Origin {
    identity: 1,
    start: 1,
};

fn replicas(version: u32, origin_expiry_ms: u64) -> VoterReplicas {
    let record = Record {
        version,
        phase: Phase::MayHaveRun,
        location: None,
        since: 1,
        until: 2,
        origin_expiry_ms,
    };
    [(b"key".to_vec(), [(ORIGIN, record)].into())].into()
}

#[test]
fn a_missing_or_older_record_is_a_difference_until_it_expires_at_its_origin() {
    let compare_two = |a: VoterReplicas, b: VoterReplicas| compare(&[a, b], 10_000);
    assert_eq!(
        compare_two(replicas(2, 20_000), replicas(2, 20_000)),
        Comparison {
            compared: 1,
            differences: Vec::new()
        }
    );
    let older = compare_two(replicas(2, 20_000), replicas(1, 20_000)).differences;
    assert_eq!(older[0].missing, [vec![], vec![(ORIGIN, Some(1))]]);
    let missing = compare_two(replicas(2, 20_000), VoterReplicas::new()).differences;
    assert_eq!(missing[0].missing, [vec![], vec![(ORIGIN, None)]]);
    assert_eq!(
        compare_two(replicas(2, 10_500), VoterReplicas::new()).differences,
        Vec::new(),
        "records that are about to expire are skipped"
    );
}
