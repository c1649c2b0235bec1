//! Plays a scenario of stand-ins without gateways: `cargo run --example toy-server -- FILE`.
//! Without a file the engines and the bulletin that `examples/gateway.json` names.

use eideryard_emulators::scenario::Scenario;
use eideryard_fleet_test::world;

const USUAL: &str = "examples/toy.scenario";

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let file = std::env::args().nth(1).unwrap_or_else(|| USUAL.into());
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{file}: {e}"))?;
    let played = world::play(Scenario::read(&file, &text)?, None)?;
    println!("{:?}", played.ledger.answers);
    Ok(())
}
