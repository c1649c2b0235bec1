//! Tests of the rules on event logs and crashes.

use super::super::check;
use super::super::tests::*;
use super::*;

#[test]
fn a_recorded_answer_that_differs_from_the_clients_or_repeats_is_caught() {
    let events = [
        try_sent(10, 1, "a", "g1", 0),
        try_ended(20, 1, TryOutcome::Served),
    ];
    let answered = |kind| Recorded {
        gateway: "g1".into(),
        at: 15,
        id: 1,
        what: RequestEvent::Answered(kind),
    };
    let count = |records: &[Recorded]| {
        let verdict = check(&facts(), &events, records, &[]);
        verdict.count(Rule::Records)
    };
    assert_eq!(count(&[answered(AnswerKind::Served)]), 0);
    assert_eq!(count(&[answered(AnswerKind::Refused)]), 1);
    assert_eq!(
        count(&[answered(AnswerKind::Served), answered(AnswerKind::Served)]),
        1
    );
    let crashed = check(&facts(), &events, &[], &["g1".to_string()]);
    assert_eq!(crashed.count(Rule::Crash), 1);
}
