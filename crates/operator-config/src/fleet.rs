//! The fleet that a gateway shares its intents with: the `fleet` block.

use std::net::SocketAddr;

use eideryard_config_syntax::{table, ConfigError, Setting, Value};

use crate::settings::Settings;

/// Numbers of voters that a fleet may have: odd, so that each majority is as small as it can be.
const VOTER_COUNTS: [usize; 3] = [3, 5, 7];

/// The fleet that a gateway is of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Name of the fleet.
    pub name: String,
    /// Where other gateways reach this one.
    pub listen: Option<SocketAddr>,
    /// Name and address of each voter, in the order of their names.
    pub voters: Vec<(String, SocketAddr)>,
    /// Keyed requests are sent without a majority too.
    pub may_send_without_majority: bool,
    /// One gateway probes each engine for all.
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
            "a fleet without a store: intents could not be made durable",
            "add store-dir PATH",
        ));
    }
    let listen = table::find(&fleet.block, "listen");
    let without_majority = table::find(&fleet.block, "without-majority");
    Ok(Some(FleetConfig {
        name: fleet.values[0].text().to_string(),
        listen: listen.and_then(|setting| address(setting.values.first()?)),
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
        let Some(address) = address(&setting.values[1]) else {
            return Err(ConfigError::new(
                setting.location.clone(),
                "a keeper's address can't be used",
                "write ADDRESS:PORT",
            ));
        };
        if voters.iter().any(|(known, _)| known == name) {
            return Err(ConfigError::new(
                setting.location.clone(),
                &format!("keeper '{name}' stands there twice"),
                "each keeper has one line",
            ));
        }
        voters.push((name.to_string(), address));
    }
    if !VOTER_COUNTS.contains(&voters.len()) {
        return Err(ConfigError::new(
            fleet.location.clone(),
            &format!("a fleet with {} keepers", voters.len()),
            "name 3, 5 or 7: keeper NAME ADDRESS",
        ));
    }
    voters.sort();
    Ok(voters)
}

fn has_task(fleet: &Setting, task: &str) -> bool {
    let mut tasks = fleet.block.iter().filter(|setting| setting.name == "task");
    tasks.any(|setting| setting.values[0].text() == task)
}

fn address(value: &Value) -> Option<SocketAddr> {
    match value {
        Value::Address(address) => Some(*address),
        _ => None,
    }
}
