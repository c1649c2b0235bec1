//! Scale runs: sizes that don't fit, slopes and predictions, and counts that must not grow.

use std::sync::mpsc::sync_channel;
use std::time::Duration;

use eideryard_emulators::ledger::Answers;
use eideryard_fleet_test::processes::Ending;
use eideryard_fleet_test::scale::checks::{self, grown};
use eideryard_fleet_test::scale::control::Reloads;
use eideryard_fleet_test::scale::decisions::{self, Fleet};
use eideryard_fleet_test::scale::fit::{prediction, slope, Law};
use eideryard_fleet_test::scale::measure::{Axis, Collected, Figure, Point, Series, Size, Source};
use eideryard_fleet_test::scale::processes::Ended;
use eideryard_fleet_test::scale::run::{Outcome, Run};
use eideryard_fleet_test::scale::sizes::{Machine, SizeError, Sizes};
use eideryard_fleet_test::scale::together::{self, Together};
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

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn sizes_that_do_not_fit_are_turned_away_with_limit_figure_and_remedy() {
    assert_eq!(sizes().check(MACHINE), Ok(()));
    let wrong: [(Sizes, &[&str]); 10] = [
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
    for (sizes, said) in wrong {
        let error = sizes
            .check(MACHINE)
            .expect_err("it doesn't fit")
            .to_string();
        assert!(
            said.iter().all(|part| error.contains(part)),
            "{error}: {said:?}"
        );
    }
}

#[test]
fn what_an_error_asks_for_fits_and_clients_come_in_rounds_that_do() {
    let few = Machine {
        descriptors: 2_000,
        ..MACHINE
    };
    let crowded = Sizes {
        real: 1,
        clients: vec![4_120],
        ..sizes()
    };
    let Err(SizeError::Descriptors { clients, .. }) = crowded.check(few) else {
        panic!("too many clients")
    };
    assert_eq!(
        Sizes {
            clients: vec![clients as usize],
            ..crowded
        }
        .check(few),
        Ok(())
    );
    let linked = Sizes {
        real: 1,
        gateways: vec![1_700],
        ..sizes()
    };
    let Err(SizeError::LinkDescriptors { gateways, .. }) = linked.check(few) else {
        panic!("too many links")
    };
    assert_eq!(
        Sizes {
            gateways: vec![gateways as usize],
            ..linked
        }
        .check(few),
        Ok(())
    );
    // Five gateways with the target's clients are more than the descriptors of one moment.
    let target = Sizes {
        real: 10,
        repeats: 5,
        clients: vec![4_120],
        ..sizes()
    };
    assert_eq!(target.check(MACHINE), Ok(()));
    assert_eq!(
        (
            target.resting_at_once(MACHINE, 4_120),
            target.resting_at_once(MACHINE, 0)
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
        for off in [-0.01, 0.0, 0.01] {
            collected.add(
                figure,
                Axis::Gateways,
                (at, Size::default()),
                value(at) + off,
            );
        }
    }
    collected.series.remove(0)
}

#[test]
fn a_timeline_that_stops_keeps_what_comes_later() {
    let mut time: Timeline<&str, ()> = Timeline::new(0);
    time.at(10, "early");
    time.at(30, "late");
    assert_eq!(
        (time.next(20), time.next(20), time.next(40)),
        (Some("early"), None, Some("late"))
    );
}

#[test]
fn slopes_name_their_law_and_predict_the_greatest_point() {
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
        slope(&logarithmic.points).map(|own| own.law),
        Some(Law::Logarithmic)
    );
    let square = slope(&series(&at, |at| at * at).points).expect("a line");
    assert!(
        square.law == Law::Quadratic && (square.reaches(250_000.0).unwrap() - 500.0).abs() < 1.0
    );
    assert_eq!(
        slope(&series(&at, |at| 900.0 / at).points).map(|own| own.law),
        Some(Law::Inverse)
    );
    let flat = slope(&series(&at, |_| 7.0).points).expect("a line");
    assert_eq!((flat.law, flat.reaches(1e9)), (Law::Flat, None));
    let right = prediction(&linear).expect("three smaller points");
    assert!(right.holds() && right.error < 0.01, "{right:?}");
    let cubes = prediction(&series(&at, |at| at * at * at)).expect("three smaller points");
    assert!(!cubes.holds(), "no law is a basis for cubes: {cubes:?}");
    let gone = prediction(&series(&at, |at| (400.0 - at).max(0.0))).expect("three smaller points");
    assert!(
        gone.error >= 1.0 && gone.error.is_finite(),
        "what came to nothing: {gone:?}"
    );
}

#[test]
fn a_small_run_keeps_its_counts_and_prints_slopes_and_predictions() {
    let sizes = sizes();
    let mut before = Vec::new();
    let mut predicted =
        |name: &str, axis: Axis, _: f64, _: f64| before.push(format!("{name} {axis:?}"));
    let outcome = Run::new(&sizes, None, &mut predicted)
        .play()
        .expect("hollow gateways need no machine");
    assert_eq!(outcome.violations, [], "{}", report::table(&outcome));
    assert!(outcome.requests > 1_000 && outcome.unanswered == 0);
    assert_eq!(
        outcome.predictions.len(),
        before.len(),
        "each was predicted before it was measured"
    );
    let messages = outcome
        .collected
        .find("claim.messages", Axis::Keyed)
        .expect("keyed requests were claimed");
    assert!(
        messages.points.iter().all(|point| point.median() > 2.0),
        "{messages:?}"
    );
    let held = outcome
        .collected
        .find("claim.held", Axis::Keepers)
        .expect("claims were held");
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
    // Without subsets each decision looks at all engines: the same check finds that.
    let probed = outcome
        .collected
        .find("probed.visits", Axis::Engines)
        .expect("probed decisions");
    assert!(grown(probed).is_some(), "{probed:?}");
}

#[test]
fn hollow_gateways_side_by_side_follow_the_list_of_the_real_ones() {
    assert_eq!(
        together::places(10, 2, 3),
        [1, 3, 7],
        "real ones are at 0 and 5"
    );
    assert_eq!(together::places(3, 3, 5), [0; 0], "no place is left");
    let fleet = Fleet {
        gateways: 34,
        engines: 80,
        hollow: 3,
        rate: 50.0,
        overloaded: false,
        probed: false,
        seed: 5,
    };
    // In the second round nothing says that the engine that joined has left again.
    for (published, wrong_lists) in [(3, 0), (2, 3)] {
        let (events, watch) = sync_channel(8);
        let beside = Together::start(fleet, together::places(34, 10, 3), watch).expect("a thread");
        let change =
            |health| discovery::event(2, false, &[discovery::host(7, "127.0.0.1:1", health)]);
        let joined = discovery::event(3, true, &discovery::hosts(81));
        let left = discovery::event(4, true, &discovery::hosts(80));
        for event in [change("draining"), joined, left]
            .into_iter()
            .take(published)
        {
            events.send(event.into()).expect("somebody watches");
        }
        let counted = beside.end().expect("it ends");
        assert_eq!(
            (counted.cost.gateways, counted.list_events),
            (3, 3 * published as u64)
        );
        assert_eq!(
            (counted.wrong_lists, counted.cost.unanswered),
            (wrong_lists, 0),
            "{counted:?}"
        );
        let mut outcome = Outcome::default();
        checks::beside(&mut outcome, &counted, 3);
        assert_eq!(
            outcome.violations.len(),
            usize::from(published < 3),
            "{:?}",
            outcome.violations
        );
    }
}

/// Each check is shown what it has to catch, and the same without it.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn checks_catch_what_processes_missed_refused_or_left_out() {
    let ended = |name: &str, counted: Option<u64>, crashed: bool| {
        let counters = counted.map(|count| [("list_events".to_string(), count)].into());
        let log = std::path::PathBuf::new();
        let ending = Ending {
            name: name.into(),
            log,
            cpu: Duration::ZERO,
            counters,
            wanted: !crashed,
        };
        Ended {
            crashed: crashed.then(|| name.into()).into_iter().collect(),
            endings: vec![ending],
        }
    };
    let answered = |refused, lost| Answers {
        asked: 9,
        served: 9 - refused - lost,
        refused,
        lost,
        ..Answers::default()
    };
    let reloaded = |missed| Reloads {
        in_force_after: vec![Duration::ZERO],
        missed,
        ..Reloads::default()
    };
    type Check<'a> = Box<dyn Fn(&mut Outcome) + 'a>;
    let of_ended = |counted, crashed| -> Check<'_> {
        Box::new(move |outcome| {
            checks::ended(
                outcome,
                &ended("g1", counted, crashed),
                &[("list_events", 3)],
            );
        })
    };
    let cases: [(Check<'_>, usize); 9] = [
        (of_ended(Some(3), false), 0),
        (of_ended(Some(2), false), 1),
        (of_ended(None, false), 1),
        (of_ended(Some(3), true), 1),
        (
            Box::new(|outcome| checks::answers(outcome, answered(0, 0))),
            0,
        ),
        (
            Box::new(|outcome| checks::answers(outcome, answered(1, 0))),
            1,
        ),
        (
            Box::new(|outcome| checks::answers(outcome, answered(0, 1))),
            1,
        ),
        (
            Box::new(|outcome| checks::reloads(outcome, &reloaded(0))),
            0,
        ),
        (
            Box::new(|outcome| checks::reloads(outcome, &reloaded(1))),
            1,
        ),
    ];
    for (number, (check, broken)) in cases.into_iter().enumerate() {
        let mut outcome = Outcome {
            requests: 1,
            ..Outcome::default()
        };
        check(&mut outcome);
        checks::counts(&mut outcome);
        assert_eq!(
            outcome.violations.len(),
            broken,
            "case {number}: {:?}",
            outcome.violations
        );
    }
}

#[test]
fn counts_of_one_decision_list_and_claim_are_those_of_the_protocols() {
    let fleet = Fleet {
        gateways: 34,
        engines: 80,
        hollow: 2,
        rate: 50.0,
        overloaded: false,
        probed: false,
        seed: 5,
    };
    let (cost, again) = (decisions::play(fleet), decisions::play(fleet));
    assert_eq!(
        (cost.requests, cost.visits),
        (again.requests, again.visits),
        "a seed plays the same again"
    );
    assert!(
        cost.requests > 300 && cost.refused == 0 && cost.sent >= cost.requests,
        "{cost:?}"
    );
    let held = decisions::play(Fleet {
        overloaded: true,
        rate: 450.0,
        ..fleet
    });
    assert!(held.refused > 0 && held.unanswered == 0, "{held:?}");
    let (whole, change) = discovery::play(fleet, 6);
    assert!(
        whole.bytes > 79 * 120 && (150..400).contains(&change.bytes),
        "{whole:?} {change:?}"
    );
    // A claim goes to both other keepers of three at least, and each answers.
    let claims = replication::claims(8, 3, 60, 1);
    assert!(
        claims.messages_a_request >= 4.0 && claims.differ == 0,
        "{claims:?}"
    );
    // What one lost comes whole from another, in parts within the budget of 2 MB a second.
    let transfer = replication::transfer(30_000);
    assert_eq!(transfer.entries, 30_000, "{transfer:?}");
    assert!(
        (transfer.bytes >> 21) as f64 <= transfer.lasts as f64 / 1e6 + 1.0,
        "{transfer:?}"
    );
    // At a core with tasks of which none is due nothing comes of a look, however many they are.
    assert!(replication::lease_core(300).micros_a_look > 0.0);
    let beats = replication::heartbeats(10, 20);
    assert!(
        (beats.messages_a_second - 2.0 / 0.3).abs() < 1e-6,
        "one and an answer in 300 ms: {beats:?}"
    );
    let points = [Point {
        at: 1.0,
        size: Size::default(),
        values: vec![3.0, 1.0, 2.0],
    }];
    assert_eq!((points[0].median(), points[0].spread()), (2.0, 2.0));
}
