//! The configuration of the store for durable state, from the `store-…` directives.

use std::path::PathBuf;

use eideryard_config_syntax::ConfigError;

use crate::directives::MB;
use crate::settings::Settings;

/// Default for `store-budget`, in bytes.
const DEFAULT_BUDGET: u64 = 64 * MB;

/// Where durable state is stored, and how much space it may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreConfig {
    /// Directory of the store's files, which gateways must not share.
    pub directory: PathBuf,
    /// Maximum total size in bytes of the store's files.
    pub budget: u64,
}

pub(crate) fn read(settings: &Settings<'_>) -> Result<Option<StoreConfig>, ConfigError> {
    if let Some(directory) = settings.text("store-dir") {
        return Ok(Some(StoreConfig {
            directory: PathBuf::from(directory),
            budget: settings.number_or("store-budget", DEFAULT_BUDGET),
        }));
    }
    let Some(setting) = settings.get("store-budget") else {
        return Ok(None);
    };
    Err(ConfigError::new(
        setting.location.clone(),
        "'store-budget' has no effect without a store",
        "add store-dir PATH, which turns the store on",
    ))
}
