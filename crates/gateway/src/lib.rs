//! eideryard's gateway: a workload manager in front of analytic engines, on real sockets round the
//! decision module.

mod checkpoint;
mod clients;
mod clock;
pub mod config;
mod connection;
mod counter_text;
mod counters;
mod deadlines;
mod discovery_watch;
mod engines;
mod event_recorder;
mod fingerprints;
mod gateway;
mod intent_durability;
mod leases;
pub mod links;
mod recovered_state;
mod replication;
mod requests;
mod result_spool;
pub mod shutdown;
mod status;
mod table;

use calloop::signals::{Signal, Signals};
use calloop::EventLoop;
use connection::{Wake, Wakes};
use eideryard_operator_config::OperatorConfig;
use std::time::{Duration, Instant};

/// Least time between two looks at the sockets, in ticks of the settings: what comes in between is
/// read, decided and written together, which spares both ends of each connection. A message after a
/// quiet spell waits for nothing.
const TICKS_BETWEEN_LOOKS: u64 = 4;

/// Serves until SIGTERM or SIGINT, and what was open then has ended.
pub fn serve(
    config: config::Config,
    operator: &OperatorConfig,
) -> Result<(), Box<dyn std::error::Error>> {
    let mut events: EventLoop<'_, Wakes> = EventLoop::try_new()?;
    let signals = Signals::new(&[
        Signal::SIGTERM,
        Signal::SIGINT,
        Signal::SIGHUP,
        Signal::SIGUSR1,
    ])?;
    events.handle().insert_source(signals, |event, _, wakes| {
        wakes.push(match event.signal() {
            Signal::SIGUSR1 => Wake::Report,
            Signal::SIGHUP => Wake::Reload,
            _ => Wake::Stop,
        });
    })?;
    let spacing = Duration::from_micros(TICKS_BETWEEN_LOOKS * config.settings.tick);
    let clock = clock::Clock::start();
    let mut gateway = gateway::Gateway::start(config, operator, clock, &events.handle())?;
    let mut wakes = Wakes::new();
    let mut looked = Instant::now();
    while !gateway.is_done() {
        std::thread::sleep(spacing.saturating_sub(looked.elapsed()));
        match events.dispatch(gateway.patience(&wakes), &mut wakes) {
            Ok(()) => {}
            Err(calloop::Error::IoError(e)) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.into()),
        }
        // What the store's or the peers' thread brings is no look at the sockets: a client or an
        // engine that comes right behind it waits for nothing. Without them every look counts.
        if wakes.is_empty() || wakes.iter().any(|wake| !matches!(wake, Wake::Store)) {
            looked = Instant::now();
        }
        gateway.work(&mut wakes);
    }
    gateway.end();
    Ok(())
}
