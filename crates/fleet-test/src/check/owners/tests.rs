//! Tests of the rule on owners of tasks.

use super::*;

#[test]
fn accepted_stale_work_and_a_second_owner_of_a_term_are_caught() {
    let work = |gateway: &str, at, token, is_accepted| ReceivedWork {
        gateway: gateway.into(),
        at,
        task: 7,
        token,
        is_accepted,
    };
    let figures = |received: &[ReceivedWork]| {
        let mut verdict = Verdict::default();
        check(received, &mut verdict);
        (
            verdict.figures["stale_applied"],
            verdict.figures["two_owners"],
            verdict.count(Rule::Owners),
        )
    };
    let sound = [
        work("g1", 1, (1, 5), true),
        work("g1", 2, (2, 4), true),
        work("g1", 3, (1, 5), false),
    ];
    assert_eq!(figures(&sound), (0, 0, 0));
    let stale = [
        work("g1", 1, (2, 4), true),
        work("g2", 2, (1, 5), true),
        work("g1", 3, (1, 5), true),
    ];
    assert_eq!(
        figures(&stale),
        (1, 0, 1),
        "another gateway may lag behind, the same one must not"
    );
    let two_owners = [work("g1", 1, (2, 4), true), work("g1", 2, (2, 5), true)];
    assert_eq!(figures(&two_owners), (0, 1, 1));
}
