//! Spooled results: `spool-…`.

use std::fmt;
use std::path::PathBuf;

use eideryard_config_syntax::{ConfigError, Setting};

use crate::directives::SECOND;
use crate::settings::Settings;

/// Characters of a secret at least.
const MIN_KEY_LENGTH: usize = 16;
/// Bytes on disk where a directory is set and nothing else.
const DEFAULT_DISK: u64 = 1 << 30;
/// Microseconds that a result waits for its client where nothing is set.
const DEFAULT_UNCLAIMED: u64 = 60 * SECOND;
/// Microseconds that a delivered result is kept where nothing is set.
const DEFAULT_DELIVERED: u64 = 15 * SECOND;

/// Room for spooled results, how long they are kept, and the secrets of page tokens.
#[derive(Clone, PartialEq, Eq)]
pub struct SpoolConfig {
    /// Bytes in memory.
    pub memory: u64,
    /// Directory of the files; memory only where it is not set.
    pub directory: Option<PathBuf>,
    /// Bytes on disk.
    pub disk: u64,
    /// Bytes of the largest single result.
    pub result: u64,
    /// Microseconds that a result waits for its client, from its last use.
    pub unclaimed: u64,
    /// Microseconds that a delivered result is kept.
    pub delivered: u64,
    /// The secret that page tokens are made with.
    pub key: String,
    /// The secret before it, whose tokens are still valid.
    pub previous_key: Option<String>,
}

/// Without the secrets.
impl fmt::Debug for SpoolConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SpoolConfig")
            .field("memory", &self.memory)
            .field("directory", &self.directory)
            .field("disk", &self.disk)
            .field("result", &self.result)
            .finish_non_exhaustive()
    }
}

pub(crate) fn read(settings: &Settings<'_>) -> Result<Option<SpoolConfig>, ConfigError> {
    let Some(turns_on) = settings.get("spool-memory") else {
        let remedy = "add spool-memory SIZE, which turns it on";
        settings.reject_prefix("spool-", "a spool", remedy)?;
        return Ok(None);
    };
    let directory = settings.text("spool-dir").map(PathBuf::from);
    let memory = settings.number_or("spool-memory", 0);
    let disk = match directory {
        Some(_) => settings.number_or("spool-disk", DEFAULT_DISK),
        None => 0,
    };
    Ok(Some(SpoolConfig {
        memory,
        directory,
        disk,
        result: settings.number_or("spool-result", (memory + disk) / 4),
        unclaimed: settings.number_or("spool-unclaimed", DEFAULT_UNCLAIMED),
        delivered: settings.number_or("spool-delivered", DEFAULT_DELIVERED),
        key: read_key(settings, turns_on)?,
        previous_key: settings.text("spool-previous-key"),
    }))
}

fn read_key(settings: &Settings<'_>, turns_on: &Setting) -> Result<String, ConfigError> {
    match settings.text("spool-key") {
        Some(key) if key.len() >= MIN_KEY_LENGTH => Ok(key),
        _ => {
            let setting = settings.get("spool-key").unwrap_or(turns_on);
            Err(ConfigError::new(
                setting.location.clone(),
                "the spool has no secret of 16 characters",
                "add spool-key SECRET",
            ))
        }
    }
}
