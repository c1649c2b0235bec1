//! The data of events, as service discovery and the configuration write them. Names of fields are
//! the protocol's.

use serde::Deserialize;
use thiserror::Error;

/// One numbered event.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Item {
    /// Its number, only ever greater.
    pub no: u64,
    /// What it says of the list of engines.
    #[serde(default)]
    pub roster: Option<Roster>,
}

/// The list of engines, or changes of it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Roster {
    /// Number of this state of the list.
    #[serde(default)]
    pub seq: u64,
    /// It holds the whole list; else what has changed.
    #[serde(default)]
    pub whole: bool,
    /// The engines.
    #[serde(default)]
    pub hosts: Vec<DiscoveredEngine>,
}

/// An engine of the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct DiscoveredEngine {
    /// Its name.
    pub host: String,
    /// Address and port; one that is gone may lack it.
    #[serde(default)]
    pub dial: String,
    /// Name of its zone.
    #[serde(default)]
    pub site: String,
    /// Name of its kind of machine.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u32,
    /// Whether it may be sent work.
    pub health: State,
    /// Unix milliseconds of a late start, or 0.
    #[serde(default)]
    pub born_ms: u64,
}

/// Whether an engine may be sent work.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum State {
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
pub struct Known {
    /// Number of the last one.
    #[serde(default)]
    pub no: u64,
    /// The events.
    #[serde(default)]
    pub items: Vec<Item>,
}

/// An event that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct ItemError(String);

impl From<serde_json::Error> for ItemError {
    fn from(error: serde_json::Error) -> Self {
        ItemError(error.to_string())
    }
}

impl Item {
    /// Reads the data of an event.
    ///
    /// # Errors
    ///
    /// The data is no JSON of this form.
    pub fn read(data: &str) -> Result<Self, ItemError> {
        Ok(serde_json::from_str(data)?)
    }
}

impl Known {
    /// Reads the member of the configuration.
    ///
    /// # Errors
    ///
    /// The value is no JSON of this form.
    pub fn read(value: &serde_json::Value) -> Result<Self, ItemError> {
        Ok(Known::deserialize(value)?)
    }
}
