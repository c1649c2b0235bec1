//! Rules under random settings and events, checked from outside by the actions alone: order of a
//! key, the retry budget, effects, drains, and clients that have left. What counts is the first
//! byte of an attempt, which some scenarios hold back for a while.

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
fn order_budget_and_effects_are_kept_in_random_scenarios() {
    let (mut sends, mut retries) = (0, 0);
    for seed in 0..SEEDS {
        let checker = Scenario::play(seed);
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

/// What a planted scenario does after the first request was sent and has begun.
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
    settings.classes.push(class(Effect::NonIdempotent, S, 1.0));
    settings.classes[LOAD].ordered = true;
    settings.retry_budget = Some(RetryBudgetSettings {
        span: 5 * S,
        ratio: 0.0,
        spare: 0.0,
    });
    settings
}

/// Violations found in two requests of a class, of which the first ends with `outcome` if any.
fn planted_violations(class: usize, outcome: Option<Outcome>, next: NextAction) -> Vec<String> {
    let mut checker = RuleChecker::new(strict_settings());
    let key = (class == LOAD).then(|| "k".to_string());
    for id in 1..=2 {
        let request = Request {
            class,
            key: key.clone(),
            ..lookup(id, 9 * S)
        };
        checker.on_request(S, &request);
    }
    checker.on_action(S, &send(1));
    checker.on_first_byte(S, (1, 0));
    if let Some(outcome) = outcome {
        let ended = AttemptEnded {
            request: 1,
            attempt: 0,
            outcome,
            spent: 0,
            complete: false,
            already_reported: false,
            usage: None,
            report: None,
        };
        checker.on_attempt_ended(S, &ended);
    }
    match next {
        NextAction::Refuse => {
            let refusal = Action::Refuse {
                request: 1,
                retry_after: 0,
            };
            checker.on_action(S, &refusal);
        }
        NextAction::Send(request) => {
            checker.on_action(S, &send(request));
            let attempt = usize::from(request == 1);
            checker.on_first_byte(S, (request, attempt));
        }
    }
    checker.violations
}

#[test]
fn rule_checker_finds_planted_violations() {
    use NextAction::{Refuse, Send};
    assert!(planted_violations(LOOKUP, None, Send(2)).is_empty());
    for (class, outcome, next) in [
        // Two attempts are in flight.
        (LOOKUP, None, Send(1)),
        // The retry budget has nothing to spare.
        (LOOKUP, Some(Outcome::AtCapacity), Send(1)),
        // An effect may come twice.
        (NON_IDEMPOTENT, Some(Outcome::TimedOut), Send(1)),
        // The client is told that it may retry.
        (NON_IDEMPOTENT, Some(Outcome::Broken), Refuse),
        // The earlier request of its key is in flight.
        (LOAD, None, Send(2)),
        // The earlier request of its key may still run.
        (LOAD, Some(Outcome::TimedOut), Send(2)),
    ] {
        assert!(
            !planted_violations(class, outcome, next).is_empty(),
            "{class} {outcome:?} {next:?}"
        );
    }
}

/// A checker that knows of one request without key or budget.
fn checker_of_one_request() -> RuleChecker {
    let mut checker = RuleChecker::new(Settings {
        retry_budget: None,
        ..strict_settings()
    });
    checker.on_request(S, &lookup(1, 90 * S));
    checker
}

/// The latest attempt of the request begins; it must be the first violation.
fn assert_first_byte_is_a_violation(mut checker: RuleChecker) {
    assert!(checker.violations.is_empty());
    let last = checker.requests[&1].attempts.len() - 1;
    checker.on_first_byte(11 * S, (1, last));
    assert!(!checker.violations.is_empty());
}

#[test]
fn rule_checker_finds_a_first_byte_after_the_client_left() {
    let mut checker = checker_of_one_request();
    checker.on_action(11 * S, &send(1));
    checker.requests.get_mut(&1).unwrap().has_ended = true;
    assert_first_byte_is_a_violation(checker);
}

#[test]
fn rule_checker_finds_a_first_byte_to_a_closed_engine() {
    let mut checker = checker_of_one_request();
    checker.on_action(11 * S, &send(1));
    checker.closed_engines.insert(1);
    assert_first_byte_is_a_violation(checker);
}

#[test]
fn rule_checker_finds_a_first_byte_after_the_keys_window() {
    let mut checker = checker_of_one_request();
    let observed = checker.requests.get_mut(&1).unwrap();
    observed.class = LOAD;
    observed.attempts = vec![Some(Outcome::Broken)];
    observed.first_bytes = vec![Some(0)];
    observed.engines.push(1);
    checker.on_action(11 * S, &send(1));
    assert_first_byte_is_a_violation(checker);
}
