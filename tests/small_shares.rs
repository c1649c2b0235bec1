//! Hundreds of gateways in front of tens of engines: the share of each is less than one query, so
//! probes decide where a request goes.

mod common;
use common::small_shares::*;
use common::*;
use eideryard::interface::*;
use std::collections::BTreeMap;

#[test]
fn request_goes_to_the_candidate_that_reports_fewer_queries() {
    for id in 0..20 {
        let mut gateway = TestGateway::new(small_share_settings(), &fleet());
        let deadline = gateway.now + 20 * SECOND;
        let probed = probed_engines(&gateway.submit(Request {
            group: id,
            ..report_request(id, deadline, 10.0)
        }));
        assert_eq!(
            probed.len(),
            2,
            "two engines must be probed before the request is sent"
        );
        assert!(target_engines(&gateway.handle(probe_answer(probed[0], 7.0))).is_empty());
        assert_eq!(
            target_engines(&gateway.handle(probe_answer(probed[1], 1.0))),
            [probed[1]]
        );
    }
}

/// Gateways that start together would overload engines if each assumed that engines without a
/// report are idle. A new gateway therefore assumes that other gateways load these engines. The
/// assumed load decays until a report arrives. A gateway that may probe does so from its first
/// request on.
#[test]
fn new_gateway_does_not_assume_engines_without_reports_are_idle() {
    let mut without_probes = Settings {
        may_probe: false,
        peers: 9.0,
        ..small_share_settings()
    };
    without_probes.classes[REPORT].threads = 2.0;
    let mut gateway = TestGateway::new(without_probes, &[ready_endpoint(1)]);
    let deadline = gateway.now + 20 * SECOND;
    assert_eq!(
        target_engines(&gateway.submit(report_request(1, deadline, 10.0))),
        [1]
    );
    let second = target_engines(&gateway.submit(report_request(2, deadline, 10.0)));
    assert!(
        second.is_empty(),
        "an engine without a report must not count as idle"
    );
    for _ in 0..50 {
        gateway.advance(20_000);
    }
    let later = target_engines(&gateway.submit(report_request(3, deadline, 10.0)));
    assert_eq!(later, [1], "the load assumed at the start must have faded");
    let probed = probed_engines(
        &TestGateway::new(small_share_settings(), &fleet())
            .submit(report_request(1, deadline, 10.0)),
    );
    assert_eq!(probed.len(), 2, "the first request must lead to probes");
}

#[test]
fn reports_are_queued_when_other_gateways_fill_the_engines() {
    let mut gateway = TestGateway::new(small_share_settings(), &fleet());
    let deadline = gateway.now + 20 * SECOND;
    assert!(
        place_with_probes(&mut gateway, report_request(1, deadline, 10.0), |_| 30.0).is_empty()
    );
    let mut gateway = TestGateway::new(small_share_settings(), &fleet());
    assert_eq!(
        place_with_probes(&mut gateway, report_request(1, deadline, 10.0), |_| 1.0).len(),
        1
    );
}

#[test]
fn nothing_is_probed_if_the_share_of_an_engine_exceeds_one_query() {
    let mut gateway = TestGateway::new(
        Settings {
            peers: 2.0,
            ..small_share_settings()
        },
        &fleet(),
    );
    let deadline = gateway.now + 20 * SECOND;
    assert!(probed_engines(&gateway.submit(report_request(1, deadline, 10.0))).is_empty());
}

#[test]
fn probe_rate_is_limited_by_the_probe_tariff() {
    let mut gateway = TestGateway::new(
        Settings {
            probe_tariff: 0.02,
            ..small_share_settings()
        },
        &fleet(),
    );
    let mut probes = 0;
    for id in 0..200 {
        gateway.now += 100 * MILLISECOND;
        let deadline = gateway.now + 20 * SECOND;
        let actions = gateway.submit(Request {
            group: id,
            ..lookup_request(id, deadline)
        });
        for engine in probed_engines(&actions) {
            probes += 1;
            gateway.handle(probe_answer(engine, 30.0));
        }
        probes += probed_engines(&gateway.advance(100 * MILLISECOND)).len();
    }
    assert!(
        (50..=206).contains(&probes),
        "{probes} probes for 200 requests, of which each allows one probe"
    );
}

#[test]
fn candidates_of_a_backlog_are_redrawn_no_faster_than_requests_arrive() {
    let mut gateway = TestGateway::new(
        Settings {
            peers: 10.0,
            probe_tariff: 0.001,
            ..small_share_settings()
        },
        &fleet(),
    );
    for id in 0..30 {
        let deadline = gateway.now + 20 * SECOND;
        assert!(place_with_probes(
            &mut gateway,
            Request {
                group: id,
                ..report_request(id, deadline, 10.0)
            },
            |_| 30.0
        )
        .is_empty());
    }
    // All engines are idle now, but the backlog must not be sent all at once.
    gateway.now += SECOND;
    let mut sent_count = 0;
    for _ in 0..4 {
        let mut actions = gateway.advance(50 * MILLISECOND);
        for engine in probed_engines(&actions) {
            actions.extend(gateway.handle(probe_answer(engine, 0.0)));
        }
        sent_count += target_engines(&actions).len();
    }
    assert!(
        (1..=8).contains(&sent_count),
        "{sent_count} queued requests sent at once"
    );
}

#[test]
fn threads_in_flight_on_all_engines_stay_within_the_gateways_share() {
    let mut gateway = TestGateway::new(small_share_settings(), &fleet());
    let mut sent_count = 0;
    for id in 0..40 {
        let deadline = gateway.now + 20 * SECOND;
        sent_count += place_with_probes(
            &mut gateway,
            Request {
                group: id,
                ..report_request(id, deadline, 10.0)
            },
            |_| 0.0,
        )
        .len();
    }
    // 160 cores among 200 gateways at three threads per core are 2.4 threads; the last query may
    // exceed this bound.
    assert_eq!(sent_count, 2);
}

#[test]
fn engine_with_idle_cores_but_high_latency_is_sent_nothing() {
    let idle_cores_report = |engine| {
        let report = Some(LoadReport {
            cores_busy: Some(0.1),
            ..LoadReport::default()
        });
        Event::ProbeEnded(ProbeEnded {
            engine,
            outcome: Outcome::Answered,
            report,
        })
    };
    let mut gateway = TestGateway::new(
        Settings {
            max_attempts: 1,
            ..small_share_settings()
        },
        &[ready_endpoint(1)],
    );
    let deadline = gateway.now + 20 * SECOND;
    gateway.submit(report_request(1, deadline, 10.0));
    assert_eq!(
        target_engines(&gateway.handle(idle_cores_report(1))).len(),
        1
    );
    gateway.now += 8 * SECOND;
    // Eight seconds for one second of work: the engine is saturated, even if its cores are idle.
    gateway.end_attempt(1, 0, Outcome::Answered, 8 * SECOND);
    let deadline = gateway.now + 20 * SECOND;
    let mut actions = gateway.submit(report_request(2, deadline, 10.0));
    actions.extend(gateway.handle(idle_cores_report(1)));
    assert!(target_engines(&actions).is_empty());
}

#[test]
fn engine_with_a_failed_probe_is_avoided_and_an_unanswered_probe_times_out() {
    let mut gateway = TestGateway::new(small_share_settings(), &fleet());
    let deadline = gateway.now + 20 * SECOND;
    let probed = probed_engines(&gateway.submit(report_request(1, deadline, 10.0)));
    gateway.handle(probe_answer(probed[0], 4.0));
    let sends = target_engines(&gateway.advance(150 * MILLISECOND));
    assert_eq!(
        sends,
        [probed[0]],
        "the engine whose probe is unanswered must be skipped"
    );
    gateway.handle(Event::ProbeEnded(ProbeEnded {
        engine: probed[1],
        outcome: Outcome::NoConnection,
        report: None,
    }));
    gateway.end_attempt(1, 0, Outcome::Answered, SECOND);
    for id in 2..40 {
        let sends = place_with_probes(&mut gateway, report_request(id, deadline, 10.0), |_| 0.0);
        assert!(!sends.contains(&probed[1]));
        for _ in sends.iter() {
            drop(gateway.end_attempt(id, 0, Outcome::Answered, SECOND));
        }
    }
}

#[test]
fn probe_answers_of_unknown_engines_or_without_a_report_are_handled() {
    let mut gateway = TestGateway::new(small_share_settings(), &fleet());
    gateway.handle(probe_answer(999, 3.0));
    let deadline = gateway.now + 20 * SECOND;
    let probed = probed_engines(&gateway.submit(report_request(1, deadline, 10.0)));
    let mut actions = Vec::new();
    for engine in probed {
        actions.extend(gateway.handle(Event::ProbeEnded(ProbeEnded {
            engine,
            outcome: Outcome::Answered,
            report: None,
        })));
    }
    assert_eq!(
        target_engines(&actions).len(),
        1,
        "both probes are answered, so the request must be sent even without reports"
    );
}

#[test]
fn loads_avoid_the_affinity_engines_of_their_group_only_if_queries_wait_for_loads() {
    let loads_on_affinity_engines = |queries_wait: bool| {
        let mut settings = small_share_settings();
        settings.classes[LOOKUP].waits_for_load = queries_wait;
        let mut count = 0;
        for id in 0..60 {
            let mut gateway = TestGateway::new(settings.clone(), &fleet());
            let deadline = gateway.now + 20 * SECOND;
            let affinity_engines = probed_engines(&gateway.submit(Request {
                group: id,
                ..lookup_request(id, deadline)
            }));
            for &engine in affinity_engines.iter() {
                drop(gateway.handle(probe_answer(engine, 0.0)));
            }
            let load_engines = place_with_probes(
                &mut gateway,
                Request {
                    group: id,
                    ..load_request(1_000 + id, deadline)
                },
                |_| 0.0,
            );
            count += load_engines
                .iter()
                .filter(|engine| affinity_engines.contains(engine))
                .count();
        }
        count
    };
    assert_eq!(loads_on_affinity_engines(true), 0);
    let count = loads_on_affinity_engines(false);
    assert!(count > 5, "{count} of 60 loads");
}

#[test]
fn request_that_cannot_end_in_time_is_refused_at_once() {
    let mut gateway = TestGateway::new(small_share_settings(), &fleet());
    let heavy = Request {
        work: Some(60.0 * SECOND as f64),
        ..report_request(1, gateway.now + 15 * SECOND, 10.0)
    };
    let actions = gateway.submit(heavy);
    assert!(probed_engines(&actions).is_empty() && target_engines(&actions).is_empty());
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::Refuse { request: 1, .. })));
}

#[test]
fn hot_table_group_soon_gets_more_affinity_engines() {
    let mut gateway = TestGateway::new(small_share_settings(), &fleet());
    let mut used = BTreeMap::new();
    for id in 0..40 {
        gateway.now += 100 * MILLISECOND;
        let deadline = gateway.now + 4 * SECOND;
        for engine in place_with_probes(&mut gateway, lookup_request(id, deadline), |_| 1.0) {
            *used.entry(engine).or_insert(0) += 1;
            gateway.end_attempt(id, 0, Outcome::Answered, 100 * MILLISECOND);
        }
    }
    assert!(
        used.len() > 5,
        "all requests read one table group, but only {} engines serve it",
        used.len()
    );
}
