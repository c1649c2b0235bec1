//! Cost of real gateways apart from requests: idle time, list events, and configuration changes.

use std::io;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{json, Value};

use super::decisions;
use super::discovery_server::DiscoveryServer;
use super::processes::Fleet;

/// Wait after list events, until gateways have handled them and processor time is read.
const SETTLE_TIME: Duration = Duration::from_millis(150);
/// Time within which all gateways must have applied a configuration change.
pub const IN_FORCE_WITHIN: Duration = Duration::from_secs(13);
const POLL_INTERVAL: Duration = Duration::from_micros(500);

/// Cost of one gateway without requests: its start, its idle time and list events. Times are
/// processor time in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlCost {
    /// Fraction of one core (0 to 1) that the idle process takes.
    pub idle_share: f64,
    /// Time per list event that changes one engine.
    pub micros_per_change: f64,
    /// Time for an event with the whole list.
    pub micros_per_whole_list: f64,
    /// Time for an event that removes the engines of one zone.
    pub micros_per_zone_removed: f64,
    /// Time for an event that adds them again.
    pub micros_per_zone_added: f64,
    /// Time from the start of the process until it listened.
    pub micros_to_start: f64,
}

/// Cost of configuration changes.
#[derive(Clone, Debug, Default)]
pub struct Reloads {
    /// Processor time of each gateway per change, in microseconds, including its new connection to
    /// service discovery.
    pub micros_per_reload: Vec<f64>,
    /// For each change, the time from the signals until the last gateway was connected to the
    /// service discovery that the new configuration names.
    pub in_force_after: Vec<Duration>,
    /// Number of changes that some gateway didn't apply in time.
    pub missed: usize,
}

impl Fleet {
    /// Measures the gateways without requests: while idle, and for list events with `changes`
    /// changes of one engine each, a zone that disappears and returns, and a whole list.
    pub fn measure_control(
        &mut self,
        changes: usize,
        duration: Duration,
    ) -> io::Result<Vec<ControlCost>> {
        std::thread::sleep(SETTLE_TIME);
        let before = self.processor_times()?;
        std::thread::sleep(duration);
        let idle = self.processor_times()?;
        self.change_list(changes);
        std::thread::sleep(SETTLE_TIME);
        let changed = self.processor_times()?;
        let removed = self.publish_and_settle(false, &self.zone("removed"))?;
        let added = self.publish_and_settle(false, &self.zone("up"))?;
        let listed = self.publish_and_settle(true, &self.hosts.clone())?;
        let control = |at: usize| {
            let idle_share = (idle[at] - before[at]).as_secs_f64() / duration.as_secs_f64();
            let micros = |spent: Duration| beyond_idle(spent, idle_share, SETTLE_TIME);
            ControlCost {
                idle_share,
                micros_per_change: micros(changed[at] - idle[at]) / changes.max(1) as f64,
                micros_per_whole_list: micros(listed[at] - added[at]),
                micros_per_zone_removed: micros(removed[at] - changed[at]),
                micros_per_zone_added: micros(added[at] - removed[at]),
                micros_to_start: self.nodes[at].start_cpu_time.as_secs_f64() * 1e6,
            }
        };
        Ok((0..self.nodes.len()).map(control).collect())
    }

    /// The engines of one zone, with `health` as their new state.
    fn zone(&self, health: &str) -> Vec<Value> {
        let of_zone = self.hosts.iter().step_by(decisions::ZONES as usize);
        let changed = |host: &Value| {
            let mut host = host.clone();
            host["health"] = json!(health);
            host
        };
        of_zone.map(changed).collect()
    }

    /// Publishes a list event, waits until the gateways have handled it and returns their processor
    /// times.
    fn publish_and_settle(&mut self, is_whole: bool, hosts: &[Value]) -> io::Result<Vec<Duration>> {
        self.discovery.publish(is_whole, hosts);
        std::thread::sleep(SETTLE_TIME);
        self.processor_times()
    }

    /// Publishes `changes` list events, in each of which one engine starts or stops draining.
    pub fn change_list(&mut self, changes: usize) {
        for change in 0..changes {
            let mut host = self.hosts[change / 2 % self.hosts.len()].clone();
            host["health"] = json!(if change % 2 == 0 { "draining" } else { "up" });
            self.discovery.publish(false, &[host]);
        }
    }

    /// Changes the configuration of all gateways `reloads` times. Each time service discovery moves
    /// to another address, to which every gateway must connect `within` this time.
    pub fn reload(
        &mut self,
        reloads: usize,
        duration: Duration,
        within: Duration,
    ) -> io::Result<Reloads> {
        std::thread::sleep(SETTLE_TIME);
        let before = self.processor_times()?;
        std::thread::sleep(duration);
        let idle = self.processor_times()?;
        let mut other = DiscoveryServer::start()?;
        let mut outcome = Reloads::default();
        let began = Instant::now();
        for _ in 0..reloads {
            other.take_over(&mut self.discovery);
            std::mem::swap(&mut other, &mut self.discovery);
            match self.reload_once(within)? {
                Some(after) => outcome.in_force_after.push(after),
                None => outcome.missed += 1,
            }
            other.close_watches();
        }
        std::thread::sleep(SETTLE_TIME);
        let (took, after) = (began.elapsed(), self.processor_times()?);
        let micros = |at: usize| {
            let idle_share = (idle[at] - before[at]).as_secs_f64() / duration.as_secs_f64();
            beyond_idle(after[at] - idle[at], idle_share, took) / reloads.max(1) as f64
        };
        outcome.micros_per_reload = (0..self.nodes.len()).map(micros).collect();
        Ok(outcome)
    }

    /// Sends a signal to one gateway.
    pub fn signal(&mut self, gateway: usize, signal: Signal) {
        self.processes.signal(&self.nodes[gateway].name, signal);
    }

    /// Configures all gateways with the current address of service discovery. Returns how long it
    /// took until all were connected, or `None` if that wasn't `within` the permitted time.
    fn reload_once(&mut self, within: Duration) -> io::Result<Option<Duration>> {
        for node in &mut self.nodes {
            node.config["bulletin"] = json!(self.discovery.address.to_string());
            self.processes
                .configure(&self.programs, &node.name, &node.config)?;
        }
        let began = Instant::now();
        for node in &self.nodes {
            self.processes.signal(&node.name, Signal::HUP);
        }
        while self.discovery.watch_count() < self.nodes.len() {
            if began.elapsed() > within {
                return Ok(None);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(Some(began.elapsed()))
    }
}

/// Subtracts the processor time that an idle process takes in `time`; in microseconds, at least 0.
fn beyond_idle(spent: Duration, idle_share: f64, time: Duration) -> f64 {
    (spent.as_secs_f64() - idle_share * time.as_secs_f64()).max(0.0) * 1e6
}
