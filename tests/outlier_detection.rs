//! Engines that fail, are silent or answer slowly: quarantine, probation and retries.

mod common;
use common::*;
use eideryard::interface::*;

/// Lets the engines answer `count` lookups at their ideal speed, so that the engines' statistics
/// settle.
fn answer_lookups(gateway: &mut TestGateway, first_id: RequestId, count: u64) {
    for id in first_id..first_id + count {
        gateway.submit(Request {
            group: id,
            ..lookup_request(id, gateway.now + 4 * SECOND)
        });
        gateway.end_attempt(id, 0, Outcome::Answered, 100 * MILLISECOND);
    }
}

#[test]
fn attempts_on_a_silent_engine_are_cancelled_and_no_more_are_sent_until_it_responds() {
    let mut gateway = TestGateway::new(
        settings(),
        &[ready_endpoint(1), ready_endpoint(2), ready_endpoint(3)],
    );
    let deadline = gateway.now + 20 * SECOND;
    let mut sends = Vec::new();
    for id in 0..6 {
        let request = Request {
            group: id,
            ..report_request(id, deadline, 10.0)
        };
        sends.extend(sent_attempts(&gateway.submit(request)));
    }
    let hanging = sends[0].1;
    assert!(sends.iter().any(|send| send.1 != hanging));
    let mut cancels = Vec::new();
    for step in 1..=6 {
        cancels.extend(cancelled_attempts(&gateway.advance(500 * MILLISECOND)));
        for &(id, _) in sends.iter().filter(|send| send.1 != hanging) {
            gateway.report_progress(id, 0, Progress::Share(0.15 * step as f64));
        }
    }
    let expected: Vec<(RequestId, usize)> = sends
        .iter()
        .filter(|send| send.1 == hanging)
        .map(|send| (send.0, 0))
        .collect();
    assert_eq!(cancels, expected);
    for &(id, _) in &expected {
        assert!(
            sent_attempts(&gateway.end_attempt(id, 0, Outcome::Cancelled, 2 * SECOND))
                .iter()
                .all(|s| s.1 != hanging)
        );
    }
    for id in 100..110 {
        assert!(sent_attempts(&gateway.submit(Request {
            group: id,
            ..lookup_request(id, deadline)
        }))
        .iter()
        .all(|s| s.1 != hanging));
    }
}

#[test]
fn no_engine_is_quarantined_when_every_engine_is_silent() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1), ready_endpoint(2)]);
    for id in 0..4 {
        gateway.submit(Request {
            group: id,
            ..report_request(id, gateway.now + 20 * SECOND, 10.0)
        });
    }
    assert!(cancelled_attempts(&gateway.advance(4 * SECOND)).is_empty());
}

/// Sends `count` lookups, all answered, and returns how many first attempts went to `engine`.
fn count_sends_to(
    gateway: &mut TestGateway,
    engine: EngineId,
    first_id: RequestId,
    count: u64,
) -> usize {
    let mut sends = 0;
    for id in first_id..first_id + count {
        let first = sent_attempts(&gateway.submit(Request {
            group: id,
            ..lookup_request(id, gateway.now + 4 * SECOND)
        }));
        sends += first.iter().filter(|send| send.1 == engine).count();
        gateway.end_attempt(id, 0, Outcome::Answered, 100 * MILLISECOND);
    }
    sends
}

#[test]
fn fast_failing_engine_is_quarantined_and_returns_after_probation() {
    let mut gateway = TestGateway::new(
        settings(),
        &[
            ready_endpoint(1),
            ready_endpoint(2),
            ready_endpoint(3),
            ready_endpoint(4),
        ],
    );
    answer_lookups(&mut gateway, 0, 40);
    let deadline = gateway.now + 4 * SECOND;
    let mut sends = Vec::new();
    for id in 100..140 {
        sends.extend(sent_attempts(&gateway.submit(Request {
            group: id,
            ..lookup_request(id, deadline)
        })));
    }
    let failing = sends.iter().filter(|send| send.1 == 1).count();
    let mut sent_again = 0;
    for (id, _) in sends.into_iter().filter(|send| send.1 == 1) {
        sent_again += sent_attempts(&gateway.end_attempt(id, 0, Outcome::Error, MILLISECOND))
            .iter()
            .filter(|s| s.1 == 1)
            .count();
    }
    assert!(
        failing > 4 && sent_again <= 3,
        "{sent_again} of {failing} failed attempts were retried on the same engine"
    );
    assert_eq!(
        count_sends_to(&mut gateway, 1, 200, 40),
        0,
        "engine 1 is in quarantine"
    );
    gateway.advance(2 * SECOND);
    assert!(
        count_sends_to(&mut gateway, 1, 300, 40) > 0,
        "the engine must be used again after its quarantine"
    );
}

/// Clients sent requests that no engine could execute. Each request was retried on one engine after
/// the other, and the errors put all engines into quarantine.
#[test]
fn request_with_errors_on_two_engines_ends_and_counts_against_neither() {
    let mut gateway = TestGateway::new(
        settings(),
        &[
            ready_endpoint(1),
            ready_endpoint(2),
            ready_endpoint(3),
            ready_endpoint(4),
        ],
    );
    answer_lookups(&mut gateway, 0, 40);
    let deadline = gateway.now + 4 * SECOND;
    let first: Vec<_> = (100..140)
        .flat_map(|id| {
            sent_attempts(&gateway.submit(Request {
                group: id,
                ..lookup_request(id, deadline)
            }))
        })
        .collect();
    for (id, engine) in first {
        let next = sent_attempts(&gateway.end_attempt(id, 0, Outcome::Error, MILLISECOND));
        assert!(
            next.len() == 1 && next[0].1 != engine,
            "{id}: from {engine} to {next:?}"
        );
        assert_eq!(
            refused_requests(&gateway.end_attempt(id, 1, Outcome::Error, MILLISECOND)),
            [id]
        );
    }
    let shares = |gateway: &mut TestGateway| {
        [1, 2, 3, 4].map(|engine| count_sends_to(gateway, engine, 300, 40))
    };
    let mut without_errors = TestGateway::new(
        settings(),
        &[
            ready_endpoint(1),
            ready_endpoint(2),
            ready_endpoint(3),
            ready_endpoint(4),
        ],
    );
    answer_lookups(&mut without_errors, 0, 40);
    assert_eq!(
        shares(&mut gateway),
        shares(&mut without_errors),
        "the errors must not change the choice of engines"
    );
}

/// A reset ends all attempts on its connection. If each of these failures counted, a single event
/// would put the engine into quarantine.
#[test]
fn broken_connection_counts_as_one_bad_outcome() {
    let mut gateway = TestGateway::new(
        settings(),
        &[ready_endpoint(1), ready_endpoint(2), ready_endpoint(3)],
    );
    answer_lookups(&mut gateway, 0, 40);
    let deadline = gateway.now + 4 * SECOND;
    let sends: Vec<_> = (100..130)
        .flat_map(|id| {
            sent_attempts(&gateway.submit(Request {
                group: id,
                ..lookup_request(id, deadline)
            }))
        })
        .filter(|send| send.1 == 1)
        .collect();
    assert!(sends.len() > 5);
    for (index, (request, _)) in sends.into_iter().enumerate() {
        gateway.end_attempt_with(request, 0, Outcome::Broken, MILLISECOND, |ended| {
            ended.is_already_reported = index > 0;
        });
    }
    assert!(
        count_sends_to(&mut gateway, 1, 200, 40) > 0,
        "engine 1 must stay in use"
    );
}

#[test]
fn engines_stay_in_use_and_retries_decrease_when_all_engines_fail_half_of_the_requests() {
    let mut gateway = TestGateway::new(
        settings(),
        &[ready_endpoint(1), ready_endpoint(2), ready_endpoint(3)],
    );
    let mut attempts = Vec::new();
    for id in 0..200 {
        let mut count = 0;
        let mut next = sent_attempts(&gateway.submit(Request {
            group: id,
            ..lookup_request(id, gateway.now + 4 * SECOND)
        }));
        while !next.is_empty() {
            let outcome = if id % 2 == 0 {
                Outcome::Answered
            } else {
                Outcome::Error
            };
            next = sent_attempts(&gateway.end_attempt(id, count, outcome, MILLISECOND));
            count += 1;
        }
        attempts.push(count);
        gateway.now += MILLISECOND;
    }
    assert!(
        attempts[190..]
            .iter()
            .all(|&count| count == 1 || count == 2),
        "{:?}",
        &attempts[190..]
    );
}

#[test]
fn engine_that_answers_again_after_lost_connections_counts_as_cold() {
    let mut gateway = TestGateway::new(
        settings(),
        &[ready_endpoint(1), ready_endpoint(2), ready_endpoint(3)],
    );
    answer_lookups(&mut gateway, 0, 40);
    for id in 100..200 {
        let first = sent_attempts(&gateway.submit(Request {
            group: id,
            ..lookup_request(id, gateway.now + 4 * SECOND)
        }));
        let outcome = if first[0].1 == 1 {
            Outcome::Broken
        } else {
            Outcome::Answered
        };
        let next = sent_attempts(&gateway.end_attempt(id, 0, outcome, MILLISECOND));
        if !next.is_empty() {
            gateway.end_attempt(id, 1, Outcome::Answered, MILLISECOND);
        }
    }
    gateway.advance(2 * SECOND);
    answer_lookups(&mut gateway, 300, 60);
    // The engine is used again, but only within the slow-start budget: 2 times 0.3 of 8 cores for
    // one second, in lookups of 0.1 s.
    let deadline = gateway.now + 4 * SECOND;
    let sends = (500..700).flat_map(|id| {
        sent_attempts(&gateway.submit(Request {
            group: id,
            ..lookup_request(id, deadline)
        }))
    });
    let cold_sends = sends.filter(|send| send.1 == 1).count();
    assert!(cold_sends <= 48, "{cold_sends}");
}

#[test]
fn hanging_engine_is_detected_without_progress_reports() {
    let mut gateway = TestGateway::new(
        Settings {
            progress_interval: 0,
            ..settings()
        },
        &[ready_endpoint(1), ready_endpoint(2), ready_endpoint(3)],
    );
    let mut hanging = None;
    let mut cancels = Vec::new();
    for id in 0..200 {
        let sends = sent_attempts(&gateway.submit(Request {
            group: id,
            ..lookup_request(id, gateway.now + 4 * SECOND)
        }));
        let Some(&(_, engine)) = sends.first() else {
            continue;
        };
        let hanging = *hanging.get_or_insert(engine);
        if engine != hanging {
            gateway.end_attempt(id, 0, Outcome::Answered, 100 * MILLISECOND);
        }
        cancels.extend(cancelled_attempts(&gateway.advance(50 * MILLISECOND)));
    }
    assert!(cancels.contains(&(0, 0)), "{cancels:?}");
    assert!(cancels.len() < 20, "{cancels:?}");
}

#[test]
fn engine_at_capacity_does_not_attract_the_queue() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1), ready_endpoint(2)]);
    let mut refusals = 0;
    for id in 0..100 {
        let mut next = sent_attempts(&gateway.submit(Request {
            group: id,
            ..lookup_request(id, gateway.now + 4 * SECOND)
        }));
        for attempt in 0.. {
            let Some(&(_, engine)) = next.first() else {
                break;
            };
            let outcome = if engine == 1 {
                Outcome::AtCapacity
            } else {
                Outcome::Answered
            };
            refusals += (engine == 1) as u32;
            next = sent_attempts(&gateway.end_attempt(id, attempt, outcome, MILLISECOND));
        }
        gateway.now += 5 * MILLISECOND;
    }
    assert!(
        (1..=4).contains(&refusals),
        "{refusals} attempts in half a second on an engine at capacity"
    );
}

#[test]
fn engine_that_fails_a_fifth_of_its_work_stays_in_use() {
    let mut gateway = TestGateway::new(
        settings(),
        &[ready_endpoint(1), ready_endpoint(2), ready_endpoint(3)],
    );
    for id in 0..400 {
        let next = sent_attempts(&gateway.submit(Request {
            group: id,
            ..lookup_request(id, gateway.now + 4 * SECOND)
        }));
        let is_lost = next[0].1 == 1 && id % 5 == 0;
        let retry = sent_attempts(&gateway.end_attempt(
            id,
            0,
            if is_lost {
                Outcome::Broken
            } else {
                Outcome::Answered
            },
            10 * MILLISECOND,
        ));
        if !retry.is_empty() {
            gateway.end_attempt(id, 1, Outcome::Answered, 10 * MILLISECOND);
        }
        let is_quarantined = gateway
            .last_actions
            .iter()
            .any(|action| matches!(action, Action::Log(text) if text.contains("quarantined")));
        assert!(!is_quarantined, "at request {id}");
    }
}

#[test]
fn dead_engine_does_not_attract_the_queue_when_too_many_are_quarantined_to_add_it() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1), ready_endpoint(2)]);
    // One engine is quarantined. The other engine fails as well, but can't be quarantined, since
    // half of the fleet is already in quarantine.
    let mut attempts = 0;
    for id in 0..200 {
        let mut next = sent_attempts(&gateway.submit(Request {
            group: id,
            ..lookup_request(id, gateway.now + 4 * SECOND)
        }));
        for attempt in 0.. {
            if next.is_empty() {
                break;
            }
            attempts += 1;
            next = sent_attempts(&gateway.end_attempt(
                id,
                attempt,
                Outcome::NoConnection,
                MILLISECOND,
            ));
        }
        gateway.now += 5 * MILLISECOND;
    }
    assert!(
        attempts < 40,
        "{attempts} attempts in a second on two dead engines"
    );
}

/// An engine whose machine degrades or is shared with other processes answers slowly but without
/// errors, so only its latency shows that it should be sent less.
#[test]
fn slow_engine_is_sent_less_work() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1), ready_endpoint(2)]);
    let mut slow_answers = 0;
    for id in 0..40 {
        let deadline = gateway.now + 4 * SECOND;
        let Some(&(_, engine)) =
            sent_attempts(&gateway.submit(lookup_request(id, deadline))).first()
        else {
            continue;
        };
        let spent = if engine == 1 && id > 5 {
            260 * MILLISECOND
        } else {
            100 * MILLISECOND
        };
        gateway.advance(spent);
        gateway.end_attempt(id, 0, Outcome::Answered, spent);
        slow_answers += usize::from(spent > 200 * MILLISECOND);
    }
    assert!(
        (1..=8).contains(&slow_answers),
        "{slow_answers} of 40 lookups went to the slow engine"
    );
}
