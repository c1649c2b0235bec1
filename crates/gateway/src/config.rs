//! The configuration that the platform gives a gateway: the file that `EDGE_CONFIG` names. The keys
//! of the file stand here only.

use std::net::SocketAddr;

use eideryard::interface::Settings;
use eideryard_discovery::{ItemError, Known};
use eideryard_settings::{
    read_host_settings, read_settings, HostSettings, SettingsError, SettingsTree,
};
use serde_json::Value;

/// The environment variable that names the file.
const PATH_VARIABLE: &str = "EDGE_CONFIG";
/// Memory where the platform sets no limit: what the operators promise at least.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Descriptors where the platform sets no limit: what the operators promise at least.
const DEFAULT_SOCKETS: u64 = 1024;

/// The configuration of one gateway.
pub struct Config {
    /// Its name, by which peers and voters know it.
    pub name: String,
    /// Where clients reach it.
    pub listen_address: SocketAddr,
    /// Its random numbers are derived from this.
    pub seed: u64,
    /// Memory that the platform grants.
    pub memory_mb: u64,
    /// Descriptors that the platform grants.
    pub max_descriptors: usize,
    /// Where service discovery listens.
    pub discovery_address: SocketAddr,
    /// What service discovery had reported when the file was written.
    pub initial_endpoints: Known,
    /// Settings of the balancer.
    pub settings: Settings,
    /// Settings of the process around it.
    pub host: HostSettings,
}

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment names no file.
    #[error("EDGE_CONFIG names no configuration file")]
    NoPath,
    /// The file can't be read.
    #[error("configuration {path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        error: std::io::Error,
    },
    /// The file's text is invalid.
    #[error("configuration {path}: {error}")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong where.
        error: ConfigTextError,
    },
}

/// What is wrong in the text of a configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigTextError {
    /// The text is no JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A member isn't there.
    #[error("'{0}' is missing")]
    Missing(&'static str),
    /// A member isn't a string.
    #[error("'{0}' is no text")]
    NotText(&'static str),
    /// A member isn't a socket address.
    #[error("'{key}' is '{text}', no address with a port")]
    NotAddress {
        /// The member.
        key: &'static str,
        /// Its text.
        text: String,
    },
    /// A limit isn't a positive number.
    #[error("'limits.{key}' is {value}, no positive number")]
    NotPositive {
        /// The limit.
        key: &'static str,
        /// Its value.
        value: Value,
    },
    /// The seed isn't a hexadecimal number.
    #[error("'seed' is '{0}', no hex number")]
    NotHex(String),
    /// The endpoints that were known can't be read.
    #[error("'known': {0}")]
    Known(ItemError),
    /// The settings can't be read.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names.
    pub fn from_environment() -> Result<Self, ConfigError> {
        let path = std::env::var(PATH_VARIABLE).map_err(|_| ConfigError::NoPath)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => return Err(ConfigError::Unreadable { path, error }),
        };
        Self::read(&text).map_err(|error| ConfigError::Invalid { path, error })
    }

    /// Reads the text of such a file.
    pub fn read(text: &str) -> Result<Self, ConfigTextError> {
        let root: Value = serde_json::from_str(text)?;
        let seed = text_member(&root, "seed")?;
        let tree = SettingsTree::from_json(member(&root, "settings")?);
        Ok(Config {
            name: text_member(&root, "name")?,
            listen_address: address_member(&root, "listen")?,
            seed: u64::from_str_radix(&seed, 16).map_err(|_| ConfigTextError::NotHex(seed))?,
            memory_mb: limit(&root, "memory_mb", DEFAULT_MEMORY_MB)?,
            max_descriptors: limit(&root, "sockets", DEFAULT_SOCKETS)? as usize,
            discovery_address: address_member(&root, "bulletin")?,
            initial_endpoints: Known::read(member(&root, "known")?)
                .map_err(ConfigTextError::Known)?,
            settings: read_settings(&tree)?,
            host: read_host_settings(&tree)?,
        })
    }
}

fn member<'a>(root: &'a Value, key: &'static str) -> Result<&'a Value, ConfigTextError> {
    root.get(key).ok_or(ConfigTextError::Missing(key))
}

fn text_member(root: &Value, key: &'static str) -> Result<String, ConfigTextError> {
    match member(root, key)?.as_str() {
        Some(text) => Ok(text.to_string()),
        None => Err(ConfigTextError::NotText(key)),
    }
}

fn address_member(root: &Value, key: &'static str) -> Result<SocketAddr, ConfigTextError> {
    let text = text_member(root, key)?;
    text.parse()
        .map_err(|_| ConfigTextError::NotAddress { key, text })
}

/// A limit that the platform sets, or its default where the platform sets none. Fractions are cut
/// off.
fn limit(root: &Value, key: &'static str, default: u64) -> Result<u64, ConfigTextError> {
    let Some(value) = root.get("limits").and_then(|limits| limits.get(key)) else {
        return Ok(default);
    };
    let fraction = || value.as_f64().filter(|number| *number >= 1.0);
    let number = value
        .as_u64()
        .or_else(|| fraction().map(|number| number as u64));
    match number {
        Some(number) if number > 0 => Ok(number),
        _ => Err(ConfigTextError::NotPositive {
            key,
            value: value.clone(),
        }),
    }
}
