//! What the module says when the first byte of an attempt is about to go out, and what a withdrawn
//! one gives back.

mod common;

use common::*;
use eideryard::interface::*;

fn begins(bench: &mut Bench, request: RequestId, attempt: usize) -> bool {
    bench.balancer.may_begin(bench.now, request, attempt)
}

fn withdrawn(bench: &mut Bench, request: RequestId, attempt: usize) -> Vec<Action> {
    assert!(
        !begins(bench, request, attempt),
        "{request} may still begin"
    );
    bench.end_attempt(request, attempt, Outcome::NotSent, 0)
}

#[test]
fn attempt_may_begin_while_rules_hold_and_asking_again_changes_nothing() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    let deadline = bench.now + 9 * S;
    assert_eq!(sent(&bench.request(lookup(1, deadline))), [(1, 1)]);
    for _ in 0..3 {
        bench.advance(100 * MS);
        assert!(begins(&mut bench, 1, 0));
    }
    assert!(!begins(&mut bench, 1, 1), "there is no such attempt");
    assert!(!begins(&mut bench, 2, 0), "nor such a request");
}

#[test]
fn ended_request_may_not_begin_where_cancels_are_not_allowed() {
    let mut bench = Bench::new(
        Settings {
            may_cancel: false,
            ..settings()
        },
        &[ready(1)],
    );
    let deadline = bench.now + 9 * S;
    bench.request(lookup(1, deadline));
    assert!(bench.handle(Event::ClientLeft { request: 1 }).is_empty());
    assert_eq!(sent(&withdrawn(&mut bench, 1, 0)), []);
    // One whose time is up, by the timer that ends it.
    let deadline = bench.now + 9 * S;
    bench.request(lookup(2, deadline));
    let ended = bench.advance(9 * S);
    assert_eq!(refused(&ended), [2]);
    withdrawn(&mut bench, 2, 0);
}

#[test]
fn attempt_may_not_begin_on_a_restarted_engine() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2)]);
    let deadline = bench.now + 9 * S;
    let chosen = sent(&bench.request(lookup(1, deadline)))[0].1;
    let again = Endpoint {
        booted_at: bench.now,
        ..ready(chosen)
    };
    bench.handle(Event::EndpointChanges(vec![again]));
    assert_eq!(
        sent(&withdrawn(&mut bench, 1, 0)),
        [(1, 3 - chosen)],
        "the warm one is left"
    );
}

/// Two windows' worth of sends wait for one dial: no more of them begin at once than a window
/// allows.
#[test]
fn delayed_attempts_count_in_the_slow_start_budget_when_they_begin() {
    // Two look-ups a window are all that this leaves of a cold engine's budget.
    let settings = Settings {
        overload_multiple: 0.2,
        ..settings()
    };
    let mut bench = Bench::new(
        settings.clone(),
        &[Endpoint {
            booted_at: 1_000 * S,
            ..ready(1)
        }],
    );
    let mut held = Vec::new();
    for round in 0..2 {
        for id in 1..=3 {
            let deadline = bench.now + 9 * S;
            held.extend(sent(&bench.request(lookup(10 * round + id, deadline))));
        }
        assert_eq!(
            held.len() as u64,
            2 * (round + 1),
            "each window has its own budget"
        );
        bench.advance(settings.overload_window + 50 * MS);
    }
    let begun = held
        .iter()
        .filter(|(id, _)| begins(&mut bench, *id, 0))
        .count();
    assert_eq!(begun, 2, "of {held:?}");
}

#[test]
fn withdrawn_retry_returns_its_place_in_the_retry_budget() {
    let budget = RetryBudgetSettings {
        span: 60 * S,
        ratio: 0.0,
        spare: 1.0,
    };
    let settings = Settings {
        retry_budget: Some(budget),
        ..settings()
    };
    let mut bench = Bench::new(settings, &[ready(1), ready(2), ready(3)]);
    let deadline = bench.now + 9 * S;
    let first = sent(&bench.request(lookup(1, deadline)))[0].1;
    assert!(begins(&mut bench, 1, 0));
    let second = sent(&bench.end_attempt(1, 0, Outcome::NoConnection, MS))[0].1;
    bench.handle(Event::EndpointChanges(vec![Endpoint {
        phase: Phase::Draining,
        ..ready(second)
    }]));
    let third = sent(&withdrawn(&mut bench, 1, 1));
    assert!(
        third.len() == 1 && third[0].1 != second,
        "{first} {second} {third:?}"
    );
    assert!(begins(&mut bench, 1, 2));
    // Now it is used up.
    assert_eq!(
        sent(&bench.end_attempt(1, 2, Outcome::NoConnection, MS)),
        []
    );
}

#[test]
fn withdrawn_attempt_does_not_pause_its_key() {
    let mut settings = Settings {
        may_cancel: false,
        ..settings()
    };
    settings.classes[LOAD].ordered = true;
    let mut bench = Bench::new(settings, &[ready(1), ready(2)]);
    let deadline = bench.now + 90 * S;
    let keyed = |id| Request {
        key: Some("k".into()),
        ..load(id, deadline)
    };
    assert_eq!(sent(&bench.request(keyed(1))).len(), 1);
    assert_eq!(sent(&bench.request(keyed(2))), [], "it waits for its turn");
    bench.handle(Event::ClientLeft { request: 1 });
    let next = sent(&withdrawn(&mut bench, 1, 0));
    assert!(next.len() == 1 && next[0].0 == 2, "{next:?}");
    assert!(begins(&mut bench, 2, 0));
}

/// A repeat is asked for its window again when it begins, and counts from its first byte.
#[test]
fn keyed_retry_may_begin_only_within_the_window_of_the_first_run() {
    let mut settings = settings();
    settings.classes[LOAD].window = S;
    let mut bench = Bench::new(settings, &[ready(1), ready(2)]);
    let deadline = bench.now + 60 * S;
    bench.request(load(1, deadline));
    bench.advance(700 * MS);
    assert!(begins(&mut bench, 1, 0), "a first try has all the time");
    let again = sent(&bench.end_attempt(1, 0, Outcome::Broken, MS));
    assert_eq!(again.len(), 1);
    bench.advance(900 * MS);
    assert!(
        begins(&mut bench, 1, 1),
        "the window counts from the first byte, not from the decision"
    );
    bench.advance(200 * MS);
    assert!(!begins(&mut bench, 1, 1));
}
