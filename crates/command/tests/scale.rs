//! A small scale run with processes of the program: each request is answered, whatever the list's length.

use eideryard_fleet_rig::scale::measure::Axis;
use eideryard_fleet_rig::scale::run::Run;
use eideryard_fleet_rig::scale::sizes::Sizes;
use std::path::Path;

#[test]
fn real_gateways_serve_all_and_their_cost_is_measured() {
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
    let outcome =
        Run::new(&sizes, Some(program), &mut |_, _, _, _| ()).play().expect("processes start and end");
    assert_eq!(outcome.broken, []);
    let count = |name, axis| outcome.collected.find(name, axis).map_or(0, |series| series.points.len());
    assert_eq!(count("process.request", Axis::Engines), 2);
    assert_eq!(count("process.memory", Axis::Clients), 2);
    assert_eq!(count("process.list", Axis::Engines), 2);
    // Configuration changes reached all processes, and hollow gateways followed the same list beside them.
    assert_eq!(count("process.reload", Axis::Engines), 2);
    assert_eq!(count("reload.in_force", Axis::Reloads), 2);
    assert_eq!(
        (count("together.change", Axis::Engines), count("together.list.whole", Axis::Engines)),
        (2, 2)
    );
    // Keepers took keyed requests of other gateways.
    assert_eq!(count("keeper.claim.time", Axis::Claims), 4);
    assert_eq!(count("keeper.links.time", Axis::Links), 1);
}
