//! Real gateways: processes of the program on loopback before a stand-in for all engines and one
//! for service discovery, with what they take by the system's own account.

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

use super::clients::{Asks, Driver, CLIENTS_A_GATEWAY};
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
/// Requests before anything is counted, and their rate: connections to engines are made then.
const WARM_UP_REQUESTS: usize = 100;
const WARM_UP_RATE: f64 = 500.0;

/// One gateway's part of a measurement.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Processor time for a request.
    pub micros_a_request: f64,
    /// Memory that the process held.
    pub resident_bytes: f64,
    /// What its clients were answered.
    pub answers: Answers,
}

/// Clients that rest at gateways, and what their coming took.
pub struct Resting {
    /// The clients, as long as they are to rest.
    pub clients: Vec<Client>,
    /// Processor time of each gateway for one client: its connection and its first question.
    pub micros_a_client: Vec<f64>,
}

pub(super) struct Node {
    pub name: String,
    pub address: SocketAddr,
    /// Processor time until it listened.
    pub started: Duration,
    pub config: Value,
}

/// So many gateways that know the same list.
pub struct Fleet {
    runtime: tokio::runtime::Runtime,
    pub(super) programs: Programs,
    pub(super) processes: Processes,
    pub(super) nodes: Vec<Node>,
    pub(super) discovery: DiscoveryServer,
    pub(super) hosts: Vec<Value>,
    size: Size,
    /// The lines of each gateway's operator's file, if they have one.
    operator: Vec<String>,
    _engines: StopsEngines,
    _directory: tempfile::TempDir,
}

/// Ends the stand-in for all engines with its fleet.
#[derive(Default)]
struct StopsEngines(Arc<AtomicBool>);

impl Drop for StopsEngines {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// What gateways counted themselves, once they have ended.
#[derive(Debug, Default)]
pub struct Ended {
    /// Those that ended by themselves, or had to be killed.
    pub crashed: Vec<String>,
    /// Each one's counters.
    pub endings: Vec<Ending>,
}

impl Fleet {
    /// Starts so many processes of the fleet's gateways, with equal distances between their places
    /// among all.
    pub fn start(program: &Path, processes: usize, size: Size) -> io::Result<Self> {
        Self::start_with(program, processes, size, &|_, _| Vec::new())
    }

    /// The same, each with an operator's file of these lines, by its number and its directory.
    pub fn start_with(
        program: &Path,
        processes: usize,
        size: Size,
        operator: &dyn Fn(usize, &Path) -> Vec<String>,
    ) -> io::Result<Self> {
        let engine = Engine::listen("127.0.0.1:0")?;
        let address = engine.address().to_string();
        let stop = StopsEngines::default();
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
            fleet.start_one(number, number * size.gateways.max(processes) / processes)?;
        }
        Ok(fleet)
    }

    /// Starts the gateway of this number at a place among all gateways of the fleet.
    fn start_one(&mut self, number: usize, place: usize) -> io::Result<()> {
        let name = format!("g{number}");
        let config = self.config(&name, place)?;
        let arguments = self.operator_file(number, &name)?;
        let started = self
            .processes
            .start(&self.programs, &name, &config, &arguments);
        let (address, _) = self.runtime.block_on(started)?;
        let started = self.processor_time(&name)?;
        self.nodes.push(Node {
            name,
            address,
            started,
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

    fn config(&self, name: &str, place: usize) -> io::Result<Value> {
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
        config["settings"]["self-index"] = json!(place);
        let zones: Vec<String> = (0..decisions::ZONES)
            .map(|zone| format!("zone-{zone}"))
            .collect();
        config["settings"]["zones"] = json!(zones);
        Ok(config)
    }

    fn processor_time(&self, name: &str) -> io::Result<Duration> {
        let gone = || io::Error::other(format!("gateway {name} has ended"));
        self.processes.processor_time(name).ok_or_else(gone)
    }

    pub(super) fn processor_times(&self) -> io::Result<Vec<Duration>> {
        self.nodes
            .iter()
            .map(|node| self.processor_time(&node.name))
            .collect()
    }

    pub(super) fn resident_bytes(&self) -> Vec<f64> {
        let of = |node: &Node| self.processes.resident_bytes(&node.name).unwrap_or(0) as f64;
        self.nodes.iter().map(of).collect()
    }

    /// Lets clients that have asked once rest at each of some gateways, as long as what is given
    /// back.
    pub fn rest(&self, gateways: Range<usize>, clients: usize) -> io::Result<Resting> {
        let before = self.processor_times()?;
        let addresses = self.nodes[gateways.clone()].iter().map(|node| node.address);
        let each = addresses.flat_map(|address| std::iter::repeat_n(address, clients));
        let mut resting: Vec<Client> = each.map(Client::connect).collect::<io::Result<_>>()?;
        // One that never asked would be ended after a while.
        resting
            .iter_mut()
            .try_for_each(|client| client.ask_health(1))?;
        for client in &mut resting {
            client.answer()?;
        }
        let after = self.processor_times()?;
        let spent = before
            .iter()
            .zip(&after)
            .skip(gateways.start)
            .take(gateways.len());
        let of_client = |(before, after): (&Duration, &Duration)| {
            (*after - *before).as_secs_f64() * 1e6 / clients.max(1) as f64
        };
        Ok(Resting {
            clients: resting,
            micros_a_client: spent.map(of_client).collect(),
        })
    }

    /// Asks each gateway at a rate for some time, from clients of its own.
    pub fn ask(&self, rate: f64, lasts: Duration) -> io::Result<Vec<Sample>> {
        let drivers = self.warm_up(0, Asks::Safe)?;
        self.measure(0, drivers, rate, lasts)
    }

    /// Clients of the gateways from a number on, in the order of these.
    pub fn connect(&self, first: usize, asks: Asks) -> io::Result<Vec<Driver>> {
        let mut drivers = Vec::new();
        for node in &self.nodes[first..] {
            drivers.extend(Driver::connect(node.address, asks)?);
        }
        Ok(drivers)
    }

    /// Lets such clients ask so often that their gateways have connections to engines.
    pub fn warm_up(&self, first: usize, asks: Asks) -> io::Result<Vec<Driver>> {
        let drivers = self.connect(first, asks)?;
        Driver::drive(drivers, WARM_UP_REQUESTS / CLIENTS_A_GATEWAY, WARM_UP_RATE)
    }

    /// Lets the clients of the gateways from a number on ask at a rate for some time.
    pub fn measure(
        &self,
        first: usize,
        drivers: Vec<Driver>,
        rate: f64,
        lasts: Duration,
    ) -> io::Result<Vec<Sample>> {
        let count = (rate * lasts.as_secs_f64() / CLIENTS_A_GATEWAY as f64).ceil() as usize;
        let before = self.processor_times()?;
        let drivers = Driver::drive(drivers, count, rate)?;
        let after = self.processor_times()?;
        let resident = self.resident_bytes();
        let sample = |(at, own): (usize, &[Driver])| {
            let answers = own.iter().map(|driver| driver.answers).sum();
            let spent = (after[first + at] - before[first + at]).as_secs_f64() * 1e6;
            let micros_a_request = spent / (count * CLIENTS_A_GATEWAY) as f64;
            Sample {
                micros_a_request,
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

    /// Asks one gateway for one keyed request; whether it was served.
    pub fn serves_keyed(&self, gateway: usize) -> io::Result<bool> {
        let mut drivers = Driver::connect(self.nodes[gateway].address, Asks::Keyed)?;
        drivers.truncate(1);
        let drivers = Driver::drive(drivers, 1, WARM_UP_RATE)?;
        Ok(drivers[0].answers.served > 0)
    }

    /// The settings that all gateways of the fleet share.
    pub fn settings(&self) -> io::Result<Settings> {
        let tree = SettingsTree::from_json(&self.nodes[0].config["settings"]);
        eideryard_settings::read_settings(&tree).map_err(|e| io::Error::other(e.to_string()))
    }

    /// Ends all gateways.
    pub fn end(mut self) -> io::Result<Ended> {
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
        Ok(Ended {
            crashed,
            endings: std::mem::take(&mut self.processes.endings),
        })
    }
}

impl Ended {
    /// What each gateway counted under a name, if it left counters.
    pub fn counted(&self, name: &str) -> Vec<Option<u64>> {
        let of = |ending: &Ending| {
            ending
                .counters
                .as_ref()
                .and_then(|own| own.get(name).copied())
        };
        self.endings.iter().map(of).collect()
    }
}
