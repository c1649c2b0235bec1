//! A load locks its table group on its engine: requests that would have to wait for the load go to
//! other engines.

mod common;
use common::*;
use eideryard::interface::*;

#[test]
fn query_that_waits_for_a_load_moves_and_its_table_group_avoids_the_engine() {
    let mut settings = settings();
    settings.classes[LOOKUP].waits_for_load = true;
    let mut gateway = TestGateway::new(settings, &[ready_endpoint(1), ready_endpoint(2)]);
    let first = sent_attempts(&gateway.submit(lookup_request(1, gateway.now + 4 * SECOND)))[0].1;
    assert_eq!(
        cancelled_attempts(&gateway.report_progress(1, 0, Progress::WaitsForLoad)),
        [(1, 0)]
    );
    let second =
        sent_attempts(&gateway.end_attempt(1, 0, Outcome::Cancelled, 10 * MILLISECOND))[0].1;
    assert_ne!(first, second);
    assert_eq!(
        sent_attempts(&gateway.submit(lookup_request(2, gateway.now + 4 * SECOND)))[0].1,
        second
    );
    gateway.advance(5 * SECOND);
    let other_group = Request {
        group: 9,
        ..lookup_request(3, gateway.now + 4 * SECOND)
    };
    assert_eq!(sent_attempts(&gateway.submit(other_group)).len(), 1);
}

#[test]
fn loads_of_one_group_never_share_an_engine_and_other_groups_are_not_blocked() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1), ready_endpoint(2)]);
    let deadline = gateway.now + 20 * SECOND;
    let first = sent_attempts(&gateway.submit(load_request(1, deadline)))[0].1;
    let second = sent_attempts(&gateway.submit(load_request(2, deadline)))[0].1;
    assert_ne!(first, second);
    assert!(
        sent_attempts(&gateway.submit(load_request(3, deadline))).is_empty(),
        "both engines already run a load of the group"
    );
    assert_eq!(
        sent_attempts(&gateway.submit(Request {
            group: 2,
            ..load_request(4, deadline)
        }))
        .len(),
        1
    );
    assert_eq!(
        sent_attempts(&gateway.end_attempt(1, 0, Outcome::Answered, SECOND)),
        [(3, first)]
    );
}
