//! Measures restarts with and without kept directories, and the cost of store and fleet, each next
//! to its baseline:
//! `cargo run --release -p eideryard-fleet-test --example measure -- restart|cost [ROUNDS]`.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use eideryard_fleet_test::plan::Plan;
use eideryard_fleet_test::run::{program, run};

const CLASSES: &str = "class report {\n    effect safe\n}\nclass scan {\n    effect safe\n}\n\
                       class booking {\n    effect keyed\n    scope cell\n    window 3s\n}\n";
const NAMES: [&str; 5] = ["g1", "g2", "g3", "g4", "g5"];

/// The scenario's lines for all gateways, with these lines in their operator files.
fn gateways(lines: &[String]) -> String {
    let gateway = |name: &&str| {
        let lines: String = lines
            .iter()
            .map(|line| format!("    operator \"{line}\"\n"))
            .collect();
        format!("gateway {name} {{\n    memory 64MB\n{lines}}}\n")
    };
    NAMES.iter().map(gateway).collect()
}

/// Lines of an operator file that enable the store.
fn store() -> Vec<String> {
    vec!["store-dir {directory}/store".into()]
}

/// Lines of an operator file that enable store and fleet.
fn fleet() -> Vec<String> {
    let keepers = NAMES
        .iter()
        .take(3)
        .map(|name| format!("keeper {name} {{peer {name}}}"));
    let head = store()
        .into_iter()
        .chain(["fleet rig {".into(), "listen 127.0.0.1:0".into()]);
    head.chain(keepers).chain(["}".into()]).collect()
}

/// A scenario with a fleet near the limit of its engines, two of which are smaller than the other
/// four. All gateways are killed at once and started again 300 ms later, with kept or wiped
/// directories.
fn restart(seed: u64, is_kept: bool) -> String {
    let mut text = format!("seed {seed}\ntime 46s\n{CLASSES}");
    text += "engines 4 e {\n    cores 4\n    memory 2GB\n}\nengines 2 s {\n    cores 1\n    memory 1GB\n}\n";
    text += &gateways(&store());
    text +=
        "load reports {\n    class report\n    rate 60/s\n    work 150ms\n    memory 96MB\n    wait 3s\n    \
             connections 8\n}\n";
    text += "load scans {\n    class scan\n    rate 5/s\n    work 800ms\n    memory 512MB\n    wait 6s\n    \
             connections 4\n}\n";
    text += "at 15s kill-gateway g1 g2 g3 g4 g5\n";
    if !is_kept {
        text += "at 15100ms wipe-directory g1 g2 g3 g4 g5\n";
    }
    text + "at 15300ms start-gateway g1 g2 g3 g4 g5\n"
}

/// A scenario with a steady load well below the engines' limit.
fn cost(seed: u64, lines: &[String]) -> String {
    let mut text = format!("seed {seed}\ntime 20s\n{CLASSES}");
    text += "engines 4 e {\n    cores 8\n}\n";
    text += &gateways(lines);
    text += "load reports {\n    class report\n    rate 200/s\n    work 20ms\n    wait 3s\n    connections 8\n}\n";
    text + "load bookings {\n    class booking\n    rate 100/s\n    work 20ms\n    wait 3s\n    connections 8\n}\n"
}

/// Plays a scenario; returns its figures and the gateways' CPU time per request.
fn play(program: &Path, text: &str) -> Result<BTreeMap<String, u64>, String> {
    let directory = tempfile::tempdir().map_err(|e| e.to_string())?;
    let outcome =
        run(program, &Plan::from_text(text), directory.path()).map_err(|e| e.to_string())?;
    let mut figures = outcome.verdict.figures.clone();
    let cpu: u128 = outcome
        .endings
        .iter()
        .map(|ending| ending.cpu.as_micros())
        .sum();
    let requests = figures.get("requests").copied().unwrap_or(1).max(1);
    figures.insert("cpu_us_a_request".into(), cpu as u64 / requests);
    Ok(figures)
}

fn main() -> Result<(), String> {
    let mut arguments = std::env::args().skip(1);
    let (scenario, rounds) = (arguments.next().unwrap_or_default(), arguments.next());
    let rounds: u64 = rounds.and_then(|rounds| rounds.parse().ok()).unwrap_or(3);
    let program: PathBuf = program().map_err(|e| e.to_string())?;
    let (names, prefixes): (Vec<&str>, &[&str]) = match scenario.as_str() {
        "restart" => (vec!["wiped", "kept"], &["restart30_"]),
        "cost" => (
            vec!["plain", "store", "fleet"],
            &["median_us_", "p99_us_", "cpu_us_"],
        ),
        _ => return Err("expected restart or cost as the first argument".into()),
    };
    for seed in 1..=rounds {
        for name in &names {
            let text = match *name {
                "wiped" => restart(seed, false),
                "kept" => restart(seed, true),
                "plain" => cost(seed, &[]),
                "store" => cost(seed, &store()),
                _ => cost(seed, &fleet()),
            };
            let figures = play(&program, &text)?;
            let shown = figures
                .iter()
                .filter(|(figure, _)| prefixes.iter().any(|prefix| figure.starts_with(prefix)));
            let shown: Vec<String> = shown
                .map(|(figure, value)| format!("{figure}={value}"))
                .collect();
            println!("seed={seed} {name:<6} {}", shown.join(" "));
        }
    }
    Ok(())
}
