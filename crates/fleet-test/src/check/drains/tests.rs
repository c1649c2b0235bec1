//! Tests of the rule on drains.

use super::super::tests::*;
use super::*;

#[test]
fn a_request_after_the_grace_time_is_caught_unless_a_fault_explains_it() {
    let notified = |at, health| {
        let (gateway, engine) = ("g1".into(), "e1".into());
        TimedEvent {
            at,
            event: Event::EngineAnnounced {
                gateway,
                engine,
                health,
            },
        }
    };
    let late = 10 + 500_000 + SLACK + 1;
    let breaks = |at, faults: &[TimedEvent]| {
        let mut events = vec![notified(10, "draining"), try_sent(20, 1, "a", "g1", 0)];
        events.extend_from_slice(faults);
        events.push(query_began(at, "e1", 1, 0.01));
        checked(&events).count(Rule::Drains)
    };
    assert_eq!((breaks(late, &[]), breaks(late - 1, &[])), (1, 0));
    assert_eq!(breaks(late, &[notified(30, "up")]), 0);
    assert_eq!(
        breaks(
            late,
            &[
                gateway(30, "g1", ProcessChange::Paused),
                gateway(40, "g1", ProcessChange::Continued)
            ]
        ),
        0
    );
    let cut = |to| {
        [
            link(30, "g1", to, "cut", true),
            link(40, "g1", to, "cut", false),
        ]
    };
    assert_eq!((breaks(late, &cut("e1")), breaks(late, &cut("e2"))), (0, 1));
    // A restart of the gateway restarts the grace time, but doesn't end the drain.
    let restart = [
        gateway(30, "g1", ProcessChange::Killed),
        gateway(300_000, "g1", ProcessChange::Started(2)),
    ];
    assert_eq!(
        (breaks(late, &restart), breaks(late + 300_000, &restart)),
        (0, 1)
    );
}
