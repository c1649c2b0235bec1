//! The gateway process: real sockets, timers, threads and files around the decisions of the
//! `eideryard` package. [`serve`] is the whole program; the command line calls it with the
//! configuration of the platform ([`config::Config`]) and of the operator.
//!
//! One thread runs the main loop, `gateway::Gateway`, which owns all connections, requests and
//! deadlines. Other threads (store, peers, disk of the result spool, event log) are reached through
//! channels and wake the main loop by pings.

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
mod error_reply;
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

use std::error::Error;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

use calloop::signals::{Signal, Signals};
use calloop::EventLoop;
use eideryard_operator_config::OperatorConfig;

use config::Config;
use connection::{PendingWakes, WakeReason};
use gateway::Gateway;

/// The shortest time between two polls of the sockets, in ticks of the settings: what arrives in
/// between is read, decided and written together, which saves work at both ends of each connection.
/// A message after a quiet time is not delayed.
const TICKS_BETWEEN_POLLS: u64 = 4;

/// Serves until SIGTERM or SIGINT, and until the requests that were open then have ended.
pub fn serve(config: Config, operator: &OperatorConfig) -> Result<(), Box<dyn Error>> {
    let mut event_loop: EventLoop<'_, PendingWakes> = EventLoop::try_new()?;
    watch_signals(&event_loop)?;
    let poll_interval = Duration::from_micros(TICKS_BETWEEN_POLLS * config.settings.tick);
    let clock = clock::Clock::start();
    let mut gateway = Gateway::start(config, operator, clock, &event_loop.handle())?;
    let mut wakes = PendingWakes::new();
    let mut last_poll = Instant::now();
    while !gateway.is_done() {
        std::thread::sleep(poll_interval.saturating_sub(last_poll.elapsed()));
        match event_loop.dispatch(gateway.next_wait(&wakes), &mut wakes) {
            Ok(()) => {}
            Err(calloop::Error::IoError(e)) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e.into()),
        }
        if is_socket_poll(&wakes) {
            last_poll = Instant::now();
        }
        gateway.poll(&mut wakes);
    }
    gateway.finish();
    Ok(())
}

fn watch_signals(event_loop: &EventLoop<'_, PendingWakes>) -> Result<(), Box<dyn Error>> {
    let signals = Signals::new(&[
        Signal::SIGTERM,
        Signal::SIGINT,
        Signal::SIGHUP,
        Signal::SIGUSR1,
    ])?;
    event_loop
        .handle()
        .insert_source(signals, |event, _, wakes| {
            wakes.push(match event.signal() {
                Signal::SIGUSR1 => WakeReason::LogCounters,
                Signal::SIGHUP => WakeReason::Reload,
                _ => WakeReason::Stop,
            });
        })?;
    Ok(())
}

/// Whether a poll counts for the time between polls. One that only the threads of the store or of
/// the peers caused doesn't: a client or an engine that sends right after it is not delayed.
fn is_socket_poll(wakes: &[WakeReason]) -> bool {
    let is_from_thread = |wake: &WakeReason| matches!(wake, WakeReason::IntentDurability);
    wakes.is_empty() || !wakes.iter().all(is_from_thread)
}
