//! The gateway as a process, started with the command of the deploy file, and the bulletin.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Answer, Client};
use crate::record::Record;

/// An address on loopback that is free now.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The bulletin: an event stream that has nothing to tell beyond the events that the configuration
/// holds under `known`, with a comment each second.
pub struct Bulletin {
    pub address: SocketAddr,
}

impl Bulletin {
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let record = record.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let record = record.clone();
                thread::spawn(move || {
                    let name = format!("bulletin, connection {}", number + 1);
                    let _ = serve_bulletin(&name, &record, stream);
                    record.line(&format!("{name}: over"));
                });
            }
        });
        Ok(Bulletin { address })
    }
}

fn serve_bulletin(name: &str, record: &Record, mut stream: TcpStream) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if line.to_ascii_lowercase().starts_with("last-event-id:") {
            record.line(&format!("{name}: {line}"));
        }
    }
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    stream.write_all(head.as_bytes()).ok()?;
    loop {
        stream.write_all(b": nothing new\n\n").ok()?;
        thread::sleep(Duration::from_secs(1));
    }
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> std::io::Result<Self> {
        let name = format!(
            "review-case-2-{}-{}",
            std::process::id(),
            crate::record::unix_ms()
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        LEFT.lock().unwrap().1.push(path.clone());
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What a gateway is started with.
pub struct Start {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub config: String,
    pub operator: String,
}

impl Start {
    fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }

    /// The last lines of the gateway's log.
    pub fn log_end(&self) -> String {
        let log = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(12)..].join("\n")
    }
}

pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    name: String,
    record: Record,
}

impl Gateway {
    /// Starts the program with `run` of the deploy file and waits until it says that it is well.
    pub fn start(start: &Start, record: &Record) -> std::io::Result<Self> {
        let config = start.folder.join(format!("{}.json", start.name));
        std::fs::write(&config, &start.config)?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(start.log_path())?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", "exec target/release/eideryard"])
            .current_dir(&start.root)
            .env("EDGE_NAME", &start.name)
            .env("EDGE_LISTEN", start.listen.to_string())
            .env("EDGE_CONFIG", &config)
            .env_remove("EIDERYARD_OPERATOR")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        if !start.operator.is_empty() {
            let operator = start.folder.join(format!("{}.conf", start.name));
            std::fs::write(&operator, &start.operator)?;
            command.env("EIDERYARD_OPERATOR", operator);
        }
        let child = command.spawn()?;
        LEFT.lock().unwrap().0.push(child.id());
        record.line(&format!("gateway {} is started", start.name));
        let mut gateway = Gateway {
            child,
            address: start.listen,
            name: start.name.clone(),
            record: record.clone(),
        };
        if gateway.wait_until_well(Duration::from_secs(20)) {
            Ok(gateway)
        } else {
            Err(std::io::Error::other(format!(
                "not well: {}",
                start.log_end()
            )))
        }
    }

    fn wait_until_well(&mut self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            if self.is_well() {
                return true;
            }
            if !self.is_running() {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn is_well(&self) -> bool {
        let Ok(mut client) = Client::connect(self.address) else {
            return false;
        };
        let asked = client.ask(1, "isWell", &[]);
        asked.is_ok()
            && matches!(
                client.answer(Duration::from_secs(1)),
                Ok(Some((_, Answer::Health(true))))
            )
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal with the shell's own `kill`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {}", self.child.id())])
            .status();
        let result = if status.is_ok_and(|status| status.success()) {
            ""
        } else {
            " (failed)"
        };
        self.record
            .line(&format!("gateway {} gets SIG{name}{result}", self.name));
    }

    /// Kills the process; dropping it waits for its end.
    pub fn kill(self) {
        self.signal("KILL");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        if let Ok(mut left) = LEFT.lock() {
            left.0.retain(|other| *other != id);
        }
    }
}

/// Starts the other gateways of a deployment, which no client of the case uses. `start_of` says what
/// the one with this index is started with.
pub fn start_others(
    count: u32,
    record: &Record,
    start_of: impl Fn(u32) -> std::io::Result<Start>,
) -> std::io::Result<Vec<Gateway>> {
    (1..count)
        .map(|index| Gateway::start(&start_of(index)?, record))
        .collect()
}

/// Processes that run and folders that exist, for an end that drops nothing.
static LEFT: Mutex<(Vec<u32>, Vec<PathBuf>)> = Mutex::new((Vec::new(), Vec::new()));

/// Ends all processes and removes all folders of this run.
pub fn clean_up() {
    let Ok(mut left) = LEFT.lock() else {
        return;
    };
    for id in left.0.drain(..) {
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -KILL {id}")])
            .status();
    }
    for folder in left.1.drain(..) {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// The root of the repository: the folder above `review`.
pub fn root_of(case: &Path) -> PathBuf {
    case.join("../..")
        .canonicalize()
        .unwrap_or_else(|_| PathBuf::from("."))
}
