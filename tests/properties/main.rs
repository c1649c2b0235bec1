//! Properties under random settings and events, checked using only the events and actions: order
//! per key, retry budget, repeated effects, draining engines, and clients that have left. An
//! attempt counts from its first byte, which some scenarios delay.

#[path = "../common/mod.rs"]
mod common;
mod rule_checker;
mod scenario;

use common::*;
use eideryard::interface::*;
use rule_checker::RuleChecker;
use scenario::Scenario;

const NON_IDEMPOTENT: usize = 3;
const SEEDS: u64 = 150;

#[test]
fn rules_on_order_retries_and_effects_hold_in_random_scenarios() {
    let (mut sends, mut retries) = (0, 0);
    for seed in 0..SEEDS {
        let checker = Scenario::run(seed);
        assert!(
            checker.violations.is_empty(),
            "seed {seed}: {:?}",
            checker.violations
        );
        sends += checker
            .requests
            .values()
            .map(|observed| observed.attempts.len())
            .sum::<usize>();
        retries += checker.retries.len();
    }
    assert!(
        sends > 50 * SEEDS as usize && retries > SEEDS as usize,
        "{sends} sends, {retries} retries"
    );
}

/// Next action of a scenario with a deliberate violation, after the first request has begun.
#[derive(Clone, Copy, Debug)]
enum NextAction {
    Send(RequestId),
    Refuse,
}

fn send(request: RequestId) -> Action {
    Action::Send {
        request,
        engine: 1,
        attempt_deadline: 0,
    }
}

fn strict_settings() -> Settings {
    let mut settings = settings();
    settings
        .classes
        .push(class(Effect::NonIdempotent, SECOND, 1.0));
    settings.classes[LOAD].is_ordered = true;
    settings.retry_budget = Some(RetryBudgetSettings {
        span: 5 * SECOND,
        ratio: 0.0,
        spare: 0.0,
    });
    settings
}

/// Returns the violations that the checker finds in two requests of a class. The first attempt ends
/// with `outcome`, or stays in flight.
fn violations_of(class: usize, outcome: Option<Outcome>, next: NextAction) -> Vec<String> {
    let mut checker = RuleChecker::new(strict_settings());
    let key = (class == LOAD).then(|| "k".to_string());
    for id in 1..=2 {
        let request = Request {
            class,
            key: key.clone(),
            ..lookup_request(id, 9 * SECOND)
        };
        checker.on_request(SECOND, &request);
    }
    checker.on_action(SECOND, &send(1));
    checker.on_first_byte(SECOND, (1, 0));
    if let Some(outcome) = outcome {
        let ended = AttemptEnded {
            request: 1,
            attempt: 0,
            outcome,
            spent: 0,
            is_request_complete: false,
            is_already_reported: false,
            usage: None,
            report: None,
        };
        checker.on_attempt_ended(SECOND, &ended);
    }
    match next {
        NextAction::Refuse => {
            let refusal = Action::Refuse {
                request: 1,
                retry_after: 0,
            };
            checker.on_action(SECOND, &refusal);
        }
        NextAction::Send(request) => {
            checker.on_action(SECOND, &send(request));
            let attempt = usize::from(request == 1);
            checker.on_first_byte(SECOND, (request, attempt));
        }
    }
    checker.violations
}

#[test]
fn rule_checker_finds_deliberate_violations() {
    use NextAction::{Refuse, Send};
    assert!(violations_of(LOOKUP, None, Send(2)).is_empty());
    for (class, outcome, next) in [
        // Two attempts are in flight.
        (LOOKUP, None, Send(1)),
        // The retry budget is empty.
        (LOOKUP, Some(Outcome::AtCapacity), Send(1)),
        // A non-idempotent request may run twice.
        (NON_IDEMPOTENT, Some(Outcome::TimedOut), Send(1)),
        // A refusal lets the client retry a request that may have run.
        (NON_IDEMPOTENT, Some(Outcome::Broken), Refuse),
        // The earlier request with the same key is in flight.
        (LOAD, None, Send(2)),
        // The earlier request with the same key may still be running.
        (LOAD, Some(Outcome::TimedOut), Send(2)),
    ] {
        assert!(
            !violations_of(class, outcome, next).is_empty(),
            "{class} {outcome:?} {next:?}"
        );
    }
}

/// Creates a checker that has seen one request without a key, and has no retry budget.
fn checker_with_one_request() -> RuleChecker {
    let mut checker = RuleChecker::new(Settings {
        retry_budget: None,
        ..strict_settings()
    });
    checker.on_request(SECOND, &lookup_request(1, 90 * SECOND));
    checker
}

/// Lets the latest attempt of the request begin and asserts that this causes the first violation.
fn assert_first_byte_is_a_violation(mut checker: RuleChecker) {
    assert!(checker.violations.is_empty());
    let last = checker.requests[&1].attempts.len() - 1;
    checker.on_first_byte(11 * SECOND, (1, last));
    assert!(!checker.violations.is_empty());
}

#[test]
fn rule_checker_finds_a_first_byte_after_the_client_left() {
    let mut checker = checker_with_one_request();
    checker.on_action(11 * SECOND, &send(1));
    checker.requests.get_mut(&1).unwrap().has_ended = true;
    assert_first_byte_is_a_violation(checker);
}

#[test]
fn rule_checker_finds_a_first_byte_to_a_closed_engine() {
    let mut checker = checker_with_one_request();
    checker.on_action(11 * SECOND, &send(1));
    checker.closed_engines.insert(1);
    assert_first_byte_is_a_violation(checker);
}

#[test]
fn rule_checker_finds_a_first_byte_after_the_window_of_the_idempotency_key() {
    let mut checker = checker_with_one_request();
    let observed = checker.requests.get_mut(&1).unwrap();
    observed.class = LOAD;
    observed.attempts = vec![Some(Outcome::Broken)];
    observed.first_bytes = vec![Some(0)];
    observed.engines.push(1);
    checker.on_action(11 * SECOND, &send(1));
    assert_first_byte_is_a_violation(checker);
}
