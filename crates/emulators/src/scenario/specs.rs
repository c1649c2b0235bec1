//! The parts of a scenario, as parsed from its text. A field whose directive is missing has the
//! default that the table of directives states.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// An engine of a scenario (`engine`, `engines`).
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name of the engine, unique in the scenario.
    pub name: String,
    /// The address at which the engine listens; `None` for a port that the system chooses.
    pub listen: Option<SocketAddr>,
    /// Number of cores, shared by its queries.
    pub cores: u64,
    /// Memory for all running queries together, in MB.
    pub memory_mb: f64,
    /// Maximum number of queries at a time; further queries are answered with `BUSY`.
    pub sessions: usize,
    /// Time from a start of the engine's process until all cores are available; zero if all cores
    /// are available at once.
    pub warm_up: Duration,
    /// The machine kind in the endpoint list.
    pub kind: String,
    /// The zone in the endpoint list.
    pub zone: String,
    /// The ID of the engine's cell: in classes with the scope `cell`, the engines of a cell share
    /// their record of idempotency keys.
    pub cell: u64,
    /// Whether a query is finished after its connection has closed (`orphans finish`).
    pub finishes_orphans: bool,
}

/// The engines that share their record of idempotency keys, and therefore drop each other's
/// repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// The gateway to which a client sends a retry after a lost connection (`back`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryTarget {
    /// A randomly chosen gateway.
    Any,
    /// The same gateway as before.
    Same,
    /// Another gateway if one can be reached.
    Other,
}

/// The direction of a link in which a fault applies (`way`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// Both directions.
    Both,
    /// From the first end named in the step to the second (`there`).
    Forward,
    /// From the second end named in the step to the first (`back`).
    Reverse,
}

/// Clients that send requests at a rate (`load`).
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// Name of the load, under which answers are counted.
    pub name: String,
    /// The gateway to which the load sends requests; `None` for all gateways.
    pub gateway: Option<String>,
    /// The class of its requests.
    pub class: String,
    /// The tenant of its requests.
    pub tenant: String,
    /// Average number of requests per second.
    pub rate: f64,
    /// Time in the scenario at which the load begins.
    pub begin: Duration,
    /// Time in the scenario at which the load ends; `None` for the end of the scenario.
    pub end: Option<Duration>,
    /// The clients' timeout.
    pub wait: Duration,
    /// Median work of a query, as time on one core.
    pub work: Duration,
    /// Median memory of a query, in MB.
    pub memory_mb: f64,
    /// Standard deviation of the logarithms of work and memory.
    pub spread: f64,
    /// Number of rows of each result.
    pub rows: u64,
    /// Number of connections over which the requests are distributed.
    pub connections: usize,
    /// The local address of the load's connections, in 127.0.0.0/8.
    pub from: IpAddr,
    /// Maximum number of retries after rejections.
    pub retries: u64,
    /// Fraction of the requests that are cancelled shortly after they are sent.
    pub forgets: f64,
    /// Maximum number of retries after lost connections and missing answers.
    pub returns: u64,
    /// The gateway to which these retries are sent.
    pub back: RetryTarget,
    /// Fraction of the retries that are marked as such.
    pub marked: f64,
    /// Fraction of the retries after rejections that are sent before the time given by the
    /// retry-after hint.
    pub hasty: f64,
    /// Fraction of the retries that are sent after the class's window has passed.
    pub late: f64,
    /// Number of idempotency keys from which each request draws one; `None` for a new key per
    /// request.
    pub keys: Option<u64>,
}

/// A class of requests (`class`).
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// Name of the class, as requests and the gateways' settings use it.
    pub name: String,
    /// What a repeated request may cause: `safe` (nothing), `keyed` (nothing if it has the same
    /// idempotency key) or `unsafe` (a second effect).
    pub effect: &'static str,
    /// The gateways' latency target: an answer within this time has its full value.
    pub aim: Duration,
    /// Number of threads of a query.
    pub threads: u64,
    /// Whether its queries are loads, which lock their table group while they run.
    pub is_load: bool,
    /// The engines that drop repeats of a key.
    pub scope: Scope,
    /// How long engines retain a key.
    pub window: Duration,
    /// Whether requests with the same key run one at a time, in the order of their acceptance.
    pub ordered: bool,
}

/// A gateway that is started (`gateway`).
#[derive(Clone, Debug)]
pub struct GatewaySpec {
    /// Name of the gateway, unique in the scenario.
    pub name: String,
    /// The memory limit in its configuration, in MB.
    pub memory_mb: u64,
    /// The limit on file descriptors in its configuration.
    pub sockets: u64,
    /// Time in the scenario at which the gateway starts.
    pub start: Duration,
    /// Lines of the gateway's operator's file; `{directory}` is replaced by the gateway's own
    /// directory.
    pub operator: Vec<String>,
}

/// An action at a time of the scenario (`at`).
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time in the scenario at which the action happens.
    pub at: Duration,
    /// The name of the action's directive, such as `kill`.
    pub action: &'static str,
    /// Fraction of the queries that fail, for `errors`.
    pub share: f64,
    /// Names of engines, gateways or ends of links, or the bulletin's new state.
    pub names: Vec<String>,
    /// How long the fault lasts (`for`).
    pub lasts: Duration,
    /// The direction in which the fault of a link applies (`way`).
    pub way: LinkDirection,
    /// The delay (`by`), interval (`every`) or maximum duration (`within`) of the action.
    pub time: Duration,
    /// Bytes per second, for `link-throttle`.
    pub bytes: u64,
}

impl Step {
    /// Creates a step; fields that are not passed get their defaults: all queries, one hour, both
    /// directions.
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

/// A scenario: the parts of a run and the faults that are caused in it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed of all random numbers.
    pub seed: u64,
    /// How long the loads run; zero if they run until the process is stopped.
    pub time: Duration,
    /// The address of service discovery; `None` for a port that the system chooses.
    pub bulletin: Option<SocketAddr>,
    /// Tenants and their quotas across all gateways, in requests per second.
    pub tenants: Vec<(String, f64)>,
    /// Classes of requests; at least one.
    pub classes: Vec<ClassSpec>,
    /// Engines, in the order of the scenario.
    pub engines: Vec<EngineSpec>,
    /// Gateways, in the order of the scenario.
    pub gateways: Vec<GatewaySpec>,
    /// Loads of clients, in the order of the scenario.
    pub loads: Vec<LoadSpec>,
    /// Actions, in the order of their times.
    pub steps: Vec<Step>,
}
