//! Copies join in any order, any number of times, to the same: every kind of record, every split of
//! messages.

use eideryard_intent_log::Place;
use eideryard_replication::entry::{self, join, Origin, Phase, Record, ReplicaRecord};
use eideryard_replication::replica_set::{print_of, range, Limits, ReplicaSet, RANGES};
use proptest::collection::vec;
use proptest::prelude::*;

fn origin() -> impl Strategy<Value = Origin> {
    (0..3u64, 1..3u64).prop_map(|(identity, start)| Origin { identity, start })
}

/// An origin alone writes its records: of one version there is one. What it says comes of both
/// here.
fn written() -> impl Strategy<Value = (Origin, Record)> {
    (origin(), 1..5u32, 0..1000u64, 0..1000u64).prop_map(|(origin, version, since, until)| {
        let said = origin.identity * 31 + origin.start * 7 + u64::from(version);
        let phase = [Phase::Out, Phase::Void, Phase::Ran][said as usize % 3];
        let place = (said % 4 != 0).then_some(Place {
            zone: said as u32 % 2,
            cell: said as u32 % 3,
        });
        (
            origin,
            Record {
                version,
                phase,
                place,
                since,
                until,
                nominal_ms: said,
            },
        )
    })
}

fn joined(records: &[(Origin, Record)]) -> ReplicaRecord {
    let mut copy = ReplicaRecord::new();
    for (origin, record) in records.iter() {
        _ = join(&mut copy, *origin, *record);
    }
    copy
}

proptest! {
    #[test]
    fn any_order_and_any_repeats_give_the_same_copy(
        records in vec(written(), 0..12),
        order in vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let once = joined(&records);
        let mut again = records.clone();
        again.reverse();
        if !records.is_empty() {
            again.extend(order.iter().map(|at| records[at.index(records.len())]));
        }
        prop_assert_eq!(joined(&again), once);
    }

    #[test]
    fn copies_join_as_their_records_do(
        a in vec(written(), 0..8), b in vec(written(), 0..8), c in vec(written(), 0..8),
    ) {
        let merged = |own: &ReplicaRecord, other: &ReplicaRecord| {
            let mut copy = own.clone();
            for (origin, record) in other.iter() { _ = join(&mut copy, *origin, *record) }
            copy
        };
        let (a, b, c) = (joined(&a), joined(&b), joined(&c));
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a);
    }

    #[test]
    fn a_join_never_makes_a_record_younger_or_drops_it_sooner(
        records in vec(written(), 1..12),
    ) {
        let copy = joined(&records);
        for (origin, record) in &records {
            let kept = copy[origin];
            prop_assert!(kept.since <= record.since && kept.until >= record.until);
            prop_assert!(kept.version >= record.version);
        }
        let bytes = entry::to_bytes(&copy);
        prop_assert_eq!(entry::from_bytes(&bytes), Some(copy));
        prop_assert!(bytes.is_empty() || entry::from_bytes(&bytes[..bytes.len() - 1]).is_none());
    }

    /// A summary that is kept with every change is that of what the table holds.
    #[test]
    fn prints_that_are_kept_are_those_of_the_copies(records in vec((0..4u8, written()), 0..30), now in 0..4u64) {
        let mut copies = ReplicaSet::new(Limits { entries: 3 });
        for (key, (origin, record)) in &records {
            let record = Record { nominal_ms: u64::from(record.version) * 900, ..*record };
            copies.join(&[*key], *origin, record);
            copies.expire(u64::from(*key) * 200);
        }
        let mut whole = vec![0u64; RANGES];
        for key in 0..4u8 {
            let print = copies.get(&[key]).map_or(0, |copy| print_of(&[key], copy, now * 1_000_000));
            whole[range(&[key])] ^= print;
        }
        prop_assert_eq!(copies.prints(now * 1_000_000), whole);
    }

    /// Whatever its receiver's clock: it is not taken for younger than it was when it was asked
    /// for, and not dropped sooner.
    #[test]
    fn travelling_keeps_the_safe_side(
        (_, record) in written(), sent in 1000..2000u64, trip in 0..500u64, clock in 0..100_000u64,
    ) {
        let (asked, told) = (sent, sent + trip);
        let travelling = record.travels(told);
        // The receiver's clock shows `clock` more.
        let arrived = travelling.arrives(told + trip + clock, Some(asked + clock));
        prop_assert!(arrived.since <= record.since + clock);
        prop_assert!(arrived.until >= record.until.min(told) + clock || arrived.until >= record.until + clock);
    }
}
