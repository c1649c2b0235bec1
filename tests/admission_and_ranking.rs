//! The normal path of a request: admission, corrected estimates, grants, ranks, order of the queue
//! and choice of engine.

mod common;
use common::*;
use eideryard::interface::*;

/// Submits `max_count` reports of `memory_mb` and returns how many of them were sent at once.
fn send_reports(gateway: &mut TestGateway, memory_mb: f64, max_count: u64) -> usize {
    let deadline = gateway.now + 20 * SECOND;
    (0..max_count)
        .filter(|id| {
            !sent_attempts(&gateway.submit(report_request(100 + id, deadline, memory_mb)))
                .is_empty()
        })
        .count()
}

#[test]
fn memory_bound_does_not_apply_without_pressure() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
    assert_eq!(
        send_reports(&mut gateway, 8_000.0, 6),
        6,
        "12 threads on 8 cores and six times the memory must be admitted"
    );
}

#[test]
fn memory_bound_applies_to_reports_but_not_dashboards_under_pressure() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
    for id in 0..20 {
        gateway.submit(lookup_request(id, gateway.now + 4 * SECOND));
        gateway.end_attempt(id, 0, Outcome::Answered, 100 * MILLISECOND);
    }
    gateway.submit(report_request(50, gateway.now + 20 * SECOND, 100.0));
    let busy = LoadReport {
        cores_busy: Some(1.0),
        ..LoadReport::default()
    };
    gateway.submit(lookup_request(51, gateway.now + 4 * SECOND));
    gateway.end_attempt_with(51, 0, Outcome::Answered, 100 * MILLISECOND, |ended| {
        ended.report = Some(busy);
    });
    assert_eq!(
        send_reports(&mut gateway, 8_000.0, 6),
        2,
        "under pressure reports may use three times the memory"
    );
    assert_eq!(
        sent_attempts(&gateway.submit(lookup_request(60, gateway.now + 4 * SECOND))).len(),
        1
    );
}

/// Latency above 1.2 times the best latency, which cached tables had made low, counted as pressure
/// even if load reports showed few threads. Queries then waited for seconds although engines had
/// idle cores.
#[test]
fn load_report_of_few_threads_overrules_pressure_by_latency() {
    let reports_with = |in_flight: Option<f64>| {
        let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
        for id in 0..40 {
            gateway.submit(lookup_request(id, gateway.now + 4 * SECOND));
            gateway.now += 100 * MILLISECOND;
            let spent = if id < 20 {
                50 * MILLISECOND
            } else {
                150 * MILLISECOND
            };
            gateway.end_attempt_with(id, 0, Outcome::Answered, spent, |ended| {
                ended.report = in_flight.map(|_| LoadReport {
                    in_flight,
                    ..LoadReport::default()
                });
            });
        }
        gateway.submit(report_request(50, gateway.now + 20 * SECOND, 100.0));
        send_reports(&mut gateway, 8_000.0, 6)
    };
    // The last report shows few threads, so latency is ignored and only the bound on threads limits
    // the count.
    assert_eq!([None, Some(30.0), Some(3.0)].map(reports_with), [2, 2, 5]);
}

#[test]
fn threads_over_the_cores_imply_pressure_and_the_thread_bound_applies() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
    let sent_count = send_reports(&mut gateway, 10.0, 40);
    assert!(
        (8..=16).contains(&sent_count),
        "{sent_count} reports of two threads sent to 8 cores"
    );
    let mut gateway = TestGateway::new(
        Settings {
            peers: 2.0,
            ..settings()
        },
        &[ready_endpoint(1)],
    );
    assert!(
        send_reports(&mut gateway, 10.0, 40) <= 8,
        "half of the cores belong to another gateway"
    );
}

#[test]
fn idle_engine_may_be_sent_one_query_of_any_size() {
    let mut gateway = TestGateway::new(
        Settings {
            peers: 50.0,
            ..settings()
        },
        &[ready_endpoint(1)],
    );
    assert_eq!(
        sent_attempts(&gateway.submit(report_request(1, gateway.now + 20 * SECOND, 1e6))).len(),
        1
    );
    assert!(
        sent_attempts(&gateway.submit(report_request(2, gateway.now + 20 * SECOND, 1e6)))
            .is_empty()
    );
}

#[test]
fn engine_at_capacity_is_sent_less() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
    let before = send_reports(&mut gateway, 3_000.0, 6);
    assert_eq!(before, 6);
    gateway.end_attempt(105, 0, Outcome::AtCapacity, MILLISECOND);
    assert!(
        sent_attempts(&gateway.submit(report_request(200, gateway.now + 20 * SECOND, 12_000.0)))
            .is_empty(),
        "an engine at capacity is under pressure, so the memory bound must apply"
    );
}

#[test]
fn grant_exceeds_the_corrected_estimate_by_a_quarter_up_to_the_largest_share() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
    let first = gateway.submit(report_request(1, gateway.now + 20 * SECOND, 400.0));
    assert_eq!(grants(&first)[0].1, 500.0);
    let large = gateway.submit(report_request(2, gateway.now + 20 * SECOND, 8_000.0));
    let grant_mb = grants(&large)
        .into_iter()
        .find(|grant| grant.0 == 2)
        .map(|grant| grant.1);
    assert_eq!(grant_mb, Some(0.4 * 8_000.0));
}

#[test]
fn grants_follow_the_learned_ratio_and_a_single_outlier_hardly_changes_it() {
    let grant_after = |used_memory: &[f64]| {
        let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
        for (id, &memory_mb) in used_memory.iter().enumerate() {
            gateway.submit(report_request(id as u64, gateway.now + 20 * SECOND, 100.0));
            gateway.answer_with_usage(
                id as u64,
                SECOND,
                ResourceUsage {
                    work: 2.0 * SECOND as f64,
                    memory_mb,
                },
            );
        }
        grants(&gateway.submit(report_request(99, gateway.now + 20 * SECOND, 100.0)))[0].1
    };
    let doubled = grant_after(&[200.0; 200]);
    assert!((doubled - 250.0).abs() < 5.0, "{doubled}");
    let mut with_outlier = vec![100.0; 50];
    with_outlier.push(100_000.0);
    assert!(grant_after(&with_outlier) < 1.15 * 125.0);
}

#[test]
fn largest_queries_rank_highest_and_ranks_are_updated_as_each_ends() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
    let deadline = gateway.now + 20 * SECOND;
    for id in 0..10 {
        gateway.submit(lookup_request(1000 + id, gateway.now + 4 * SECOND));
        gateway.end_attempt(1000 + id, 0, Outcome::Answered, 100 * MILLISECOND);
    }
    assert_eq!(
        grants(&gateway.submit(report_request(1, deadline, 100.0))),
        [(1, 125.0, 2)]
    );
    assert_eq!(
        grants(&gateway.submit(report_request(2, deadline, 300.0))),
        [(2, 375.0, 2), (1, 125.0, 1)]
    );
    assert_eq!(
        grants(&gateway.submit(report_request(3, deadline, 200.0))),
        [(3, 250.0, 1), (1, 125.0, 0)]
    );
    assert_eq!(
        grants(&gateway.submit(lookup_request(4, deadline)))[0].2,
        3,
        "dashboards above all"
    );
    let ended = gateway.end_attempt(2, 0, Outcome::Answered, SECOND);
    assert_eq!(
        grants(&ended),
        [(3, 250.0, 2), (1, 125.0, 1)],
        "a grant is sent only if it changes"
    );
}

#[test]
fn queued_requests_leave_earliest_objective_first() {
    let mut gateway = TestGateway::new(settings(), &[]);
    let deadline = gateway.now + 20 * SECOND;
    for id in [3, 1, 2] {
        let work = id as f64 * 1e5;
        gateway.submit(Request {
            work: Some(work),
            ..report_request(id, deadline, 10.0)
        });
    }
    let sends = sent_attempts(&gateway.handle(Event::EndpointSnapshot(vec![ready_endpoint(1)])));
    assert_eq!(
        sends.iter().map(|send| send.0).collect::<Vec<_>>(),
        [1, 2, 3]
    );
}

#[test]
fn queued_request_without_room_does_not_block_a_later_one() {
    let mut settings = settings();
    settings.classes[REPORT].kinds_only = Some(vec![1]);
    let mut gateway = TestGateway::new(settings, &[ready_endpoint(1)]);
    gateway.submit(Request {
        work: Some(1.0),
        ..report_request(1, gateway.now + 20 * SECOND, 10.0)
    });
    assert_eq!(
        sent_attempts(&gateway.submit(lookup_request(2, gateway.now + 4 * SECOND))).len(),
        1
    );
}

#[test]
fn every_gateway_prefers_the_affinity_engines_of_a_group_until_they_are_loaded() {
    let engines: Vec<Endpoint> = (1..=6).map(ready_endpoint).collect();
    let preferred_engine = |seed: u64| {
        let mut gateway = TestGateway::new(settings(), &engines);
        gateway.balancer = eideryard::balancer::Balancer::new(settings(), seed, gateway.now);
        gateway.handle(Event::EndpointSnapshot(engines.clone()));
        sent_attempts(&gateway.submit(lookup_request(1, gateway.now + 4 * SECOND)))[0].1
    };
    assert_eq!(preferred_engine(1), preferred_engine(2));
    let mut gateway = TestGateway::new(settings(), &engines);
    let used_engines: std::collections::BTreeSet<EngineId> = (0..60)
        .flat_map(|id| {
            sent_attempts(&gateway.submit(report_request(id, gateway.now + 20 * SECOND, 10.0)))
        })
        .map(|send| send.1)
        .collect();
    assert!(used_engines.len() > 3, "{used_engines:?}");
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut gateway = TestGateway::new(
            settings(),
            &[ready_endpoint(1), ready_endpoint(2), ready_endpoint(3)],
        );
        let mut all = Vec::new();
        for id in 0..200 {
            all.extend(gateway.submit(report_request(
                id,
                gateway.now + 8 * SECOND,
                50.0 * (id % 7) as f64,
            )));
            if id % 3 == 0 {
                all.extend(gateway.end_attempt(id, 0, Outcome::Answered, SECOND));
            }
            all.extend(gateway.advance(30 * MILLISECOND));
        }
        all
    };
    assert_eq!(run(), run());
}

/// A margin of two ticks before the client's deadline is too short: a client may read an answer
/// from its socket a tenth of a second late.
#[test]
fn attempt_deadline_leaves_a_tenth_of_the_clients_wait_for_the_answer() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
    let now = gateway.now;
    let actions = gateway.submit(lookup_request(1, now + 4 * SECOND));
    let sent_deadline = actions.iter().find_map(|action| match action {
        Action::Send {
            attempt_deadline, ..
        } => Some(*attempt_deadline),
        _ => None,
    });
    assert_eq!(
        sent_deadline,
        Some(now + 4 * SECOND - 400 * MILLISECOND - 10 * MILLISECOND)
    );
}

/// Scanning a long queue at every event took half of a gateway's CPU time, so classes without room
/// are skipped. Skipping them must not block the other classes.
#[test]
fn class_without_room_does_not_block_other_classes() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
    let sent_count = send_reports(&mut gateway, 4_000.0, 200);
    assert!(
        sent_count < 200,
        "{sent_count} of 200 reports sent, so none is queued"
    );
    assert_eq!(
        sent_attempts(&gateway.end_attempt(100, 0, Outcome::Answered, 100 * MILLISECOND)).len(),
        1,
        "one queued report must be sent after one has ended"
    );
}
