//! Look-ups in the settings of a file.

use eideryard_config_syntax::{table, ConfigError, Setting, Value};

/// The settings of a file, checked against the table of directives.
pub(crate) struct Settings<'a>(pub(crate) &'a [Setting]);

impl<'a> Settings<'a> {
    /// The first setting of a directive.
    pub(crate) fn get(&self, name: &str) -> Option<&'a Setting> {
        table::find(self.0, name)
    }

    /// All settings of a directive.
    pub(crate) fn all(&self, name: &'static str) -> impl Iterator<Item = &'a Setting> {
        self.0.iter().filter(move |setting| setting.name == name)
    }

    /// The number of a directive, or a default where it is not given.
    pub(crate) fn number_or(&self, name: &str, default: u64) -> u64 {
        self.value(name).map_or(default, Value::number)
    }

    /// The text of a directive, where it is given.
    pub(crate) fn text(&self, name: &str) -> Option<String> {
        let value = self.value(name)?;
        Some(value.text().to_string())
    }

    /// Rejects directives that begin with a prefix: what turns them on is missing.
    pub(crate) fn reject_prefix(
        &self,
        prefix: &str,
        missing: &str,
        remedy: &str,
    ) -> Result<(), ConfigError> {
        let useless = self
            .0
            .iter()
            .find(|setting| setting.name.starts_with(prefix));
        let Some(setting) = useless else {
            return Ok(());
        };
        let problem = format!("'{}' without {missing}", setting.name);
        Err(ConfigError::new(setting.location.clone(), &problem, remedy))
    }

    fn value(&self, name: &str) -> Option<&'a Value> {
        self.get(name)?.values.first()
    }
}
