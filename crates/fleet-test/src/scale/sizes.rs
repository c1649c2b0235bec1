//! Sizes of a scale run, and what of them the machine can't carry.

use clap::Args;
use eideryard_peer_transport::limits::MAX_LINKS;
use thiserror::Error;

/// Processes of a run in all: the real gateways, at the most.
pub const MAX_PROCESSES: usize = 300;
/// Part of the machine's memory that a run may take.
const MEMORY_PART: f64 = 0.5;
/// Bytes of a hollow gateway for each engine, and of a real one beside its clients: above what was
/// measured.
const HOLLOW_BYTES_AN_ENGINE: u64 = 2_000;
const REAL_BYTES: u64 = 24 << 20;
/// Bytes of a real gateway for each idle client, above what was measured.
const BYTES_A_CLIENT: u64 = 24_000;
/// Descriptors that this process needs beside one for each client and its connections to gateways.
const SPARE_DESCRIPTORS: u64 = 512;
/// Engines of a size whose connections end in this process, for each real gateway.
const CONNECTIONS_A_GATEWAY: u64 = 128;

/// Descriptors of a hollow gateway that holds links: one for each keeper and two of its thread.
const DESCRIPTORS_A_LINK: u64 = 5;
/// Engines for each gateway, as the target has them.
pub const ENGINES_A_GATEWAY: f64 = 2.4;
/// Parts of the list's changes as which the configuration changes.
const RELOAD_PARTS: [usize; 3] = [8, 4, 2];

/// Seconds for which a point is measured, at the most: the large form has some hundred of them.
const MAX_SECONDS: f64 = 10.0;

/// What a run is asked to play.
#[derive(Args, Clone, Debug)]
pub struct Sizes {
    /// Gateways of the fleet, at the middle number of engines.
    #[arg(long, value_delimiter = ',', default_values_t = [17, 100, 200])]
    pub gateways: Vec<usize>,
    /// Engines of the fleet, with gateways in proportion.
    #[arg(long, value_delimiter = ',', default_values_t = [8, 80, 400])]
    pub engines: Vec<usize>,
    /// Idle clients of one gateway.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 500])]
    pub clients: Vec<usize>,
    /// Requests a second of one gateway.
    #[arg(long, value_delimiter = ',', default_values_t = [50.0, 450.0])]
    pub rate: Vec<f64>,
    /// Changes of the list of engines, each an event of its own.
    #[arg(long, default_value_t = 20)]
    pub changes: usize,
    /// What all random numbers come of.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Measurements of each point.
    #[arg(long, default_value_t = 5)]
    pub repeats: usize,
    /// Real gateways at each point; each is a repeat. 0: none are started.
    #[arg(long, default_value_t = 5)]
    pub real: usize,
    /// Hollow gateways in this process at each point.
    #[arg(long, default_value_t = 6)]
    pub hollow: usize,
    /// Hollow gateways that stand side by side beside the real ones.
    #[arg(long, default_value_t = 20)]
    pub beside: usize,
    /// Seconds for which a real point is measured.
    #[arg(long, default_value_t = 0.3)]
    pub seconds: f64,
    /// Where plots go; without it none are drawn.
    #[arg(long)]
    pub plots: Option<std::path::PathBuf>,
    /// The program that is measured; without it the one of this checkout, which is built first.
    #[arg(long)]
    pub program: Option<std::path::PathBuf>,
}

/// What the machine gives.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Memory in all.
    pub memory_bytes: u64,
    /// Descriptors that this process may have.
    pub descriptors: u64,
}

/// Why sizes can't be played.
#[derive(Debug, Error, PartialEq)]
pub enum SizeError {
    /// A list of sizes is empty.
    #[error("--{0} names no size; give at least one")]
    Empty(&'static str),
    /// A size is nothing.
    #[error("--{flag} has {value}, which must be over 0; take it out")]
    NotPositive {
        /// The flag.
        flag: &'static str,
        /// Its value.
        value: f64,
    },
    /// Nobody uses the engines.
    #[error(
        "--engines {engines} has no gateways: --gateways is 0 there; give at least one gateway"
    )]
    WithoutGateways {
        /// Engines that were asked for.
        engines: usize,
    },
    /// A point lasts no time, or too long.
    #[error("--seconds {0} is out of bounds; ask for more than 0 and {MAX_SECONDS} at the most")]
    Seconds(f64),
    /// Too few for a spread.
    #[error("--repeats {0} is too few for a spread; ask for at least 2")]
    Repeats(usize),
    /// Too many processes.
    #[error("--real {asked} processes are over the limit of {limit}; ask for --real {limit} at the most")]
    Processes {
        /// Processes that were asked for.
        asked: usize,
        /// The most there may be.
        limit: usize,
    },
    /// More memory than a run may take.
    #[error(
        "the sizes take about {asked_mb} MB, over the limit of {limit_mb} MB, half of the machine's memory; \
         ask for {hollow} or fewer as --hollow and --beside, or for fewer --clients or --real"
    )]
    Memory {
        /// Memory that the sizes take.
        asked_mb: u64,
        /// The most that they may.
        limit_mb: u64,
        /// Hollow gateways that fit.
        hollow: usize,
    },
    /// Links to voters take more descriptors than this process may have.
    #[error(
        "the links of --gateways take about {asked} descriptors, over the limit of {limit}; ask for \
         --gateways {gateways} or fewer, or raise the limit (ulimit -n)"
    )]
    LinkDescriptors {
        /// Descriptors that the sizes take.
        asked: u64,
        /// The most that they may.
        limit: u64,
        /// Gateways that fit.
        gateways: u64,
    },
    /// More descriptors than this process may have.
    #[error(
        "the sizes take about {asked} descriptors, over the limit of {limit}; ask for --clients {clients} or \
         fewer, or raise the limit (ulimit -n)"
    )]
    Descriptors {
        /// Descriptors that the sizes take.
        asked: u64,
        /// The most that they may.
        limit: u64,
        /// Idle clients that fit.
        clients: u64,
    },
}

impl Machine {
    /// This machine, by the system's own account.
    pub fn own() -> std::io::Result<Self> {
        let text = std::fs::read_to_string("/proc/meminfo")?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("MemTotal:"))
            .unwrap_or("0 kB");
        let kilobytes: u64 = line
            .trim()
            .trim_end_matches(" kB")
            .parse()
            .map_err(std::io::Error::other)?;
        let limits = rustix::process::getrlimit(rustix::process::Resource::Nofile);
        Ok(Machine {
            memory_bytes: kilobytes << 10,
            descriptors: limits.current.unwrap_or(u64::MAX),
        })
    }
}

impl Sizes {
    /// Real gateways that clients rest at, each a repeat.
    pub fn gateways_with_clients(&self) -> usize {
        self.real.min(self.repeats)
    }

    /// At how many of these so many clients rest at one time, as the descriptors allow.
    pub fn resting_at_once(&self, machine: Machine, clients: usize) -> usize {
        let free = machine.descriptors.saturating_sub(self.fixed_descriptors());
        let at_once = free.checked_div(clients as u64).unwrap_or(u64::MAX);
        at_once.clamp(1, self.gateways_with_clients().max(1) as u64) as usize
    }

    /// Descriptors that real gateways take in this process whatever is measured.
    fn fixed_descriptors(&self) -> u64 {
        SPARE_DESCRIPTORS + (self.real as u64).max(1) * CONNECTIONS_A_GATEWAY
    }

    /// Changes of the configuration, by point of their sweep.
    pub fn reloads(&self) -> [usize; 3] {
        RELOAD_PARTS.map(|part| (self.changes / part).max(1))
    }

    /// Turns away what can't be played, before anything starts.
    pub fn check(&self, machine: Machine) -> Result<(), SizeError> {
        self.check_numbers()?;
        if self.real > MAX_PROCESSES {
            return Err(SizeError::Processes {
                asked: self.real,
                limit: MAX_PROCESSES,
            });
        }
        let most = |sizes: &[usize]| sizes.iter().copied().max().unwrap_or(0) as u64;
        let (engines, clients) = (most(&self.engines), most(&self.clients));
        let resting = clients * self.resting_at_once(machine, clients as usize) as u64;
        let real = self.real as u64 * (REAL_BYTES + engines * HOLLOW_BYTES_AN_ENGINE);
        let fixed = real + 2 * resting * BYTES_A_CLIENT;
        let hollow = self.hollow.max(self.beside) as u64;
        let asked = fixed + hollow * engines * HOLLOW_BYTES_AN_ENGINE;
        let limit = (machine.memory_bytes as f64 * MEMORY_PART) as u64;
        if asked > limit {
            let each = (engines * HOLLOW_BYTES_AN_ENGINE).max(1);
            let hollow = (limit.saturating_sub(fixed) / each) as usize;
            return Err(SizeError::Memory {
                asked_mb: asked >> 20,
                limit_mb: limit >> 20,
                hollow,
            });
        }
        let fixed = self.fixed_descriptors();
        let (limit, free) = (
            machine.descriptors,
            machine.descriptors.saturating_sub(fixed),
        );
        let links = most(&self.gateways).min(MAX_LINKS as u64) * DESCRIPTORS_A_LINK;
        // Links to voters have ended before clients rest.
        if links > free && self.real > 0 {
            let gateways = free / DESCRIPTORS_A_LINK;
            return Err(SizeError::LinkDescriptors {
                asked: fixed + links,
                limit,
                gateways,
            });
        }
        if resting > free {
            return Err(SizeError::Descriptors {
                asked: fixed + resting,
                limit,
                clients: free,
            });
        }
        Ok(())
    }

    fn check_numbers(&self) -> Result<(), SizeError> {
        let lengths = [
            ("gateways", self.gateways.len()),
            ("engines", self.engines.len()),
            ("clients", self.clients.len()),
            ("rate", self.rate.len()),
        ];
        if let Some((flag, _)) = lengths.iter().find(|(_, length)| *length == 0) {
            return Err(SizeError::Empty(flag));
        }
        if self.gateways.contains(&0) {
            return Err(SizeError::WithoutGateways {
                engines: self.engines[0],
            });
        }
        if let Some(&value) = self
            .rate
            .iter()
            .find(|rate| **rate <= 0.0 || !rate.is_finite())
        {
            return Err(SizeError::NotPositive {
                flag: "rate",
                value,
            });
        }
        if self.engines.contains(&0) {
            return Err(SizeError::NotPositive {
                flag: "engines",
                value: 0.0,
            });
        }
        if !(self.seconds > 0.0 && self.seconds <= MAX_SECONDS) {
            return Err(SizeError::Seconds(self.seconds));
        }
        if self.hollow == 0 {
            return Err(SizeError::NotPositive {
                flag: "hollow",
                value: 0.0,
            });
        }
        if self.repeats < 2 {
            return Err(SizeError::Repeats(self.repeats));
        }
        Ok(())
    }
}
