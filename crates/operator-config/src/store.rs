//! Durable state: `store-…`.

use std::path::PathBuf;

use eideryard_config_syntax::ConfigError;

use crate::directives::MB;
use crate::settings::Settings;

/// Bytes of the store's files where nothing is set.
const DEFAULT_BUDGET: u64 = 64 * MB;

/// Where durable state is kept, and how much.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreConfig {
    /// Directory of the store.
    pub directory: PathBuf,
    /// Bytes of its files at most.
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
        "'store-budget' without a store",
        "add store-dir PATH, which turns it on",
    ))
}
