//! An attempt that a bad query plan makes far slower than estimated is cancelled and retried on
//! another engine.

mod common;
use common::*;
use eideryard::interface::*;

#[test]
fn attempt_with_a_bad_plan_is_cancelled_and_retried_unless_it_waits() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1), ready_endpoint(2)]);
    let deadline = gateway.now + 20 * SECOND;
    gateway.submit(report_request(1, deadline, 10.0));
    gateway.submit(report_request(2, deadline, 10.0));
    gateway.advance(500 * MILLISECOND);
    gateway.report_progress(2, 0, Progress::WaitsForLoad);
    assert_eq!(
        cancelled_attempts(&gateway.report_progress(1, 0, Progress::Share(0.04))),
        [(1, 0)]
    );
    assert!(cancelled_attempts(&gateway.report_progress(2, 0, Progress::Share(0.04))).is_empty());
    assert_eq!(
        sent_attempts(&gateway.end_attempt(1, 0, Outcome::Cancelled, 500 * MILLISECOND)).len(),
        1
    );
}

#[test]
fn nothing_is_cancelled_if_cancels_are_not_allowed() {
    let mut gateway = TestGateway::new(
        Settings {
            may_cancel: false,
            ..settings()
        },
        &[ready_endpoint(1), ready_endpoint(2)],
    );
    gateway.submit(report_request(1, gateway.now + 20 * SECOND, 10.0));
    gateway.advance(500 * MILLISECOND);
    assert!(cancelled_attempts(&gateway.report_progress(1, 0, Progress::Share(0.01))).is_empty());
}
