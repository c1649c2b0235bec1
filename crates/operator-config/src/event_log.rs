//! The configuration of the event log, from the `record-…` directives.

use std::path::PathBuf;

use eideryard_config_syntax::ConfigError;

use crate::directives::{MB, SECOND};
use crate::settings::Settings;

/// Default for `record-budget`, in bytes.
const DEFAULT_BUDGET: u64 = 256 * MB;
/// Default for `record-segment`, in bytes, unless a quarter of the budget is less.
const DEFAULT_SEGMENT: u64 = 8 * MB;
/// Default for `record-segment-time`, in microseconds.
const DEFAULT_SEGMENT_TIME: u64 = 600 * SECOND;

/// Where the event log is written, and how much of it is retained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventLogConfig {
    /// Directory of the segments.
    pub directory: PathBuf,
    /// Maximum total size in bytes of all segments.
    pub budget: u64,
    /// Size in bytes at which a new segment is started.
    pub segment: u64,
    /// Time in microseconds after which a new segment is started.
    pub segment_time: u64,
}

pub(crate) fn read(settings: &Settings<'_>) -> Result<Option<EventLogConfig>, ConfigError> {
    let budget = settings.number_or("record-budget", DEFAULT_BUDGET);
    let segment = settings.number_or("record-segment", DEFAULT_SEGMENT.min(budget / 4));
    check_segment(settings, segment, budget)?;
    let Some(directory) = settings.text("record-dir") else {
        let remedy = "add record-dir PATH, which turns the event log on";
        settings.reject_prefix("record-", "an event log", remedy)?;
        return Ok(None);
    };
    Ok(Some(EventLogConfig {
        directory: PathBuf::from(directory),
        budget,
        segment,
        segment_time: settings.number_or("record-segment-time", DEFAULT_SEGMENT_TIME),
    }))
}

fn check_segment(settings: &Settings<'_>, segment: u64, budget: u64) -> Result<(), ConfigError> {
    if segment <= budget / 2 {
        return Ok(());
    }
    let setting = settings
        .get("record-segment")
        .or(settings.get("record-budget"));
    let Some(setting) = setting else {
        return Ok(());
    };
    Err(ConfigError::new(
        setting.location.clone(),
        "a segment is larger than half of the budget",
        "raise record-budget or lower record-segment",
    ))
}
