//! The items of the list of engines, as the bulletin and the configuration write them.

use serde::Deserialize;
use std::fmt;

/// One numbered event.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Item {
    pub no: u64,
    #[serde(default)]
    pub roster: Option<Roster>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Roster {
    #[serde(default)]
    pub seq: u64,
    /// It holds the whole list; else what has changed.
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<DiscoveredEngine>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct DiscoveredEngine {
    pub host: String,
    /// Address and port; one that is gone may lack it.
    #[serde(default)]
    pub dial: String,
    #[serde(default)]
    pub site: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub block: u32,
    pub health: State,
    /// Unix milliseconds of a late start, or 0.
    #[serde(default)]
    pub born_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Up,
    Draining,
    Removed,
}

/// The events told before the start.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Known {
    #[serde(default)]
    pub no: u64,
    #[serde(default)]
    pub items: Vec<Item>,
}

/// An event that can't be read.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemError(String);

impl fmt::Display for ItemError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ItemError {}

impl Item {
    pub fn read(data: &str) -> Result<Self, ItemError> {
        serde_json::from_str(data).map_err(|e| ItemError(e.to_string()))
    }
}

impl Known {
    pub fn read(value: &serde_json::Value) -> Result<Self, ItemError> {
        Known::deserialize(value).map_err(|e| ItemError(e.to_string()))
    }
}
