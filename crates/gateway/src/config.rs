//! The configuration of a gateway, which the platform writes to the JSON file that the environment
//! variable `EDGE_CONFIG` names. No other module knows the keys of the file.

use std::net::SocketAddr;

use eideryard::interface::Settings;
use eideryard_discovery::{DiscoveryEventError, InitialEvents};
use eideryard_settings::{
    read_host_settings, read_settings, HostSettings, SettingsError, SettingsTree,
};
use serde_json::Value;

/// The environment variable with the path of the file.
const PATH_VARIABLE: &str = "EDGE_CONFIG";
/// The assumed memory limit in MB if the platform sets none: the minimum that the operators
/// guarantee.
const DEFAULT_MEMORY_MB: u64 = 192;
/// The assumed limit on file descriptors if the platform sets none: the minimum that the operators
/// guarantee.
const DEFAULT_SOCKETS: u64 = 1024;

/// The configuration of one gateway.
pub struct Config {
    /// The name of the gateway, by which peers and voters identify it.
    pub name: String,
    /// The address on which the gateway listens for clients (key `listen`).
    pub listen_address: SocketAddr,
    /// The seed from which the gateway's random numbers are derived; hexadecimal in the file.
    pub seed: u64,
    /// Memory in MB that the platform grants to the process (key `limits.memory_mb`).
    pub memory_mb: u64,
    /// File descriptors that the platform grants to the process (key `limits.sockets`).
    pub max_descriptors: usize,
    /// The address of service discovery (key `bulletin`).
    pub discovery_address: SocketAddr,
    /// The endpoints that service discovery had reported when the file was written, and the
    /// sequence number of the last of these events (key `known`).
    pub initial_endpoints: InitialEvents,
    /// The settings of the balancer, from the key `settings`.
    pub settings: Settings,
    /// The settings of the gateway process around the balancer, also from the key `settings`.
    pub host: HostSettings,
}

/// Why the configuration file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable is not set.
    #[error("the environment variable EDGE_CONFIG must name the configuration file")]
    NoPath,
    /// The file can't be read.
    #[error("configuration {path}: {error}")]
    Unreadable {
        /// The path from the environment variable.
        path: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The file's text is invalid.
    #[error("configuration {path}: {error}")]
    Invalid {
        /// The path from the environment variable.
        path: String,
        /// The member that is invalid, and why.
        error: ConfigTextError,
    },
}

/// Why the text of a configuration is invalid. The messages name the member in quotes; `eideryard
/// check` uses this name to find the line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigTextError {
    /// The text is not valid JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A required member is missing.
    #[error("'{0}' is missing")]
    Missing(&'static str),
    /// A member is not a string.
    #[error("'{0}' is not a string")]
    NotString(&'static str),
    /// A member is not a socket address.
    #[error("'{key}' is '{text}', expected an IP address with a port")]
    NotAddress {
        /// The key of the member.
        key: &'static str,
        /// The string in the file.
        text: String,
    },
    /// A limit is not a positive number.
    #[error("'limits.{key}' is {value}, expected a positive number")]
    NotPositive {
        /// The key of the limit within `limits`.
        key: &'static str,
        /// The JSON value in the file.
        value: Value,
    },
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("'seed' is '{0}', expected a hexadecimal number")]
    NotHex(String),
    /// The initial endpoints are invalid.
    #[error("'known': {0}")]
    Known(DiscoveryEventError),
    /// The settings are invalid.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names.
    ///
    /// # Errors
    ///
    /// The variable is not set, the file can't be read, or its text is invalid.
    pub fn from_environment() -> Result<Self, ConfigError> {
        let path = std::env::var(PATH_VARIABLE).map_err(|_| ConfigError::NoPath)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => return Err(ConfigError::Unreadable { path, error }),
        };
        Self::read(&text).map_err(|error| ConfigError::Invalid { path, error })
    }

    /// Reads the text of a configuration file.
    ///
    /// # Errors
    ///
    /// The text is not JSON, or a member is missing or invalid.
    pub fn read(text: &str) -> Result<Self, ConfigTextError> {
        let root: Value = serde_json::from_str(text)?;
        let seed = read_string(&root, "seed")?;
        let tree = SettingsTree::from_json(read_member(&root, "settings")?);
        Ok(Config {
            name: read_string(&root, "name")?,
            listen_address: read_address(&root, "listen")?,
            seed: u64::from_str_radix(&seed, 16).map_err(|_| ConfigTextError::NotHex(seed))?,
            memory_mb: read_limit(&root, "memory_mb", DEFAULT_MEMORY_MB)?,
            max_descriptors: read_limit(&root, "sockets", DEFAULT_SOCKETS)? as usize,
            discovery_address: read_address(&root, "bulletin")?,
            initial_endpoints: InitialEvents::read(read_member(&root, "known")?)
                .map_err(ConfigTextError::Known)?,
            settings: read_settings(&tree)?,
            host: read_host_settings(&tree)?,
        })
    }
}

fn read_member<'a>(root: &'a Value, key: &'static str) -> Result<&'a Value, ConfigTextError> {
    root.get(key).ok_or(ConfigTextError::Missing(key))
}

fn read_string(root: &Value, key: &'static str) -> Result<String, ConfigTextError> {
    match read_member(root, key)?.as_str() {
        Some(text) => Ok(text.to_string()),
        None => Err(ConfigTextError::NotString(key)),
    }
}

fn read_address(root: &Value, key: &'static str) -> Result<SocketAddr, ConfigTextError> {
    let text = read_string(root, key)?;
    text.parse()
        .map_err(|_| ConfigTextError::NotAddress { key, text })
}

/// Returns a limit that the platform sets, or `default` if the file doesn't contain it. A limit
/// with a fractional part is rounded down.
fn read_limit(root: &Value, key: &'static str, default: u64) -> Result<u64, ConfigTextError> {
    let Some(value) = root.get("limits").and_then(|limits| limits.get(key)) else {
        return Ok(default);
    };
    let as_fraction = || value.as_f64().filter(|number| *number >= 1.0);
    let number = value
        .as_u64()
        .or_else(|| as_fraction().map(|number| number as u64));
    match number {
        Some(number) if number > 0 => Ok(number),
        _ => Err(ConfigTextError::NotPositive {
            key,
            value: value.clone(),
        }),
    }
}
