//! Engines that fail, fall silent or answer slowly: quarantine, probation, retries.

mod common;
use common::*;
use eideryard::interface::*;

/// Lets engines answer `count` lookups quickly, so that the gateway knows them well.
fn settle(bench: &mut Bench, from: RequestId, count: u64) {
    for id in from..from + count {
        bench.request(Request {
            group: id,
            ..lookup(id, bench.now + 4 * S)
        });
        bench.end_attempt(id, 0, Outcome::Answered, 100 * MS);
    }
}

#[test]
fn attempts_on_a_silent_engine_are_cancelled_and_it_gets_nothing_until_it_responds() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2), ready(3)]);
    let deadline = bench.now + 20 * S;
    let mut at = Vec::new();
    for id in 0..6 {
        let request = Request {
            group: id,
            ..report(id, deadline, 10.0)
        };
        at.extend(sent(&bench.request(request)));
    }
    let hung = at[0].1;
    assert!(at.iter().any(|a| a.1 != hung));
    let mut cancels = Vec::new();
    for step in 1..=6 {
        cancels.extend(cancelled(&bench.advance(500 * MS)));
        for &(id, _) in at.iter().filter(|a| a.1 != hung) {
            bench.report_progress(id, 0, Progress::Share(0.15 * step as f64));
        }
    }
    let expected: Vec<(RequestId, usize)> = at
        .iter()
        .filter(|a| a.1 == hung)
        .map(|a| (a.0, 0))
        .collect();
    assert_eq!(cancels, expected);
    for &(id, _) in &expected {
        assert!(sent(&bench.end_attempt(id, 0, Outcome::Cancelled, 2 * S))
            .iter()
            .all(|s| s.1 != hung));
    }
    for id in 100..110 {
        assert!(sent(&bench.request(Request {
            group: id,
            ..lookup(id, deadline)
        }))
        .iter()
        .all(|s| s.1 != hung));
    }
}

#[test]
fn no_engine_is_quarantined_when_every_engine_is_silent() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2)]);
    for id in 0..4 {
        bench.request(Request {
            group: id,
            ..report(id, bench.now + 20 * S, 10.0)
        });
    }
    assert!(cancelled(&bench.advance(4 * S)).is_empty());
}

/// How many of the next `count` lookups go first to `engine`.
fn share_of(bench: &mut Bench, engine: EngineId, from: RequestId, count: u64) -> usize {
    let mut hits = 0;
    for id in from..from + count {
        let first = sent(&bench.request(Request {
            group: id,
            ..lookup(id, bench.now + 4 * S)
        }));
        hits += first.iter().filter(|s| s.1 == engine).count();
        bench.end_attempt(id, 0, Outcome::Answered, 100 * MS);
    }
    hits
}

#[test]
fn fast_failing_engine_is_quarantined_then_on_probation() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2), ready(3), ready(4)]);
    settle(&mut bench, 0, 40);
    let deadline = bench.now + 4 * S;
    let mut out = Vec::new();
    for id in 100..140 {
        out.extend(sent(&bench.request(Request {
            group: id,
            ..lookup(id, deadline)
        })));
    }
    let failing = out.iter().filter(|s| s.1 == 1).count();
    let mut again = 0;
    for (id, _) in out.into_iter().filter(|s| s.1 == 1) {
        again += sent(&bench.end_attempt(id, 0, Outcome::Error, MS))
            .iter()
            .filter(|s| s.1 == 1)
            .count();
    }
    assert!(
        failing > 4 && again <= 3,
        "{again} of {failing} sent there again"
    );
    assert_eq!(share_of(&mut bench, 1, 200, 40), 0, "in quarantine");
    bench.advance(2 * S);
    assert!(
        share_of(&mut bench, 1, 300, 40) > 0,
        "it is tried again and returns"
    );
}

/// Seen on a day with bad clients: what no engine could use went round and shut out one after the
/// other.
#[test]
fn request_with_errors_on_two_engines_ends_and_neither_is_charged() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2), ready(3), ready(4)]);
    settle(&mut bench, 0, 40);
    let deadline = bench.now + 4 * S;
    let first: Vec<_> = (100..140)
        .flat_map(|id| {
            sent(&bench.request(Request {
                group: id,
                ..lookup(id, deadline)
            }))
        })
        .collect();
    for (id, engine) in first {
        let next = sent(&bench.end_attempt(id, 0, Outcome::Error, MS));
        assert!(
            next.len() == 1 && next[0].1 != engine,
            "{id}: from {engine} to {next:?}"
        );
        assert_eq!(refused(&bench.end_attempt(id, 1, Outcome::Error, MS)), [id]);
    }
    let shares = |bench: &mut Bench| [1, 2, 3, 4].map(|engine| share_of(bench, engine, 300, 40));
    let mut other = Bench::new(settings(), &[ready(1), ready(2), ready(3), ready(4)]);
    settle(&mut other, 0, 40);
    assert_eq!(
        shares(&mut bench),
        shares(&mut other),
        "as if nothing had been wrong"
    );
}

/// Ten attempts that one reset takes along are one event.
#[test]
fn broken_connection_counts_as_one_bad_outcome() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2), ready(3)]);
    settle(&mut bench, 0, 40);
    let deadline = bench.now + 4 * S;
    let out: Vec<_> = (100..130)
        .flat_map(|id| {
            sent(&bench.request(Request {
                group: id,
                ..lookup(id, deadline)
            }))
        })
        .filter(|sent| sent.1 == 1)
        .collect();
    assert!(out.len() > 5);
    for (at, (request, _)) in out.into_iter().enumerate() {
        bench.end_attempt_with(request, 0, Outcome::Broken, MS, |ended| {
            ended.already_reported = at > 0;
        });
    }
    assert!(share_of(&mut bench, 1, 200, 40) > 0, "it stays in use");
}

#[test]
fn engines_stay_in_use_and_retries_fall_when_all_fail_most_work() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2), ready(3)]);
    let mut attempts = Vec::new();
    for id in 0..200 {
        let mut count = 0;
        let mut next = sent(&bench.request(Request {
            group: id,
            ..lookup(id, bench.now + 4 * S)
        }));
        while !next.is_empty() {
            let outcome = if id % 2 == 0 {
                Outcome::Answered
            } else {
                Outcome::Error
            };
            next = sent(&bench.end_attempt(id, count, outcome, MS));
            count += 1;
        }
        attempts.push(count);
        bench.now += MS;
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
    let mut bench = Bench::new(settings(), &[ready(1), ready(2), ready(3)]);
    settle(&mut bench, 0, 40);
    for id in 100..200 {
        let first = sent(&bench.request(Request {
            group: id,
            ..lookup(id, bench.now + 4 * S)
        }));
        let outcome = if first[0].1 == 1 {
            Outcome::Broken
        } else {
            Outcome::Answered
        };
        let next = sent(&bench.end_attempt(id, 0, outcome, MS));
        if !next.is_empty() {
            bench.end_attempt(id, 1, Outcome::Answered, MS);
        }
    }
    bench.advance(2 * S);
    settle(&mut bench, 300, 60);
    // Back, but within its cold budget: two times 0.3 of 8 cores for a second, in lookups of 0.1.
    let deadline = bench.now + 4 * S;
    let to_it = (500..700).flat_map(|id| {
        sent(&bench.request(Request {
            group: id,
            ..lookup(id, deadline)
        }))
    });
    let to_it = to_it.filter(|s| s.1 == 1).count();
    assert!(to_it <= 48, "{to_it}");
}

#[test]
fn hanging_engine_is_detected_without_progress_notes() {
    let mut bench = Bench::new(
        Settings {
            progress_interval: 0,
            ..settings()
        },
        &[ready(1), ready(2), ready(3)],
    );
    let mut hung = None;
    let mut cancels = Vec::new();
    for id in 0..200 {
        let at = sent(&bench.request(Request {
            group: id,
            ..lookup(id, bench.now + 4 * S)
        }));
        let Some(&(_, engine)) = at.first() else {
            continue;
        };
        let hung = *hung.get_or_insert(engine);
        if engine != hung {
            bench.end_attempt(id, 0, Outcome::Answered, 100 * MS);
        }
        cancels.extend(cancelled(&bench.advance(50 * MS)));
    }
    assert!(cancels.contains(&(0, 0)), "{cancels:?}");
    assert!(cancels.len() < 20, "{cancels:?}");
}

#[test]
fn engine_at_capacity_does_not_attract_the_queue() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2)]);
    let mut refusals = 0;
    for id in 0..100 {
        let mut next = sent(&bench.request(Request {
            group: id,
            ..lookup(id, bench.now + 4 * S)
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
            next = sent(&bench.end_attempt(id, attempt, outcome, MS));
        }
        bench.now += 5 * MS;
    }
    assert!((1..=4).contains(&refusals), "{refusals} in half a second");
}

#[test]
fn engine_that_fails_a_fifth_of_its_work_stays_in_use() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2), ready(3)]);
    for id in 0..400 {
        let next = sent(&bench.request(Request {
            group: id,
            ..lookup(id, bench.now + 4 * S)
        }));
        let lost = next[0].1 == 1 && id % 5 == 0;
        let again = sent(&bench.end_attempt(
            id,
            0,
            if lost {
                Outcome::Broken
            } else {
                Outcome::Answered
            },
            10 * MS,
        ));
        if !again.is_empty() {
            bench.end_attempt(id, 1, Outcome::Answered, 10 * MS);
        }
        let said = bench
            .last
            .iter()
            .any(|a| matches!(a, Action::Log(text) if text.contains("quarantined")));
        assert!(!said, "request {id}");
    }
}

#[test]
fn dead_engine_does_not_attract_the_queue_when_too_many_are_quarantined_to_add_it() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2)]);
    // Engine 2 is quarantined first, for good; then engine 1, half of the fleet being away, dies
    // too.
    let mut tries = 0;
    for id in 0..200 {
        let mut next = sent(&bench.request(Request {
            group: id,
            ..lookup(id, bench.now + 4 * S)
        }));
        for attempt in 0.. {
            if next.is_empty() {
                break;
            }
            tries += 1;
            next = sent(&bench.end_attempt(id, attempt, Outcome::NoConnection, MS));
        }
        bench.now += 5 * MS;
    }
    assert!(tries < 40, "{tries} tries in a second at two dead engines");
}

/// An engine that ages, or whose machine others use, answers later and later and errs in nothing.
#[test]
fn slowed_engine_attracts_less_work() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2)]);
    let mut late = 0;
    for id in 0..40 {
        let deadline = bench.now + 4 * S;
        let Some(&(_, engine)) = sent(&bench.request(lookup(id, deadline))).first() else {
            continue;
        };
        let spent = if engine == 1 && id > 5 {
            260 * MS
        } else {
            100 * MS
        };
        bench.advance(spent);
        bench.end_attempt(id, 0, Outcome::Answered, spent);
        late += usize::from(spent > 200 * MS);
    }
    assert!((1..=8).contains(&late), "{late} of 40 went to the slow one");
}
