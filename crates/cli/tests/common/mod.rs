//! Starts the program with emulated engines and an emulated service discovery, on loopback and on
//! ports that the system chooses.
#![allow(dead_code)]

pub mod spool;

pub use eideryard_emulators::scripted;

use rustix::process::{kill_process, Pid, Signal};
use scripted::{Bulletin, Client, Engine, EngineConnection, PATIENCE};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

pub const QUERY: &[u8] = b"SELECT * FROM sales_17.orders";

/// Pause between two looks at the counters. The log omits lines if there are over 200 in a second.
const COUNTERS_INTERVAL: Duration = Duration::from_millis(10);

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A configuration with one class for each kind of effect (`report` is safe, `load` is keyed,
/// `change` is unsafe), whose known endpoint list contains the given engines.
pub fn config(bulletin: SocketAddr, engines: &[SocketAddr]) -> Value {
    let hosts: Vec<Value> = engines
        .iter()
        .enumerate()
        .map(|(n, at)| host(&format!("s-{n}"), *at, "up"))
        .collect();
    let class = |name: &str, repeat: &str| {
        json!({"name": name, "aim-us": 1_000_000, "aim-stretch": 2.0, "deadline-us": 20_000_000, "value": 1.0,
               "repeat": repeat, "group": "all", "window-us": 15_000_000})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "bulletin": bulletin.to_string(),
        "known": {"no": 1, "items": [{"no": 1, "roster": {"seq": 0, "whole": true, "hosts": hosts}}]},
        "settings": {
            "tick-us": 1000, "peers-total": 1, "az": 0, "zones": ["here"], "kinds": ["std"],
            "grades": [class("report", "pure"), class("load", "token"), class("change", "side_effect")],
            "orgs": [{"name": "acme", "quota-rps": 100.0}],
            "extra": {"kind-cores": [8], "kind-memory-mb": [16384], "threads-by-class": [1, 1, 1],
                      "is-load": [false, false, false], "class-waits": [false, false, false],
                      "largest-share": 0.4, "note-period-us": 0, "bills": true},
            "limits": {"may-cancel": true, "may-duplicate": false, "probes": true, "retry-after": true,
                       "max-attempts": 5, "max-retry-after-us": 1_000_000, "conn-idle-us": 30_000_000,
                       "dial-timeout-us": 5_000_000, "streams-per-conn": 32},
            "rules": {"warm-within-us": 1_000_000, "start-capacity": 0.4, "fall-multiple": 3.0,
                      "fall-us": 1_000_000}
        }
    })
}

pub fn host(name: &str, address: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "here", "class": "std", "block": 0,
           "health": health, "share": 1, "born_ms": 0})
}

/// A gateway process. When it is dropped, the process is stopped, and the tally of its event log is
/// compared with its own counters.
pub struct GatewayProcess {
    child: Child,
    config: PathBuf,
    pub address: SocketAddr,
    log: Receiver<String>,
    /// The last line of counters, if a test has taken it from the log before the process ends.
    last_counters: Option<String>,
}

impl GatewayProcess {
    pub fn start(config: &Value) -> Self {
        Self::start_with_operator(config, "")
    }

    /// Starts a gateway with additional lines in the operator's file.
    pub fn start_with_operator(config: &Value, operator: &str) -> Self {
        let mut gateway = Self::spawn(config, operator);
        gateway.wait_until_listening();
        gateway
    }

    /// Starts a gateway whose process is limited to `descriptors` file descriptors.
    pub fn start_with_descriptors(config: &Value, descriptors: u64) -> Self {
        let mut gateway = Self::spawn_with(config, "", Some(descriptors));
        gateway.wait_until_listening();
        gateway
    }

    /// Starts a gateway without waiting until it listens, so that a test can read the log lines
    /// that come before.
    pub fn spawn(config: &Value, operator: &str) -> Self {
        Self::spawn_with(config, operator, None)
    }

    fn spawn_with(config: &Value, operator: &str, descriptors: Option<u64>) -> Self {
        let (child, log, config) = spawn_program(config, operator, descriptors);
        let address = "127.0.0.1:0".parse().expect("an address");
        GatewayProcess {
            child,
            config,
            address,
            log,
            last_counters: None,
        }
    }

    pub fn wait_until_listening(&mut self) {
        let line = self.wait_for_line("listens on ");
        let address = line.rsplit(' ').next().expect("a last word");
        self.address = address.parse().expect("the log names the address");
    }

    pub fn kill(mut self) {
        self.child.kill().expect("the gateway runs");
        self.child.wait().expect("the process ends");
    }

    /// Waits for the next line of the log that contains `text`.
    pub fn wait_for_line(&mut self, text: &str) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(PATIENCE)
                .unwrap_or_else(|e| panic!("no line with '{text}': {e}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address).expect("the gateway listens")
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the gateway runs");
    }

    /// Pauses the process (SIGSTOP), so that after it is resumed, it finds everything that has
    /// happened meanwhile in one poll.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until the counter `name` equals `value`, for [`PATIENCE`] at most.
    pub fn wait_for_counter(&mut self, name: &str, value: u64) {
        let started_at = Instant::now();
        loop {
            let counted = self.counters()[name];
            if counted == value {
                return;
            }
            let has_patience = started_at.elapsed() < PATIENCE;
            assert!(has_patience, "{name} is {counted}, {value} is expected");
            std::thread::sleep(COUNTERS_INTERVAL);
        }
    }

    pub fn counters(&mut self) -> BTreeMap<String, u64> {
        counters(&self.log_counters())
    }

    /// Returns the highest memory use of the process so far in KB, without the pages of files.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(status).expect("the gateway runs");
        let value = |name: &str| -> Option<u64> {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse().ok()
        };
        let peak = value("VmHWM:").expect("the system states the peak");
        let files = value("RssFile:").expect("the system states the pages of files");
        peak - files
    }

    pub fn log_counters(&mut self) -> String {
        self.signal(Signal::USR1);
        self.wait_for_line("counters:")
    }

    /// Replaces the configuration file's content, or removes the file if `text` is `None`, and
    /// sends SIGHUP.
    pub fn reload(&mut self, text: Option<&str>) {
        match text {
            Some(text) => std::fs::write(&self.config, text),
            None => std::fs::remove_file(&self.config),
        }
        .expect("the configuration file can be changed");
        self.signal(Signal::HUP);
    }

    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
        self.wait_for_line("stopping");
    }

    /// Asserts that the tally of the event log equals the last counters that the gateway logged.
    fn compare_with_event_log(&mut self, event_log: &std::path::Path) {
        let last = std::iter::from_fn(|| self.log.recv_timeout(PATIENCE).ok());
        let last = last.filter(|line| line.contains("counters:")).last();
        let Some(last_counters) = last
            .or(self.last_counters.take())
            .map(|line| counters(&line))
        else {
            return;
        };
        let mut tally = Command::new(env!("CARGO_BIN_EXE_eideryard"));
        tally.args(["records", "tally", "--json"]).arg(event_log);
        let output = tally.output().expect("the program runs").stdout;
        let output: Value = serde_json::from_slice(&output).expect("one object for one start");
        let mut compared = 0;
        for (name, value) in output.as_object().expect("an object") {
            if let Some(counter) = last_counters.get(name) {
                assert_eq!(
                    value.as_u64(),
                    Some(*counter),
                    "{name} as recorded and as counted"
                );
                compared += 1;
            }
        }
        assert!(compared > 25, "{compared} figures compared");
    }

    /// Waits for the process to exit after SIGTERM. Returns its exit status and last counters.
    pub fn wait_for_exit(mut self) -> (ExitStatus, BTreeMap<String, u64>) {
        let line = self.wait_for_line("counters:");
        let last_counters = counters(&line);
        self.last_counters = Some(line);
        (self.child.wait().expect("the gateway ends"), last_counters)
    }
}

/// Each gateway of each test writes an event log. When the gateway exits, each value in the tally
/// of the log must equal the counter of the same name.
impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let _ = self.child.kill();
        } else if matches!(self.child.try_wait(), Ok(None)) {
            self.signal(Signal::TERM);
        }
        let ended = self.child.wait();
        let event_log = event_log_directory(&self.config);
        if !std::thread::panicking() && ended.is_ok_and(|status| status.success()) {
            self.compare_with_event_log(&event_log);
        }
        let _ = std::fs::remove_dir_all(event_log);
    }
}

fn event_log_directory(config: &std::path::Path) -> PathBuf {
    config.with_extension("records")
}

fn spawn_program(
    config: &Value,
    operator_lines: &str,
    descriptors: Option<u64>,
) -> (Child, Receiver<String>, PathBuf) {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("eideryard-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).expect("the configuration file can be written");
    let operator = path.with_extension("conf");
    std::fs::write(
        &operator,
        format!(
            "record-dir \"{}\"\n{operator_lines}",
            event_log_directory(&path).display()
        ),
    )
    .expect("the operator's file can be written");
    // The shell sets the limit of descriptors, then executes the program in its place.
    let limit = descriptors.map_or(String::new(), |limit| format!("ulimit -n {limit}; "));
    let mut child = Command::new("/bin/sh")
        .args([
            "-c",
            &format!("{limit}exec \"$0\" \"$@\""),
            env!("CARGO_BIN_EXE_eideryard"),
        ])
        .arg("--operator")
        .arg(&operator)
        .env("EDGE_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let stderr = BufReader::new(child.stderr.take().expect("standard error is piped"));
    let (sender, log) = channel();
    let config_file = path.clone();
    std::thread::spawn(move || {
        for line in stderr.lines().map_while(Result::ok) {
            let _ = sender.send(line);
        }
        let _ = std::fs::remove_file(config_file.with_extension("conf"));
        let _ = std::fs::remove_file(config_file);
    });
    (child, log, path)
}

/// Runs the program on a configuration that it can't use. Returns its exit status and first line.
pub fn run_to_failure(config: &Value) -> (ExitStatus, String) {
    let (mut child, log, _) = spawn_program(config, "", None);
    let line = log.recv_timeout(PATIENCE).expect("a line that says why");
    (child.wait().expect("the program ends"), line)
}

fn counters(line: &str) -> BTreeMap<String, u64> {
    let pairs = line
        .split([' ', ';'])
        .filter_map(|word| word.split_once('='));
    let counted: BTreeMap<String, u64> = pairs
        .filter_map(|(name, value)| Some((name.to_string(), value.parse().ok()?)))
        .collect();
    let ended = [
        "served",
        "refused",
        "failed",
        "invalid",
        "forgotten",
        "lost",
        "open",
    ]
    .map(|name| counted[name]);
    assert_eq!(counted["taken"], ended.iter().sum::<u64>(), "{line}");
    counted
}

/// Starts an emulated service discovery and the given number of emulated engines.
pub fn start_emulators(engines: usize) -> (Bulletin, Vec<Engine>) {
    let bulletin = Bulletin::listen("127.0.0.1:0").expect("a port");
    (
        bulletin,
        (0..engines)
            .map(|_| Engine::listen("127.0.0.1:0").expect("a port"))
            .collect(),
    )
}

pub fn addresses(engines: &[Engine]) -> Vec<SocketAddr> {
    engines.iter().map(Engine::address).collect()
}

/// The fields of a typical request: 80 ms of work and 96 MB of memory, for the tenant `acme`.
pub fn fields<'a>(id: &'a str, wait_ms: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("i", id),
        ("d", wait_ms),
        ("t", "acme"),
        ("h", "80.0"),
        ("ram", "96"),
    ]
}

/// Waits for the next command with the given verb, and skips others.
pub fn next_command(end: &mut EngineConnection, verb: &str) -> scripted::Command {
    loop {
        let command = end
            .command()
            .unwrap_or_else(|e| panic!("no '{verb}' from the gateway: {e}"));
        if command.verb() == verb {
            return command;
        }
    }
}

/// Starts a gateway with one engine, and connects a client.
pub fn start_one() -> (Bulletin, Vec<Engine>, GatewayProcess, Client) {
    let (bulletin, engines) = start_emulators(1);
    let gateway = GatewayProcess::start(&config(bulletin.address(), &addresses(&engines)));
    let client = gateway.client();
    (bulletin, engines, gateway, client)
}

/// Sends the client's first query, and returns the engine's connection and the command it received.
pub fn send_query(client: &mut Client, engine: &Engine) -> (EngineConnection, scripted::Command) {
    client
        .call(1, "report", &fields("0000000000000001", "15000"), QUERY)
        .expect("the gateway reads");
    let mut end = engine.accept().expect("the gateway dials");
    let serve = next_command(&mut end, "serve");
    (end, serve)
}
