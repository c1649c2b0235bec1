//! The gateway process: the sockets, timers, threads and files around the `eideryard` package,
//! which makes the balancing decisions and does no I/O. [`serve`] runs the gateway; the command
//! line calls it with the platform's configuration ([`config::Config`]) and the operator's.
//!
//! One thread runs the main loop, `gateway::Gateway`, which owns all connections, requests and
//! deadlines. The other threads (store, peer transport, disk of the result spool, event log)
//! receive their work through channels and wake the main loop with pings of the event loop.

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

/// The shortest time between two polls of the sockets, in ticks of the settings. Messages that
/// arrive in between are read, processed and written as one batch, which saves work at both ends of
/// each connection. A message that arrives after a longer pause is not delayed.
const TICKS_BETWEEN_POLLS: u64 = 4;

/// Serves until SIGTERM or SIGINT, and then until the open requests have ended.
///
/// # Errors
///
/// The gateway can't be started, or the event loop fails.
pub fn serve(config: Config, operator: &OperatorConfig) -> Result<(), Box<dyn Error>> {
    let mut event_loop: EventLoop<'_, PendingWakes> = EventLoop::try_new()?;
    register_signals(&event_loop)?;
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

fn register_signals(event_loop: &EventLoop<'_, PendingWakes>) -> Result<(), Box<dyn Error>> {
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

/// Returns whether the next poll has to wait for the interval of [`TICKS_BETWEEN_POLLS`]. A poll
/// that was caused only by the threads of the store or of the peer transport doesn't count.
/// Otherwise, a message that a client or an engine sends right after such a poll would be delayed.
fn is_socket_poll(wakes: &[WakeReason]) -> bool {
    let is_from_thread = |wake: &WakeReason| matches!(wake, WakeReason::IntentDurability);
    wakes.is_empty() || !wakes.iter().all(is_from_thread)
}
