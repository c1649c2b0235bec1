//! Tests of the stories of breaks.

use super::super::tests::*;
use super::*;

#[test]
fn a_story_lists_the_tries_of_one_key_and_the_faults_of_parts_involved_by_time() {
    let events = [
        try_sent(10, 1, "a", "g1", 0),
        try_sent(11, 9, "other", "g3", 0),
        query_began(15, "e1", 1, 0.01),
        gateway(16, "g1", ProcessChange::Killed),
        gateway(16, "g3", ProcessChange::Killed),
        try_ended(17, 1, TryOutcome::ConnectionLost),
        effect(20, "e1", 1),
        try_sent(30, 2, "a", "g2", 1),
        effect(40, "e2", 2),
        try_ended(50, 2, TryOutcome::Served),
    ];
    let verdict = checked(&events);
    let found = verdict
        .breaks
        .iter()
        .find(|found| found.rule == super::super::Rule::EffectOnce)
        .unwrap();
    let sent = Recorded {
        gateway: "g1".into(),
        at: 14,
        id: 1,
        what: RequestEvent::Sent("e1".into()),
    };
    let text = story(&History::new(&events), &[sent], found).join("\n");
    for (line, words) in [
        "asks g1 (try 1",
        "records that it sends",
        "e1 begins",
        "g1 is killed",
    ]
    .into_iter()
    .zip([0, 1, 2, 3])
    .map(|(words, line)| (line, words))
    {
        assert!(text.lines().nth(line).unwrap().contains(words), "{text}");
    }
    assert!(!text.contains("g3") && !text.contains("served"), "{text}");
    assert_eq!(
        text.lines()
            .filter(|line| line.contains("takes effect"))
            .count(),
        2
    );
}
