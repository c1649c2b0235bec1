//! The log: `log-…`.

use crate::settings::Settings;

/// Which lines are logged, and in which form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogConfig {
    /// The least serious level that is logged.
    pub level: Option<String>,
    /// Other levels, by target.
    pub targets: Vec<(String, String)>,
    /// One JSON object a line instead of text.
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
