//! What real gateways take beside requests: idle, list events, and changes of their configuration.

use std::io;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{json, Value};

use super::decisions;
use super::discovery_server::DiscoveryServer;
use super::processes::Fleet;

/// How long a list event may take to be handled, before processor time is read.
const SETTLES: Duration = Duration::from_millis(150);
/// A change of configuration has to be in force everywhere within this.
pub const IN_FORCE_WITHIN: Duration = Duration::from_secs(13);
const LOOKS_EVERY: Duration = Duration::from_micros(500);

/// What one gateway took while nothing was asked, and for list events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Control {
    /// Part of a core without any request.
    pub idle_share: f64,
    /// Processor time for a change of one engine.
    pub micros_a_change: f64,
    /// Processor time for a whole list.
    pub micros_a_whole_list: f64,
    /// Processor time for one event that takes a zone's engines away.
    pub micros_for_a_zone_gone: f64,
    /// Processor time for one that brings them back.
    pub micros_for_a_zone_back: f64,
    /// Processor time from the start of the process until it listened.
    pub micros_to_start: f64,
}

/// What changes of the configuration took.
#[derive(Clone, Debug, Default)]
pub struct Reloads {
    /// Processor time of each gateway for a change, its new watch included.
    pub micros_a_reload: Vec<f64>,
    /// Of each change, from the signals until the last gateway watches where the new configuration
    /// says.
    pub in_force_after: Vec<Duration>,
    /// Changes that were not in force everywhere in time.
    pub missed: usize,
}

impl Fleet {
    /// What the gateways take without requests, for changes of one engine each, and for a whole
    /// list.
    pub fn control(&mut self, changes: usize, lasts: Duration) -> io::Result<Vec<Control>> {
        std::thread::sleep(SETTLES);
        let before = self.processor_times()?;
        std::thread::sleep(lasts);
        let idle = self.processor_times()?;
        self.change_list(changes);
        std::thread::sleep(SETTLES);
        let changed = self.processor_times()?;
        let gone = self.publish_and_settle(false, &self.zone("removed"))?;
        let back = self.publish_and_settle(false, &self.zone("up"))?;
        let listed = self.publish_and_settle(true, &self.hosts.clone())?;
        let control = |at: usize| {
            let idle_share = (idle[at] - before[at]).as_secs_f64() / lasts.as_secs_f64();
            let own = |spent: Duration| beyond_idle(spent, idle_share, SETTLES);
            Control {
                idle_share,
                micros_a_change: own(changed[at] - idle[at]) / changes.max(1) as f64,
                micros_a_whole_list: own(listed[at] - back[at]),
                micros_for_a_zone_gone: own(gone[at] - changed[at]),
                micros_for_a_zone_back: own(back[at] - gone[at]),
                micros_to_start: self.nodes[at].started.as_secs_f64() * 1e6,
            }
        };
        Ok((0..self.nodes.len()).map(control).collect())
    }

    /// The engines of one zone, and what becomes of them.
    fn zone(&self, health: &str) -> Vec<Value> {
        let of_zone = self.hosts.iter().step_by(decisions::ZONES as usize);
        let changed = |host: &Value| {
            let mut host = host.clone();
            host["health"] = json!(health);
            host
        };
        of_zone.map(changed).collect()
    }

    /// Processor times once all gateways have taken an event of the list.
    fn publish_and_settle(&mut self, whole: bool, hosts: &[Value]) -> io::Result<Vec<Duration>> {
        self.discovery.publish(whole, hosts);
        std::thread::sleep(SETTLES);
        self.processor_times()
    }

    /// Publishes so many changes, each of one engine that begins or ends a drain.
    pub fn change_list(&mut self, changes: usize) {
        for change in 0..changes {
            let mut host = self.hosts[change / 2 % self.hosts.len()].clone();
            host["health"] = json!(if change % 2 == 0 { "draining" } else { "up" });
            self.discovery.publish(false, &[host]);
        }
    }

    /// Changes the configuration of all gateways so often: each time service discovery moves, and
    /// every gateway has to watch it there within a time.
    pub fn reload(
        &mut self,
        reloads: usize,
        lasts: Duration,
        within: Duration,
    ) -> io::Result<Reloads> {
        std::thread::sleep(SETTLES);
        let before = self.processor_times()?;
        std::thread::sleep(lasts);
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
        std::thread::sleep(SETTLES);
        let (took, after) = (began.elapsed(), self.processor_times()?);
        let micros = |at: usize| {
            let idle_share = (idle[at] - before[at]).as_secs_f64() / lasts.as_secs_f64();
            beyond_idle(after[at] - idle[at], idle_share, took) / reloads.max(1) as f64
        };
        outcome.micros_a_reload = (0..self.nodes.len()).map(micros).collect();
        Ok(outcome)
    }

    /// Sends one gateway a signal.
    pub fn signal(&mut self, gateway: usize, signal: Signal) {
        self.processes.signal(&self.nodes[gateway].name, signal);
    }

    /// Sends all gateways to where service discovery is now; how long it took, if it was within the
    /// bound.
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
            std::thread::sleep(LOOKS_EVERY);
        }
        Ok(Some(began.elapsed()))
    }
}

/// What the process does anyway in a time is no part of what it did for others' sake.
fn beyond_idle(spent: Duration, idle_share: f64, time: Duration) -> f64 {
    (spent.as_secs_f64() - idle_share * time.as_secs_f64()).max(0.0) * 1e6
}
