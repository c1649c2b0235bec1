//! The data of events, as service discovery and the configuration write them. Names of fields are
//! the protocol's.

use serde::Deserialize;
use thiserror::Error;

/// One numbered event.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct DiscoveryEvent {
    /// Its number, only ever greater.
    #[serde(rename = "no")]
    pub number: u64,
    /// What it says of the list of engines.
    #[serde(rename = "roster", default)]
    pub update: Option<EndpointUpdate>,
}

/// The list of engines, or changes of it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EndpointUpdate {
    /// Number of this state of the list.
    #[serde(default)]
    pub seq: u64,
    /// It holds the whole list; else what has changed.
    #[serde(rename = "whole", default)]
    pub is_snapshot: bool,
    /// The engines.
    #[serde(rename = "hosts", default)]
    pub engines: Vec<DiscoveredEngine>,
}

/// An engine of the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct DiscoveredEngine {
    /// Its name.
    #[serde(rename = "host")]
    pub name: String,
    /// Address and port; one that is gone may lack it.
    #[serde(rename = "dial", default)]
    pub address: String,
    /// Name of its zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Name of its kind of machine.
    #[serde(rename = "class", default)]
    pub machine_kind: String,
    /// Its cell.
    #[serde(rename = "block", default)]
    pub cell: u32,
    /// Whether it may be sent work.
    pub health: EngineHealth,
    /// Unix milliseconds of a late start, or 0.
    #[serde(rename = "born_ms", default)]
    pub booted_at_ms: u64,
}

/// Whether an engine may be sent work.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum EngineHealth {
    /// It may.
    #[serde(rename = "up")]
    Up,
    /// It finishes what it has.
    #[serde(rename = "draining")]
    Draining,
    /// It is no more.
    #[serde(rename = "removed")]
    Removed,
}

/// The events before the start, as the configuration holds them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct InitialEvents {
    /// Number of the last one.
    #[serde(rename = "no", default)]
    pub last_number: u64,
    /// The events.
    #[serde(rename = "items", default)]
    pub events: Vec<DiscoveryEvent>,
}

/// An event that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct DiscoveryEventError(String);

impl From<serde_json::Error> for DiscoveryEventError {
    fn from(error: serde_json::Error) -> Self {
        DiscoveryEventError(error.to_string())
    }
}

impl DiscoveryEvent {
    /// Reads the data of an event.
    ///
    /// # Errors
    ///
    /// The data is no JSON of this form.
    pub fn read(data: &str) -> Result<Self, DiscoveryEventError> {
        Ok(serde_json::from_str(data)?)
    }
}

impl InitialEvents {
    /// Reads the member of the configuration.
    ///
    /// # Errors
    ///
    /// The value is no JSON of this form.
    pub fn read(value: &serde_json::Value) -> Result<Self, DiscoveryEventError> {
        Ok(InitialEvents::deserialize(value)?)
    }
}
