//! The operator's file: what an operator may set beside the platform's configuration.
//!
//! All directives stand in [`TABLE`], from which the reference page is made; each part of the file
//! becomes a typed configuration of its own. Nothing is kept, and without a file nothing changes.
//!
//! ```
//! use eideryard_operator_config::OperatorConfig;
//!
//! let text = "store-dir /var/lib/eideryard/store\nstore-budget 64MB\n";
//! let config = OperatorConfig::read("operator.conf", text)?;
//! assert_eq!(config.store.map(|store| store.budget), Some(64 << 20));
//! # Ok::<(), eideryard_config_syntax::ConfigError>(())
//! ```

mod directives;
mod event_log;
mod fleet;
mod log;
mod settings;
mod spool;
mod store;

use std::io;

use eideryard_config_syntax::{open_include_file, ConfigError};
use thiserror::Error;

pub use directives::TABLE;
pub use event_log::EventLogConfig;
pub use fleet::FleetConfig;
pub use log::LogConfig;
pub use spool::SpoolConfig;
pub use store::StoreConfig;

use settings::Settings;

/// Why an operator's file can't be used.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file can't be read.
    #[error("operator's file {path}: {error}")]
    Io {
        /// Path of the file.
        path: String,
        /// What the system says.
        error: io::Error,
    },
    /// Its text can't be used.
    #[error(transparent)]
    Text(#[from] ConfigError),
}

/// All that an operator's file sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The event log; off where it is not set.
    pub event_log: Option<EventLogConfig>,
    /// Spooled results; off where they are not set.
    pub spool: Option<SpoolConfig>,
    /// Durable state; off where it is not set.
    pub store: Option<StoreConfig>,
    /// The fleet that this gateway is of; alone where it is not set.
    pub fleet: Option<FleetConfig>,
    /// The log.
    pub log: LogConfig,
}

impl OperatorConfig {
    /// Reads the file at a path and what it includes.
    ///
    /// # Errors
    ///
    /// The file can't be read, or its text can't be used.
    pub fn from_file(path: &str) -> Result<Self, OperatorFileError> {
        let text = std::fs::read_to_string(path).map_err(|error| OperatorFileError::Io {
            path: path.to_string(),
            error,
        })?;
        Ok(Self::read(path, &text)?)
    }

    /// Reads the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// The first place that can't be used, with the remedy.
    pub fn read(file: &str, text: &str) -> Result<Self, ConfigError> {
        let settings = eideryard_config_syntax::read(file, text, TABLE, &open_include_file)?;
        let settings = Settings(&settings);
        let event_log = event_log::read(&settings)?;
        let spool = spool::read(&settings)?;
        let store = store::read(&settings)?;
        let fleet = fleet::read(&settings, store.is_some())?;
        Ok(OperatorConfig {
            event_log,
            spool,
            store,
            fleet,
            log: log::read(&settings),
        })
    }
}
