//! The ordinary path: admission, correction, grants, ranks, due order, choice of engine.

mod common;
use common::*;
use eideryard::interface::*;

/// Sends reports of `memory_mb` until one is held; gives how many left.
fn reports_out(bench: &mut Bench, memory_mb: f64, most: u64) -> usize {
    let deadline = bench.now + 20 * S;
    (0..most)
        .filter(|id| !sent(&bench.request(report(100 + id, deadline, memory_mb))).is_empty())
        .count()
}

#[test]
fn memory_bound_does_not_apply_without_pressure() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    assert_eq!(
        reports_out(&mut bench, 8_000.0, 6),
        6,
        "12 threads on 8 cores, six times the memory"
    );
}

#[test]
fn memory_bound_applies_to_reports_but_not_dashboards_under_pressure() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    for id in 0..20 {
        bench.request(lookup(id, bench.now + 4 * S));
        bench.end_attempt(id, 0, Outcome::Answered, 100 * MS);
    }
    bench.request(report(50, bench.now + 20 * S, 100.0));
    let busy = LoadReport {
        cores_busy: Some(1.0),
        ..LoadReport::default()
    };
    bench.request(lookup(51, bench.now + 4 * S));
    bench.end_attempt_with(51, 0, Outcome::Answered, 100 * MS, |ended| {
        ended.report = Some(busy);
    });
    assert_eq!(
        reports_out(&mut bench, 8_000.0, 6),
        2,
        "three times the memory"
    );
    assert_eq!(sent(&bench.request(lookup(60, bench.now + 4 * S))).len(), 1);
}

/// Found on a recorded day: latency was at 1.2 times a best that warm tables had made, and queries
/// were held for seconds in front of engines with idle cores.
#[test]
fn load_report_of_few_threads_overrules_pressure_by_latency() {
    let reports_with = |in_flight: Option<f64>| {
        let mut bench = Bench::new(settings(), &[ready(1)]);
        for id in 0..40 {
            bench.request(lookup(id, bench.now + 4 * S));
            bench.now += 100 * MS;
            let spent = if id < 20 { 50 * MS } else { 150 * MS };
            bench.end_attempt_with(id, 0, Outcome::Answered, spent, |ended| {
                ended.report = in_flight.map(|_| LoadReport {
                    in_flight,
                    ..LoadReport::default()
                });
            });
        }
        bench.request(report(50, bench.now + 20 * S, 100.0));
        reports_out(&mut bench, 8_000.0, 6)
    };
    // With the last the thread bound is the next to bind.
    assert_eq!([None, Some(30.0), Some(3.0)].map(reports_with), [2, 2, 5]);
}

#[test]
fn threads_over_the_cores_imply_pressure_and_the_thread_bound_applies() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    let out = reports_out(&mut bench, 10.0, 40);
    assert!(
        (8..=16).contains(&out),
        "{out} reports of two threads on 8 cores"
    );
    let mut bench = Bench::new(
        Settings {
            peers: 2.0,
            ..settings()
        },
        &[ready(1)],
    );
    assert!(
        reports_out(&mut bench, 10.0, 40) <= 8,
        "half the cores are another gateway's"
    );
}

#[test]
fn idle_engine_may_be_sent_one_query_of_any_size() {
    let mut bench = Bench::new(
        Settings {
            peers: 50.0,
            ..settings()
        },
        &[ready(1)],
    );
    assert_eq!(
        sent(&bench.request(report(1, bench.now + 20 * S, 1e6))).len(),
        1
    );
    assert!(sent(&bench.request(report(2, bench.now + 20 * S, 1e6))).is_empty());
}

#[test]
fn engine_at_capacity_is_sent_less() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    let before = reports_out(&mut bench, 3_000.0, 6);
    assert_eq!(before, 6);
    bench.end_attempt(105, 0, Outcome::AtCapacity, MS);
    assert!(
        sent(&bench.request(report(200, bench.now + 20 * S, 12_000.0))).is_empty(),
        "pressure: the room binds"
    );
}

#[test]
fn grant_is_a_quarter_over_the_corrected_estimate_within_the_largest_share() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    let first = bench.request(report(1, bench.now + 20 * S, 400.0));
    assert_eq!(grants(&first)[0].1, 500.0);
    let large = bench.request(report(2, bench.now + 20 * S, 8_000.0));
    let own = grants(&large).into_iter().find(|t| t.0 == 2).map(|t| t.1);
    assert_eq!(own, Some(0.4 * 8_000.0));
}

#[test]
fn grants_follow_the_learned_ratio_and_one_runaway_does_not_bend_it() {
    let grant_after = |bills: &[f64]| {
        let mut bench = Bench::new(settings(), &[ready(1)]);
        for (id, &memory_mb) in bills.iter().enumerate() {
            bench.request(report(id as u64, bench.now + 20 * S, 100.0));
            bench.answer_with_usage(
                id as u64,
                S,
                ResourceUsage {
                    work: 2.0 * S as f64,
                    memory_mb,
                },
            );
        }
        grants(&bench.request(report(99, bench.now + 20 * S, 100.0)))[0].1
    };
    let doubled = grant_after(&[200.0; 200]);
    assert!((doubled - 250.0).abs() < 5.0, "{doubled}");
    let mut one_runaway = vec![100.0; 50];
    one_runaway.push(100_000.0);
    assert!(grant_after(&one_runaway) < 1.15 * 125.0);
}

#[test]
fn largest_queries_rank_highest_and_ranks_are_updated_as_each_ends() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    let deadline = bench.now + 20 * S;
    for id in 0..10 {
        bench.request(lookup(1000 + id, bench.now + 4 * S));
        bench.end_attempt(1000 + id, 0, Outcome::Answered, 100 * MS);
    }
    assert_eq!(
        grants(&bench.request(report(1, deadline, 100.0))),
        [(1, 125.0, 2)]
    );
    assert_eq!(
        grants(&bench.request(report(2, deadline, 300.0))),
        [(2, 375.0, 2), (1, 125.0, 1)]
    );
    assert_eq!(
        grants(&bench.request(report(3, deadline, 200.0))),
        [(3, 250.0, 1), (1, 125.0, 0)]
    );
    assert_eq!(
        grants(&bench.request(lookup(4, deadline)))[0].2,
        3,
        "dashboards above all"
    );
    let ended = bench.end_attempt(2, 0, Outcome::Answered, S);
    assert_eq!(
        grants(&ended),
        [(3, 250.0, 2), (1, 125.0, 1)],
        "told only where it changes"
    );
}

#[test]
fn queued_requests_leave_earliest_objective_first() {
    let mut bench = Bench::new(settings(), &[]);
    let deadline = bench.now + 20 * S;
    for id in [3, 1, 2] {
        let work = id as f64 * 1e5;
        bench.request(Request {
            work: Some(work),
            ..report(id, deadline, 10.0)
        });
    }
    let left = sent(&bench.handle(Event::EndpointSnapshot(vec![ready(1)])));
    assert_eq!(left.iter().map(|s| s.0).collect::<Vec<_>>(), [1, 2, 3]);
}

#[test]
fn queued_request_without_room_does_not_block_a_later_one() {
    let mut settings = settings();
    settings.classes[REPORT].kinds_only = Some(vec![1]);
    let mut bench = Bench::new(settings, &[ready(1)]);
    bench.request(Request {
        work: Some(1.0),
        ..report(1, bench.now + 20 * S, 10.0)
    });
    assert_eq!(sent(&bench.request(lookup(2, bench.now + 4 * S))).len(), 1);
}

#[test]
fn every_gateway_prefers_the_affinity_engines_of_a_group_until_they_are_loaded() {
    let engines: Vec<Endpoint> = (1..=6).map(ready).collect();
    let home_seen_by = |seed: u64| {
        let mut bench = Bench::new(settings(), &engines);
        bench.balancer = eideryard::balancer::Balancer::new(settings(), seed, bench.now);
        bench.handle(Event::EndpointSnapshot(engines.clone()));
        sent(&bench.request(lookup(1, bench.now + 4 * S)))[0].1
    };
    assert_eq!(home_seen_by(1), home_seen_by(2));
    let mut bench = Bench::new(settings(), &engines);
    let used: std::collections::BTreeSet<EngineId> = (0..60)
        .flat_map(|id| sent(&bench.request(report(id, bench.now + 20 * S, 10.0))))
        .map(|s| s.1)
        .collect();
    assert!(used.len() > 3, "{used:?}");
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut bench = Bench::new(settings(), &[ready(1), ready(2), ready(3)]);
        let mut all = Vec::new();
        for id in 0..200 {
            all.extend(bench.request(report(id, bench.now + 8 * S, 50.0 * (id % 7) as f64)));
            if id % 3 == 0 {
                all.extend(bench.end_attempt(id, 0, Outcome::Answered, S));
            }
            all.extend(bench.advance(30 * MS));
        }
        all
    };
    assert_eq!(run(), run());
}

/// Found on sockets: a client's end of a connection may be read a tenth of a second late, far more
/// than two ticks.
#[test]
fn a_tenth_of_the_wait_is_left_for_the_answer_to_arrive() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    let now = bench.now;
    let actions = bench.request(lookup(1, now + 4 * S));
    let given_up = actions.iter().find_map(|action| match action {
        Action::Send {
            attempt_deadline, ..
        } => Some(*attempt_deadline),
        _ => None,
    });
    assert_eq!(given_up, Some(now + 4 * S - 400 * MS - 10 * MS));
}

/// Found on sockets: a long queue was looked through at every event, at half of a gateway's CPU.
#[test]
fn a_class_without_room_holds_back_no_other_class() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    let out = reports_out(&mut bench, 4_000.0, 200);
    assert!(out < 200, "reports are held: {out} of 200 are out");
    assert_eq!(
        sent(&bench.end_attempt(100, 0, Outcome::Answered, 100 * MS)).len(),
        1,
        "one leaves for one that ended"
    );
}
