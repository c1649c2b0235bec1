//! What a scenario says, as it was read.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// An engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Its name.
    pub name: String,
    /// Where it listens, if not at a port of the system's choice.
    pub listen: Option<SocketAddr>,
    /// Cores that its queries share.
    pub cores: u64,
    /// Memory that queries hold together.
    pub memory_mb: f64,
    /// Queries at once; more are answered busy.
    pub sessions: usize,
    /// Time from a start until it has all its cores.
    pub warm_up: Duration,
    /// Machine kind.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Its cell: engines of one know each other's keys in classes of that scope.
    pub cell: u64,
    /// A query whose connection ends runs on.
    pub finishes_orphans: bool,
}

/// Engines that drop a key's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// The gateway that a client comes again to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryTarget {
    /// Any of them.
    Any,
    /// The same one.
    Same,
    /// Another one.
    Other,
}

/// The directions of a link that a fault is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// Both.
    Both,
    /// From the first end to the second.
    Forward,
    /// From the second end to the first.
    Reverse,
}

/// Clients that ask at a rate.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// Its name.
    pub name: String,
    /// The gateway that it asks; none: each in turn.
    pub gateway: Option<String>,
    /// Class of its requests.
    pub class: String,
    /// Its tenant.
    pub tenant: String,
    /// Requests a second on average.
    pub rate: f64,
    /// When it begins.
    pub begin: Duration,
    /// When it ends, if not with the scenario.
    pub end: Option<Duration>,
    /// How long its clients wait.
    pub wait: Duration,
    /// Median work on one core.
    pub work: Duration,
    /// Median memory.
    pub memory_mb: f64,
    /// Sigma of the logarithm of both.
    pub spread: f64,
    /// Rows of a result.
    pub rows: u64,
    /// Connections that it spreads over.
    pub connections: usize,
    /// The address that it comes from.
    pub from: IpAddr,
    /// Tries more after a refusal.
    pub retries: u64,
    /// Part of its requests that it takes back soon after.
    pub forgets: f64,
    /// Tries more after a connection that ended or an answer that never came.
    pub returns: u64,
    /// The gateway that these go to.
    pub back: RetryTarget,
    /// Part of the tries more that say so.
    pub marked: f64,
    /// Part of the tries more that come before the advice is over.
    pub hasty: f64,
    /// Part of the tries more that come after the class's window.
    pub late: f64,
    /// Keys that it draws from; none: a new one each.
    pub keys: Option<u64>,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// What a repeat may do: `safe`, `keyed` or `unsafe`.
    pub effect: &'static str,
    /// Answers within this earn the full worth.
    pub aim: Duration,
    /// Threads that a query runs on.
    pub threads: u64,
    /// It holds its table group while it runs.
    pub is_load: bool,
    /// Engines that drop a key's repeats.
    pub scope: Scope,
    /// How long they remember it.
    pub window: Duration,
    /// Requests of one key run one at a time, in the order taken.
    pub ordered: bool,
}

/// A gateway.
#[derive(Clone, Debug)]
pub struct GatewaySpec {
    /// Its name.
    pub name: String,
    /// Limit on memory that it is told.
    pub memory_mb: u64,
    /// Limit on descriptors that it is told.
    pub sockets: u64,
    /// When it starts.
    pub start: Duration,
    /// Lines of its operator's file.
    pub operator: Vec<String>,
}

/// What happens at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// What, by its name.
    pub action: &'static str,
    /// Of queries that it strikes.
    pub share: f64,
    /// Engines or gateways, or the bulletin's new state.
    pub names: Vec<String>,
    /// For how long.
    pub lasts: Duration,
    /// Which directions of a link.
    pub way: LinkDirection,
    /// By how much, how often, or within what time.
    pub time: Duration,
    /// Bytes a second.
    pub bytes: u64,
}

impl Step {
    /// One that strikes everything it names, both ways, for an hour.
    pub fn new(at: Duration, action: &'static str, names: Vec<String>) -> Self {
        let (share, lasts, way) = (1.0, Duration::from_secs(3600), LinkDirection::Both);
        Step {
            at,
            action,
            share,
            names,
            lasts,
            way,
            time: Duration::ZERO,
            bytes: 0,
        }
    }
}

/// All that a scenario says.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// What all random numbers come of.
    pub seed: u64,
    /// How long it lasts.
    pub time: Duration,
    /// Where service discovery listens, if not at a port of the system's choice.
    pub bulletin: Option<SocketAddr>,
    /// Tenants with their quotas, in requests a second.
    pub tenants: Vec<(String, f64)>,
    /// Classes of requests.
    pub classes: Vec<ClassSpec>,
    /// Engines.
    pub engines: Vec<EngineSpec>,
    /// Gateways that are started.
    pub gateways: Vec<GatewaySpec>,
    /// Clients.
    pub loads: Vec<LoadSpec>,
    /// In the order of their times.
    pub steps: Vec<Step>,
}
