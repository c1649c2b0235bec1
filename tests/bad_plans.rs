//! Attempts with a bad plan are cancelled and tried elsewhere.

mod common;
use common::*;
use eideryard::interface::*;

#[test]
fn attempt_with_a_bad_plan_is_cancelled_and_retried_unless_it_waits() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2)]);
    let deadline = bench.now + 20 * S;
    bench.request(report(1, deadline, 10.0));
    bench.request(report(2, deadline, 10.0));
    bench.advance(500 * MS);
    bench.report_progress(2, 0, Progress::WaitsForLoad);
    assert_eq!(
        cancelled(&bench.report_progress(1, 0, Progress::Share(0.04))),
        [(1, 0)]
    );
    assert!(cancelled(&bench.report_progress(2, 0, Progress::Share(0.04))).is_empty());
    assert_eq!(
        sent(&bench.end_attempt(1, 0, Outcome::Cancelled, 500 * MS)).len(),
        1
    );
}

#[test]
fn nothing_is_cancelled_where_cancels_are_not_allowed() {
    let mut bench = Bench::new(
        Settings {
            may_cancel: false,
            ..settings()
        },
        &[ready(1), ready(2)],
    );
    bench.request(report(1, bench.now + 20 * S, 10.0));
    bench.advance(500 * MS);
    assert!(cancelled(&bench.report_progress(1, 0, Progress::Share(0.01))).is_empty());
}
