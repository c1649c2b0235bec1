//! What the platform tells a gateway: the file that `EDGE_CONFIG` names.

use eideryard::interface::Settings;
use eideryard_discovery::Known;
use serde_json::Value;
use std::net::SocketAddr;

/// The configuration of one gateway.
pub struct Config {
    /// Its name, which keepers know it by.
    pub name: String,
    /// Where clients reach it.
    pub listen: SocketAddr,
    /// What its random numbers come of.
    pub seed: u64,
    /// Memory that the platform grants.
    pub memory_mb: u64,
    /// Descriptors that the platform grants.
    pub sockets: usize,
    /// Where service discovery listens.
    pub bulletin: SocketAddr,
    /// What service discovery had told when the file was written.
    pub known: Known,
    /// Settings of the decisions.
    pub settings: Settings,
    /// Settings of the host round them.
    pub host: eideryard_settings::HostSettings,
}

/// Where the platform sets no limits, those that the operators promise at least.
const USUAL_MEMORY_MB: u64 = 192;
const USUAL_SOCKETS: u64 = 1024;

impl Config {
    /// The file that `EDGE_CONFIG` names.
    pub fn from_environment() -> Result<Self, String> {
        let path =
            std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG names no configuration file")?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("configuration {path}: {e}"))?;
        Self::read(&text).map_err(|e| format!("configuration {path}: {e}"))
    }

    /// Reads the text of such a file; an error says what is wrong where.
    pub fn read(text: &str) -> Result<Self, String> {
        let root: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let member = |key: &str| root.get(key).ok_or_else(|| format!("'{key}' is missing"));
        let word = |key: &str| {
            member(key)?
                .as_str()
                .map(str::to_string)
                .ok_or_else(|| format!("'{key}' is no text"))
        };
        let address = |key: &str| {
            let text = word(key)?;
            text.parse::<SocketAddr>()
                .map_err(|_| format!("'{key}' is '{text}', no address with a port"))
        };
        let limit = |key: &str, usual| match root.get("limits").and_then(|limits| limits.get(key)) {
            None => Ok(usual),
            Some(value) => value
                .as_u64()
                .or_else(|| {
                    value
                        .as_f64()
                        .filter(|value| *value >= 1.0)
                        .map(|value| value as u64)
                })
                .filter(|&value| value > 0)
                .ok_or_else(|| format!("'limits.{key}' is {value}, no positive number")),
        };
        let seed = word("seed")?;
        let tree = eideryard_settings::SettingsTree::from_json(member("settings")?);
        Ok(Config {
            name: word("name")?,
            listen: address("listen")?,
            seed: u64::from_str_radix(&seed, 16)
                .map_err(|_| format!("'seed' is '{seed}', no hex number"))?,
            memory_mb: limit("memory_mb", USUAL_MEMORY_MB)?,
            sockets: limit("sockets", USUAL_SOCKETS)? as usize,
            bulletin: address("bulletin")?,
            known: Known::read(member("known")?).map_err(|e| format!("'known': {e}"))?,
            settings: eideryard_settings::read_settings(&tree).map_err(|e| e.to_string())?,
            host: eideryard_settings::read_host_settings(&tree).map_err(|e| e.to_string())?,
        })
    }
}
