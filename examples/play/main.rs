//! Plays a scenario with its gateways: `cargo run --release --example play --
//! examples/incident.scenario DIR`. Configurations, logs and records are left in DIR; the gateways
//! are those of `target/release/eideryard`.

use eideryard_emulators::scenario::Scenario;
use eideryard_fleet_test::processes::Programs;
use eideryard_fleet_test::world;
use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [file, directory] = &words[..] else {
        return Err("usage: play SCENARIO DIR".into());
    };
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let directory = PathBuf::from(directory);
    let records = directory.join("records");
    std::fs::create_dir_all(&records)?;
    let operator = directory.join("operator.conf");
    std::fs::write(&operator, format!("record-dir \"{}\"\n", records.display()))?;
    // Examples are built into a folder beside the program.
    let program = std::env::current_exe()?.with_file_name("../eideryard");
    let arguments = vec!["--operator".into(), operator.display().to_string()];
    let programs = Programs {
        program,
        arguments,
        variables: Vec::new(),
        directory,
    };
    let played = world::play(Scenario::read(file, &text)?, Some(programs))?;
    for (load, answers) in &played.ledger.answers {
        println!("{load}: {answers:?}");
    }
    for what in &played.ledger.violations {
        println!("BROKEN: {what}");
    }
    println!("the records are in {}", records.display());
    match played.ledger.violation_count {
        0 => Ok(()),
        breaks => Err(format!("{breaks} rules broken").into()),
    }
}
