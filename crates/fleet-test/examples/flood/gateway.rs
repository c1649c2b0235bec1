//! The gateway's process: started on one core, and its use of memory and processor at the end.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use rustix::process::{kill_process, Pid, Signal};
use rustix::thread::{sched_setaffinity, CpuSet};
use serde_json::{json, Value};

/// The core that the gateway runs on.
const GATEWAY_CORE: usize = 0;
const MEMORY_MB: u64 = 32;
const DESCRIPTORS: u64 = 256;

/// A running gateway.
pub struct GatewayProcess {
    child: Child,
    pub address: SocketAddr,
    /// Service discovery that accepts connections and says nothing.
    _discovery: TcpListener,
    _directory: tempfile::TempDir,
}

impl GatewayProcess {
    pub fn start(engines: &[SocketAddr]) -> Self {
        let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
        let discovery_address = discovery.local_addr().expect("an address");
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path().join("config.json");
        let text = config(discovery_address, engines).to_string();
        std::fs::write(&path, text).expect("a file");
        let mut child = Command::new(program())
            .arg("run")
            .env("EDGE_CONFIG", &path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the release build of the program");
        bind_to_core(Pid::from_child(&child));
        let log = child.stderr.take().expect("the log");
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let listens = lines
            .find(|line| line.contains("listens on "))
            .expect("the gateway listens");
        let address = listens.rsplit(' ').next().expect("a last word");
        let address = address.parse().expect("an address");
        std::thread::spawn(move || {
            for line in lines.filter(|line| !line.contains("service discovery")) {
                println!("log: {line}");
            }
        });
        GatewayProcess {
            child,
            address,
            _discovery: discovery,
            _directory: directory,
        }
    }

    /// Ends the process. Returns its peak memory and its processor time, or how it ended before.
    pub fn finish(mut self) -> String {
        if let Ok(Some(status)) = self.child.try_wait() {
            return format!("ended by itself: {status}");
        }
        let pid = self.child.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap_or("unknown");
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let ticks: Vec<u64> = stat
            .split_whitespace()
            .skip(13)
            .take(2)
            .filter_map(|word| word.parse().ok())
            .collect();
        let text = format!(
            "peak memory {} of {MEMORY_MB} MB, processor time {} ms",
            peak.trim(),
            ticks.iter().sum::<u64>() * 10
        );
        let _ = kill_process(Pid::from_child(&self.child), Signal::TERM);
        let _ = self.child.wait();
        text
    }
}

fn bind_to_core(process: Pid) {
    let mut cores = CpuSet::new();
    cores.set(GATEWAY_CORE);
    sched_setaffinity(Some(process), &cores).expect("the core exists");
}

fn program() -> PathBuf {
    let example = std::env::current_exe().expect("the path of this program");
    let release = example.ancestors().nth(2).expect("the folder of the build");
    release.join("eideryard")
}

fn config(discovery: SocketAddr, engines: &[SocketAddr]) -> Value {
    let host = |(number, address): (usize, &SocketAddr)| {
        json!({"host": format!("e-{number}"), "dial": address.to_string(), "site": "here", "class": "std",
               "block": 0, "health": "up", "share": 1, "born_ms": 0})
    };
    let hosts: Vec<Value> = engines.iter().enumerate().map(host).collect();
    let class = |name: &str, repeat: &str| {
        json!({"name": name, "aim-us": 500_000, "aim-stretch": 2.0, "deadline-us": 2_000_000, "value": 1.0,
               "repeat": repeat, "group": "all", "window-us": 15_000_000})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
        "bulletin": discovery.to_string(),
        "known": {"no": 1, "items": [{"no": 1, "roster": {"seq": 0, "whole": true, "hosts": hosts}}]},
        "settings": {
            "tick-us": 1000, "peers-total": 1, "az": 0, "zones": ["here"], "kinds": ["std"],
            "grades": [class("report", "pure"), class("load", "token")],
            "orgs": [{"name": "acme", "quota-rps": 1000.0}],
            "extra": {"kind-cores": [16], "kind-memory-mb": [16384], "threads-by-class": [1, 1],
                      "is-load": [false, false], "class-waits": [false, false], "largest-share": 0.4,
                      "note-period-us": 0, "bills": true},
            "limits": {"may-cancel": true, "may-duplicate": false, "probes": false, "retry-after": true,
                       "max-attempts": 3, "max-retry-after-us": 1_000_000, "conn-idle-us": 30_000_000,
                       "dial-timeout-us": 1_000_000, "streams-per-conn": 32},
            "rules": {"warm-within-us": 1_000_000, "start-capacity": 0.4, "fall-multiple": 3.0,
                      "fall-us": 1_000_000}
        }
    })
}
