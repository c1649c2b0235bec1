//! The configuration of the log, from the `log-…` directives.

use crate::settings::Settings;

/// Which events are logged, and in which format.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogConfig {
    /// The least severe level that is logged; `None`: `info`.
    pub level: Option<String>,
    /// Pairs of a target and its level, which replaces `level` for this target.
    pub targets: Vec<(String, String)>,
    /// Whether each line is a JSON object instead of text.
    pub json: bool,
}

pub(crate) fn read(settings: &Settings<'_>) -> LogConfig {
    let mut targets = Vec::new();
    for setting in settings.all("log-target") {
        let target = setting.values[0].text().to_string();
        let level = setting.values[1].text().to_string();
        targets.push((target, level));
    }
    LogConfig {
        level: settings.text("log-level"),
        targets,
        json: settings.text("log-format").as_deref() == Some("json"),
    }
}
