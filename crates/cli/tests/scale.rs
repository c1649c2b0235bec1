//! A small run of the scale test with real processes. Guards against requests that stay unanswered
//! with a long endpoint list, and against measurements that are missing from the run's result.

use eideryard_fleet_test::scale::control::IN_FORCE_WITHIN;
use eideryard_fleet_test::scale::measure::Axis;
use eideryard_fleet_test::scale::measure::Size;
use eideryard_fleet_test::scale::processes::Fleet;
use eideryard_fleet_test::scale::run::Run;
use eideryard_fleet_test::scale::sizes::Sizes;
use rustix::process::Signal;
use std::path::Path;
use std::time::Duration;

#[test]
fn real_gateways_serve_all_requests_and_their_cost_is_measured() {
    let sizes = Sizes {
        gateways: vec![17],
        engines: vec![8, 80],
        clients: vec![0, 20],
        rate: vec![100.0],
        changes: 4,
        seed: 1,
        repeats: 2,
        real: 2,
        hollow: 1,
        beside: 3,
        seconds: 0.3,
        plots: None,
        program: None,
    };
    let program = Path::new(env!("CARGO_BIN_EXE_eideryard"));
    let outcome = Run::new(&sizes, Some(program), &mut |_, _, _, _| ())
        .play()
        .expect("processes start and end");
    assert_eq!(outcome.violations, []);
    let count = |name, axis| {
        outcome
            .collected
            .find(name, axis)
            .map_or(0, |series| series.points.len())
    };
    assert_eq!(count("process.request", Axis::Engines), 2);
    assert_eq!(count("process.memory", Axis::Clients), 2);
    assert_eq!(count("process.list", Axis::Engines), 2);
    // Configuration changes reached all processes, and hollow gateways followed the same endpoint
    // list at the same time.
    assert_eq!(count("process.reload", Axis::Engines), 2);
    assert_eq!(count("reload.in_force", Axis::Reloads), 2);
    assert_eq!(
        (
            count("together.change", Axis::Engines),
            count("together.list.whole", Axis::Engines)
        ),
        (2, 2)
    );
    // Voters claimed keyed requests for other gateways.
    assert_eq!(count("keeper.claim.time", Axis::Claims), 4);
    assert_eq!(count("keeper.links.time", Axis::Links), 1);
}

/// A stopped gateway doesn't apply a new configuration in time, and applies it once it is resumed.
#[test]
fn a_configuration_change_counts_as_missed_while_one_gateway_is_stopped() {
    let program = Path::new(env!("CARGO_BIN_EXE_eideryard"));
    let size = Size {
        gateways: 2,
        engines: 8,
        ..Size::default()
    };
    let (moment, within) = (Duration::from_millis(50), Duration::from_millis(200));
    let mut fleet = Fleet::start(program, 2, size).expect("processes start");
    fleet.signal(0, Signal::STOP);
    let while_stopped = fleet.reload(1, moment, within).expect("processes run");
    assert_eq!(
        (while_stopped.missed, while_stopped.in_force_after.len()),
        (1, 0)
    );
    fleet.signal(0, Signal::CONT);
    let after_resume = fleet
        .reload(1, moment, IN_FORCE_WITHIN)
        .expect("processes run");
    assert_eq!(
        (after_resume.missed, after_resume.in_force_after.len()),
        (0, 1)
    );
    let exits = fleet.end().expect("processes end");
    assert_eq!(
        (exits.crashed.len(), exits.counted("reloads_failed")),
        (0, vec![Some(0); 2])
    );
}
