//! Gateways as processes: started, told to end, killed, paused; what each start left behind.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::stall::StalledThread;
use rustix::process::{kill_process, Pid, Signal};
use tokio::time::{sleep, Instant};

/// How long a gateway may take to listen, and to end.
const PATIENCE: Duration = Duration::from_secs(20);
const LOOKS_EVERY: Duration = Duration::from_millis(5);

/// Gateways that a scenario starts: the program, and what more it is told.
#[derive(Clone, Debug, Default)]
pub struct Programs {
    /// The program.
    pub program: PathBuf,
    /// What it is told on its command line.
    pub arguments: Vec<String>,
    /// Environment variables beside the configuration's.
    pub variables: Vec<(String, String)>,
    /// Configurations and logs go there.
    pub directory: PathBuf,
}

/// How one start of a gateway ended.
#[derive(Clone, Debug)]
pub struct Ending {
    /// The gateway's name and the number of its start.
    pub name: String,
    /// What it logged.
    pub log: PathBuf,
    /// Processor time of all its threads.
    pub cpu: Duration,
    /// Its last counters, unless it was killed.
    pub counters: Option<BTreeMap<String, u64>>,
    /// It was told to end, or killed.
    pub was_requested: bool,
}

struct Running {
    child: Child,
    log: PathBuf,
    start: usize,
    /// It was told to end, or killed.
    wanted: bool,
    /// A thread of it that stands still.
    stalled: Option<StalledThread>,
}

/// All gateways that run, and how earlier starts ended.
#[derive(Default)]
pub struct Processes {
    running: BTreeMap<String, Running>,
    starts: BTreeMap<String, usize>,
    /// How starts ended, in that order.
    pub endings: Vec<Ending>,
}

impl Processes {
    /// Those that run.
    pub fn names(&self) -> Vec<String> {
        self.running.keys().cloned().collect()
    }

    /// Starts one and waits until it listens; gives its address and the number of this start.
    pub async fn start(
        &mut self,
        programs: &Programs,
        name: &str,
        config: &serde_json::Value,
        more: &[String],
    ) -> io::Result<(SocketAddr, usize)> {
        let start = self.starts.entry(name.to_string()).or_default();
        *start += 1;
        let start = *start;
        let path = configuration(programs, name, start);
        std::fs::write(&path, serde_json::to_string_pretty(config)?)?;
        let log = programs.directory.join(format!("{name}-{start}.log"));
        let child = Command::new(&programs.program)
            .args(&programs.arguments)
            .args(more)
            .env("EDGE_CONFIG", &path)
            .envs(programs.variables.iter().map(|(name, value)| (name, value)))
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()
            .map_err(|e| {
                io::Error::new(e.kind(), format!("{}: {e}", programs.program.display()))
            })?;
        self.running.insert(
            name.to_string(),
            Running {
                child,
                log: log.clone(),
                start,
                wanted: false,
                stalled: None,
            },
        );
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(address) = find(&log, "listens on ").and_then(|line| address(&line)) {
                return Ok((address, start));
            }
            let ended = match self.running.get_mut(name) {
                Some(running) => running.child.try_wait()?.is_some(),
                None => true,
            };
            if ended || Instant::now() > until {
                return Err(io::Error::other(format!(
                    "gateway {name} doesn't listen; see {}",
                    log.display()
                )));
            }
            sleep(LOOKS_EVERY).await;
        }
    }

    /// Puts another configuration in the place of the one that a gateway started with. It takes it
    /// up when it is told to.
    pub fn configure(
        &self,
        programs: &Programs,
        name: &str,
        config: &serde_json::Value,
    ) -> io::Result<()> {
        let start = self.running.get(name).map_or(0, |running| running.start);
        let path = configuration(programs, name, start);
        let new = path.with_extension("new");
        std::fs::write(&new, serde_json::to_string_pretty(config)?)?;
        std::fs::rename(new, path)
    }

    /// Where the gateways of its fleet reach one, as its log says.
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        let log = &self.running.get(name)?.log;
        find(log, "peers reach this gateway at ").and_then(|line| address(&line))
    }

    /// Holds one thread of a process until it is let go or ends.
    pub fn stall_thread(&mut self, name: &str, thread: &str) -> io::Result<()> {
        if let Some(running) = self
            .running
            .get_mut(name)
            .filter(|own| own.stalled.is_none())
        {
            running.stalled = StalledThread::stall(running.child.id(), thread)?;
        }
        Ok(())
    }

    /// Lets a stalled thread go on.
    pub fn resume_thread(&mut self, name: &str) {
        let stalled = self
            .running
            .get_mut(name)
            .and_then(|running| running.stalled.take());
        stalled.into_iter().for_each(StalledThread::resume);
    }

    /// Sends a signal to one that runs.
    pub fn signal(&mut self, name: &str, signal: Signal) {
        if let Some(running) = self.running.get_mut(name) {
            running.wanted |= signal == Signal::TERM || signal == Signal::KILL;
            // One that has ended already needs none.
            let _ = kill_process(Pid::from_child(&running.child), signal);
        }
    }

    /// It runs, and nobody told it to end.
    pub fn is_running(&self, name: &str) -> bool {
        self.running
            .get(name)
            .is_some_and(|running| !running.wanted)
    }

    /// Those that ended though nobody told them to.
    pub fn crashed(&mut self) -> Vec<String> {
        let ended = |running: &mut Running| matches!(running.child.try_wait(), Ok(Some(_)));
        let of = |(name, running): (&String, &mut Running)| {
            (!running.wanted && ended(running)).then(|| name.clone())
        };
        self.running.iter_mut().filter_map(of).collect()
    }

    /// Processor time of all threads of one that runs, by the system's own account.
    pub fn processor_time(&self, name: &str) -> Option<Duration> {
        processor_time(self.running.get(name)?.child.id())
    }

    /// Memory that one holds, by the system's own account.
    pub fn resident_bytes(&self, name: &str) -> Option<u64> {
        let process = self.running.get(name)?.child.id();
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kilobytes << 10)
    }

    /// Waits until one has ended, if it runs, and notes how. False: it had to be killed.
    pub async fn wait_for_end(&mut self, name: &str) -> io::Result<bool> {
        let Some(mut running) = self.running.remove(name) else {
            return Ok(true);
        };
        let until = Instant::now() + PATIENCE;
        let (mut cpu, mut by_itself) = (Duration::ZERO, true);
        // What is stalled ends with a kill, and else goes on, so that it can end by itself.
        match running.stalled.take() {
            Some(stalled) if running.wanted => stalled.resume_or_reap(),
            stalled => stalled.into_iter().for_each(StalledThread::resume),
        }
        while running.child.try_wait()?.is_none() {
            cpu = processor_time(running.child.id()).unwrap_or(cpu).max(cpu);
            if Instant::now() > until {
                running.child.kill()?;
                by_itself = false;
            }
            sleep(LOOKS_EVERY).await;
        }
        let counters = find(&running.log, "counters:").map(|line| counters(&line));
        let name = format!("{name}#{}", running.start);
        self.endings.push(Ending {
            name,
            log: running.log,
            cpu,
            counters,
            was_requested: running.wanted,
        });
        Ok(by_itself)
    }
}

/// Whatever ends a run early leaves no process behind.
impl Drop for Processes {
    fn drop(&mut self) {
        for running in self.running.values_mut() {
            // Those that have ended are waited for all the same.
            let _ = running.child.kill();
            running
                .stalled
                .take()
                .into_iter()
                .for_each(StalledThread::resume_or_reap);
            let _ = running.child.wait();
        }
    }
}

/// The file that one start of a gateway takes its configuration from.
fn configuration(programs: &Programs, name: &str, start: usize) -> PathBuf {
    programs.directory.join(format!("{name}-{start}.json"))
}

/// Of a process that still runs, by the system's own account.
fn processor_time(process: u32) -> Option<Duration> {
    let mut sum = 0;
    for task in std::fs::read_dir(format!("/proc/{process}/task")).ok()? {
        let told = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        sum += told.split(' ').next()?.parse::<u64>().ok()?;
    }
    Some(Duration::from_nanos(sum))
}

/// The last line of a log that holds a text.
fn find(log: &Path, text: &str) -> Option<String> {
    let lines = BufReader::new(File::open(log).ok()?)
        .lines()
        .map_while(Result::ok);
    lines.filter(|line| line.contains(text)).last()
}

fn address(line: &str) -> Option<SocketAddr> {
    line.split(' ')
        .filter_map(|word| word.trim_matches('"').parse().ok())
        .next_back()
}

/// The counters of a line that tells them, by name.
pub fn counters(line: &str) -> BTreeMap<String, u64> {
    let pairs = line
        .split([' ', ';'])
        .filter_map(|word| word.split_once('='));
    pairs
        .filter_map(|(name, value)| Some((name.to_string(), value.parse().ok()?)))
        .collect()
}
