//! Starts a real gateway with the `run` command of the deploy file, and ends it.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::record::Record;

/// A folder of the case, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|e| e.to_string())?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A gateway process. It is killed when this is dropped.
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
}

/// Reads the `run` command from deploy/balancer.toml.
fn run_command(root: &Path) -> Result<String, String> {
    let path = root.join("deploy/balancer.toml");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let line = text.lines().find(|line| line.starts_with("run "));
    let command = line.and_then(|line| line.split('"').nth(1));
    command
        .map(str::to_string)
        .ok_or_else(|| "the deploy file has no run".into())
}

impl Gateway {
    /// Starts a gateway and waits until it is ready. `operator` is the text of the operator's file,
    /// empty for none.
    pub fn start(
        name: &str,
        config: &str,
        operator: &str,
        folder: &Folder,
        record: &Record,
    ) -> Result<Self, String> {
        let root = PathBuf::from(std::env::var("ROOT").map_err(|_| "ROOT is not set")?);
        let config_path = folder.0.join(format!("{name}.json"));
        std::fs::write(&config_path, config).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_command(&root)?])
            .current_dir(&root)
            .env("EDGE_NAME", name)
            .env("EDGE_CONFIG", &config_path)
            .env("TMPDIR", &folder.0)
            .env_remove("EIDERYARD_OPERATOR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        if !operator.is_empty() {
            let path = folder.0.join(format!("{name}.conf"));
            std::fs::write(&path, operator).map_err(|e| e.to_string())?;
            command.env("EIDERYARD_OPERATOR", &path);
        }
        let mut child = command.spawn().map_err(|e| e.to_string())?;
        crate::RUNNING.lock().unwrap().push(child.id());
        let log = child.stderr.take().ok_or("no log")?;
        let (sender, addresses) = channel();
        let (log_name, log_record) = (name.to_string(), record.clone());
        std::thread::spawn(move || {
            let mut rejections = 0;
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                // Gateways with different keepers log several of these a second.
                rejections += u32::from(line.contains(" rejected: "));
                if line.contains(" rejected: ") && rejections > 4 {
                    continue;
                }
                if line.contains("listens on ") {
                    let _ = sender.send(line.rsplit(' ').next().unwrap_or("").to_string());
                }
                log_record.line(&format!("log of {log_name}: {line}"));
            }
        });
        let mut gateway = Gateway {
            name: name.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            child,
        };
        let address = addresses.recv_timeout(Duration::from_secs(15));
        let address = address.map_err(|_| format!("{name} did not start"))?;
        gateway.address = address
            .parse()
            .map_err(|_| format!("{name}: address '{address}'"))?;
        let until = Instant::now() + Duration::from_secs(15);
        loop {
            if let Ok(mut client) = Client::connect("front", gateway.address, record) {
                if client.is_well() == Ok(true) {
                    break;
                }
            }
            if Instant::now() > until {
                return Err(format!("{name} is not ready"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        record.line(&format!("gateway {name} is ready at {}", gateway.address));
        Ok(gateway)
    }

    /// The number of the process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as TERM.
    pub fn signal(&self, signal: &str) {
        let number = self.child.id().to_string();
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{signal} {number}")])
            .status();
        let _ = std::io::stdout().flush();
    }
}

impl Gateway {
    /// Ends the process at once (SIGKILL).
    pub fn kill(self) {
        drop(self);
    }

    /// Restarts begin like this: SIGTERM, and SIGKILL only if the process has not ended long after.
    pub fn stop(mut self) {
        self.signal("TERM");
        let until = Instant::now() + Duration::from_secs(6);
        while Instant::now() < until && matches!(self.child.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        crate::RUNNING.lock().unwrap().retain(|other| *other != id);
    }
}

/// The configuration of one gateway. `settings` and `hosts` are JSON.
pub fn config(name: &str, bulletin: SocketAddr, hosts: &[String], settings: &str) -> String {
    config_at(
        name,
        SocketAddr::from(([127, 0, 0, 1], 0)),
        bulletin,
        hosts,
        settings,
    )
}

/// Returns loopback addresses that nobody uses now.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, String> {
    let bind = |_| std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string());
    let listeners = (0..count).map(bind).collect::<Result<Vec<_>, _>>()?;
    let address = |listener: &std::net::TcpListener| listener.local_addr();
    listeners
        .iter()
        .map(address)
        .collect::<Result<_, _>>()
        .map_err(|e| e.to_string())
}

/// The configuration of one gateway that listens at an address.
pub fn config_at(
    name: &str,
    listen: SocketAddr,
    bulletin: SocketAddr,
    hosts: &[String],
    settings: &str,
) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"bulletin":"{bulletin}",
"known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":0,"whole":true,"hosts":[{}]}}}}]}},
"settings":{settings}}}"#,
        hosts.join(",\n")
    )
}
