//! Hundreds of gateways in front of tens of engines: shares below one query.

mod common;
use common::small_shares::*;
use common::*;
use eideryard::interface::*;
use std::collections::BTreeMap;

#[test]
fn emptier_of_two_candidates_is_chosen_by_their_reports() {
    for id in 0..20 {
        let mut bench = Bench::new(wide(), &fleet());
        let deadline = bench.now + 20 * S;
        let asked = probed(&bench.request(Request {
            group: id,
            ..report(id, deadline, 10.0)
        }));
        assert_eq!(
            asked.len(),
            2,
            "two are asked, and nothing is sent before they answer"
        );
        assert!(targets(&bench.handle(reported(asked[0], 7.0))).is_empty());
        assert_eq!(targets(&bench.handle(reported(asked[1], 1.0))), [asked[1]]);
    }
}

/// Gateways that start together take no engine for idle that none told of: what they add to one
/// there is bounded as if others used it, until a report tells or that has faded. Where a probe may
/// ask, the first request asks already.
#[test]
fn new_gateway_assumes_no_engine_idle() {
    let mut silent = Settings {
        may_probe: false,
        peers: 9.0,
        ..wide()
    };
    silent.classes[REPORT].threads = 2.0;
    let mut bench = Bench::new(silent, &[ready(1)]);
    let deadline = bench.now + 20 * S;
    assert_eq!(targets(&bench.request(report(1, deadline, 10.0))), [1]);
    let second = targets(&bench.request(report(2, deadline, 10.0)));
    assert!(
        second.is_empty(),
        "an engine that nobody told of counts as idle"
    );
    for _ in 0..50 {
        bench.advance(20_000);
    }
    let later = targets(&bench.request(report(3, deadline, 10.0)));
    assert_eq!(later, [1], "what was assumed at the start has not faded");
    let asked = probed(&Bench::new(wide(), &fleet()).request(report(1, deadline, 10.0)));
    assert_eq!(asked.len(), 2, "the first request asks");
}

#[test]
fn foreign_load_holds_reports_back_though_this_gateway_is_idle_there() {
    let mut bench = Bench::new(wide(), &fleet());
    let deadline = bench.now + 20 * S;
    assert!(place(&mut bench, report(1, deadline, 10.0), |_| 30.0).is_empty());
    let mut bench = Bench::new(wide(), &fleet());
    assert_eq!(
        place(&mut bench, report(1, deadline, 10.0), |_| 1.0).len(),
        1
    );
}

#[test]
fn where_shares_are_large_nothing_is_probed() {
    let mut bench = Bench::new(
        Settings {
            peers: 2.0,
            ..wide()
        },
        &fleet(),
    );
    let deadline = bench.now + 20 * S;
    assert!(probed(&bench.request(report(1, deadline, 10.0))).is_empty());
}

#[test]
fn probes_stay_within_what_their_tariff_allows() {
    let mut bench = Bench::new(
        Settings {
            probe_tariff: 0.02,
            ..wide()
        },
        &fleet(),
    );
    let mut probes = 0;
    for id in 0..200 {
        bench.now += 100 * MS;
        let deadline = bench.now + 20 * S;
        let actions = bench.request(Request {
            group: id,
            ..lookup(id, deadline)
        });
        for engine in probed(&actions) {
            probes += 1;
            bench.handle(reported(engine, 30.0));
        }
        probes += probed(&bench.advance(100 * MS)).len();
    }
    assert!(
        (50..=206).contains(&probes),
        "{probes} probes for 200 requests at one a request"
    );
}

#[test]
fn candidates_of_a_backlog_are_redrawn_no_faster_than_requests_arrive() {
    let mut bench = Bench::new(
        Settings {
            peers: 10.0,
            probe_tariff: 0.001,
            ..wide()
        },
        &fleet(),
    );
    for id in 0..30 {
        let deadline = bench.now + 20 * S;
        assert!(place(
            &mut bench,
            Request {
                group: id,
                ..report(id, deadline, 10.0)
            },
            |_| 30.0
        )
        .is_empty());
    }
    // Now all engines are empty, and still the backlog does not leave as one.
    bench.now += S;
    let mut left = 0;
    for _ in 0..4 {
        let mut actions = bench.advance(50 * MS);
        for engine in probed(&actions) {
            actions.extend(bench.handle(reported(engine, 0.0)));
        }
        left += targets(&actions).len();
    }
    assert!((1..=8).contains(&left), "{left} left at once");
}

#[test]
fn work_in_flight_on_all_engines_stays_within_the_quota() {
    let mut bench = Bench::new(wide(), &fleet());
    let mut out = 0;
    for id in 0..40 {
        let deadline = bench.now + 20 * S;
        out += place(
            &mut bench,
            Request {
                group: id,
                ..report(id, deadline, 10.0)
            },
            |_| 0.0,
        )
        .len();
    }
    // 160 cores over 200 gateways, three threads each: 2.4 threads; the last one in may pass it.
    assert_eq!(out, 2);
}

#[test]
fn idle_cores_do_not_attract_queries_against_high_latency() {
    let idle = |engine| {
        let report = Some(LoadReport {
            cores_busy: Some(0.1),
            ..LoadReport::default()
        });
        Event::Probed(Probed {
            engine,
            outcome: Outcome::Answered,
            report,
        })
    };
    let mut bench = Bench::new(
        Settings {
            max_attempts: 1,
            ..wide()
        },
        &[ready(1)],
    );
    let deadline = bench.now + 20 * S;
    bench.request(report(1, deadline, 10.0));
    assert_eq!(targets(&bench.handle(idle(1))).len(), 1);
    bench.now += 8 * S;
    // Eight seconds for one second of work: the engine is jammed, whatever it says of its cores.
    bench.end_attempt(1, 0, Outcome::Answered, 8 * S);
    let deadline = bench.now + 20 * S;
    let mut actions = bench.request(report(2, deadline, 10.0));
    actions.extend(bench.handle(idle(1)));
    assert!(targets(&actions).is_empty());
}

#[test]
fn failed_probe_closes_an_engine_and_an_unanswered_one_times_out() {
    let mut bench = Bench::new(wide(), &fleet());
    let deadline = bench.now + 20 * S;
    let asked = probed(&bench.request(report(1, deadline, 10.0)));
    bench.handle(reported(asked[0], 4.0));
    let sends = targets(&bench.advance(150 * MS));
    assert_eq!(sends, [asked[0]], "the mute one is passed over");
    bench.handle(Event::Probed(Probed {
        engine: asked[1],
        outcome: Outcome::NoConnection,
        report: None,
    }));
    bench.end_attempt(1, 0, Outcome::Answered, S);
    for id in 2..40 {
        let sends = place(&mut bench, report(id, deadline, 10.0), |_| 0.0);
        assert!(!sends.contains(&asked[1]));
        for _ in sends.iter() {
            drop(bench.end_attempt(id, 0, Outcome::Answered, S));
        }
    }
}

#[test]
fn probes_of_unknown_engines_and_answers_without_a_report_do_no_harm() {
    let mut bench = Bench::new(wide(), &fleet());
    bench.handle(reported(999, 3.0));
    let deadline = bench.now + 20 * S;
    let asked = probed(&bench.request(report(1, deadline, 10.0)));
    let mut actions = Vec::new();
    for engine in asked {
        actions.extend(bench.handle(Event::Probed(Probed {
            engine,
            outcome: Outcome::Answered,
            report: None,
        })));
    }
    assert_eq!(
        targets(&actions).len(),
        1,
        "answered, if without a word: nothing more to wait for"
    );
}

#[test]
fn loads_avoid_the_affinity_engines_of_their_group_only_where_queries_wait_for_loads() {
    let homes_hit = |waits: bool| {
        let mut settings = wide();
        settings.classes[LOOKUP].waits_for_load = waits;
        let mut hit = 0;
        for id in 0..60 {
            let mut bench = Bench::new(settings.clone(), &fleet());
            let deadline = bench.now + 20 * S;
            let homes = probed(&bench.request(Request {
                group: id,
                ..lookup(id, deadline)
            }));
            for &engine in homes.iter() {
                drop(bench.handle(reported(engine, 0.0)));
            }
            let loaded = place(
                &mut bench,
                Request {
                    group: id,
                    ..load(1_000 + id, deadline)
                },
                |_| 0.0,
            );
            hit += loaded
                .iter()
                .filter(|engine| homes.contains(engine))
                .count();
        }
        hit
    };
    assert_eq!(homes_hit(true), 0);
    let hit = homes_hit(false);
    assert!(hit > 5, "{hit} of 60");
}

#[test]
fn request_that_cannot_end_in_time_is_refused_at_once() {
    let mut bench = Bench::new(wide(), &fleet());
    let heavy = Request {
        work: Some(60.0 * S as f64),
        ..report(1, bench.now + 15 * S, 10.0)
    };
    let actions = bench.request(heavy);
    assert!(probed(&actions).is_empty() && targets(&actions).is_empty());
    assert!(actions
        .iter()
        .any(|a| matches!(a, Action::Refuse { request: 1, .. })));
}

#[test]
fn hot_group_gets_more_affinity_engines_as_soon_as_it_shows() {
    let mut bench = Bench::new(wide(), &fleet());
    let mut used = BTreeMap::new();
    for id in 0..40 {
        bench.now += 100 * MS;
        let deadline = bench.now + 4 * S;
        for engine in place(&mut bench, lookup(id, deadline), |_| 1.0) {
            *used.entry(engine).or_insert(0) += 1;
            bench.end_attempt(id, 0, Outcome::Answered, 100 * MS);
        }
    }
    assert!(
        used.len() > 5,
        "all requests read one group, yet only {} engines serve it",
        used.len()
    );
}
