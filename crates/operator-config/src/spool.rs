//! The configuration of the result spool, from the `spool-…` directives.

use std::fmt;
use std::path::PathBuf;

use eideryard_config_syntax::{ConfigError, Setting};

use crate::directives::SECOND;
use crate::settings::Settings;

/// Minimum length in bytes of the secret for page tokens.
const MIN_KEY_LENGTH: usize = 16;
/// Default for `spool-disk`, in bytes, if `spool-dir` is given.
const DEFAULT_DISK: u64 = 1 << 30;
/// Default for `spool-unclaimed`, in microseconds.
const DEFAULT_UNCLAIMED: u64 = 60 * SECOND;
/// Default for `spool-delivered`, in microseconds.
const DEFAULT_DELIVERED: u64 = 15 * SECOND;

/// Limits on the size and age of spooled results, and the secrets for page tokens.
#[derive(Clone, PartialEq, Eq)]
pub struct SpoolConfig {
    /// Maximum total size in bytes of the results in memory.
    pub memory: u64,
    /// Directory of the spool's files; `None`: results are stored in memory only.
    pub directory: Option<PathBuf>,
    /// Maximum total size in bytes of the spool's files; 0 without a directory.
    pub disk: u64,
    /// Maximum size in bytes of a single result.
    pub result: u64,
    /// Microseconds that a result waits for its client, counted from its last use.
    pub unclaimed: u64,
    /// Microseconds for which a delivered result is retained in case the client requests it again.
    pub delivered: u64,
    /// The secret with which page tokens are created, at least 16 characters.
    pub key: String,
    /// The previous secret, whose tokens are still accepted; `None`: only tokens created with `key`
    /// are accepted.
    pub previous_key: Option<String>,
}

/// Omits the secrets, so that they never appear in a log.
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
    let Some(memory_setting) = settings.get("spool-memory") else {
        let remedy = "add spool-memory SIZE, which turns the spool on";
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
        key: read_key(settings, memory_setting)?,
        previous_key: settings.text("spool-previous-key"),
    }))
}

fn read_key(settings: &Settings<'_>, memory_setting: &Setting) -> Result<String, ConfigError> {
    match settings.text("spool-key") {
        Some(key) if key.len() >= MIN_KEY_LENGTH => Ok(key),
        _ => {
            let setting = settings.get("spool-key").unwrap_or(memory_setting);
            Err(ConfigError::new(
                setting.location.clone(),
                "the spool needs a secret of at least 16 characters",
                "add spool-key SECRET",
            ))
        }
    }
}
