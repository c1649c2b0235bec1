//! Plays a scenario with its gateways: `cargo run --release --example play --
//! examples/incident.scenario DIR`. The gateways run `target/release/eideryard`; their
//! configuration files, logs and event logs remain in DIR.

use eideryard_emulators::scenario::Scenario;
use eideryard_fleet_test::processes::Programs;
use eideryard_fleet_test::world;
use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let command_line: Vec<String> = std::env::args().skip(1).collect();
    let [file, directory] = &command_line[..] else {
        return Err("usage: play SCENARIO DIR".into());
    };
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let directory = PathBuf::from(directory);
    let records = directory.join("records");
    std::fs::create_dir_all(&records)?;
    let operator = directory.join("operator.conf");
    std::fs::write(&operator, format!("record-dir \"{}\"\n", records.display()))?;
    // Examples are built into a subdirectory of the program's directory.
    let program = std::env::current_exe()?.with_file_name("../eideryard");
    let arguments = vec!["--operator".into(), operator.display().to_string()];
    let programs = Programs {
        program,
        arguments,
        variables: Vec::new(),
        directory,
    };
    let run = world::play(Scenario::read(file, &text)?, Some(programs))?;
    for (load, answers) in &run.ledger.answers {
        println!("{load}: {answers:?}");
    }
    for violation in &run.ledger.violations {
        println!("BROKEN: {violation}");
    }
    println!("the records are in {}", records.display());
    match run.ledger.violation_count {
        0 => Ok(()),
        count => Err(format!("{count} rules broken").into()),
    }
}
