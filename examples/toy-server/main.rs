//! Plays a scenario without gateways, only with emulators: `cargo run --example toy-server --
//! FILE`. Without FILE it runs the engines and the bulletin for `examples/gateway.json`.

use eideryard_emulators::scenario::Scenario;
use eideryard_fleet_test::world;

const DEFAULT_SCENARIO: &str = "examples/toy.scenario";

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let file = std::env::args()
        .nth(1)
        .unwrap_or_else(|| DEFAULT_SCENARIO.into());
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{file}: {e}"))?;
    let run = world::play(Scenario::read(&file, &text)?, None)?;
    println!("{:?}", run.ledger.answers);
    Ok(())
}
