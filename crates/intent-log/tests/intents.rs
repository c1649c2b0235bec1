//! Tests of the intent log: restoring from the store, prior attempts of retries, the limit of
//! entries, and expiry.

use eideryard::interface::{Class, Effect, PriorAttempt, Scope};
use eideryard_intent_log::state::{EndedAttempt, IncomingRequest, NextAttempt};
use eideryard_intent_log::{entry, Intent, IntentError, IntentLog, Limits, Location, SendDecision};

const NOW: u64 = 1_000_000_000;
const WINDOW: u64 = 15_000_000;
const KEY: &str = "00000000000000000000000000000abc";
const OTHER_KEY: &str = "00000000000000000000000000000def";
const THIRD_KEY: &str = "00000000000000000000000000000123";
/// A `complete_since` so early that no intent within any window can be missing.
const LONG_AGO: u64 = 0;

fn class() -> Class {
    Class {
        latency_objective: 0,
        latency_objective_per_work: 0.0,
        priority_weight: 1.0,
        effect: Effect::IdempotentWithKey,
        scope: Scope::Cell,
        window: WINDOW,
        is_ordered: false,
        zones_only: None,
        kinds_only: None,
        threads: 1.0,
        is_load: false,
        waits_for_load: false,
    }
}

fn stored_intent(since: u64, in_flight: u32) -> Intent {
    Intent {
        since,
        location: Location { zone: 1, cell: 2 },
        in_flight,
        may_have_run: true,
        until: NOW + 10,
    }
}

fn restored(intent: Intent, complete_since: u64) -> IntentLog {
    let stored = std::iter::once((entry::stored_key(0, KEY), intent));
    let limits = Limits { entries: 2 };
    IntentLog::restore(limits, vec![class()], stored, complete_since, NOW)
}

/// Returns the start of the first prior attempt that is reported for a retry with a key.
fn prior_start(log: &mut IntentLog, key: &str) -> Result<Option<u64>, IntentError> {
    let request = IncomingRequest {
        class: 0,
        key: Some(key),
        is_retry: true,
        is_store_failing: false,
    };
    let attempts = log.on_request(NOW, request)?;
    Ok(attempts.first().map(|attempt| attempt.since))
}

fn send(
    log: &mut IntentLog,
    now: u64,
    key: &str,
    location: Location,
    known_attempts: &[PriorAttempt],
) -> SendDecision {
    let attempt = NextAttempt {
        class: 0,
        key: Some(key),
        location,
        known_attempts,
    };
    log.on_send(now, attempt)
}

#[test]
fn an_intent_from_the_future_is_restored_without_its_start() {
    let mut log = restored(stored_intent(NOW + 9, 0), LONG_AGO);
    assert_eq!(prior_start(&mut log, KEY), Ok(Some(0)));
    let mut log = restored(stored_intent(NOW - 9, 1), LONG_AGO);
    assert_eq!(prior_start(&mut log, KEY), Ok(Some(NOW - 9)));
}

#[test]
fn an_intent_in_flight_at_a_crash_is_retained_for_a_full_window_after_the_restart() {
    let mut log = restored(stored_intent(NOW - 9, 1), LONG_AGO);
    assert!(log.expire(NOW + WINDOW).is_empty());
    assert_eq!(log.expire(NOW + 2 * WINDOW).len(), 1);
}

#[test]
fn a_retry_without_an_intent_may_have_run_only_if_the_store_is_younger_than_the_window() {
    let mut log = restored(stored_intent(NOW - 9, 0), NOW - 5);
    assert_eq!(prior_start(&mut log, OTHER_KEY), Ok(Some(0)));
    let mut log = restored(stored_intent(NOW - 9, 0), LONG_AGO);
    assert_eq!(prior_start(&mut log, OTHER_KEY), Ok(None));
}

#[test]
fn a_full_log_rejects_new_keys_and_drops_none() {
    let mut log = restored(stored_intent(NOW - 9, 0), LONG_AGO);
    let decision = send(&mut log, NOW, OTHER_KEY, Location::default(), &[]);
    assert!(matches!(decision, SendDecision::AfterWrite(_)));
    assert_eq!(prior_start(&mut log, THIRD_KEY), Err(IntentError::Full));
    assert_eq!(prior_start(&mut log, KEY), Ok(Some(NOW - 9)));
}

#[test]
fn an_attempt_that_never_ran_leaves_no_intent() {
    let mut log = restored(stored_intent(NOW - 9, 0), LONG_AGO);
    send(&mut log, NOW, OTHER_KEY, Location::default(), &[]);
    assert_eq!(log.len(), 2);
    let ended = EndedAttempt {
        class: 0,
        key: Some(OTHER_KEY),
        never_ran: true,
    };
    let write = log.on_attempt_ended(NOW, ended).expect("a removal");
    assert_eq!((write.intent, log.len()), (None, 1));
}

#[test]
fn an_encoded_intent_decodes_to_the_same_intent() {
    let intent = stored_intent(5, 0);
    assert_eq!(entry::from_bytes(&entry::to_bytes(&intent)), Some(intent));
}

#[test]
fn a_second_request_with_a_key_is_not_sent_before_the_balancer_knows_of_the_first() {
    let now = 100_000_000;
    let limits = Limits { entries: 9 };
    let mut log = IntentLog::restore(limits, vec![class()], std::iter::empty(), LONG_AGO, now);
    let cell = |cell| Location { zone: 0, cell };
    let request = IncomingRequest {
        class: 0,
        key: Some(KEY),
        is_retry: false,
        is_store_failing: false,
    };
    // Both requests arrive before either is sent, so neither has a prior attempt yet.
    assert_eq!(log.on_request(now, request), Ok(Vec::new()));
    assert_eq!(log.on_request(now, request), Ok(Vec::new()));
    let decision = send(&mut log, now, KEY, cell(1), &[]);
    assert!(matches!(decision, SendDecision::AfterWrite(_)));
    let first = PriorAttempt {
        zone: 0,
        cell: 1,
        since: now,
    };
    for location in [cell(2), cell(1)] {
        let decision = send(&mut log, now + 5, KEY, location, &[]);
        assert_eq!(decision, SendDecision::PriorAttemptFound(first));
    }
    let decision = send(&mut log, now + 5, KEY, cell(1), &[first]);
    let SendDecision::AfterWrite(write) = decision else {
        panic!("the balancer knows of the first attempt, so only a write is needed: {decision:?}")
    };
    let intent = write.intent.expect("an intent");
    assert_eq!((intent.since, intent.in_flight), (now, 2));
}

/// While an attempt is in flight, the store must not drop its intent by itself, however long the
/// attempt runs. Guards against a rewrite of the store's log that drops it, and with it the
/// knowledge that the request may have run.
#[test]
fn an_intent_has_no_expiry_on_disk_while_an_attempt_is_in_flight() {
    let mut log = restored(stored_intent(NOW - 9, 0), LONG_AGO);
    let SendDecision::AfterWrite(sent) = send(&mut log, NOW, OTHER_KEY, Location::default(), &[])
    else {
        panic!("a write");
    };
    assert_eq!(sent.expires_at(), None);
    let ended_at = NOW + 3 * WINDOW;
    log.expire(ended_at);
    let ended = EndedAttempt {
        class: 0,
        key: Some(OTHER_KEY),
        never_ran: false,
    };
    let write = log.on_attempt_ended(ended_at, ended).expect("a write");
    assert!(write.expires_at() > Some(ended_at + WINDOW));
}

/// Guards against a rewrite after a start that drops intents which this start retains for longer
/// than the previous process has written: they may have run again after a second kill.
#[test]
fn intents_that_a_start_retains_for_longer_are_written_again() {
    for stored in [stored_intent(NOW - 9, 1), stored_intent(NOW + 9, 0)] {
        let mut log = restored(stored, LONG_AGO);
        let writes = log.take_prolonged();
        let [write] = &writes[..] else {
            panic!("one write of {stored:?}, not {writes:?}");
        };
        assert!(write.expires_at() > Some(NOW + WINDOW));
        assert_eq!(*write, log.current_write(&entry::stored_key(0, KEY)));
    }
    let mut log = restored(stored_intent(NOW - 9, 0), LONG_AGO);
    assert!(log.take_prolonged().is_empty());
}
