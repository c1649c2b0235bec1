//! Replica records merge to the same result in any order and with any repeats, and keep the safe
//! times.

use eideryard_intent_log::Location;
use eideryard_replication::entry::{self, merge, Origin, Phase, Record, ReplicaRecord};
use eideryard_replication::replica_set::{fingerprint_of, range_of, Limits, ReplicaSet, RANGES};
use proptest::collection::vec;
use proptest::prelude::*;

fn origin() -> impl Strategy<Value = Origin> {
    (0..3u64, 1..3u64).prop_map(|(identity, start)| Origin { identity, start })
}

/// A record with its origin. Only the origin writes its records, so there is one of each version:
/// its content is derived from both.
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
    fn any_order_and_any_repeats_give_the_same_replica_record(
        records in vec(record_of_origin(), 0..12),
        order in vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let once = merged_records(&records);
        let mut again = records.clone();
        again.reverse();
        if !records.is_empty() {
            again.extend(order.iter().map(|at| records[at.index(records.len())]));
        }
        prop_assert_eq!(merged_records(&again), once);
    }

    #[test]
    fn replica_records_merge_as_their_records_do(
        a in vec(record_of_origin(), 0..8), b in vec(record_of_origin(), 0..8), c in vec(record_of_origin(), 0..8),
    ) {
        let merged = |own: &ReplicaRecord, other: &ReplicaRecord| {
            let mut replica = own.clone();
            for (origin, record) in other.iter() { _ = merge(&mut replica, *origin, *record) }
            replica
        };
        let (a, b, c) = (merged_records(&a), merged_records(&b), merged_records(&c));
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a);
    }

    #[test]
    fn a_merge_never_makes_a_record_younger_or_expires_it_sooner(
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
        let mut whole = vec![0u64; RANGES];
        for key in 0..4u8 {
            let fingerprint = replicas.get(&[key]).map_or(0, |replica| fingerprint_of(&[key], replica, now * 1_000_000));
            whole[range_of(&[key])] ^= fingerprint;
        }
        prop_assert_eq!(replicas.range_fingerprints(now * 1_000_000), whole);
    }

    /// Whatever the receiver's clock shows.
    #[test]
    fn a_transferred_record_is_never_younger_or_expires_sooner(
        (_, record) in record_of_origin(), sent in 1000..2000u64, trip in 0..500u64, clock in 0..100_000u64,
    ) {
        let (requested_at, answered_at) = (sent, sent + trip);
        let wire_record = record.to_wire(answered_at);
        // The receiver's clock shows `clock` more.
        let arrived = wire_record.to_record(answered_at + trip + clock, Some(requested_at + clock));
        prop_assert!(arrived.since <= record.since + clock);
        prop_assert!(arrived.until >= record.until.min(answered_at) + clock || arrived.until >= record.until + clock);
    }
}
