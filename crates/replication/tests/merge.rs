//! Properties of merging: the result does not depend on order or repetition of messages, and a
//! merge never makes a run appear later or a record expire sooner.

use eideryard_intent_log::Location;
use eideryard_replication::entry::{self, merge, Origin, Phase, Record, ReplicaRecord};
use eideryard_replication::replica_set::{fingerprint_of, range_of, Limits, ReplicaSet, RANGES};
use proptest::collection::vec;
use proptest::prelude::*;

fn origin() -> impl Strategy<Value = Origin> {
    (0..3u64, 1..3u64).prop_map(|(identity, start)| Origin { identity, start })
}

/// Generates a record with its origin. Only the origin writes its records, so each of its versions
/// has one content, which is derived from origin and version.
fn record_of_origin() -> impl Strategy<Value = (Origin, Record)> {
    (origin(), 1..5u32, 0..1000u64, 0..1000u64).prop_map(|(origin, version, since, until)| {
        let content = origin.identity * 31 + origin.start * 7 + u64::from(version);
        let phase = [Phase::InFlight, Phase::NeverRan, Phase::MayHaveRun][content as usize % 3];
        let location = (content % 4 != 0).then_some(Location {
            zone: content as u32 % 2,
            cell: content as u32 % 3,
        });
        (
            origin,
            Record {
                version,
                phase,
                location,
                since,
                until,
                origin_expiry_ms: content,
            },
        )
    })
}

fn merged_records(records: &[(Origin, Record)]) -> ReplicaRecord {
    let mut replica = ReplicaRecord::new();
    for (origin, record) in records.iter() {
        _ = merge(&mut replica, *origin, *record);
    }
    replica
}

proptest! {
    #[test]
    fn order_and_repetition_do_not_change_the_merged_record(
        records in vec(record_of_origin(), 0..12),
        order in vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let once = merged_records(&records);
        let mut reordered = records.clone();
        reordered.reverse();
        if !records.is_empty() {
            reordered.extend(order.iter().map(|index| records[index.index(records.len())]));
        }
        prop_assert_eq!(merged_records(&reordered), once);
    }

    #[test]
    fn merging_replica_records_is_commutative_associative_and_idempotent(
        a in vec(record_of_origin(), 0..8), b in vec(record_of_origin(), 0..8), c in vec(record_of_origin(), 0..8),
    ) {
        let merged = |first: &ReplicaRecord, second: &ReplicaRecord| {
            let mut replica = first.clone();
            for (origin, record) in second.iter() { _ = merge(&mut replica, *origin, *record) }
            replica
        };
        let (a, b, c) = (merged_records(&a), merged_records(&b), merged_records(&c));
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a);
    }

    #[test]
    fn a_merge_never_makes_a_record_start_later_or_expire_sooner(
        records in vec(record_of_origin(), 1..12),
    ) {
        let replica = merged_records(&records);
        for (origin, record) in &records {
            let merged = replica[origin];
            prop_assert!(merged.since <= record.since && merged.until >= record.until);
            prop_assert!(merged.version >= record.version);
        }
        let bytes = entry::to_bytes(&replica);
        prop_assert_eq!(entry::from_bytes(&bytes), Some(replica));
        prop_assert!(bytes.is_empty() || entry::from_bytes(&bytes[..bytes.len() - 1]).is_none());
    }

    #[test]
    fn incremental_fingerprints_equal_those_of_the_records(records in vec((0..4u8, record_of_origin()), 0..30), now in 0..4u64) {
        let mut replicas = ReplicaSet::new(Limits { max_keys: 3 });
        for (key, (origin, record)) in &records {
            let record = Record { origin_expiry_ms: u64::from(record.version) * 900, ..*record };
            replicas.merge(&[*key], *origin, record);
            replicas.expire(u64::from(*key) * 200);
        }
        let mut expected = vec![0u64; RANGES];
        for key in 0..4u8 {
            let fingerprint = replicas.get(&[key]).map_or(0, |replica| fingerprint_of(&[key], replica, now * 1_000_000));
            expected[range_of(&[key])] ^= fingerprint;
        }
        prop_assert_eq!(replicas.range_fingerprints(now * 1_000_000), expected);
    }

    /// This is true for any difference between the clocks of sender and receiver.
    #[test]
    fn a_transferred_record_never_starts_later_or_expires_sooner(
        (_, record) in record_of_origin(),
        sent_at in 1000..2000u64,
        delay in 0..500u64,
        clock_difference in 0..100_000u64,
    ) {
        let (requested_at, answered_at) = (sent_at, sent_at + delay);
        let wire_record = record.to_wire(answered_at);
        // The receiver's clock is ahead by `clock_difference`.
        let received = wire_record.to_record(
            answered_at + delay + clock_difference,
            Some(requested_at + clock_difference),
        );
        prop_assert!(received.since <= record.since + clock_difference);
        prop_assert!(
            received.until >= record.until.min(answered_at) + clock_difference
                || received.until >= record.until + clock_difference
        );
    }
}
