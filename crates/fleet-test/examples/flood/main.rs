//! Floods one gateway on one core with requests of bad clients, and measures what other clients get
//! meanwhile:
//! `cargo build --release && cargo run --release -p eideryard-fleet-test --example flood -- FLOOD [SECONDS]`.
//!
//! The gateway is a process of the release build with 32 MB and 256 descriptors, bound to one core;
//! the engines and all clients run on the other cores. Each flood is one picture of what bad
//! clients do; `none` is the same run without them.

mod bad_clients;
mod departures;
mod engine;
mod gateway;
mod sound_clients;

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bad_clients::{Flood, FLOODS};
use departures::Departures;
use engine::Engine;
use gateway::GatewayProcess;
use sound_clients::SoundClients;

const ENGINES: usize = 6;
/// How long sound clients are served before the flood begins, and after it has ended.
const CALM: Duration = Duration::from_secs(2);
const DEFAULT_SECONDS: u64 = 6;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let Some(flood) = FLOODS.iter().find(|flood| flood.name == name) else {
        let names: Vec<&str> = FLOODS.iter().map(|flood| flood.name).collect();
        eprintln!("expected one of these floods: {}", names.join(" "));
        return ExitCode::from(2);
    };
    let seconds = arguments.next().and_then(|text| text.parse().ok());
    run(
        flood,
        Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS)),
    );
    ExitCode::SUCCESS
}

fn run(flood: &Flood, duration: Duration) {
    let engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::start()).collect();
    let addresses: Vec<_> = engines.iter().map(Engine::address).collect();
    let gateway = GatewayProcess::start(&addresses);
    let sound = SoundClients::start(gateway.address);
    std::thread::sleep(CALM);
    let stop = Arc::new(AtomicBool::new(false));
    let bad = flood.start(gateway.address, &stop);
    std::thread::sleep(duration);
    stop.store(true, Ordering::Relaxed);
    std::thread::sleep(CALM);
    println!("flood {}: {} messages", flood.name, bad.messages());
    println!("sound clients: {}", sound.finish());
    println!("engines got: {}", Departures::lock());
    println!("gateway: {}", gateway.finish());
}
