//! Tests of the scale run: rejected sizes, slopes and predictions, and counts that must not grow.

use std::sync::mpsc::sync_channel;
use std::time::Duration;

use eideryard_emulators::ledger::Answers;
use eideryard_fleet_test::processes::Ending;
use eideryard_fleet_test::scale::checks::{self, describe_growth};
use eideryard_fleet_test::scale::control::Reloads;
use eideryard_fleet_test::scale::decisions::{self, Fleet};
use eideryard_fleet_test::scale::fit::{prediction, slope, Law};
use eideryard_fleet_test::scale::measure::{Axis, Collected, Figure, Point, Series, Size, Source};
use eideryard_fleet_test::scale::mixed::{self, HollowGateways};
use eideryard_fleet_test::scale::processes::FleetExit;
use eideryard_fleet_test::scale::run::{Outcome, Run};
use eideryard_fleet_test::scale::sizes::{Machine, SizeError, Sizes};
use eideryard_fleet_test::scale::{discovery, replication, report};
use eideryard_fleet_test::timeline::Timeline;

const MACHINE: Machine = Machine {
    memory_bytes: 8 << 30,
    descriptors: 20_000,
};

fn sizes() -> Sizes {
    Sizes {
        gateways: vec![17, 34, 51],
        engines: vec![80, 160, 1_600],
        clients: vec![0],
        rate: vec![50.0, 100.0],
        changes: 4,
        seed: 3,
        repeats: 2,
        real: 0,
        hollow: 2,
        beside: 2,
        seconds: 0.1,
        plots: None,
        program: None,
    }
}

/// A run with sizes that don't fit the machine would exhaust it or fail late. Guards against errors
/// that don't name the option, the limit and the remedy.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn sizes_that_do_not_fit_are_rejected_with_limit_figure_and_remedy() {
    assert_eq!(sizes().check(MACHINE), Ok(()));
    let rejected: [(Sizes, &[&str]); 10] = [
        (
            Sizes {
                seconds: -1.0,
                ..sizes()
            },
            &["--seconds -1", "more than 0", "10"],
        ),
        (
            Sizes {
                seconds: f64::NAN,
                ..sizes()
            },
            &["--seconds NaN", "more than 0"],
        ),
        (
            Sizes {
                engines: vec![],
                ..sizes()
            },
            &["--engines", "at least one"],
        ),
        (
            Sizes {
                gateways: vec![0],
                ..sizes()
            },
            &["--engines 80", "no gateways", "at least one gateway"],
        ),
        (
            Sizes {
                rate: vec![0.0],
                ..sizes()
            },
            &["--rate", "over 0"],
        ),
        (
            Sizes {
                repeats: 1,
                ..sizes()
            },
            &["--repeats 1", "at least 2"],
        ),
        (
            Sizes {
                hollow: 0,
                ..sizes()
            },
            &["--hollow", "over 0"],
        ),
        (
            Sizes {
                real: 400,
                ..sizes()
            },
            &["400 processes", "limit of 300", "--real 300"],
        ),
        (
            Sizes {
                hollow: 4_000,
                ..sizes()
            },
            &["MB", "limit of 4096 MB", "--hollow and --beside"],
        ),
        (
            Sizes {
                real: 10,
                repeats: 5,
                clients: vec![40_000],
                ..sizes()
            },
            &["descriptors", "limit of 20000", "--clients "],
        ),
    ];
    for (sizes, expected) in rejected {
        let error = sizes
            .check(MACHINE)
            .expect_err("sizes that don't fit must be rejected")
            .to_string();
        assert!(
            expected.iter().all(|part| error.contains(part)),
            "{error}: {expected:?}"
        );
    }
}

/// Guards against errors whose suggested sizes are rejected too, and against idle clients at more
/// gateways at once than there are descriptors for.
#[test]
fn suggested_sizes_fit_and_clients_are_limited_by_descriptors() {
    let few = Machine {
        descriptors: 2_000,
        ..MACHINE
    };
    let too_many_clients = Sizes {
        real: 1,
        clients: vec![4_120],
        ..sizes()
    };
    let Err(SizeError::Descriptors { clients, .. }) = too_many_clients.check(few) else {
        panic!("too many clients must be rejected")
    };
    assert_eq!(
        Sizes {
            clients: vec![clients as usize],
            ..too_many_clients
        }
        .check(few),
        Ok(())
    );
    let too_many_links = Sizes {
        real: 1,
        gateways: vec![1_700],
        ..sizes()
    };
    let Err(SizeError::LinkDescriptors { gateways, .. }) = too_many_links.check(few) else {
        panic!("too many links must be rejected")
    };
    assert_eq!(
        Sizes {
            gateways: vec![gateways as usize],
            ..too_many_links
        }
        .check(few),
        Ok(())
    );
    // Five gateways with the target's clients need more descriptors than there are, four don't.
    let target = Sizes {
        real: 10,
        repeats: 5,
        clients: vec![4_120],
        ..sizes()
    };
    assert_eq!(target.check(MACHINE), Ok(()));
    assert_eq!(
        (
            target.gateways_with_clients_at_once(MACHINE, 4_120),
            target.gateways_with_clients_at_once(MACHINE, 0)
        ),
        (4, 5)
    );
}

fn series(at: &[f64], value: impl Fn(f64) -> f64) -> Series {
    let mut collected = Collected::default();
    let figure = Figure {
        name: "planted",
        unit: "",
        source: Source::Hollow,
    };
    for &at in at {
        for offset in [-0.01, 0.0, 0.01] {
            collected.add(
                figure,
                Axis::Gateways,
                (at, Size::default()),
                value(at) + offset,
            );
        }
    }
    collected.series.remove(0)
}

/// Guards against a timeline that drops its next event if that is later than the requested time.
#[test]
fn a_timeline_keeps_events_after_the_requested_time() {
    let mut time: Timeline<&str, ()> = Timeline::new(0);
    time.at(10, "early");
    time.at(30, "late");
    assert_eq!(
        (time.next(20), time.next(20), time.next(40)),
        (Some("early"), None, Some("late"))
    );
}

/// Guards against a fit with the wrong law, and against predictions that count as reliable although
/// no law fits.
#[test]
fn slopes_name_their_law_and_predict_the_largest_point() {
    let at = [8.0, 80.0, 400.0, 1_600.0];
    let linear = series(&at, |at| 5.0 + 0.5 * at);
    let fitted = slope(&linear.points).expect("a line");
    assert_eq!(fitted.law, Law::Linear);
    assert!(
        (fitted.slope - 0.5).abs() < 1e-3 && (fitted.intercept - 5.0).abs() < 0.1,
        "{fitted:?}"
    );
    assert!((fitted.reaches(105.0).expect("it grows") - 200.0).abs() < 1.0);
    let logarithmic = series(&at, |at| 5.0 + 3.0 * at.ln());
    assert_eq!(
        slope(&logarithmic.points).map(|slope| slope.law),
        Some(Law::Logarithmic)
    );
    let square = slope(&series(&at, |at| at * at).points).expect("a line");
    assert!(
        square.law == Law::Quadratic && (square.reaches(250_000.0).unwrap() - 500.0).abs() < 1.0
    );
    assert_eq!(
        slope(&series(&at, |at| 900.0 / at).points).map(|slope| slope.law),
        Some(Law::Inverse)
    );
    let flat = slope(&series(&at, |_| 7.0).points).expect("a line");
    assert_eq!((flat.law, flat.reaches(1e9)), (Law::Flat, None));
    let reliable = prediction(&linear).expect("three smaller points");
    assert!(
        reliable.is_reliable() && reliable.error < 0.01,
        "{reliable:?}"
    );
    let cubes = prediction(&series(&at, |at| at * at * at)).expect("three smaller points");
    assert!(
        !cubes.is_reliable(),
        "no law fits cubes, so the prediction must be unreliable: {cubes:?}"
    );
    let zero = prediction(&series(&at, |at| (400.0 - at).max(0.0))).expect("three smaller points");
    assert!(
        zero.error >= 1.0 && zero.error.is_finite(),
        "a measured 0 that was predicted otherwise must count as an error of 100%: {zero:?}"
    );
}

/// Guards against costs of a decision or a claim that grow with the fleet, and against a run that
/// measures a point before its prediction.
#[test]
fn a_small_run_keeps_its_counts_and_prints_slopes_and_predictions() {
    let sizes = sizes();
    let mut reported = Vec::new();
    let mut on_prediction =
        |name: &str, axis: Axis, _: f64, _: f64| reported.push(format!("{name} {axis:?}"));
    let outcome = Run::new(&sizes, None, &mut on_prediction)
        .play()
        .expect("a run with hollow gateways only must succeed");
    assert_eq!(outcome.violations, [], "{}", report::table(&outcome));
    assert!(outcome.requests > 1_000 && outcome.unanswered == 0);
    assert_eq!(
        outcome.predictions.len(),
        reported.len(),
        "each prediction must have been reported before its point was measured"
    );
    let messages = outcome
        .collected
        .find("claim.messages", Axis::Keyed)
        .expect("the run must measure claims of keyed requests");
    assert!(
        messages.points.iter().all(|point| point.median() > 2.0),
        "{messages:?}"
    );
    let held = outcome
        .collected
        .find("claim.held", Axis::Keepers)
        .expect("the run must measure stored claims");
    assert!(
        held.points.iter().all(|point| point.median() > 1.0),
        "{held:?}"
    );
    let lines = report::lines(&outcome);
    for kind in ["series", "slope", "prediction"] {
        let start = format!("{{\"kind\":\"{kind}\"");
        assert!(
            lines.iter().any(|line| line.starts_with(&start)),
            "no {kind} in {}",
            lines[0]
        );
    }
    assert!(report::verdict(&outcome, 3).starts_with("verdict=kept seed=3 case=scale requests="));
    // With probed load each decision examines all engines: the check of growth must detect that.
    let probed = outcome
        .collected
        .find("probed.visits", Axis::Engines)
        .expect("the run must measure decisions with probed load");
    assert!(describe_growth(probed).is_some(), "{probed:?}");
}

/// Guards against hollow gateways that miss list events unnoticed: figures of a fleet with several
/// different lists would be worthless.
#[test]
fn hollow_gateways_follow_the_list_of_the_real_ones() {
    assert_eq!(
        mixed::free_indexes(10, 2, 3),
        [1, 3, 7],
        "the real gateways have the indexes 0 and 5"
    );
    assert_eq!(
        mixed::free_indexes(3, 3, 5),
        [0; 0],
        "all indexes belong to real gateways"
    );
    let fleet = Fleet {
        gateways: 34,
        engines: 80,
        hollow: 3,
        rate: 50.0,
        overloaded: false,
        probed: false,
        seed: 5,
    };
    // In the second round the last event is missing, so the gateways keep an engine too many.
    for (published, wrong_lists) in [(3, 0), (2, 3)] {
        let (events, watch) = sync_channel(8);
        let hollow_gateways = HollowGateways::start(fleet, mixed::free_indexes(34, 10, 3), watch)
            .expect("hollow gateways must start");
        let change =
            |health| discovery::event(2, false, &[discovery::host(7, "127.0.0.1:1", health)]);
        let joined = discovery::event(3, true, &discovery::hosts(81));
        let left = discovery::event(4, true, &discovery::hosts(80));
        for event in [change("draining"), joined, left]
            .into_iter()
            .take(published)
        {
            events
                .send(event.into())
                .expect("hollow gateways must read events");
        }
        let counted = hollow_gateways.end().expect("hollow gateways must end");
        assert_eq!(
            (counted.cost.gateways, counted.list_events),
            (3, 3 * published as u64)
        );
        assert_eq!(
            (counted.gateways_with_wrong_list, counted.cost.unanswered),
            (wrong_lists, 0),
            "{counted:?}"
        );
        let mut outcome = Outcome::default();
        checks::check_hollow_gateways(&mut outcome, &counted, 3);
        assert_eq!(
            outcome.violations.len(),
            usize::from(published < 3),
            "{:?}",
            outcome.violations
        );
    }
}

/// Guards against checks that never fail: each gets a result with the violation and one without.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn checks_detect_crashes_refusals_lost_answers_and_missed_events() {
    let exit = |name: &str, counted: Option<u64>, crashed: bool| {
        let counters = counted.map(|count| [("list_events".to_string(), count)].into());
        let log = std::path::PathBuf::new();
        let ending = Ending {
            name: name.into(),
            log,
            cpu: Duration::ZERO,
            counters,
            was_requested: !crashed,
        };
        FleetExit {
            crashed: crashed.then(|| name.into()).into_iter().collect(),
            endings: vec![ending],
        }
    };
    let answers = |refused, lost| Answers {
        asked: 9,
        served: 9 - refused - lost,
        refused,
        lost,
        ..Answers::default()
    };
    let reloads = |missed| Reloads {
        in_force_after: vec![Duration::ZERO],
        missed,
        ..Reloads::default()
    };
    type Check<'a> = Box<dyn Fn(&mut Outcome) + 'a>;
    let exit_check = |counted, crashed| -> Check<'_> {
        Box::new(move |outcome| {
            checks::check_exit(
                outcome,
                &exit("g1", counted, crashed),
                &[("list_events", 3)],
            );
        })
    };
    let cases: [(Check<'_>, usize); 9] = [
        (exit_check(Some(3), false), 0),
        (exit_check(Some(2), false), 1),
        (exit_check(None, false), 1),
        (exit_check(Some(3), true), 1),
        (
            Box::new(|outcome| checks::count_answers(outcome, answers(0, 0))),
            0,
        ),
        (
            Box::new(|outcome| checks::count_answers(outcome, answers(1, 0))),
            1,
        ),
        (
            Box::new(|outcome| checks::count_answers(outcome, answers(0, 1))),
            1,
        ),
        (
            Box::new(|outcome| checks::check_reloads(outcome, &reloads(0))),
            0,
        ),
        (
            Box::new(|outcome| checks::check_reloads(outcome, &reloads(1))),
            1,
        ),
    ];
    for (number, (check, expected)) in cases.into_iter().enumerate() {
        let mut outcome = Outcome {
            requests: 1,
            ..Outcome::default()
        };
        check(&mut outcome);
        checks::check_counts(&mut outcome);
        assert_eq!(
            outcome.violations.len(),
            expected,
            "case {number}: {:?}",
            outcome.violations
        );
    }
}

/// Guards against measurements that leave out a part of the protocol: the counts must be those that
/// follow from it.
#[test]
fn counts_of_decisions_lists_and_claims_match_the_protocols() {
    let fleet = Fleet {
        gateways: 34,
        engines: 80,
        hollow: 2,
        rate: 50.0,
        overloaded: false,
        probed: false,
        seed: 5,
    };
    let (cost, again) = (decisions::measure(fleet), decisions::measure(fleet));
    assert_eq!(
        (cost.requests, cost.visits),
        (again.requests, again.visits),
        "the same seed must give the same counts"
    );
    assert!(
        cost.requests > 300 && cost.refused == 0 && cost.sent >= cost.requests,
        "{cost:?}"
    );
    let overloaded = decisions::measure(Fleet {
        overloaded: true,
        rate: 450.0,
        ..fleet
    });
    assert!(
        overloaded.refused > 0 && overloaded.unanswered == 0,
        "{overloaded:?}"
    );
    let (whole, change) = discovery::measure(fleet, 6);
    assert!(
        whole.bytes > 79 * 120 && (150..400).contains(&change.bytes),
        "{whole:?} {change:?}"
    );
    // A claim goes to at least both other voters of three, and each answers.
    let claims = replication::claims(8, 3, 60, 1);
    assert!(
        claims.messages_a_request >= 4.0 && claims.differ == 0,
        "{claims:?}"
    );
    // All entries are transferred, in parts within the budget of 2 MB per second.
    let transfer = replication::transfer(30_000);
    assert_eq!(transfer.entries, 30_000, "{transfer:?}");
    assert!(
        (transfer.bytes >> 21) as f64 <= transfer.lasts as f64 / 1e6 + 1.0,
        "{transfer:?}"
    );
    // Asserts inside that a timer call without a due task has no outputs.
    assert!(replication::measure_lease_core(300).micros_per_timer_call > 0.0);
    let heartbeats = replication::heartbeats(10, 20);
    assert!(
        (heartbeats.messages_per_second - 2.0 / 0.3).abs() < 1e-6,
        "one heartbeat and one reply per 300 ms: {heartbeats:?}"
    );
    let points = [Point {
        at: 1.0,
        size: Size::default(),
        values: vec![3.0, 1.0, 2.0],
    }];
    assert_eq!((points[0].median(), points[0].spread()), (2.0, 2.0));
}
