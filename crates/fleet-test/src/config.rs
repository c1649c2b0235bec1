//! The configuration of a scenario's gateways, as the platform would provide it, and the limits in
//! it that the checks use too.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use eideryard_emulators::scenario::{EngineSpec, Scenario, Scope};
use serde_json::{json, Value};

/// Capacity of an engine at the start of its slow start, as a part of its full capacity.
pub const START_CAPACITY: f64 = 0.4;
/// Work that an engine in slow start may be sent per [`FALL_WINDOW`], as a multiple of its present
/// capacity.
pub const FALL_MULTIPLE: f64 = 3.0;
/// The time over which the work sent to an engine in slow start is summed.
pub const FALL_WINDOW: Duration = Duration::from_secs(1);
/// No new request goes to an engine later than this after its drain was announced.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// No request of an ordered class goes out for this time after a timeout, reset or cancellation of
/// an earlier one with the same key.
pub const ORDER_PAUSE: Duration = Duration::from_millis(500);

/// An item of the endpoint list: an engine as service discovery announces it.
pub struct ListedEngine<'a> {
    /// Unique name of the engine, `host` in the list.
    pub name: &'a str,
    /// Address that gateways dial, as `IP:PORT`.
    pub address: &'a str,
    /// Name of its availability zone, `site` in the list.
    pub zone: &'a str,
    /// Name of its machine kind, `class` in the list.
    pub kind: &'a str,
    /// Number of its cell, `block` in the list: engines of a cell share the memory of keys.
    pub cell: u64,
    /// `up`, `draining` or `removed`.
    pub health: &'a str,
    /// When it started, in Unix milliseconds; 0 for long ago: it is warm.
    pub born_ms: u64,
}

impl ListedEngine<'_> {
    /// Encodes the item as service discovery sends it.
    pub fn item(&self) -> Value {
        json!({"host": self.name, "dial": self.address, "site": self.zone, "class": self.kind,
               "block": self.cell, "health": self.health, "share": 1, "born_ms": self.born_ms})
    }
}

/// Addresses and the initial endpoint list for a gateway's configuration.
pub struct GatewayInputs {
    /// The address on which the gateway listens for clients.
    pub listen: SocketAddr,
    /// The address at which the gateway reaches service discovery.
    pub bulletin: SocketAddr,
    /// The endpoint list at the start of the gateway, in service discovery's format.
    pub endpoint_list: Value,
}

/// Builds the configuration of the gateway `name`. A gateway that the scenario doesn't contain gets
/// default limits.
#[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn config(scenario: &Scenario, name: &str, inputs: GatewayInputs) -> Value {
    let gateway_spec = scenario
        .gateways
        .iter()
        .find(|gateway| gateway.name == name);
    let classes = &scenario.classes;
    let longest_wait = scenario
        .loads
        .iter()
        .map(|load| load.wait)
        .max()
        .unwrap_or(Duration::from_secs(5));
    let repeat = |effect| match effect {
        "keyed" => "token",
        "unsafe" => "side_effect",
        _ => "pure",
    };
    let group = |scope| match scope {
        Scope::All => "all",
        Scope::Zone => "zone",
        Scope::Cell => "cell",
    };
    let grades: Vec<Value> = classes
        .iter()
        .map(|class| {
            json!({"name": class.name, "aim-us": class.aim.as_micros() as u64, "aim-stretch": 2.0,
                   "deadline-us": longest_wait.as_micros() as u64, "value": 1.0,
                   "repeat": repeat(class.effect), "sequential": class.ordered,
                   "group": group(class.scope), "window-us": class.window.as_micros() as u64})
        })
        .collect();
    let distinct = |field: fn(&EngineSpec) -> &String| {
        let names: BTreeSet<_> = scenario.engines.iter().map(field).collect();
        names.into_iter().cloned().collect::<Vec<_>>()
    };
    let (kinds, zones) = (
        distinct(|engine| &engine.kind),
        distinct(|engine| &engine.zone),
    );
    let first_of_kind = |kind: &String| scenario.engines.iter().find(|engine| engine.kind == *kind);
    let cores: Vec<u64> = kinds
        .iter()
        .filter_map(first_of_kind)
        .map(|engine| engine.cores)
        .collect();
    let memory: Vec<f64> = kinds
        .iter()
        .filter_map(first_of_kind)
        .map(|engine| engine.memory_mb)
        .collect();
    let warm = scenario
        .engines
        .iter()
        .map(|engine| engine.warm_up)
        .max()
        .unwrap_or_default();
    let orgs: Vec<Value> = scenario
        .tenants
        .iter()
        .map(|(name, quota)| json!({"name": name, "quota-rps": quota}))
        .collect();
    json!({
        "name": name, "listen": inputs.listen.to_string(), "seed": format!("{:016x}", scenario.seed),
        "limits": {"cores": 1.0, "memory_mb": gateway_spec.map_or(192, |gateway_spec| gateway_spec.memory_mb),
                   "sockets": gateway_spec.map_or(1024, |gateway_spec| gateway_spec.sockets)},
        "bulletin": inputs.bulletin.to_string(),
        "known": inputs.endpoint_list,
        "settings": {
            "tick-us": 1000, "peers-total": scenario.gateways.len().max(1), "az": 0,
            "zones": zones, "kinds": kinds, "grades": grades, "orgs": orgs,
            "extra": {"kind-cores": cores, "kind-memory-mb": memory,
                      "threads-by-class": classes.iter().map(|class| class.threads).collect::<Vec<_>>(),
                      "is-load": classes.iter().map(|class| class.is_load).collect::<Vec<_>>(),
                      "class-waits": vec![false; classes.len()],
                      "largest-share": 0.4, "note-period-us": 500_000, "bills": true},
            "report": {"fields": ["concurrent", "depth", "load_share"], "source": "inline"},
            "limits": {"may-cancel": true, "may-duplicate": false, "probes": true, "retry-after": true,
                       "max-attempts": 5, "max-retry-after-us": 1_000_000, "conn-idle-us": 30_000_000,
                       "dial-timeout-us": 250_000, "streams-per-conn": 32},
            "rules": {"warm-within-us": warm.as_micros() as u64, "start-capacity": START_CAPACITY,
                      "fall-multiple": FALL_MULTIPLE, "fall-us": FALL_WINDOW.as_micros() as u64,
                      "further-ratio": 0.2, "ratio-span-us": 10_000_000, "spare-attempts": 10,
                      "order-pause-us": ORDER_PAUSE.as_micros() as u64,
                      "drain-grace-us": DRAIN_GRACE.as_micros() as u64, "grace-to-answer-us": 5000}
        }
    })
}
