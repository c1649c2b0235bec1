//! Real gateways: processes of the program on loopback, with one emulator for all engines and one
//! for service discovery. Processor time and memory are those that the operating system reports.

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use eideryard::interface::Settings;
use eideryard_emulators::ledger::Answers;
use eideryard_emulators::scenario::Scenario;
use eideryard_emulators::scripted::{Client, Engine};
use eideryard_settings::SettingsTree;
use rustix::process::Signal;
use serde_json::{json, Value};

use super::clients::{Driver, RequestKind, CLIENTS_A_GATEWAY};
use super::discovery_server::{DiscoveryServer, FIRST_NUMBER};
use super::measure::Size;
use super::{decisions, discovery};
use crate::config::{self, GatewayInputs};
use crate::processes::{Ending, Processes, Programs};

const SCENARIO: &str = "
time 1s
class report {
    effect safe
}
class booking {
    effect keyed
    scope cell
    window 1s
}
engine e-1 {
    cores 16
    memory 64GB
    kind std
}
gateway g1 {
    memory 2GB
    sockets 16384
}
load steady {
    rate 1/s
    wait 4s
}
";
/// Requests per gateway before a measurement, and their rate. They establish the connections to
/// engines.
const WARM_UP_REQUESTS: usize = 100;
const WARM_UP_RATE: f64 = 500.0;

/// Measurement of one gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Processor time per request, in microseconds.
    pub micros_per_request: f64,
    /// Resident memory of the process.
    pub resident_bytes: f64,
    /// Answers that its clients received.
    pub answers: Answers,
}

/// Idle clients of gateways, and the cost of connecting them.
pub struct IdleClients {
    /// The clients; dropping them closes their connections.
    pub clients: Vec<Client>,
    /// Processor time of each gateway per client, for its connection and first request, in
    /// microseconds.
    pub micros_per_client: Vec<f64>,
}

pub(super) struct Node {
    pub name: String,
    pub address: SocketAddr,
    /// Processor time from the start of the process until it listened.
    pub start_cpu_time: Duration,
    pub config: Value,
}

/// Gateway processes that share one endpoint list.
pub struct Fleet {
    runtime: tokio::runtime::Runtime,
    pub(super) programs: Programs,
    pub(super) processes: Processes,
    pub(super) nodes: Vec<Node>,
    pub(super) discovery: DiscoveryServer,
    pub(super) hosts: Vec<Value>,
    size: Size,
    /// Text of each gateway's operator's file; empty for a gateway without one.
    operator: Vec<String>,
    _engines: StopEnginesOnDrop,
    _directory: tempfile::TempDir,
}

/// Stops the emulator of the engines when the fleet is dropped.
#[derive(Default)]
struct StopEnginesOnDrop(Arc<AtomicBool>);

impl Drop for StopEnginesOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// How the processes of a fleet ended, and their final counters.
#[derive(Debug, Default)]
pub struct FleetExit {
    /// Names of the gateways that ended by themselves or had to be killed.
    pub crashed: Vec<String>,
    /// The end of each process, with its counters.
    pub endings: Vec<Ending>,
}

impl Fleet {
    /// Starts `processes` gateways of a fleet of `size`. Their indexes in the fleet are evenly
    /// spaced.
    pub fn start(program: &Path, processes: usize, size: Size) -> io::Result<Self> {
        Self::start_with(program, processes, size, &|_, _| Vec::new())
    }

    /// Starts gateways like [`Fleet::start`], each with an operator's file. `operator` returns its
    /// lines, given the gateway's number and the directory of the fleet.
    pub fn start_with(
        program: &Path,
        processes: usize,
        size: Size,
        operator: &dyn Fn(usize, &Path) -> Vec<String>,
    ) -> io::Result<Self> {
        let engine = Engine::listen("127.0.0.1:0")?;
        let address = engine.address().to_string();
        let stop = StopEnginesOnDrop::default();
        engine.answer_until(stop.0.clone(), 1, "a\tb\tc\n".into());
        let hosts: Vec<Value> = (0..size.engines)
            .map(|number| discovery::host(number, &address, "up"))
            .collect();
        let directory = tempfile::tempdir()?;
        let programs = Programs {
            program: PathBuf::from(program),
            directory: directory.path().into(),
            ..Programs::default()
        };
        let lines = (0..processes)
            .map(|number| operator(number, directory.path()).join("\n"))
            .collect();
        let mut fleet = Fleet {
            runtime: tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?,
            programs,
            processes: Processes::default(),
            nodes: Vec::new(),
            discovery: DiscoveryServer::start()?,
            hosts,
            size,
            operator: lines,
            _engines: stop,
            _directory: directory,
        };
        for number in 0..processes {
            fleet.start_gateway(number, number * size.gateways.max(processes) / processes)?;
        }
        Ok(fleet)
    }

    /// Starts the gateway `g{number}` with an index in the fleet.
    fn start_gateway(&mut self, number: usize, index: usize) -> io::Result<()> {
        let name = format!("g{number}");
        let config = self.gateway_config(&name, index)?;
        let arguments = self.operator_file(number, &name)?;
        let started = self
            .processes
            .start(&self.programs, &name, &config, &arguments);
        let (address, _) = self.runtime.block_on(started)?;
        let start_cpu_time = self.processor_time(&name)?;
        self.nodes.push(Node {
            name,
            address,
            start_cpu_time,
            config,
        });
        Ok(())
    }

    fn operator_file(&self, number: usize, name: &str) -> io::Result<Vec<String>> {
        let lines = &self.operator[number];
        if lines.is_empty() {
            return Ok(Vec::new());
        }
        let path = self.programs.directory.join(format!("{name}.conf"));
        std::fs::write(&path, lines)?;
        Ok(vec!["--operator".into(), path.display().to_string()])
    }

    fn gateway_config(&self, name: &str, index: usize) -> io::Result<Value> {
        let scenario =
            Scenario::read("scale", SCENARIO).map_err(|e| io::Error::other(e.to_string()))?;
        let endpoint_list = json!({"no": FIRST_NUMBER, "items": [
            {"no": FIRST_NUMBER, "roster": {"seq": 1, "whole": true, "hosts": self.hosts}}]});
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut config = config::config(
            &scenario,
            "g1",
            GatewayInputs {
                listen,
                bulletin: self.discovery.address,
                endpoint_list,
            },
        );
        config["name"] = json!(name);
        config["settings"]["peers-total"] = json!(self.size.gateways);
        config["settings"]["self-index"] = json!(index);
        let zones: Vec<String> = (0..decisions::ZONES)
            .map(|zone| format!("zone-{zone}"))
            .collect();
        config["settings"]["zones"] = json!(zones);
        Ok(config)
    }

    fn processor_time(&self, name: &str) -> io::Result<Duration> {
        let has_ended = || io::Error::other(format!("gateway {name} has ended"));
        self.processes.processor_time(name).ok_or_else(has_ended)
    }

    pub(super) fn processor_times(&self) -> io::Result<Vec<Duration>> {
        self.nodes
            .iter()
            .map(|node| self.processor_time(&node.name))
            .collect()
    }

    pub(super) fn resident_bytes(&self) -> Vec<f64> {
        let memory = |node: &Node| self.processes.resident_bytes(&node.name).unwrap_or(0) as f64;
        self.nodes.iter().map(memory).collect()
    }

    /// Connects `clients` clients to each of some gateways, and lets each send one request. They
    /// stay connected until the result is dropped.
    pub fn connect_idle_clients(
        &self,
        gateways: Range<usize>,
        clients: usize,
    ) -> io::Result<IdleClients> {
        let before = self.processor_times()?;
        let addresses = self.nodes[gateways.clone()].iter().map(|node| node.address);
        let all_addresses = addresses.flat_map(|address| std::iter::repeat_n(address, clients));
        let mut idle_clients: Vec<Client> = all_addresses
            .map(Client::connect)
            .collect::<io::Result<_>>()?;
        // Gateways close connections that never send a request.
        idle_clients
            .iter_mut()
            .try_for_each(|client| client.ask_health(1))?;
        for client in &mut idle_clients {
            client.answer()?;
        }
        let after = self.processor_times()?;
        let spent = before
            .iter()
            .zip(&after)
            .skip(gateways.start)
            .take(gateways.len());
        let micros = |(before, after): (&Duration, &Duration)| {
            (*after - *before).as_secs_f64() * 1e6 / clients.max(1) as f64
        };
        Ok(IdleClients {
            clients: idle_clients,
            micros_per_client: spent.map(micros).collect(),
        })
    }

    /// Connects new clients to each gateway, warms it up and measures it at `rate` requests per
    /// second.
    pub fn send_requests(&self, rate: f64, duration: Duration) -> io::Result<Vec<Sample>> {
        let drivers = self.warm_up(0, RequestKind::Safe)?;
        self.measure(0, drivers, rate, duration)
    }

    /// Connects clients to the gateways from number `first` on, in their order.
    pub fn connect(&self, first: usize, kind: RequestKind) -> io::Result<Vec<Driver>> {
        let mut drivers = Vec::new();
        for node in &self.nodes[first..] {
            drivers.extend(Driver::connect(node.address, kind)?);
        }
        Ok(drivers)
    }

    /// Connects such clients and lets them send [`WARM_UP_REQUESTS`] requests per gateway, so that
    /// the gateways connect to engines.
    pub fn warm_up(&self, first: usize, kind: RequestKind) -> io::Result<Vec<Driver>> {
        let drivers = self.connect(first, kind)?;
        Driver::drive(drivers, WARM_UP_REQUESTS / CLIENTS_A_GATEWAY, WARM_UP_RATE)
    }

    /// Measures the gateways from number `first` on while their clients send `rate` requests per
    /// second to each.
    pub fn measure(
        &self,
        first: usize,
        drivers: Vec<Driver>,
        rate: f64,
        duration: Duration,
    ) -> io::Result<Vec<Sample>> {
        let count = (rate * duration.as_secs_f64() / CLIENTS_A_GATEWAY as f64).ceil() as usize;
        let before = self.processor_times()?;
        let drivers = Driver::drive(drivers, count, rate)?;
        let after = self.processor_times()?;
        let resident = self.resident_bytes();
        let sample = |(at, gateway_drivers): (usize, &[Driver])| {
            let answers = gateway_drivers.iter().map(|driver| driver.answers).sum();
            let spent = (after[first + at] - before[first + at]).as_secs_f64() * 1e6;
            let micros_per_request = spent / (count * CLIENTS_A_GATEWAY) as f64;
            Sample {
                micros_per_request,
                resident_bytes: resident[first + at],
                answers,
            }
        };
        Ok(drivers
            .chunks(CLIENTS_A_GATEWAY)
            .enumerate()
            .map(sample)
            .collect())
    }

    /// Sends one keyed request to a gateway and returns whether it was served.
    pub fn serves_keyed(&self, gateway: usize) -> io::Result<bool> {
        let mut drivers = Driver::connect(self.nodes[gateway].address, RequestKind::Keyed)?;
        drivers.truncate(1);
        let drivers = Driver::drive(drivers, 1, WARM_UP_RATE)?;
        Ok(drivers[0].answers.served > 0)
    }

    /// The settings of the first gateway. All gateways have the same ones, except for their index.
    pub fn settings(&self) -> io::Result<Settings> {
        let tree = SettingsTree::from_json(&self.nodes[0].config["settings"]);
        eideryard_settings::read_settings(&tree).map_err(|e| io::Error::other(e.to_string()))
    }

    /// Stops all gateways with SIGTERM and waits until they have ended.
    pub fn end(mut self) -> io::Result<FleetExit> {
        let mut crashed = self.processes.crashed();
        for node in &self.nodes {
            self.processes.signal(&node.name, Signal::TERM);
        }
        for node in &self.nodes {
            if !self
                .runtime
                .block_on(self.processes.wait_for_end(&node.name))?
            {
                crashed.push(node.name.clone());
            }
        }
        Ok(FleetExit {
            crashed,
            endings: std::mem::take(&mut self.processes.endings),
        })
    }
}

impl FleetExit {
    /// The final value of a counter at each gateway; `None` for a gateway without it.
    pub fn counted(&self, name: &str) -> Vec<Option<u64>> {
        let counter = |ending: &Ending| {
            ending
                .counters
                .as_ref()
                .and_then(|counters| counters.get(name).copied())
        };
        self.endings.iter().map(counter).collect()
    }
}
