//! The rules for sending and for ending requests. Each test fails if the check that its name
//! describes is removed.

mod common;
use common::*;
use eideryard::interface::*;

#[test]
fn queued_request_ends_before_its_clients_deadline() {
    let mut gateway = TestGateway::new(settings(), &[]);
    let deadline = gateway.now + 2 * SECOND;
    let mut load = load_request(1, deadline);
    load.work = Some(1.0);
    gateway.submit(load);
    let early = gateway.advance(SECOND);
    let actions = gateway.advance(SECOND - 1);
    let ends = refused_requests(&early).len()
        + refused_requests(&actions).len()
        + failed_requests(&actions).len();
    assert_eq!(ends, 1, "one final answer: {actions:?}");
}

#[test]
fn request_on_a_silent_engine_ends_once_and_is_not_sent_again() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
    let deadline = gateway.now + 4 * SECOND;
    assert_eq!(
        sent_attempts(&gateway.submit(lookup_request(1, deadline))),
        [(1, 1)]
    );
    let actions = gateway.advance(4 * SECOND);
    assert_eq!(refused_requests(&actions), [1]);
    assert!(sent_attempts(&gateway.end_attempt(1, 0, Outcome::Cancelled, 4 * SECOND)).is_empty());
    assert!(
        refused_requests(&gateway.end_attempt(1, 0, Outcome::Cancelled, 4 * SECOND)).is_empty()
    );
}

#[test]
fn events_for_unknown_requests_are_ignored() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
    gateway.submit(lookup_request(1, gateway.now + 4 * SECOND));
    gateway.end_attempt(1, 0, Outcome::Answered, 100 * MILLISECOND);
    assert!(gateway.handle(Event::ClientLeft { request: 1 }).is_empty());
    assert!(gateway.end_attempt(1, 0, Outcome::Error, 1).is_empty());
}

fn non_idempotent_settings() -> Settings {
    let mut settings = settings();
    settings.classes[LOOKUP].effect = Effect::NonIdempotent;
    settings
}

#[test]
fn non_idempotent_request_that_may_have_run_fails_without_retry() {
    let mut gateway = TestGateway::new(
        non_idempotent_settings(),
        &[ready_endpoint(1), ready_endpoint(2)],
    );
    gateway.submit(lookup_request(1, gateway.now + 4 * SECOND));
    let actions = gateway.end_attempt(1, 0, Outcome::Broken, 10 * MILLISECOND);
    assert!(sent_attempts(&actions).is_empty() && refused_requests(&actions).is_empty());
    assert_eq!(failed_requests(&actions), [1]);
}

#[test]
fn non_idempotent_request_that_never_ran_is_retried() {
    let mut gateway = TestGateway::new(
        non_idempotent_settings(),
        &[ready_endpoint(1), ready_endpoint(2)],
    );
    gateway.submit(lookup_request(1, gateway.now + 4 * SECOND));
    assert_eq!(
        sent_attempts(&gateway.end_attempt(1, 0, Outcome::NoConnection, 250 * MILLISECOND)).len(),
        1
    );
}

#[test]
fn keyed_request_is_retried_within_its_scope_and_window_only() {
    let mut settings = settings();
    settings.classes[LOAD].scope = Scope::Zone;
    let other_zone = Endpoint {
        zone: 1,
        ..ready_endpoint(2)
    };
    let mut gateway = TestGateway::new(settings.clone(), &[ready_endpoint(1)]);
    gateway.submit(load_request(1, gateway.now + 20 * SECOND));
    gateway.handle(Event::EndpointSnapshot(vec![other_zone]));
    let actions = gateway.end_attempt(1, 0, Outcome::Broken, 10 * MILLISECOND);
    assert!(
        sent_attempts(&actions).is_empty(),
        "engines of another zone don't know the key"
    );

    settings.classes[LOAD].window = SECOND;
    let mut gateway = TestGateway::new(settings, &[ready_endpoint(1)]);
    gateway.submit(load_request(1, gateway.now + 20 * SECOND));
    gateway.now += SECOND;
    let actions = gateway.end_attempt(1, 0, Outcome::Broken, SECOND);
    assert!(sent_attempts(&actions).is_empty(), "the window has passed");
    assert_eq!(
        failed_requests(&actions),
        [1],
        "without a possible retry it must fail at once; outside scope All a refusal is not allowed"
    );
}

#[test]
fn second_attempt_waits_for_the_end_of_the_first_unless_hedging_is_allowed() {
    let mut gateway = TestGateway::new(
        settings(),
        &[ready_endpoint(1), ready_endpoint(2), ready_endpoint(3)],
    );
    gateway.submit(report_request(1, gateway.now + 20 * SECOND, 100.0));
    gateway.advance(600 * MILLISECOND);
    let actions = gateway.report_progress(1, 0, Progress::Share(0.001));
    assert_eq!(cancelled_attempts(&actions), [(1, 0)]);
    assert!(
        sent_attempts(&actions).is_empty(),
        "the first attempt is still in flight"
    );
    assert_eq!(
        sent_attempts(&gateway.end_attempt(1, 0, Outcome::Cancelled, 600 * MILLISECOND)).len(),
        1
    );
}

#[test]
fn attempts_of_a_request_stay_within_the_maximum() {
    let mut settings = settings();
    settings.max_attempts = 2;
    let mut gateway = TestGateway::new(settings, &[ready_endpoint(1), ready_endpoint(2)]);
    gateway.submit(lookup_request(1, gateway.now + 4 * SECOND));
    assert_eq!(
        sent_attempts(&gateway.end_attempt(1, 0, Outcome::Error, MILLISECOND)).len(),
        1
    );
    let actions = gateway.end_attempt(1, 1, Outcome::Error, MILLISECOND);
    assert!(sent_attempts(&actions).is_empty());
    assert_eq!(refused_requests(&actions), [1]);
}

#[test]
fn nothing_is_sent_to_a_draining_or_removed_engine_or_one_missing_from_a_snapshot() {
    let draining = Endpoint {
        phase: Phase::Draining,
        ..ready_endpoint(1)
    };
    let removed = Endpoint {
        phase: Phase::Removed,
        ..ready_endpoint(1)
    };
    for event in [
        Event::EndpointChanges(vec![draining]),
        Event::EndpointChanges(vec![removed]),
        Event::EndpointSnapshot(vec![ready_endpoint(2)]),
    ] {
        let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
        gateway.handle(event);
        let mut sends = sent_attempts(&gateway.submit(lookup_request(1, gateway.now + 4 * SECOND)));
        sends.extend(sent_attempts(&gateway.advance(3 * SECOND)));
        assert!(sends.iter().all(|&(_, engine)| engine != 1), "{sends:?}");
    }
}

/// Returns the work in thread seconds that a gateway sends to a cold engine within 400 ms.
fn work_sent_to_cold_engine(settings: Settings) -> f64 {
    let now = 1_000 * SECOND;
    let mut gateway = TestGateway::new(
        settings,
        &[Endpoint {
            booted_at: now,
            ..ready_endpoint(1)
        }],
    );
    let mut count = 0;
    for id in 0..400 {
        count += sent_attempts(&gateway.submit(lookup_request(id, gateway.now + 4 * SECOND))).len();
        gateway.now += MILLISECOND;
    }
    count as f64 * 0.1
}

#[test]
fn cold_engine_is_sent_no_more_than_this_gateways_share_of_its_budget() {
    let settings = settings();
    let budget = settings.overload_multiple * settings.start_capacity * settings.kinds[0].cores;
    let only_gateway = work_sent_to_cold_engine(settings.clone());
    assert!(
        only_gateway > 0.0 && only_gateway <= budget,
        "{only_gateway} of {budget} thread seconds"
    );
    let one_of_three = work_sent_to_cold_engine(Settings {
        peers: 3.0,
        ..settings
    });
    assert!(one_of_three <= budget / 3.0, "{one_of_three}");
}

#[test]
fn sends_that_a_cold_engine_rejects_count_in_the_slow_start_budget() {
    let now = 1_000 * SECOND;
    let mut gateway = TestGateway::new(
        settings(),
        &[Endpoint {
            booted_at: now,
            ..ready_endpoint(1)
        }],
    );
    let mut count = 0;
    for id in 0..400 {
        if !sent_attempts(&gateway.submit(lookup_request(id, gateway.now + 4 * SECOND))).is_empty()
        {
            count += 1;
            count += sent_attempts(&gateway.end_attempt(id, 0, Outcome::AtCapacity, 1)).len();
        }
    }
    assert!(count as f64 * 0.1 <= 2.0 * 0.3 * 8.0, "{count}");
}

fn ordered_settings() -> Settings {
    let mut settings = settings();
    settings.classes[LOOKUP].is_ordered = true;
    settings
}

fn keyed(id: RequestId, deadline: Micros) -> Request {
    Request {
        key: Some("k".into()),
        ..lookup_request(id, deadline)
    }
}

#[test]
fn requests_of_one_key_run_one_at_a_time_in_order() {
    let mut gateway = TestGateway::new(ordered_settings(), &[ready_endpoint(1), ready_endpoint(2)]);
    let deadline = gateway.now + 4 * SECOND;
    assert_eq!(sent_attempts(&gateway.submit(keyed(1, deadline))).len(), 1);
    assert!(sent_attempts(&gateway.submit(keyed(2, deadline))).is_empty());
    assert_eq!(
        sent_attempts(&gateway.submit(lookup_request(3, deadline))).len(),
        1,
        "a request without a key must not wait"
    );
    assert_eq!(
        sent_attempts(&gateway.end_attempt(1, 0, Outcome::Answered, 100 * MILLISECOND))[0].0,
        2
    );
}

#[test]
fn key_is_paused_after_an_attempt_that_may_still_run() {
    let mut gateway = TestGateway::new(ordered_settings(), &[ready_endpoint(1)]);
    gateway.submit(keyed(1, gateway.now + 500 * MILLISECOND));
    gateway.submit(Request {
        work: Some(SECOND as f64),
        ..keyed(2, gateway.now + 4 * SECOND)
    });
    gateway.advance(500 * MILLISECOND);
    assert!(
        sent_attempts(&gateway.end_attempt(1, 0, Outcome::Cancelled, 500 * MILLISECOND)).is_empty()
    );
    assert!(
        sent_attempts(&gateway.advance(SECOND)).is_empty(),
        "the key is still paused"
    );
    assert_eq!(sent_attempts(&gateway.advance(100 * MILLISECOND)).len(), 1);
}

#[test]
fn nothing_is_sent_to_an_engine_of_another_zone_or_kind_when_no_allowed_one_is_up() {
    let mut settings = settings();
    settings.classes[LOOKUP].kinds_only = Some(vec![1]);
    settings.classes[REPORT].zones_only = Some(vec![2]);
    let mut gateway = TestGateway::new(settings, &[ready_endpoint(1)]);
    let mut actions = gateway.submit(lookup_request(1, gateway.now + 4 * SECOND));
    actions.extend(gateway.submit(report_request(2, gateway.now + 20 * SECOND, 10.0)));
    actions.extend(gateway.advance(20 * SECOND));
    assert!(sent_attempts(&actions).is_empty());
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut settings = settings();
    settings.retry_budget = Some(RetryBudgetSettings {
        span: 10 * SECOND,
        ratio: 0.1,
        spare: 2.0,
    });
    let mut gateway = TestGateway::new(settings, &[ready_endpoint(1), ready_endpoint(2)]);
    let mut retries = 0;
    for id in 0..30 {
        gateway.submit(lookup_request(id, gateway.now + 4 * SECOND));
        retries +=
            sent_attempts(&gateway.end_attempt(id, 0, Outcome::AtCapacity, MILLISECOND)).len();
        gateway.now += 10 * MILLISECOND;
    }
    assert!(
        retries > 0 && retries <= 5,
        "{retries} retries for 30 requests"
    );
}

/// Estimates from a checkpoint must lose weight with age, and estimates for an engine's previous
/// process must not apply to its current process.
#[test]
fn checkpoint_loses_weight_with_age_and_is_dropped_for_another_process() {
    let restored_state = |age, booted_at| {
        let engines = [
            Endpoint {
                booted_at: 5,
                ..ready_endpoint(1)
            },
            ready_endpoint(2),
        ];
        let mut gateway = TestGateway::new(settings(), &engines);
        let class = ClassEstimates {
            work_ratio: 2.0,
            memory_ratio: 0.5,
            work: 10.0,
            memory_mb: Some(64.0),
        };
        let classes = vec![class; settings().classes.len()];
        let engine = EngineEstimates {
            engine: 1,
            booted_at,
            slowdown: 2.0,
            best_slowdown: 1.0,
            bad_outcome_share: 0.4,
            foreign_load: 0.0,
        };
        gateway.handle(Event::CheckpointRestored {
            learned: LearnedState {
                classes,
                engines: vec![engine],
                baseline_load: 0.5,
            },
            age,
        });
        gateway.balancer.learned_state()
    };
    let (fresh, aged, expired) = (
        restored_state(0, 5),
        restored_state(60 * SECOND, 5),
        restored_state(3600 * SECOND, 5),
    );
    let estimates = |learned: &LearnedState| {
        (
            learned.classes[0].work_ratio,
            learned.engines[0].bad_outcome_share,
        )
    };
    assert_eq!(estimates(&fresh), (2.0, 0.4));
    assert!(
        estimates(&aged).0 < 2.0 && estimates(&aged).0 > 1.0 && estimates(&aged).1 < 0.4,
        "{aged:?}"
    );
    assert_eq!(
        estimates(&expired),
        (1.0, 0.0),
        "a checkpoint of an hour ago must have no effect"
    );
    assert_eq!(
        estimates(&restored_state(0, 4)).1,
        0.0,
        "estimates of another process must not apply"
    );
}
