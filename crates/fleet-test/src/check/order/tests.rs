//! Tests of this module, on small inputs.

use super::super::tests::*;
use super::*;
use eideryard_emulators::history::TryOutcome;

#[test]
fn two_of_one_key_at_a_time_or_out_of_turn_are_caught() {
    let left = |at, id| TimedEvent {
        at,
        event: Event::QueryEnded {
            engine: "e1".into(),
            id,
            completed: true,
        },
    };
    let count = |events: &[TimedEvent]| checked(events).count(Rule::Order);
    let two = |second: &str| vec![in_order(10, 1, "k"), in_order(200_000, 2, second)];
    let (apart, same) = (two("l"), two("k"));
    let overlap = [began(300_000, "e1", 1, 0.1), began(300_100, "e2", 2, 0.1)];
    let ends = [
        over(400_000, 1, TryOutcome::Served),
        over(400_001, 2, TryOutcome::Served),
    ];
    assert_eq!(count(&[&apart[..], &overlap, &ends].concat()), 0);
    assert_eq!(count(&[&same[..], &overlap, &ends].concat()), 1);
    let turned = [
        began(300_000, "e1", 2, 0.1),
        left(300_050, 2),
        began(300_100, "e1", 1, 0.1),
    ];
    assert_eq!(
        count(&[&same[..], &turned, &ends].concat()),
        1,
        "the later one ran first"
    );
    let good = [
        began(300_000, "e1", 1, 0.1),
        left(300_050, 1),
        began(300_100, "e1", 2, 0.1),
    ];
    assert_eq!(count(&[&same[..], &good, &ends].concat()), 0);
}
