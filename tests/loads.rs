//! Loads hold their table group on their engine: what waits for one goes elsewhere.

mod common;
use common::*;
use eideryard::interface::*;

#[test]
fn query_that_waits_for_a_load_is_moved_and_its_group_avoids_the_engine() {
    let mut settings = settings();
    settings.classes[LOOKUP].waits_for_load = true;
    let mut bench = Bench::new(settings, &[ready(1), ready(2)]);
    let first = sent(&bench.request(lookup(1, bench.now + 4 * S)))[0].1;
    assert_eq!(
        cancelled(&bench.report_progress(1, 0, Progress::WaitsForLoad)),
        [(1, 0)]
    );
    let second = sent(&bench.end_attempt(1, 0, Outcome::Cancelled, 10 * MS))[0].1;
    assert_ne!(first, second);
    assert_eq!(
        sent(&bench.request(lookup(2, bench.now + 4 * S)))[0].1,
        second
    );
    bench.advance(5 * S);
    let other_group = Request {
        group: 9,
        ..lookup(3, bench.now + 4 * S)
    };
    assert_eq!(sent(&bench.request(other_group)).len(), 1);
}

#[test]
fn loads_of_one_group_never_share_an_engine_and_other_groups_are_not_blocked() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2)]);
    let deadline = bench.now + 20 * S;
    let first = sent(&bench.request(load(1, deadline)))[0].1;
    let second = sent(&bench.request(load(2, deadline)))[0].1;
    assert_ne!(first, second);
    assert!(
        sent(&bench.request(load(3, deadline))).is_empty(),
        "it would only stand still there"
    );
    assert_eq!(
        sent(&bench.request(Request {
            group: 2,
            ..load(4, deadline)
        }))
        .len(),
        1
    );
    assert_eq!(
        sent(&bench.end_attempt(1, 0, Outcome::Answered, S)),
        [(3, first)]
    );
}
