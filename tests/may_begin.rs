//! The check just before the first byte of an attempt is sent. The check may withdraw the attempt,
//! whose use of the budgets must then be undone.

mod common;

use common::*;
use eideryard::interface::*;

fn may_begin(gateway: &mut TestGateway, request: RequestId, attempt: usize) -> bool {
    gateway.balancer.may_begin(gateway.now, request, attempt)
}

fn withdraw(gateway: &mut TestGateway, request: RequestId, attempt: usize) -> Vec<Action> {
    assert!(
        !may_begin(gateway, request, attempt),
        "attempt {attempt} of request {request} may still begin"
    );
    gateway.end_attempt(request, attempt, Outcome::NotSent, 0)
}

#[test]
fn attempt_may_begin_while_rules_allow_it_and_the_check_can_be_repeated() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
    let deadline = gateway.now + 9 * SECOND;
    assert_eq!(
        sent_attempts(&gateway.submit(lookup_request(1, deadline))),
        [(1, 1)]
    );
    for _ in 0..3 {
        gateway.advance(100 * MILLISECOND);
        assert!(may_begin(&mut gateway, 1, 0));
    }
    assert!(!may_begin(&mut gateway, 1, 1), "attempt 1 does not exist");
    assert!(!may_begin(&mut gateway, 2, 0), "request 2 does not exist");
}

#[test]
fn ended_request_may_not_begin_if_cancels_are_not_allowed() {
    let mut gateway = TestGateway::new(
        Settings {
            may_cancel: false,
            ..settings()
        },
        &[ready_endpoint(1)],
    );
    let deadline = gateway.now + 9 * SECOND;
    gateway.submit(lookup_request(1, deadline));
    assert!(gateway.handle(Event::ClientLeft { request: 1 }).is_empty());
    assert_eq!(sent_attempts(&withdraw(&mut gateway, 1, 0)), []);
    // A request that its own timer ends at the client's deadline.
    let deadline = gateway.now + 9 * SECOND;
    gateway.submit(lookup_request(2, deadline));
    let ended = gateway.advance(9 * SECOND);
    assert_eq!(refused_requests(&ended), [2]);
    withdraw(&mut gateway, 2, 0);
}

#[test]
fn attempt_may_not_begin_on_a_restarted_engine() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1), ready_endpoint(2)]);
    let deadline = gateway.now + 9 * SECOND;
    let chosen = sent_attempts(&gateway.submit(lookup_request(1, deadline)))[0].1;
    let restarted = Endpoint {
        booted_at: gateway.now,
        ..ready_endpoint(chosen)
    };
    gateway.handle(Event::EndpointChanges(vec![restarted]));
    assert_eq!(
        sent_attempts(&withdraw(&mut gateway, 1, 0)),
        [(1, 3 - chosen)],
        "the request must go to the other engine, which is warm"
    );
}

/// Sends that were decided in two windows wait for the same slow connection attempt. If each
/// counted in the window in which it was decided, all would begin at once and overload the cold
/// engine.
#[test]
fn delayed_attempts_count_in_the_slow_start_budget_when_they_begin() {
    // With these settings the budget of a cold engine is two lookups per window.
    let settings = Settings {
        overload_multiple: 0.2,
        ..settings()
    };
    let mut gateway = TestGateway::new(
        settings.clone(),
        &[Endpoint {
            booted_at: 1_000 * SECOND,
            ..ready_endpoint(1)
        }],
    );
    let mut delayed = Vec::new();
    for round in 0..2 {
        for id in 1..=3 {
            let deadline = gateway.now + 9 * SECOND;
            delayed.extend(sent_attempts(
                &gateway.submit(lookup_request(10 * round + id, deadline)),
            ));
        }
        assert_eq!(
            delayed.len() as u64,
            2 * (round + 1),
            "every window must have the full budget"
        );
        gateway.advance(settings.overload_window + 50 * MILLISECOND);
    }
    let begun = delayed
        .iter()
        .filter(|(id, _)| may_begin(&mut gateway, *id, 0))
        .count();
    assert_eq!(begun, 2, "of {delayed:?}");
}

#[test]
fn withdrawn_retry_does_not_count_in_the_retry_budget() {
    let budget = RetryBudgetSettings {
        span: 60 * SECOND,
        ratio: 0.0,
        spare: 1.0,
    };
    let settings = Settings {
        retry_budget: Some(budget),
        ..settings()
    };
    let mut gateway = TestGateway::new(
        settings,
        &[ready_endpoint(1), ready_endpoint(2), ready_endpoint(3)],
    );
    let deadline = gateway.now + 9 * SECOND;
    let first = sent_attempts(&gateway.submit(lookup_request(1, deadline)))[0].1;
    assert!(may_begin(&mut gateway, 1, 0));
    let second = sent_attempts(&gateway.end_attempt(1, 0, Outcome::NoConnection, MILLISECOND))[0].1;
    gateway.handle(Event::EndpointChanges(vec![Endpoint {
        phase: Phase::Draining,
        ..ready_endpoint(second)
    }]));
    let third = sent_attempts(&withdraw(&mut gateway, 1, 1));
    assert!(
        third.len() == 1 && third[0].1 != second,
        "{first} {second} {third:?}"
    );
    assert!(may_begin(&mut gateway, 1, 2));
    // The retry that has begun uses up the budget.
    assert_eq!(
        sent_attempts(&gateway.end_attempt(1, 2, Outcome::NoConnection, MILLISECOND)),
        []
    );
}

#[test]
fn withdrawn_attempt_does_not_pause_its_key() {
    let mut settings = Settings {
        may_cancel: false,
        ..settings()
    };
    settings.classes[LOAD].is_ordered = true;
    let mut gateway = TestGateway::new(settings, &[ready_endpoint(1), ready_endpoint(2)]);
    let deadline = gateway.now + 90 * SECOND;
    let keyed = |id| Request {
        key: Some("k".into()),
        ..load_request(id, deadline)
    };
    assert_eq!(sent_attempts(&gateway.submit(keyed(1))).len(), 1);
    assert_eq!(
        sent_attempts(&gateway.submit(keyed(2))),
        [],
        "request 1 has the same key and is in flight"
    );
    gateway.handle(Event::ClientLeft { request: 1 });
    let next = sent_attempts(&withdraw(&mut gateway, 1, 0));
    assert!(next.len() == 1 && next[0].0 == 2, "{next:?}");
    assert!(may_begin(&mut gateway, 2, 0));
}

/// The window of the idempotency key is checked again when a retry begins, and it starts with the
/// first byte of the first attempt.
#[test]
fn keyed_retry_may_begin_only_within_the_window_of_the_first_run() {
    let mut settings = settings();
    settings.classes[LOAD].window = SECOND;
    let mut gateway = TestGateway::new(settings, &[ready_endpoint(1), ready_endpoint(2)]);
    let deadline = gateway.now + 60 * SECOND;
    gateway.submit(load_request(1, deadline));
    gateway.advance(700 * MILLISECOND);
    assert!(
        may_begin(&mut gateway, 1, 0),
        "the window doesn't limit a first attempt"
    );
    let retries = sent_attempts(&gateway.end_attempt(1, 0, Outcome::Broken, MILLISECOND));
    assert_eq!(retries.len(), 1);
    gateway.advance(900 * MILLISECOND);
    assert!(
        may_begin(&mut gateway, 1, 1),
        "the window must start with the first byte, not with the decision to send"
    );
    gateway.advance(200 * MILLISECOND);
    assert!(!may_begin(&mut gateway, 1, 1));
}
