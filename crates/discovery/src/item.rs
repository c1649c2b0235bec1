//! The JSON data of events, in the form that service discovery and the configuration share. The
//! `rename` attributes contain the names on the wire.

use serde::Deserialize;
use thiserror::Error;

/// One event of service discovery.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct DiscoveryEvent {
    /// Sequence number of the event, which increases by one from event to event.
    #[serde(rename = "no")]
    pub number: u64,
    /// Changes of the endpoint list; `None` if the event is about something else.
    #[serde(rename = "roster", default)]
    pub update: Option<EndpointUpdate>,
}

/// The whole endpoint list, or the engines in it that have changed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EndpointUpdate {
    /// Version of the endpoint list after this update; 0 if the sender gives none.
    #[serde(default)]
    pub seq: u64,
    /// Whether `engines` is the whole list. If false, it contains only the changed engines.
    #[serde(rename = "whole", default)]
    pub is_snapshot: bool,
    /// The engines of the list or the changed ones, including those that were removed.
    #[serde(rename = "hosts", default)]
    pub engines: Vec<DiscoveredEngine>,
}

/// An engine as service discovery lists it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct DiscoveredEngine {
    /// Name that identifies the engine for as long as it is listed.
    #[serde(rename = "host")]
    pub name: String,
    /// IP address and port; may be empty if the engine was removed.
    #[serde(rename = "dial", default)]
    pub address: String,
    /// Name of the zone that the engine is in.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Name of the kind of machine that the engine runs on.
    #[serde(rename = "class", default)]
    pub machine_kind: String,
    /// ID of the engine's cell, which is a group of engines that may share idempotency keys.
    #[serde(rename = "block", default)]
    pub cell: u32,
    /// Whether requests may be sent to the engine.
    pub health: EngineHealth,
    /// Unix time in milliseconds at which the engine's process started; 0 if it started so long
    /// ago that it needs no slow start.
    #[serde(rename = "born_ms", default)]
    pub booted_at_ms: u64,
}

/// Whether requests may be sent to an engine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum EngineHealth {
    /// The engine accepts requests.
    #[serde(rename = "up")]
    Up,
    /// The engine finishes its running requests and gets no new ones.
    #[serde(rename = "draining")]
    Draining,
    /// The engine no longer exists.
    #[serde(rename = "removed")]
    Removed,
}

/// The events that the configuration contains. They tell a gateway about engines before it is
/// connected to service discovery.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct InitialEvents {
    /// Number of the last event; the stream is requested from the next one on.
    #[serde(rename = "no", default)]
    pub last_number: u64,
    /// The events, sorted by number.
    #[serde(rename = "items", default)]
    pub events: Vec<DiscoveryEvent>,
}

/// The data of an event, or of the initial events, does not have the expected form.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct DiscoveryEventError(String);

impl From<serde_json::Error> for DiscoveryEventError {
    fn from(error: serde_json::Error) -> Self {
        DiscoveryEventError(error.to_string())
    }
}

impl DiscoveryEvent {
    /// Parses the data of an event.
    ///
    /// # Errors
    ///
    /// Returns an error if `data` is not JSON, lacks a required field, or has one of a wrong type.
    pub fn read(data: &str) -> Result<Self, DiscoveryEventError> {
        Ok(serde_json::from_str(data)?)
    }
}

impl InitialEvents {
    /// Converts the configuration's member `known`.
    ///
    /// # Errors
    ///
    /// Returns an error if `value` lacks a required field or has one of a wrong type.
    pub fn read(value: &serde_json::Value) -> Result<Self, DiscoveryEventError> {
        Ok(InitialEvents::deserialize(value)?)
    }
}
