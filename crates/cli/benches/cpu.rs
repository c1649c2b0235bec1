//! Measures the processor time of a gateway at 500 requests per second, alternately with and
//! without the event log. `cargo bench -p eideryard-cli` takes about three minutes, most of it
//! waiting.

use eideryard_emulators::scenario::Scenario;
use eideryard_fleet_test::processes::Programs;
use eideryard_fleet_test::world::play;

const ROUNDS: usize = 6;
const SCENARIO: &str = "
seed 5
time 12s
engines 6 e {
    cores 16
    memory 64GB
}
gateway g1 {
}
load steady {
    rate 500/s
    work 20ms
    wait 2s
    connections 8
}
";

/// Runs the scenario once. Returns milliseconds of processor time per request.
fn run_scenario(has_event_log: bool) -> f64 {
    let directory = tempfile::tempdir().expect("a directory");
    let operator = directory.path().join("operator.conf");
    let records = directory.path().join("records");
    let text = if has_event_log {
        format!("record-dir \"{}\"\n", records.display())
    } else {
        String::new()
    };
    std::fs::write(&operator, text).expect("a file");
    let programs = Programs {
        program: env!("CARGO_BIN_EXE_eideryard").into(),
        arguments: vec!["--operator".into(), operator.display().to_string()],
        variables: Vec::new(),
        directory: directory.path().into(),
    };
    let scenario = Scenario::read("steady", SCENARIO).expect("a good scenario");
    let played = play(scenario, Some(programs)).expect("the scenario can be played");
    let ending = &played.endings[0];
    let counters = ending
        .counters
        .as_ref()
        .expect("the gateway ends by itself");
    let served = counters["served"] as f64 / counters["taken"] as f64;
    assert!(
        played.ledger.violation_count == 0 && served > 0.95,
        "a share of {served:.3} was served: {counters:?}"
    );
    ending.cpu.as_secs_f64() * 1e3 / counters["taken"] as f64
}

fn main() {
    // `cargo test` runs benches as well, without this argument.
    if !std::env::args().any(|word| word == "--bench") {
        return;
    }
    let mut ratios = Vec::new();
    for number in 1..=ROUNDS {
        // Each variant runs first in half of the rounds.
        let order = [number % 2 == 0, number % 2 == 1];
        let first = run_scenario(order[0]);
        let second = run_scenario(order[1]);
        let (with, without) = if order[0] {
            (first, second)
        } else {
            (second, first)
        };
        println!(
            "round {number}: {with:.4} ms per request with the event log, {without:.4} without, ratio {:.3}",
            with / without
        );
        ratios.push(with / without);
    }
    ratios.sort_by(f64::total_cmp);
    println!(
        "median ratio {:.3}",
        (ratios[ROUNDS / 2 - 1] + ratios[ROUNDS / 2]) / 2.0
    );
}
