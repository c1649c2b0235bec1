//! What the platform would tell a gateway: the configuration of a scenario's gateways, and the
//! figures of the rules in it, which the checkers use too.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use eideryard_emulators::scenario::{EngineSpec, Scenario, Scope};
use serde_json::{json, Value};

/// A cold engine's part of its capacity, and what it may be sent: so many times its present
/// capacity for so long.
pub const START_CAPACITY: f64 = 0.4;
/// Multiple of its present capacity that a cold engine may be sent.
pub const FALL_MULTIPLE: f64 = 3.0;
/// The time over which that is counted.
pub const FALL_WINDOW: Duration = Duration::from_secs(1);
/// Nothing new goes to an engine so long after its drain was told.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// After a time-out, reset or cancel a key of an ordered class rests for so long.
pub const ORDER_PAUSE: Duration = Duration::from_millis(500);

/// An engine as service discovery lists it.
pub struct ListedEngine<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where a gateway dials it.
    pub address: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Its machine kind.
    pub kind: &'a str,
    /// Its cell.
    pub cell: u64,
    /// What becomes of it: `up`, `draining` or `removed`.
    pub health: &'a str,
    /// When it started, in Unix milliseconds; 0: long ago.
    pub born_ms: u64,
}

impl ListedEngine<'_> {
    /// The item of the list.
    pub fn item(&self) -> Value {
        json!({"host": self.name, "dial": self.address, "site": self.zone, "class": self.kind,
               "block": self.cell, "health": self.health, "share": 1, "born_ms": self.born_ms})
    }
}

/// Where a gateway listens, and what it finds at its bulletin.
pub struct GatewayInputs {
    /// Its own address.
    pub listen: SocketAddr,
    /// Where service discovery listens.
    pub bulletin: SocketAddr,
    /// What service discovery has told so far.
    pub endpoint_list: Value,
}

/// The configuration of a scenario's gateway.
#[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn config(scenario: &Scenario, name: &str, inputs: GatewayInputs) -> Value {
    let own = scenario
        .gateways
        .iter()
        .find(|gateway| gateway.name == name);
    let classes = &scenario.classes;
    let longest = scenario
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
                   "deadline-us": longest.as_micros() as u64, "value": 1.0,
                   "repeat": repeat(class.effect), "sequential": class.ordered,
                   "group": group(class.scope), "window-us": class.window.as_micros() as u64})
        })
        .collect();
    let set = |of: fn(&EngineSpec) -> &String| {
        let names: BTreeSet<_> = scenario.engines.iter().map(of).collect();
        names.into_iter().cloned().collect::<Vec<_>>()
    };
    let (kinds, zones) = (set(|engine| &engine.kind), set(|engine| &engine.zone));
    let of_kind = |kind: &String| scenario.engines.iter().find(|engine| engine.kind == *kind);
    let cores: Vec<u64> = kinds
        .iter()
        .filter_map(of_kind)
        .map(|engine| engine.cores)
        .collect();
    let memory: Vec<f64> = kinds
        .iter()
        .filter_map(of_kind)
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
        "limits": {"cores": 1.0, "memory_mb": own.map_or(192, |own| own.memory_mb),
                   "sockets": own.map_or(1024, |own| own.sockets)},
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
