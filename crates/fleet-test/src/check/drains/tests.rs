//! Tests of this module, on small inputs.

use super::super::tests::*;
use super::*;

#[test]
fn new_work_after_the_grace_is_caught_unless_a_fault_explains_it() {
    let told = |at, health| {
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
    let sent = |at, faults: &[TimedEvent]| {
        let mut events = vec![told(10, "draining"), asked(20, 1, "a", "g1", 0)];
        events.extend_from_slice(faults);
        events.push(began(at, "e1", 1, 0.01));
        checked(&events).count(Rule::Drains)
    };
    assert_eq!((sent(late, &[]), sent(late - 1, &[])), (1, 0));
    assert_eq!(sent(late, &[told(30, "up")]), 0);
    assert_eq!(
        sent(
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
    assert_eq!((sent(late, &cut("e1")), sent(late, &cut("e2"))), (0, 1));
    // A restart begins the grace anew, but doesn't make it forget.
    let restart = [
        gateway(30, "g1", ProcessChange::Killed),
        gateway(300_000, "g1", ProcessChange::Started(2)),
    ];
    assert_eq!(
        (sent(late, &restart), sent(late + 300_000, &restart)),
        (0, 1)
    );
}
