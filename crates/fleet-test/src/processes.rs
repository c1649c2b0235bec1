//! Gateway processes: starts and signals them, and collects the log and counters of each start.

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

/// How long a gateway may take to listen after its start, and to end after the signal.
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The program that gateways run, with arguments and environment common to all of them.
#[derive(Clone, Debug, Default)]
pub struct Programs {
    /// Path of the gateway program.
    pub program: PathBuf,
    /// Arguments on its command line.
    pub arguments: Vec<String>,
    /// Environment variables in addition to `EDGE_CONFIG`.
    pub variables: Vec<(String, String)>,
    /// Where configurations and logs are written.
    pub directory: PathBuf,
}

/// How one start of a gateway ended.
#[derive(Clone, Debug)]
pub struct Ending {
    /// The gateway's name and the number of its start, as `g1#2`.
    pub name: String,
    /// The log file of this start.
    pub log: PathBuf,
    /// CPU time of all its threads, as last measured before its end.
    pub cpu: Duration,
    /// The counters that it last logged, by name; `None` if it logged none.
    pub counters: Option<BTreeMap<String, u64>>,
    /// Whether the test stopped or killed it.
    pub was_requested: bool,
}

struct Running {
    child: Child,
    log: PathBuf,
    start: usize,
    /// Whether it was asked to stop, or killed.
    is_end_requested: bool,
    /// A thread of it that is stopped to emulate a hanging disk.
    stalled: Option<StalledThread>,
}

/// All running gateway processes, and how earlier ones ended.
#[derive(Default)]
pub struct Processes {
    running: BTreeMap<String, Running>,
    starts: BTreeMap<String, usize>,
    /// Ended processes, in the order of their ends.
    pub endings: Vec<Ending>,
}

impl Processes {
    /// The names of running gateways, sorted.
    pub fn names(&self) -> Vec<String> {
        self.running.keys().cloned().collect()
    }

    /// Starts a gateway and waits until it listens. Returns its address and the number of this
    /// start, from 1 on.
    pub async fn start(
        &mut self,
        programs: &Programs,
        name: &str,
        config: &serde_json::Value,
        extra_arguments: &[String],
    ) -> io::Result<(SocketAddr, usize)> {
        let start = self.starts.entry(name.to_string()).or_default();
        *start += 1;
        let start = *start;
        let path = config_path(programs, name, start);
        std::fs::write(&path, serde_json::to_string_pretty(config)?)?;
        let log = programs.directory.join(format!("{name}-{start}.log"));
        let child = Command::new(&programs.program)
            .args(&programs.arguments)
            .args(extra_arguments)
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
                is_end_requested: false,
                stalled: None,
            },
        );
        let until = Instant::now() + TIMEOUT;
        loop {
            if let Some(address) =
                last_line_with(&log, "listens on ").and_then(|line| parse_address(&line))
            {
                return Ok((address, start));
            }
            let ended = match self.running.get_mut(name) {
                Some(running) => running.child.try_wait()?.is_some(),
                None => true,
            };
            if ended || Instant::now() > until {
                return Err(io::Error::other(format!(
                    "gateway {name} doesn't listen after its start; see its log {}",
                    log.display()
                )));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Replaces the configuration file of a gateway. The gateway reads it when it gets the signal
    /// to reload.
    pub fn configure(
        &self,
        programs: &Programs,
        name: &str,
        config: &serde_json::Value,
    ) -> io::Result<()> {
        let start = self.running.get(name).map_or(0, |running| running.start);
        let path = config_path(programs, name, start);
        let new = path.with_extension("new");
        std::fs::write(&new, serde_json::to_string_pretty(config)?)?;
        std::fs::rename(new, path)
    }

    /// The address on which a gateway listens for its peers, as it logged it; `None` if it did not.
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        let log = &self.running.get(name)?.log;
        last_line_with(log, "peers reach this gateway at ").and_then(|line| parse_address(&line))
    }

    /// Stops one thread of a gateway until [`Self::resume_thread`] or the end of the process. Does
    /// nothing if a thread of it is stopped already.
    pub fn stall_thread(&mut self, name: &str, thread: &str) -> io::Result<()> {
        if let Some(running) = self
            .running
            .get_mut(name)
            .filter(|running| running.stalled.is_none())
        {
            running.stalled = StalledThread::stall(running.child.id(), thread)?;
        }
        Ok(())
    }

    /// Resumes the stopped thread of a gateway, if there is one.
    pub fn resume_thread(&mut self, name: &str) {
        let stalled = self
            .running
            .get_mut(name)
            .and_then(|running| running.stalled.take());
        stalled.into_iter().for_each(StalledThread::resume);
    }

    /// Sends a signal to a running gateway.
    pub fn signal(&mut self, name: &str, signal: Signal) {
        if let Some(running) = self.running.get_mut(name) {
            running.is_end_requested |= signal == Signal::TERM || signal == Signal::KILL;
            // Fails if the process has ended already, which is harmless.
            let _ = kill_process(Pid::from_child(&running.child), signal);
        }
    }

    /// Whether a gateway runs and was not asked to stop.
    pub fn is_running(&self, name: &str) -> bool {
        self.running
            .get(name)
            .is_some_and(|running| !running.is_end_requested)
    }

    /// Gateways that ended without being asked to stop.
    pub fn crashed(&mut self) -> Vec<String> {
        let has_ended = |running: &mut Running| matches!(running.child.try_wait(), Ok(Some(_)));
        let crashed = |(name, running): (&String, &mut Running)| {
            (!running.is_end_requested && has_ended(running)).then(|| name.clone())
        };
        self.running.iter_mut().filter_map(crashed).collect()
    }

    /// CPU time of all threads of a running gateway, from `/proc`.
    pub fn processor_time(&self, name: &str) -> Option<Duration> {
        processor_time(self.running.get(name)?.child.id())
    }

    /// Resident memory of a running gateway, from `/proc`.
    pub fn resident_bytes(&self, name: &str) -> Option<u64> {
        let process = self.running.get(name)?.child.id();
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kilobytes << 10)
    }

    /// Waits until a gateway has ended, if it runs, and adds it to [`Self::endings`]. Returns false
    /// if it had to be killed after the timeout.
    pub async fn wait_for_end(&mut self, name: &str) -> io::Result<bool> {
        let Some(mut running) = self.running.remove(name) else {
            return Ok(true);
        };
        let until = Instant::now() + TIMEOUT;
        let (mut cpu, mut ended_in_time) = (Duration::ZERO, true);
        // A process with a stopped thread can't end by itself, so the thread is resumed. A killed
        // process may be gone already.
        match running.stalled.take() {
            Some(stalled) if running.is_end_requested => stalled.resume_or_reap(),
            stalled => stalled.into_iter().for_each(StalledThread::resume),
        }
        while running.child.try_wait()?.is_none() {
            cpu = processor_time(running.child.id()).unwrap_or(cpu).max(cpu);
            if Instant::now() > until {
                running.child.kill()?;
                ended_in_time = false;
            }
            sleep(POLL_INTERVAL).await;
        }
        let counters = last_line_with(&running.log, "counters:").map(|line| counters(&line));
        let name = format!("{name}#{}", running.start);
        self.endings.push(Ending {
            name,
            log: running.log,
            cpu,
            counters,
            was_requested: running.is_end_requested,
        });
        Ok(ended_in_time)
    }
}

/// Kills all processes, so that a run that ends early leaves none behind.
impl Drop for Processes {
    fn drop(&mut self) {
        for running in self.running.values_mut() {
            // Fails if the process has ended; it is still waited for, to free its entry.
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

/// The configuration file of one start of a gateway.
fn config_path(programs: &Programs, name: &str, start: usize) -> PathBuf {
    programs.directory.join(format!("{name}-{start}.json"))
}

/// CPU time of a process from `/proc`; `None` once it has ended.
fn processor_time(process: u32) -> Option<Duration> {
    let mut sum = 0;
    for task in std::fs::read_dir(format!("/proc/{process}/task")).ok()? {
        let schedstat = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        sum += schedstat.split(' ').next()?.parse::<u64>().ok()?;
    }
    Some(Duration::from_nanos(sum))
}

/// The last line of a log that contains a text.
fn last_line_with(log: &Path, text: &str) -> Option<String> {
    let lines = BufReader::new(File::open(log).ok()?)
        .lines()
        .map_while(Result::ok);
    lines.filter(|line| line.contains(text)).last()
}

/// The last address in a line.
fn parse_address(line: &str) -> Option<SocketAddr> {
    line.split(' ')
        .filter_map(|word| word.trim_matches('"').parse().ok())
        .next_back()
}

/// Parses the `name=value` pairs of a log line; other words are ignored.
pub fn counters(line: &str) -> BTreeMap<String, u64> {
    let pairs = line
        .split([' ', ';'])
        .filter_map(|word| word.split_once('='));
    pairs
        .filter_map(|(name, value)| Some((name.to_string(), value.parse().ok()?)))
        .collect()
}
