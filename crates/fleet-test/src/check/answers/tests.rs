//! Tests of the rules on answers.

use super::super::tests::*;
use super::*;
use eideryard_emulators::history::ProcessChange;

#[test]
fn every_try_needs_one_end_and_a_lost_answer_a_fault() {
    let sound = vec![
        try_sent(10, 1, "a", "g1", 0),
        try_ended(20, 1, TryOutcome::Served),
        try_sent(30, 2, "b", "g1", 0),
        gateway(40, "g1", ProcessChange::Killed),
        try_ended(50, 2, TryOutcome::ConnectionLost),
    ];
    let verdict = checked(&sound);
    assert!(verdict.is_kept(), "{:?}", verdict.breaks);
    assert_eq!(
        (
            verdict.figures["lost_killed"],
            verdict.figures["unanswered"]
        ),
        (1, 0)
    );
    // The same history without the kill, with a second end, without an end, with an end of an
    // unknown try, and with a surplus answer.
    let mut faulty = [
        sound.clone(),
        sound.clone(),
        sound.clone(),
        sound.clone(),
        sound.clone(),
    ];
    faulty[0].remove(3);
    faulty[1].insert(2, try_ended(25, 1, TryOutcome::Failed));
    faulty[2].remove(1);
    faulty[3].push(try_ended(60, 9, TryOutcome::Served));
    let surplus = Event::UnexpectedAnswer {
        load: "all".into(),
        gateway: "g1".into(),
    };
    faulty[4].push(TimedEvent {
        at: 60,
        event: surplus,
    });
    let found: Vec<Vec<Rule>> = faulty
        .iter()
        .map(|events| checked(events).counts.into_keys().collect())
        .collect();
    let (one_answer, conservation) = (Rule::OneAnswer, Rule::Conservation);
    assert_eq!(
        found,
        [
            vec![one_answer],
            vec![one_answer, conservation],
            vec![conservation],
            vec![conservation],
            vec![one_answer]
        ]
    );
}

#[test]
fn a_pause_or_a_cut_of_the_same_gateway_explains_a_missing_answer() {
    let events = |fault: &[TimedEvent]| {
        let mut events = vec![try_sent(10, 1, "a", "g1", 0)];
        events.extend_from_slice(fault);
        events.push(try_ended(90, 1, TryOutcome::Unanswered));
        events
    };
    let paused = |name| {
        events(&[
            gateway(5, name, ProcessChange::Paused),
            gateway(30, name, ProcessChange::Continued),
        ])
    };
    assert!(checked(&paused("g1")).is_kept() && !checked(&paused("g2")).is_kept());
    let cut = |to| {
        events(&[
            link(20, "clients", to, "cut", true),
            link(30, "clients", to, "cut", false),
        ])
    };
    assert!(checked(&cut("g1")).is_kept() && !checked(&cut("g2")).is_kept());
}
