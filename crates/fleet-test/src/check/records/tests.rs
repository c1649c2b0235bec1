//! Tests of this module, on small inputs.

use super::super::check;
use super::super::tests::*;
use super::*;

#[test]
fn a_record_that_says_other_than_its_client_saw_is_caught() {
    let events = [asked(10, 1, "a", "g1", 0), over(20, 1, How::Served)];
    let said = |kind| Recorded {
        gateway: "g1".into(),
        at: 15,
        id: 1,
        what: RequestEvent::Answered(kind),
    };
    let count = |records: &[Recorded]| {
        let verdict = check(&facts(), &events, records, &[]);
        verdict.count(Rule::Records)
    };
    assert_eq!(count(&[said(AnswerKind::Served)]), 0);
    assert_eq!(count(&[said(AnswerKind::Refused)]), 1);
    assert_eq!(
        count(&[said(AnswerKind::Served), said(AnswerKind::Served)]),
        1
    );
    let crashed = check(&facts(), &events, &[], &["g1".to_string()]);
    assert_eq!(crashed.count(Rule::Crash), 1);
}
