//! Sizes of a scale run, and the check that they fit the machine.

use clap::Args;
use eideryard_peer_transport::limits::MAX_LINKS;
use thiserror::Error;

/// Maximum number of real gateways, which are the processes of a run.
pub const MAX_PROCESSES: usize = 300;
/// Fraction of the machine's memory that a run may take.
const MEMORY_SHARE: f64 = 0.5;
/// Upper estimates of the memory of a hollow gateway per engine, and of a real one without clients,
/// in bytes.
const HOLLOW_BYTES_AN_ENGINE: u64 = 2_000;
const REAL_BYTES: u64 = 24 << 20;
/// Upper estimate of the memory of a real gateway per idle client, in bytes.
const BYTES_A_CLIENT: u64 = 24_000;
/// Descriptors that this process needs in addition to those of clients and engine connections.
const SPARE_DESCRIPTORS: u64 = 512;
/// Upper estimate of the engine connections of a real gateway. They end in this process, which
/// emulates the engines.
const CONNECTIONS_A_GATEWAY: u64 = 128;

/// Descriptors of a hollow gateway with links: one per voter, of which there are 3, and two of its
/// thread.
const DESCRIPTORS_A_LINK: u64 = 5;
/// Engines per gateway in the target fleet.
pub const ENGINES_A_GATEWAY: f64 = 2.4;
/// Divisors of the number of list changes that give the numbers of configuration changes, by point
/// of their sweep.
const RELOAD_DIVISORS: [usize; 3] = [8, 4, 2];

/// Maximum seconds per point: a large run has some hundred points.
const MAX_SECONDS: f64 = 10.0;

/// Options of a scale run.
#[derive(Args, Clone, Debug)]
pub struct Sizes {
    /// Numbers of gateways in the fleet, each measured with the middle number of engines.
    #[arg(long, value_delimiter = ',', default_values_t = [17, 100, 200])]
    pub gateways: Vec<usize>,
    /// Numbers of engines in the fleet, each measured with a proportional number of gateways.
    #[arg(long, value_delimiter = ',', default_values_t = [8, 80, 400])]
    pub engines: Vec<usize>,
    /// Numbers of idle clients of one gateway.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 500])]
    pub clients: Vec<usize>,
    /// Rates of requests of one gateway, per second.
    #[arg(long, value_delimiter = ',', default_values_t = [50.0, 450.0])]
    pub rate: Vec<f64>,
    /// Number of changes of the endpoint list, each in its own event.
    #[arg(long, default_value_t = 20)]
    pub changes: usize,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of measurements of each point; at least 2.
    #[arg(long, default_value_t = 5)]
    pub repeats: usize,
    /// Number of real gateways at each point, each of which gives one repeat; 0 starts none.
    #[arg(long, default_value_t = 5)]
    pub real: usize,
    /// Number of hollow gateways in this process at each point.
    #[arg(long, default_value_t = 6)]
    pub hollow: usize,
    /// Number of hollow gateways that run at the same time as the real ones.
    #[arg(long, default_value_t = 20)]
    pub beside: usize,
    /// Seconds for which each point with real gateways is measured.
    #[arg(long, default_value_t = 0.3)]
    pub seconds: f64,
    /// Directory for plots; without it none are drawn.
    #[arg(long)]
    pub plots: Option<std::path::PathBuf>,
    /// The program to measure; by default that of this checkout, which is built first.
    #[arg(long)]
    pub program: Option<std::path::PathBuf>,
}

/// Resources of the machine that limit a run.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Total memory of the machine.
    pub memory_bytes: u64,
    /// Maximum number of open descriptors of this process.
    pub descriptors: u64,
}

/// Why sizes are rejected.
#[derive(Debug, Error, PartialEq)]
pub enum SizeError {
    /// A list of sizes is empty.
    #[error("--{0} is empty; give at least one size")]
    Empty(&'static str),
    /// A size is 0 or negative.
    #[error("--{flag} contains {value}, but sizes must be over 0; remove it")]
    NotPositive {
        /// Name of the option, without dashes.
        flag: &'static str,
        /// The rejected value.
        value: f64,
    },
    /// There are engines but no gateways.
    #[error(
        "--engines {engines} has no gateways, because --gateways contains 0; give at least one gateway"
    )]
    WithoutGateways {
        /// First number of engines given.
        engines: usize,
    },
    /// The time per point isn't positive or is too long.
    #[error("--seconds {0} is out of range; give more than 0 and at most {MAX_SECONDS}")]
    Seconds(f64),
    /// Too few repeats to measure a spread.
    #[error("--repeats {0} is too few to measure a spread; give at least 2")]
    Repeats(usize),
    /// Too many processes.
    #[error("--real {asked} processes exceed the limit of {limit}; give at most --real {limit}")]
    Processes {
        /// Number of processes given.
        asked: usize,
        /// Maximum number of processes.
        limit: usize,
    },
    /// The sizes need more memory than a run may take.
    #[error(
        "the sizes need about {needed_mb} MB, over the limit of {limit_mb} MB, half of the machine's memory; \
         give at most {hollow} for --hollow and --beside, or fewer --clients or --real"
    )]
    Memory {
        /// Memory that the sizes need.
        needed_mb: u64,
        /// The limit of memory.
        limit_mb: u64,
        /// Number of hollow gateways that fit.
        hollow: usize,
    },
    /// Links to voters need more descriptors than this process may have.
    #[error(
        "the links of --gateways need about {needed} descriptors, over the limit of {limit}; give at most \
         --gateways {gateways}, or raise the limit (ulimit -n)"
    )]
    LinkDescriptors {
        /// Number of descriptors that the sizes need.
        needed: u64,
        /// Number of descriptors that this process may have.
        limit: u64,
        /// Number of gateways that fit.
        gateways: u64,
    },
    /// Idle clients need more descriptors than this process may have.
    #[error(
        "the sizes need about {needed} descriptors, over the limit of {limit}; give at most --clients \
         {clients}, or raise the limit (ulimit -n)"
    )]
    Descriptors {
        /// Number of descriptors that the sizes need.
        needed: u64,
        /// Number of descriptors that this process may have.
        limit: u64,
        /// Number of idle clients that fit.
        clients: u64,
    },
}

impl Machine {
    /// Reads the limits of this machine from the operating system.
    pub fn read_limits() -> std::io::Result<Self> {
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
    /// Number of real gateways that get idle clients; each gives one repeat.
    pub fn gateways_with_clients(&self) -> usize {
        self.real.min(self.repeats)
    }

    /// Number of these gateways that can have `clients` idle clients at the same time, within the
    /// limit of descriptors; at least 1.
    pub fn gateways_with_clients_at_once(&self, machine: Machine, clients: usize) -> usize {
        let free = machine.descriptors.saturating_sub(self.fixed_descriptors());
        let at_once = free.checked_div(clients as u64).unwrap_or(u64::MAX);
        at_once.clamp(1, self.gateways_with_clients().max(1) as u64) as usize
    }

    /// Descriptors that this process needs for real gateways, whatever is measured.
    fn fixed_descriptors(&self) -> u64 {
        SPARE_DESCRIPTORS + (self.real as u64).max(1) * CONNECTIONS_A_GATEWAY
    }

    /// Numbers of configuration changes, one per point of their sweep.
    pub fn reloads(&self) -> [usize; 3] {
        RELOAD_DIVISORS.map(|divisor| (self.changes / divisor).max(1))
    }

    /// Rejects sizes that don't fit the machine, before anything starts.
    pub fn check(&self, machine: Machine) -> Result<(), SizeError> {
        self.check_numbers()?;
        if self.real > MAX_PROCESSES {
            return Err(SizeError::Processes {
                asked: self.real,
                limit: MAX_PROCESSES,
            });
        }
        let greatest = |sizes: &[usize]| sizes.iter().copied().max().unwrap_or(0) as u64;
        let (engines, clients) = (greatest(&self.engines), greatest(&self.clients));
        let idle_clients =
            clients * self.gateways_with_clients_at_once(machine, clients as usize) as u64;
        let real = self.real as u64 * (REAL_BYTES + engines * HOLLOW_BYTES_AN_ENGINE);
        let fixed = real + 2 * idle_clients * BYTES_A_CLIENT;
        let hollow = self.hollow.max(self.beside) as u64;
        let needed = fixed + hollow * engines * HOLLOW_BYTES_AN_ENGINE;
        let limit = (machine.memory_bytes as f64 * MEMORY_SHARE) as u64;
        if needed > limit {
            let each = (engines * HOLLOW_BYTES_AN_ENGINE).max(1);
            let hollow = (limit.saturating_sub(fixed) / each) as usize;
            return Err(SizeError::Memory {
                needed_mb: needed >> 20,
                limit_mb: limit >> 20,
                hollow,
            });
        }
        let fixed = self.fixed_descriptors();
        let (limit, free) = (
            machine.descriptors,
            machine.descriptors.saturating_sub(fixed),
        );
        let links = greatest(&self.gateways).min(MAX_LINKS as u64) * DESCRIPTORS_A_LINK;
        // Links to voters are closed before idle clients connect, so each is checked alone.
        if links > free && self.real > 0 {
            let gateways = free / DESCRIPTORS_A_LINK;
            return Err(SizeError::LinkDescriptors {
                needed: fixed + links,
                limit,
                gateways,
            });
        }
        if idle_clients > free {
            return Err(SizeError::Descriptors {
                needed: fixed + idle_clients,
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
