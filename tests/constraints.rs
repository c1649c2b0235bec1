//! The seven rules: each test would fail without the guard that it names.

mod common;
use common::*;
use eideryard::interface::*;

#[test]
fn queued_request_is_ended_before_its_clients_deadline() {
    let mut bench = Bench::new(settings(), &[]);
    let deadline = bench.now + 2 * S;
    let mut load = load(1, deadline);
    load.work = Some(1.0);
    bench.request(load);
    let early = bench.advance(S);
    let actions = bench.advance(S - 1);
    let ends = refused(&early).len() + refused(&actions).len() + failed(&actions).len();
    assert_eq!(ends, 1, "one final answer: {actions:?}");
}

#[test]
fn request_on_a_silent_engine_is_ended_once_and_nothing_is_sent_after() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    let deadline = bench.now + 4 * S;
    assert_eq!(sent(&bench.request(lookup(1, deadline))), [(1, 1)]);
    let actions = bench.advance(4 * S);
    assert_eq!(refused(&actions), [1]);
    assert!(sent(&bench.end_attempt(1, 0, Outcome::Cancelled, 4 * S)).is_empty());
    assert!(refused(&bench.end_attempt(1, 0, Outcome::Cancelled, 4 * S)).is_empty());
}

#[test]
fn events_for_unknown_requests_are_ignored() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    bench.request(lookup(1, bench.now + 4 * S));
    bench.end_attempt(1, 0, Outcome::Answered, 100 * MS);
    assert!(bench.handle(Event::ClientLeft { request: 1 }).is_empty());
    assert!(bench.end_attempt(1, 0, Outcome::Error, 1).is_empty());
}

fn unsafe_settings() -> Settings {
    let mut settings = settings();
    settings.classes[LOOKUP].effect = Effect::NonIdempotent;
    settings
}

#[test]
fn non_idempotent_request_that_may_have_run_fails_without_retry() {
    let mut bench = Bench::new(unsafe_settings(), &[ready(1), ready(2)]);
    bench.request(lookup(1, bench.now + 4 * S));
    let actions = bench.end_attempt(1, 0, Outcome::Broken, 10 * MS);
    assert!(sent(&actions).is_empty() && refused(&actions).is_empty());
    assert_eq!(failed(&actions), [1]);
}

#[test]
fn non_idempotent_request_that_never_ran_is_retried() {
    let mut bench = Bench::new(unsafe_settings(), &[ready(1), ready(2)]);
    bench.request(lookup(1, bench.now + 4 * S));
    assert_eq!(
        sent(&bench.end_attempt(1, 0, Outcome::NoConnection, 250 * MS)).len(),
        1
    );
}

#[test]
fn keyed_request_is_retried_within_its_scope_and_window_only() {
    let mut settings = settings();
    settings.classes[LOAD].scope = Scope::Zone;
    let elsewhere = Endpoint {
        zone: 1,
        ..ready(2)
    };
    let mut bench = Bench::new(settings.clone(), &[ready(1)]);
    bench.request(load(1, bench.now + 20 * S));
    bench.handle(Event::EndpointSnapshot(vec![elsewhere]));
    let actions = bench.end_attempt(1, 0, Outcome::Broken, 10 * MS);
    assert!(
        sent(&actions).is_empty(),
        "another zone does not know the key"
    );

    settings.classes[LOAD].window = S;
    let mut bench = Bench::new(settings, &[ready(1)]);
    bench.request(load(1, bench.now + 20 * S));
    bench.now += S;
    let actions = bench.end_attempt(1, 0, Outcome::Broken, S);
    assert!(sent(&actions).is_empty(), "the window has passed");
    assert_eq!(
        failed(&actions),
        [1],
        "given up on, so answered at once, and never refused outside scope all"
    );
}

#[test]
fn never_two_attempts_at_once_where_hedging_is_not_allowed() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2), ready(3)]);
    bench.request(report(1, bench.now + 20 * S, 100.0));
    bench.advance(600 * MS);
    let actions = bench.report_progress(1, 0, Progress::Share(0.001));
    assert_eq!(cancelled(&actions), [(1, 0)]);
    assert!(sent(&actions).is_empty(), "the first attempt is still out");
    assert_eq!(
        sent(&bench.end_attempt(1, 0, Outcome::Cancelled, 600 * MS)).len(),
        1
    );
}

#[test]
fn attempts_stay_within_their_maximum() {
    let mut settings = settings();
    settings.max_attempts = 2;
    let mut bench = Bench::new(settings, &[ready(1), ready(2)]);
    bench.request(lookup(1, bench.now + 4 * S));
    assert_eq!(sent(&bench.end_attempt(1, 0, Outcome::Error, MS)).len(), 1);
    let actions = bench.end_attempt(1, 1, Outcome::Error, MS);
    assert!(sent(&actions).is_empty());
    assert_eq!(refused(&actions), [1]);
}

#[test]
fn nothing_is_sent_to_an_engine_that_drains_or_is_removed_or_missing_from_a_snapshot() {
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
        bench.handle(event);
        let mut later = sent(&bench.request(lookup(1, bench.now + 4 * S)));
        later.extend(sent(&bench.advance(3 * S)));
        assert!(later.iter().all(|&(_, engine)| engine != 1), "{later:?}");
    }
}

fn cold_work_sent(settings: Settings) -> f64 {
    let now = 1_000 * S;
    let mut bench = Bench::new(
        settings,
        &[Endpoint {
            booted_at: now,
            ..ready(1)
        }],
    );
    let mut count = 0;
    for id in 0..400 {
        count += sent(&bench.request(lookup(id, bench.now + 4 * S))).len();
        bench.now += MS;
    }
    count as f64 * 0.1
}

#[test]
fn cold_engine_is_sent_no_more_than_this_gateways_share_of_its_budget() {
    let settings = settings();
    let budget = settings.overload_multiple * settings.start_capacity * settings.kinds[0].cores;
    let alone = cold_work_sent(settings.clone());
    assert!(
        alone > 0.0 && alone <= budget,
        "{alone} of {budget} thread seconds"
    );
    let three = cold_work_sent(Settings {
        peers: 3.0,
        ..settings
    });
    assert!(three <= budget / 3.0, "{three}");
}

#[test]
fn sends_that_a_cold_engine_rejects_count_in_its_budget() {
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
        if !sent(&bench.request(lookup(id, bench.now + 4 * S))).is_empty() {
            count += 1;
            count += sent(&bench.end_attempt(id, 0, Outcome::AtCapacity, 1)).len();
        }
    }
    assert!(count as f64 * 0.1 <= 2.0 * 0.3 * 8.0, "{count}");
}

fn ordered_settings() -> Settings {
    let mut settings = settings();
    settings.classes[LOOKUP].ordered = true;
    settings
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
    assert_eq!(sent(&bench.request(keyed(1, deadline))).len(), 1);
    assert!(sent(&bench.request(keyed(2, deadline))).is_empty());
    assert_eq!(
        sent(&bench.request(lookup(3, deadline))).len(),
        1,
        "no key, no order"
    );
    assert_eq!(
        sent(&bench.end_attempt(1, 0, Outcome::Answered, 100 * MS))[0].0,
        2
    );
}

#[test]
fn key_is_paused_after_an_attempt_that_may_still_run() {
    let mut bench = Bench::new(ordered_settings(), &[ready(1)]);
    bench.request(keyed(1, bench.now + 500 * MS));
    bench.request(Request {
        work: Some(S as f64),
        ..keyed(2, bench.now + 4 * S)
    });
    bench.advance(500 * MS);
    assert!(sent(&bench.end_attempt(1, 0, Outcome::Cancelled, 500 * MS)).is_empty());
    assert!(sent(&bench.advance(S)).is_empty(), "the pause is not over");
    assert_eq!(sent(&bench.advance(100 * MS)).len(), 1);
}

#[test]
fn placement_holds_when_the_only_allowed_engine_is_down() {
    let mut settings = settings();
    settings.classes[LOOKUP].kinds_only = Some(vec![1]);
    settings.classes[REPORT].zones_only = Some(vec![2]);
    let mut bench = Bench::new(settings, &[ready(1)]);
    let mut actions = bench.request(lookup(1, bench.now + 4 * S));
    actions.extend(bench.request(report(2, bench.now + 20 * S, 10.0)));
    actions.extend(bench.advance(20 * S));
    assert!(sent(&actions).is_empty());
}

#[test]
fn retries_stay_within_their_budget() {
    let mut settings = settings();
    settings.retry_budget = Some(RetryBudgetSettings {
        span: 10 * S,
        ratio: 0.1,
        spare: 2.0,
    });
    let mut bench = Bench::new(settings, &[ready(1), ready(2)]);
    let mut further = 0;
    for id in 0..30 {
        bench.request(lookup(id, bench.now + 4 * S));
        further += sent(&bench.end_attempt(id, 0, Outcome::AtCapacity, MS)).len();
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
fn checkpoint_loses_weight_with_age_and_is_dropped_for_another_process() {
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
            bad_outcome_share: 0.4,
            foreign_load: 0.0,
        };
        bench.handle(Event::CheckpointRestored {
            learned: LearnedState {
                classes,
                engines: vec![lesson],
                baseline_load: 0.5,
            },
            age,
        });
        bench.balancer.learned_state()
    };
    let (now, later, old) = (taught(0, 5), taught(60 * S, 5), taught(3600 * S, 5));
    let ratio = |lessons: &LearnedState| {
        (
            lessons.classes[0].work_ratio,
            lessons.engines[0].bad_outcome_share,
        )
    };
    assert_eq!(ratio(&now), (2.0, 0.4));
    assert!(
        ratio(&later).0 < 2.0 && ratio(&later).0 > 1.0 && ratio(&later).1 < 0.4,
        "{later:?}"
    );
    assert_eq!(ratio(&old), (1.0, 0.0), "too old to count");
    assert_eq!(ratio(&taught(0, 4)).1, 0.0, "another process");
}
