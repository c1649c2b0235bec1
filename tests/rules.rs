//! The seven rules: each test would fail without the guard that it names.

mod common;
use common::*;
use eideryard::interface::*;

#[test]
fn a_held_request_is_ended_before_its_clients_deadline() {
    let mut bench = Bench::new(settings(), &[]);
    let deadline = bench.now + 2 * S;
    let mut load = load(1, deadline);
    load.work = Some(1.0);
    bench.take(load);
    let early = bench.pass(S);
    let actions = bench.pass(S - 1);
    let ends = refused(&early).len() + refused(&actions).len() + failed(&actions).len();
    assert_eq!(ends, 1, "one final answer: {actions:?}");
}

#[test]
fn a_request_out_on_a_mute_engine_is_ended_once_and_nothing_is_sent_after() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    let deadline = bench.now + 4 * S;
    assert_eq!(sent(&bench.take(lookup(1, deadline))), [(1, 1)]);
    let actions = bench.pass(4 * S);
    assert_eq!(refused(&actions), [1]);
    assert!(sent(&bench.end(1, 0, Outcome::Cancelled, 4 * S)).is_empty());
    assert!(refused(&bench.end(1, 0, Outcome::Cancelled, 4 * S)).is_empty());
}

#[test]
fn events_for_requests_no_longer_held_are_passed_over() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    bench.take(lookup(1, bench.now + 4 * S));
    bench.end(1, 0, Outcome::Answered, 100 * MS);
    assert!(bench.tell(Event::ClientLeft { request: 1 }).is_empty());
    assert!(bench.end(1, 0, Outcome::Error, 1).is_empty());
}

fn unsafe_settings() -> Settings {
    let mut set = settings();
    set.classes[LOOKUP].effect = Effect::NonIdempotent;
    set
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    let mut bench = Bench::new(unsafe_settings(), &[ready(1), ready(2)]);
    bench.take(lookup(1, bench.now + 4 * S));
    let actions = bench.end(1, 0, Outcome::Broken, 10 * MS);
    assert!(sent(&actions).is_empty() && refused(&actions).is_empty());
    assert_eq!(failed(&actions), [1]);
}

#[test]
fn an_unsafe_request_that_never_ran_is_sent_again() {
    let mut bench = Bench::new(unsafe_settings(), &[ready(1), ready(2)]);
    bench.take(lookup(1, bench.now + 4 * S));
    assert_eq!(
        sent(&bench.end(1, 0, Outcome::NoConnection, 250 * MS)).len(),
        1
    );
}

#[test]
fn a_keyed_request_stays_in_its_scope_and_its_window() {
    let mut set = settings();
    set.classes[LOAD].scope = Scope::Zone;
    let elsewhere = Endpoint {
        zone: 1,
        ..ready(2)
    };
    let mut bench = Bench::new(set.clone(), &[ready(1)]);
    bench.take(load(1, bench.now + 20 * S));
    bench.tell(Event::EndpointSnapshot(vec![elsewhere]));
    let actions = bench.end(1, 0, Outcome::Broken, 10 * MS);
    assert!(
        sent(&actions).is_empty(),
        "another zone does not know the key"
    );

    set.classes[LOAD].window = S;
    let mut bench = Bench::new(set, &[ready(1)]);
    bench.take(load(1, bench.now + 20 * S));
    bench.now += S;
    let actions = bench.end(1, 0, Outcome::Broken, S);
    assert!(sent(&actions).is_empty(), "the window has passed");
    assert_eq!(
        failed(&actions),
        [1],
        "given up on, so answered at once, and never refused outside scope all"
    );
}

#[test]
fn never_two_attempts_at_once_where_copies_are_not_allowed() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2), ready(3)]);
    bench.take(report(1, bench.now + 20 * S, 100.0));
    bench.pass(600 * MS);
    let actions = bench.note(1, 0, Progress::Share(0.001));
    assert_eq!(cancelled(&actions), [(1, 0)]);
    assert!(sent(&actions).is_empty(), "the first attempt is still out");
    assert_eq!(
        sent(&bench.end(1, 0, Outcome::Cancelled, 600 * MS)).len(),
        1
    );
}

#[test]
fn attempts_end_at_the_most_allowed() {
    let mut set = settings();
    set.max_attempts = 2;
    let mut bench = Bench::new(set, &[ready(1), ready(2)]);
    bench.take(lookup(1, bench.now + 4 * S));
    assert_eq!(sent(&bench.end(1, 0, Outcome::Error, MS)).len(), 1);
    let actions = bench.end(1, 1, Outcome::Error, MS);
    assert!(sent(&actions).is_empty());
    assert_eq!(refused(&actions), [1]);
}

#[test]
fn nothing_is_sent_to_an_engine_told_draining_gone_or_left_out_of_a_full_list() {
    let draining = Endpoint {
        phase: Phase::Draining,
        ..ready(1)
    };
    let gone = Endpoint {
        phase: Phase::Removed,
        ..ready(1)
    };
    for event in [
        Event::EndpointChanges(vec![draining]),
        Event::EndpointChanges(vec![gone]),
        Event::EndpointSnapshot(vec![ready(2)]),
    ] {
        let mut bench = Bench::new(settings(), &[ready(1)]);
        bench.tell(event);
        let mut later = sent(&bench.take(lookup(1, bench.now + 4 * S)));
        later.extend(sent(&bench.pass(3 * S)));
        assert!(later.iter().all(|&(_, engine)| engine != 1), "{later:?}");
    }
}

fn cold_work_sent(set: Settings) -> f64 {
    let now = 1_000 * S;
    let mut bench = Bench::new(
        set,
        &[Endpoint {
            booted_at: now,
            ..ready(1)
        }],
    );
    let mut count = 0;
    for id in 0..400 {
        count += sent(&bench.take(lookup(id, bench.now + 4 * S))).len();
        bench.now += MS;
    }
    count as f64 * 0.1
}

#[test]
fn a_cold_engine_gets_no_more_than_this_gateways_share_of_its_budget() {
    let set = settings();
    let budget = set.overload_multiple * set.start_capacity * set.kinds[0].cores;
    let alone = cold_work_sent(set.clone());
    assert!(
        alone > 0.0 && alone <= budget,
        "{alone} of {budget} thread seconds"
    );
    let three = cold_work_sent(Settings { peers: 3.0, ..set });
    assert!(three <= budget / 3.0, "{three}");
}

#[test]
fn what_a_cold_engine_rejects_counts_as_well() {
    let now = 1_000 * S;
    let mut bench = Bench::new(
        settings(),
        &[Endpoint {
            booted_at: now,
            ..ready(1)
        }],
    );
    let mut count = 0;
    for id in 0..400 {
        if !sent(&bench.take(lookup(id, bench.now + 4 * S))).is_empty() {
            count += 1;
            count += sent(&bench.end(id, 0, Outcome::AtCapacity, 1)).len();
        }
    }
    assert!(count as f64 * 0.1 <= 2.0 * 0.3 * 8.0, "{count}");
}

fn ordered_settings() -> Settings {
    let mut set = settings();
    set.classes[LOOKUP].ordered = true;
    set
}

fn keyed(id: RequestId, deadline: Micros) -> Request {
    Request {
        key: Some("k".into()),
        ..lookup(id, deadline)
    }
}

#[test]
fn requests_of_one_key_run_one_at_a_time_in_order() {
    let mut bench = Bench::new(ordered_settings(), &[ready(1), ready(2)]);
    let deadline = bench.now + 4 * S;
    assert_eq!(sent(&bench.take(keyed(1, deadline))).len(), 1);
    assert!(sent(&bench.take(keyed(2, deadline))).is_empty());
    assert_eq!(
        sent(&bench.take(lookup(3, deadline))).len(),
        1,
        "no key, no order"
    );
    assert_eq!(sent(&bench.end(1, 0, Outcome::Answered, 100 * MS))[0].0, 2);
}

#[test]
fn a_key_rests_after_an_attempt_that_may_still_run() {
    let mut bench = Bench::new(ordered_settings(), &[ready(1)]);
    bench.take(keyed(1, bench.now + 500 * MS));
    bench.take(Request {
        work: Some(S as f64),
        ..keyed(2, bench.now + 4 * S)
    });
    bench.pass(500 * MS);
    assert!(sent(&bench.end(1, 0, Outcome::Cancelled, 500 * MS)).is_empty());
    assert!(sent(&bench.pass(S)).is_empty(), "the pause is not over");
    assert_eq!(sent(&bench.pass(100 * MS)).len(), 1);
}

#[test]
fn placement_holds_when_the_only_allowed_engine_is_down() {
    let mut set = settings();
    set.classes[LOOKUP].kinds_only = Some(vec![1]);
    set.classes[REPORT].zones_only = Some(vec![2]);
    let mut bench = Bench::new(set, &[ready(1)]);
    let mut actions = bench.take(lookup(1, bench.now + 4 * S));
    actions.extend(bench.take(report(2, bench.now + 20 * S, 10.0)));
    actions.extend(bench.pass(20 * S));
    assert!(sent(&actions).is_empty());
}

#[test]
fn further_attempts_stay_within_their_budget() {
    let mut set = settings();
    set.attempt_budget = Some(AttemptBudget {
        span: 10 * S,
        ratio: 0.1,
        spare: 2.0,
    });
    let mut bench = Bench::new(set, &[ready(1), ready(2)]);
    let mut further = 0;
    for id in 0..30 {
        bench.take(lookup(id, bench.now + 4 * S));
        further += sent(&bench.end(id, 0, Outcome::AtCapacity, MS)).len();
        bench.now += 10 * MS;
    }
    assert!(
        further > 0 && further <= 5,
        "{further} further attempts for 30 requests"
    );
}

/// What an earlier life learned counts for less with age, and nothing of it for another process of
/// an engine.
#[test]
fn lessons_of_an_earlier_life_are_doubted_by_their_age_and_void_for_another_process() {
    let taught = |age, booted_at| {
        let engines = [
            Endpoint {
                booted_at: 5,
                ..ready(1)
            },
            ready(2),
        ];
        let mut bench = Bench::new(settings(), &engines);
        let class = ClassEstimates {
            work_ratio: 2.0,
            memory_ratio: 0.5,
            work: 10.0,
            memory_mb: Some(64.0),
        };
        let classes = vec![class; settings().classes.len()];
        let lesson = EngineEstimates {
            engine: 1,
            booted_at,
            slowdown: 2.0,
            best_slowdown: 1.0,
            bad: 0.4,
            foreign_load: 0.0,
        };
        bench.tell(Event::CheckpointRestored {
            learned: LearnedState {
                classes,
                engines: vec![lesson],
                baseline_load: 0.5,
            },
            age,
        });
        bench.gateway.learned_state()
    };
    let (now, later, old) = (taught(0, 5), taught(60 * S, 5), taught(3600 * S, 5));
    let ratio = |lessons: &LearnedState| (lessons.classes[0].work_ratio, lessons.engines[0].bad);
    assert_eq!(ratio(&now), (2.0, 0.4));
    assert!(
        ratio(&later).0 < 2.0 && ratio(&later).0 > 1.0 && ratio(&later).1 < 0.4,
        "{later:?}"
    );
    assert_eq!(ratio(&old), (1.0, 0.0), "too old to count");
    assert_eq!(ratio(&taught(0, 4)).1, 0.0, "another process");
}
