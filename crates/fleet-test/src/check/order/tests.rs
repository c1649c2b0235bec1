//! Tests of the rule on order.

use super::super::tests::*;
use super::*;
use eideryard_emulators::history::How;

#[test]
fn overlapping_and_reordered_requests_of_one_key_are_caught() {
    let query_ended = |at, id| Happened {
        at,
        what: What::Left {
            engine: "e1".into(),
            id,
            done: true,
        },
    };
    let count = |events: &[Happened]| checked(events).count(Rule::Order);
    let two_requests = |second: &str| vec![in_order(10, 1, "k"), in_order(200_000, 2, second)];
    let (other_keys, same_key) = (two_requests("l"), two_requests("k"));
    let overlap = [began(300_000, "e1", 1, 0.1), began(300_100, "e2", 2, 0.1)];
    let ends = [over(400_000, 1, How::Served), over(400_001, 2, How::Served)];
    assert_eq!(count(&[&other_keys[..], &overlap, &ends].concat()), 0);
    assert_eq!(count(&[&same_key[..], &overlap, &ends].concat()), 1);
    let reordered = [
        began(300_000, "e1", 2, 0.1),
        query_ended(300_050, 2),
        began(300_100, "e1", 1, 0.1),
    ];
    assert_eq!(
        count(&[&same_key[..], &reordered, &ends].concat()),
        1,
        "the later one ran first"
    );
    let in_turn = [
        began(300_000, "e1", 1, 0.1),
        query_ended(300_050, 1),
        began(300_100, "e1", 2, 0.1),
    ];
    assert_eq!(count(&[&same_key[..], &in_turn, &ends].concat()), 0);
}
