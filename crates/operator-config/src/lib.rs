//! The operator's file, which contains settings in addition to the platform's configuration.
//!
//! [`TABLE`] defines all directives; the reference page is generated from it. Each group of
//! directives is converted to its own type, such as [`StoreConfig`]. Without a file, all optional
//! parts are off.
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

/// Why the operator's file was rejected.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file can't be opened or is not UTF-8.
    #[error("can't read the operator's file {path}: {error}")]
    Io {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The file contains an invalid line or setting.
    #[error(transparent)]
    Text(#[from] ConfigError),
}

/// The settings of an operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The event log; `None`: off.
    pub event_log: Option<EventLogConfig>,
    /// The result spool; `None`: off.
    pub spool: Option<SpoolConfig>,
    /// The store for durable state; `None`: off.
    pub store: Option<StoreConfig>,
    /// The fleet that this gateway is a member of; `None`: the gateway works alone.
    pub fleet: Option<FleetConfig>,
    /// Levels and format of the program's log on standard error.
    pub log: LogConfig,
}

impl OperatorConfig {
    /// Reads the file at `path` and the files that it includes.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or contains an invalid line or setting.
    pub fn from_file(path: &str) -> Result<Self, OperatorFileError> {
        let text = std::fs::read_to_string(path).map_err(|error| OperatorFileError::Io {
            path: path.to_string(),
            error,
        })?;
        Ok(Self::read(path, &text)?)
    }

    /// Parses the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// Returns the location of the first invalid line or setting, with the remedy.
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
