//! Tests of the rule on order.

use super::super::tests::*;
use super::*;
use eideryard_emulators::history::TryOutcome;

#[test]
fn overlapping_and_reordered_requests_of_one_key_are_caught() {
    let query_ended = |at, id| TimedEvent {
        at,
        event: Event::QueryEnded {
            engine: "e1".into(),
            id,
            completed: true,
        },
    };
    let count = |events: &[TimedEvent]| checked(events).count(Rule::Order);
    let two_requests = |second: &str| {
        vec![
            ordered_try_sent(10, 1, "k"),
            ordered_try_sent(200_000, 2, second),
        ]
    };
    let (other_keys, same_key) = (two_requests("l"), two_requests("k"));
    let overlap = [
        query_began(300_000, "e1", 1, 0.1),
        query_began(300_100, "e2", 2, 0.1),
    ];
    let ends = [
        try_ended(400_000, 1, TryOutcome::Served),
        try_ended(400_001, 2, TryOutcome::Served),
    ];
    assert_eq!(count(&[&other_keys[..], &overlap, &ends].concat()), 0);
    assert_eq!(count(&[&same_key[..], &overlap, &ends].concat()), 1);
    let reordered = [
        query_began(300_000, "e1", 2, 0.1),
        query_ended(300_050, 2),
        query_began(300_100, "e1", 1, 0.1),
    ];
    assert_eq!(
        count(&[&same_key[..], &reordered, &ends].concat()),
        1,
        "the later one ran first"
    );
    let in_turn = [
        query_began(300_000, "e1", 1, 0.1),
        query_ended(300_050, 1),
        query_began(300_100, "e1", 2, 0.1),
    ];
    assert_eq!(count(&[&same_key[..], &in_turn, &ends].concat()), 0);
}
