//! The configuration of the fleet that a gateway shares its intents with, from the `fleet` block.

use std::net::SocketAddr;

use eideryard_config_syntax::{table, ConfigError, Setting, Value};

use crate::settings::Settings;

/// The allowed numbers of voters. With an even number, a majority would be larger without
/// tolerating more failures.
const VOTER_COUNTS: [usize; 3] = [3, 5, 7];

/// The fleet that a gateway is a member of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Name of the fleet.
    pub name: String,
    /// Address for connections from other gateways, which a voter must have. `None`: the gateway
    /// accepts no such connections.
    pub listen: Option<SocketAddr>,
    /// Name and address of each voter, sorted by name. The operator's file calls voters keepers.
    pub voters: Vec<(String, SocketAddr)>,
    /// Whether keyed and unsafe requests are sent while no majority of voters is reachable, at the
    /// risk that a request takes effect twice.
    pub may_send_without_majority: bool,
    /// Whether one gateway at a time probes each engine for the whole fleet.
    pub has_shared_probes: bool,
}

pub(crate) fn read(
    settings: &Settings<'_>,
    has_store: bool,
) -> Result<Option<FleetConfig>, ConfigError> {
    let Some(fleet) = settings.get("fleet") else {
        return Ok(None);
    };
    if !has_store {
        return Err(ConfigError::new(
            fleet.location.clone(),
            "a fleet needs a store to make intents durable",
            "add store-dir PATH",
        ));
    }
    let listen = table::find(&fleet.block, "listen");
    let without_majority = table::find(&fleet.block, "without-majority");
    Ok(Some(FleetConfig {
        name: fleet.values[0].text().to_string(),
        listen: listen.and_then(|setting| socket_address(setting.values.first()?)),
        voters: read_voters(fleet)?,
        may_send_without_majority: without_majority
            .is_some_and(|setting| setting.values[0].text() == "send"),
        has_shared_probes: has_task(fleet, "probe"),
    }))
}

fn read_voters(fleet: &Setting) -> Result<Vec<(String, SocketAddr)>, ConfigError> {
    let mut voters: Vec<(String, SocketAddr)> = Vec::new();
    for setting in fleet
        .block
        .iter()
        .filter(|setting| setting.name == "keeper")
    {
        let name = setting.values[0].text();
        let Some(address) = socket_address(&setting.values[1]) else {
            return Err(ConfigError::new(
                setting.location.clone(),
                "the address of the keeper is not valid",
                "write: keeper NAME ADDRESS:PORT",
            ));
        };
        if voters.iter().any(|(other, _)| other == name) {
            return Err(ConfigError::new(
                setting.location.clone(),
                &format!("keeper '{name}' is given twice"),
                "remove one",
            ));
        }
        voters.push((name.to_string(), address));
    }
    if !VOTER_COUNTS.contains(&voters.len()) {
        return Err(ConfigError::new(
            fleet.location.clone(),
            &format!("the fleet has {} keepers", voters.len()),
            "expected 3, 5 or 7; write one line for each: keeper NAME ADDRESS",
        ));
    }
    voters.sort();
    Ok(voters)
}

fn has_task(fleet: &Setting, task: &str) -> bool {
    let mut tasks = fleet.block.iter().filter(|setting| setting.name == "task");
    tasks.any(|setting| setting.values[0].text() == task)
}

fn socket_address(value: &Value) -> Option<SocketAddr> {
    match value {
        Value::Address(address) => Some(*address),
        _ => None,
    }
}
