//! Starts the program against stand-ins on loopback, on ports that the system gives.
#![allow(dead_code)]

pub use eideryard_emulators::scripted as standin;

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use standin::{Bulletin, Client, Engine, EngineConnection, PATIENCE};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};

pub const QUERY: &[u8] = b"SELECT * FROM sales_17.orders";

static STARTED: AtomicU32 = AtomicU32::new(0);

/// A configuration with one class of each effect and the engines given.
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

pub struct Running {
    child: Child,
    config: PathBuf,
    pub address: SocketAddr,
    log: Receiver<String>,
    /// Its last counters, where a test has taken them.
    counted: Option<String>,
}

impl Running {
    pub fn start(config: &Value) -> Self {
        Self::start_with(config, "")
    }

    /// With more lines in the operator's file.
    pub fn start_with(config: &Value, operator: &str) -> Self {
        let mut running = Self::launched(config, operator);
        running.listens();
        running
    }

    /// In a process that gets so many descriptors.
    pub fn start_within(config: &Value, descriptors: u64) -> Self {
        let mut running = Self::launched_by(config, "", Some(descriptors));
        running.listens();
        running
    }

    /// What it says before it listens is there to be read.
    pub fn launched(config: &Value, operator: &str) -> Self {
        Self::launched_by(config, operator, None)
    }

    fn launched_by(config: &Value, operator: &str, descriptors: Option<u64>) -> Self {
        let (child, log, config) = launch(config, operator, descriptors);
        let address = "127.0.0.1:0".parse().expect("an address");
        Running {
            child,
            config,
            address,
            log,
            counted: None,
        }
    }

    pub fn listens(&mut self) {
        let line = self.line_with("listens on ");
        let address = line.rsplit(' ').next().expect("a last word");
        self.address = address.parse().expect("the log names the address");
    }

    pub fn kill(mut self) {
        self.child.kill().expect("the gateway runs");
        self.child.wait().expect("it ends");
    }

    /// The next line of the log that holds a text.
    pub fn line_with(&mut self, text: &str) -> String {
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

    /// Holds the process still, so that what happens meanwhile is there at once when it goes on.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until a counter has a value.
    pub fn until(&mut self, name: &str, value: u64) {
        while self.counters()[name] != value {}
    }

    pub fn counters(&mut self) -> BTreeMap<String, u64> {
        counters(&self.counters_line())
    }

    pub fn counters_line(&mut self) -> String {
        self.signal(Signal::USR1);
        self.line_with("counters:")
    }

    /// Puts other text in the place of the configuration, or takes the file away, and sends SIGHUP.
    pub fn reload(&mut self, text: Option<&str>) {
        match text {
            Some(text) => std::fs::write(&self.config, text),
            None => std::fs::remove_file(&self.config),
        }
        .expect("the file of the configuration can be changed");
        self.signal(Signal::HUP);
    }

    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
        self.line_with("stopping");
    }

    fn compare(&mut self, records: &std::path::Path) {
        let last = std::iter::from_fn(|| self.log.recv_timeout(PATIENCE).ok());
        let last = last.filter(|line| line.contains("counters:")).last();
        let Some(counted) = last.or(self.counted.take()).map(|line| counters(&line)) else {
            return;
        };
        let mut tally = Command::new(env!("CARGO_BIN_EXE_eideryard"));
        tally.args(["records", "tally", "--json"]).arg(records);
        let told = tally.output().expect("the program runs").stdout;
        let told: Value = serde_json::from_slice(&told).expect("one object for one start");
        let mut compared = 0;
        for (name, value) in told.as_object().expect("an object") {
            if let Some(own) = counted.get(name) {
                assert_eq!(
                    value.as_u64(),
                    Some(*own),
                    "{name} as recorded and as counted"
                );
                compared += 1;
            }
        }
        assert!(compared > 25, "{compared} figures compared");
    }

    /// How it ended by itself after SIGTERM, and what it counted.
    pub fn ended(mut self) -> (ExitStatus, BTreeMap<String, u64>) {
        let line = self.line_with("counters:");
        let counted = counters(&line);
        self.counted = Some(line);
        (self.child.wait().expect("the gateway ends"), counted)
    }
}

/// Each gateway of each test keeps a record, and at its end the record's tally has the figure of
/// every counter.
impl Drop for Running {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let _ = self.child.kill();
        } else if matches!(self.child.try_wait(), Ok(None)) {
            self.signal(Signal::TERM);
        }
        let ended = self.child.wait();
        let records = record_of(&self.config);
        if !std::thread::panicking() && ended.is_ok_and(|status| status.success()) {
            self.compare(&records);
        }
        let _ = std::fs::remove_dir_all(records);
    }
}

fn record_of(config: &std::path::Path) -> PathBuf {
    config.with_extension("records")
}

fn launch(
    config: &Value,
    more: &str,
    descriptors: Option<u64>,
) -> (Child, Receiver<String>, PathBuf) {
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("eideryard-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).expect("a file for the configuration");
    let operator = path.with_extension("conf");
    std::fs::write(
        &operator,
        format!("record-dir \"{}\"\n{more}", record_of(&path).display()),
    )
    .expect("a file");
    // The shell sets the limit and becomes the program.
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
    let stderr = BufReader::new(child.stderr.take().expect("its log"));
    let (sender, log) = channel();
    let file = path.clone();
    std::thread::spawn(move || {
        for line in stderr.lines().map_while(Result::ok) {
            let _ = sender.send(line);
        }
        let _ = std::fs::remove_file(file.with_extension("conf"));
        let _ = std::fs::remove_file(file);
    });
    (child, log, path)
}

/// Runs the program on a configuration that it can't use: how it ended, and what it said.
pub fn refused_start(config: &Value) -> (ExitStatus, String) {
    let (mut child, log, _) = launch(config, "", None);
    let said = log.recv_timeout(PATIENCE).expect("a line that says why");
    (child.wait().expect("the program ends"), said)
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

/// Stand-ins for one bulletin and so many engines.
pub fn stand_ins(engines: usize) -> (Bulletin, Vec<Engine>) {
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

/// The usual fields of a request.
pub fn fields<'a>(id: &'a str, wait_ms: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("i", id),
        ("d", wait_ms),
        ("t", "acme"),
        ("h", "80.0"),
        ("ram", "96"),
    ]
}

/// The next command of a kind; others are passed over.
pub fn next(end: &mut EngineConnection, verb: &str) -> standin::Command {
    loop {
        let command = end
            .command()
            .unwrap_or_else(|e| panic!("no '{verb}' from the gateway: {e}"));
        if command.verb() == verb {
            return command;
        }
    }
}

/// A gateway in front of one engine, and a client of it.
pub fn up() -> (Bulletin, Vec<Engine>, Running, Client) {
    let (bulletin, engines) = stand_ins(1);
    let gateway = Running::start(&config(bulletin.address(), &addresses(&engines)));
    let client = gateway.client();
    (bulletin, engines, gateway, client)
}

/// The client's first query, as the engine gets it.
pub fn called(client: &mut Client, engine: &Engine) -> (EngineConnection, standin::Command) {
    client
        .call(1, "report", &fields("0000000000000001", "15000"), QUERY)
        .expect("the gateway reads");
    let mut end = engine.accept().expect("the gateway dials");
    let serve = next(&mut end, "serve");
    (end, serve)
}
