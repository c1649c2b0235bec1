//! Real gateways: processes of the program on loopback before a stand-in for all engines and one for service
//! discovery, with what they take by the system's own account.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eideryard_standin::scenario::Scenario;
use eideryard_standin::scripted::{Answer, Bulletin, BulletinEnd, Client, Engine};
use rustix::process::Signal;
use serde_json::{json, Value};

use super::discovery;
use super::measure::Size;
use crate::config::{self, Place};
use crate::processes::{Processes, Programs};

const ZONES: usize = 7;
const SCENARIO: &str = "
time 1s
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
const CLASS: &str = "report";
const QUERY: &[u8] = b"SELECT * FROM sales_17.orders";
/// A comment on each watch says that it lives.
const COMMENT_EVERY: Duration = Duration::from_millis(500);
/// Requests before anything is counted, and their rate: connections to engines are made then.
const WARM_UP_REQUESTS: usize = 200;
const WARM_UP_RATE: f64 = 500.0;
/// Clients that ask one gateway: an answer takes some milliseconds, and each client waits for it.
const ASKING: usize = 5;
/// How long a list event may take to be handled, before processor time is read.
const SETTLES: Duration = Duration::from_millis(400);

/// Service discovery: tells all watches the same events.
struct Discovery {
    address: SocketAddr,
    watches: Arc<Mutex<Vec<BulletinEnd>>>,
    stop: Arc<AtomicBool>,
    number: u64,
}

impl Discovery {
    fn start() -> io::Result<Self> {
        let listener = Bulletin::listen("127.0.0.1:0")?;
        let watches = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let discovery = Discovery { address: listener.address(), watches, stop, number: 1 };
        let (watches, stop) = (discovery.watches.clone(), discovery.stop.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let Ok(end) = listener.accept() else { return };
                watches.lock().unwrap_or_else(PoisonError::into_inner).push(end);
            }
        });
        let (watches, stop) = (discovery.watches.clone(), discovery.stop.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let mut all = watches.lock().unwrap_or_else(PoisonError::into_inner);
                all.retain_mut(|watch| watch.comment().is_ok());
                drop(all);
                std::thread::sleep(COMMENT_EVERY);
            }
        });
        Ok(discovery)
    }

    fn tell(&mut self, whole: bool, hosts: &[Value]) {
        self.number += 1;
        let event = discovery::event(self.number, whole, hosts);
        let mut all = self.watches.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain_mut(|watch| watch.write_raw(event.as_bytes()).is_ok());
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// What the answers of one client were.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answers {
    /// Requests that were asked.
    pub asked: u64,
    /// Those that got what they asked for.
    pub served: u64,
    /// Those that were refused.
    pub refused: u64,
    /// Those without an answer.
    pub unanswered: u64,
}

impl Answers {
    fn add(&mut self, other: &Answers) {
        self.asked += other.asked;
        self.served += other.served;
        self.refused += other.refused;
        self.unanswered += other.unanswered;
    }
}

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

/// What one gateway took while nothing was asked, and for list events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Control {
    /// Part of a core without any request.
    pub idle_share: f64,
    /// Processor time for a change of one engine.
    pub micros_a_change: f64,
    /// Processor time for a whole list.
    pub micros_a_whole_list: f64,
    /// Processor time from the start of the process until it listened.
    pub micros_to_start: f64,
}

struct Node {
    name: String,
    address: SocketAddr,
    started: Duration,
}

/// So many gateways that know the same list.
pub struct Fleet {
    runtime: tokio::runtime::Runtime,
    processes: Processes,
    nodes: Vec<Node>,
    discovery: Discovery,
    hosts: Vec<Value>,
    _directory: tempfile::TempDir,
}

impl Fleet {
    /// Starts so many processes of the fleet's gateways.
    pub fn start(program: &Path, processes: usize, size: Size) -> io::Result<Self> {
        let engine = Engine::listen("127.0.0.1:0")?;
        let address = engine.address().to_string();
        engine.answer_all(1, "a\tb\tc\n".into());
        let hosts: Vec<Value> =
            (0..size.engines).map(|number| discovery::host(number, &address, "up")).collect();
        let directory = tempfile::tempdir()?;
        let mut fleet = Fleet {
            runtime: tokio::runtime::Builder::new_current_thread().enable_all().build()?,
            processes: Processes::default(),
            nodes: Vec::new(),
            discovery: Discovery::start()?,
            hosts,
            _directory: directory,
        };
        let programs = Programs {
            program: PathBuf::from(program),
            directory: fleet._directory.path().into(),
            ..Programs::default()
        };
        for number in 0..processes {
            fleet.start_one(&programs, &format!("g{number}"), size)?;
        }
        Ok(fleet)
    }

    fn start_one(&mut self, programs: &Programs, name: &str, size: Size) -> io::Result<()> {
        let config = self.config(name, size)?;
        let started = self.processes.start(programs, name, &config, &[]);
        let (address, _) = self.runtime.block_on(started)?;
        let started = self.processor_time(name)?;
        self.nodes.push(Node { name: name.into(), address, started });
        Ok(())
    }

    fn config(&self, name: &str, size: Size) -> io::Result<Value> {
        let scenario = Scenario::read("scale", SCENARIO).map_err(|e| io::Error::other(e.to_string()))?;
        let known = json!({"no": 1, "items": [
            {"no": 1, "roster": {"seq": 1, "whole": true, "hosts": self.hosts}}]});
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let place = Place { listen, bulletin: self.discovery.address, known };
        let mut config = config::config(&scenario, "g1", place);
        config["name"] = json!(name);
        config["settings"]["peers-total"] = json!(size.gateways);
        let zones: Vec<String> = (0..ZONES).map(|zone| format!("zone-{zone}")).collect();
        config["settings"]["zones"] = json!(zones);
        Ok(config)
    }

    fn processor_time(&self, name: &str) -> io::Result<Duration> {
        let gone = || io::Error::other(format!("gateway {name} has ended; see its log with --keep"));
        self.processes.processor_time(name).ok_or_else(gone)
    }

    fn processor_times(&self) -> io::Result<Vec<Duration>> {
        self.nodes.iter().map(|node| self.processor_time(&node.name)).collect()
    }

    /// Lets clients that have asked once rest at each of the first gateways, as long as what is given back.
    pub fn rest(&self, gateways: usize, clients: usize) -> io::Result<Vec<Client>> {
        let addresses = self.nodes.iter().take(gateways).map(|node| node.address);
        let each = addresses.flat_map(|address| std::iter::repeat_n(address, clients));
        let mut resting: Vec<Client> = each.map(Client::connect).collect::<io::Result<_>>()?;
        // One that never asked would be ended after a while.
        resting.iter_mut().try_for_each(|client| client.ask_health(1))?;
        for client in &mut resting {
            client.answer()?;
        }
        Ok(resting)
    }

    /// Asks each gateway at a rate for some time, from clients of its own.
    pub fn ask(&self, rate: f64, lasts: Duration) -> io::Result<Vec<Sample>> {
        let count = (rate * lasts.as_secs_f64() / ASKING as f64).ceil() as usize;
        let drivers = self.connect()?;
        let drivers = self.drive(drivers, WARM_UP_REQUESTS / ASKING, WARM_UP_RATE)?;
        let before = self.processor_times()?;
        let drivers = self.drive(drivers, count, rate)?;
        let after = self.processor_times()?;
        let mut samples = Vec::new();
        for (at, node) in self.nodes.iter().enumerate() {
            let spent = (after[at] - before[at]).as_secs_f64() * 1e6;
            let mut answers = Answers::default();
            drivers[at * ASKING..][..ASKING].iter().for_each(|driver| answers.add(&driver.answers));
            samples.push(Sample {
                micros_a_request: spent / (count * ASKING) as f64,
                resident_bytes: self.processes.resident_bytes(&node.name).unwrap_or(0) as f64,
                answers,
            });
        }
        Ok(samples)
    }

    /// Clients that ask, those of one gateway side by side.
    fn connect(&self) -> io::Result<Vec<Driver>> {
        let mut drivers = Vec::new();
        for (number, node) in self.nodes.iter().enumerate() {
            for own in 0..ASKING {
                let next = (number * ASKING + own) as u64;
                let client = Client::connect(node.address)?;
                drivers.push(Driver { client, next: next << 32, answers: Answers::default() });
            }
        }
        Ok(drivers)
    }

    /// Each client asks so often, all of a gateway together at the rate.
    fn drive(&self, drivers: Vec<Driver>, count: usize, rate: f64) -> io::Result<Vec<Driver>> {
        let own_rate = rate / ASKING as f64;
        let start = |driver: Driver| std::thread::spawn(move || driver.run(count, own_rate));
        let threads: Vec<JoinHandle<Driver>> = drivers.into_iter().map(start).collect();
        let ended =
            |thread: JoinHandle<Driver>| thread.join().map_err(|_| io::Error::other("a client panicked"));
        threads.into_iter().map(ended).collect()
    }

    /// What the gateways take without requests, for changes of one engine each, and for a whole list.
    pub fn control(&mut self, changes: usize, lasts: Duration) -> io::Result<Vec<Control>> {
        std::thread::sleep(SETTLES);
        let before = self.processor_times()?;
        std::thread::sleep(lasts);
        let idle = self.processor_times()?;
        for change in 0..changes {
            let mut host = self.hosts[change / 2 % self.hosts.len()].clone();
            host["health"] = json!(if change % 2 == 0 { "draining" } else { "up" });
            self.discovery.tell(false, &[host]);
        }
        std::thread::sleep(SETTLES);
        let changed = self.processor_times()?;
        self.discovery.tell(true, &self.hosts);
        std::thread::sleep(SETTLES);
        let told = self.processor_times()?;
        let control = |at: usize| {
            let idle_share = (idle[at] - before[at]).as_secs_f64() / lasts.as_secs_f64();
            // What the process does anyway in that time is no part of the list's cost.
            let own =
                |spent: Duration| (spent.as_secs_f64() - idle_share * SETTLES.as_secs_f64()).max(0.0) * 1e6;
            Control {
                idle_share,
                micros_a_change: own(changed[at] - idle[at]) / changes.max(1) as f64,
                micros_a_whole_list: own(told[at] - changed[at]),
                micros_to_start: self.nodes[at].started.as_secs_f64() * 1e6,
            }
        };
        Ok((0..self.nodes.len()).map(control).collect())
    }

    /// Ends all gateways; names those that ended by themselves, or had to be killed.
    pub fn end(mut self) -> io::Result<Vec<String>> {
        let mut crashed = self.processes.crashed();
        for node in &self.nodes {
            self.processes.signal(&node.name, Signal::TERM);
        }
        for node in &self.nodes {
            if !self.runtime.block_on(self.processes.ended(&node.name))? {
                crashed.push(node.name.clone());
            }
        }
        Ok(crashed)
    }
}

/// One client that asks at a rate and waits for each answer.
struct Driver {
    client: Client,
    next: u64,
    answers: Answers,
}

impl Driver {
    fn run(mut self, count: usize, rate: f64) -> Self {
        let mut at = Instant::now();
        for _ in 0..count {
            at += Duration::from_secs_f64(1.0 / rate);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            self.answers.asked += 1;
            match self.ask() {
                Ok(Answer::Result { .. } | Answer::Part { .. }) => self.answers.served += 1,
                Ok(_) => self.answers.refused += 1,
                Err(_) => self.answers.unanswered += 1,
            }
        }
        self
    }

    fn ask(&mut self) -> io::Result<Answer> {
        self.next += 1;
        let id = format!("{:016x}", self.next);
        let fields = [("i", id.as_str()), ("d", "4000"), ("t", "acme"), ("h", "1.0"), ("ram", "1")];
        self.client.call(self.next & u64::from(u32::MAX), CLASS, &fields, QUERY)?;
        self.client.answer()
    }
}
