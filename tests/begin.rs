//! What the module says when the first byte of an attempt is about to go out, and what a withdrawn
//! one gives back.

mod common;

use common::*;
use eideryard::interface::*;

fn begins(bench: &mut Bench, request: RequestId, attempt: usize) -> bool {
    bench.gateway.may_begin(bench.now, request, attempt)
}

fn withdrawn(bench: &mut Bench, request: RequestId, attempt: usize) -> Vec<Action> {
    assert!(
        !begins(bench, request, attempt),
        "{request} may still begin"
    );
    bench.end(request, attempt, Outcome::NotSent, 0)
}

#[test]
fn what_still_holds_begins_and_asking_again_changes_nothing() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    let deadline = bench.now + 9 * S;
    assert_eq!(sent(&bench.take(lookup(1, deadline))), [(1, 1)]);
    for _ in 0..3 {
        bench.pass(100 * MS);
        assert!(begins(&mut bench, 1, 0));
    }
    assert!(!begins(&mut bench, 1, 1), "there is no such attempt");
    assert!(!begins(&mut bench, 2, 0), "nor such a request");
}

#[test]
fn a_request_that_has_ended_does_not_begin_where_no_cancel_is_allowed() {
    let mut bench = Bench::new(
        Settings {
            may_cancel: false,
            ..settings()
        },
        &[ready(1)],
    );
    let deadline = bench.now + 9 * S;
    bench.take(lookup(1, deadline));
    assert!(bench.tell(Event::ClientLeft { request: 1 }).is_empty());
    assert_eq!(sent(&withdrawn(&mut bench, 1, 0)), []);
    // One whose time is up, by the timer that ends it.
    let deadline = bench.now + 9 * S;
    bench.take(lookup(2, deadline));
    let ended = bench.pass(9 * S);
    assert_eq!(refused(&ended), [2]);
    withdrawn(&mut bench, 2, 0);
}

#[test]
fn a_send_does_not_begin_at_another_process_than_it_chose() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2)]);
    let deadline = bench.now + 9 * S;
    let chosen = sent(&bench.take(lookup(1, deadline)))[0].1;
    let again = Endpoint {
        booted_at: bench.now,
        ..ready(chosen)
    };
    bench.tell(Event::EndpointChanges(vec![again]));
    assert_eq!(
        sent(&withdrawn(&mut bench, 1, 0)),
        [(1, 3 - chosen)],
        "the warm one is left"
    );
}

/// Two windows' worth of sends wait for one dial: no more of them begin at once than a window
/// allows.
#[test]
fn what_a_late_dial_held_back_counts_when_it_begins() {
    // Two look-ups a window are all that this leaves of a cold engine's budget.
    let set = Settings {
        overload_multiple: 0.2,
        ..settings()
    };
    let mut bench = Bench::new(
        set.clone(),
        &[Endpoint {
            booted_at: 1_000 * S,
            ..ready(1)
        }],
    );
    let mut held = Vec::new();
    for round in 0..2 {
        for id in 1..=3 {
            let deadline = bench.now + 9 * S;
            held.extend(sent(&bench.take(lookup(10 * round + id, deadline))));
        }
        assert_eq!(
            held.len() as u64,
            2 * (round + 1),
            "each window has its own budget"
        );
        bench.pass(set.overload_window + 50 * MS);
    }
    let begun = held
        .iter()
        .filter(|(id, _)| begins(&mut bench, *id, 0))
        .count();
    assert_eq!(begun, 2, "of {held:?}");
}

#[test]
fn a_withdrawn_further_attempt_gives_its_place_in_the_budget_back() {
    let budget = AttemptBudget {
        span: 60 * S,
        ratio: 0.0,
        spare: 1.0,
    };
    let set = Settings {
        attempt_budget: Some(budget),
        ..settings()
    };
    let mut bench = Bench::new(set, &[ready(1), ready(2), ready(3)]);
    let deadline = bench.now + 9 * S;
    let first = sent(&bench.take(lookup(1, deadline)))[0].1;
    assert!(begins(&mut bench, 1, 0));
    let second = sent(&bench.end(1, 0, Outcome::NoConnection, MS))[0].1;
    bench.tell(Event::EndpointChanges(vec![Endpoint {
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
    assert_eq!(sent(&bench.end(1, 2, Outcome::NoConnection, MS)), []);
}

#[test]
fn a_withdrawn_attempt_leaves_no_rest_on_its_key() {
    let mut set = Settings {
        may_cancel: false,
        ..settings()
    };
    set.classes[LOAD].ordered = true;
    let mut bench = Bench::new(set, &[ready(1), ready(2)]);
    let deadline = bench.now + 90 * S;
    let keyed = |id| Request {
        key: Some("k".into()),
        ..load(id, deadline)
    };
    assert_eq!(sent(&bench.take(keyed(1))).len(), 1);
    assert_eq!(sent(&bench.take(keyed(2))), [], "it waits for its turn");
    bench.tell(Event::ClientLeft { request: 1 });
    let next = sent(&withdrawn(&mut bench, 1, 0));
    assert!(next.len() == 1 && next[0].0 == 2, "{next:?}");
    assert!(begins(&mut bench, 2, 0));
}

/// A repeat is asked for its window again when it begins, and counts from its first byte.
#[test]
fn a_repeat_begins_only_within_the_window_of_what_may_have_run() {
    let mut set = settings();
    set.classes[LOAD].window = S;
    let mut bench = Bench::new(set, &[ready(1), ready(2)]);
    let deadline = bench.now + 60 * S;
    bench.take(load(1, deadline));
    bench.pass(700 * MS);
    assert!(begins(&mut bench, 1, 0), "a first try has all the time");
    let again = sent(&bench.end(1, 0, Outcome::Broken, MS));
    assert_eq!(again.len(), 1);
    bench.pass(900 * MS);
    assert!(
        begins(&mut bench, 1, 1),
        "the window counts from the first byte, not from the decision"
    );
    bench.pass(200 * MS);
    assert!(!begins(&mut bench, 1, 1));
}
