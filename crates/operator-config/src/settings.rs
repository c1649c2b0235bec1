//! Lookup of settings by the name of their directive.

use eideryard_config_syntax::{table, ConfigError, Setting, Value};

/// The settings of a file, after the check against the table of directives.
pub(crate) struct Settings<'a>(pub(crate) &'a [Setting]);

impl<'a> Settings<'a> {
    /// Returns the first setting of a directive.
    pub(crate) fn get(&self, name: &str) -> Option<&'a Setting> {
        table::find(self.0, name)
    }

    /// Returns all settings of a directive in the order of the file.
    pub(crate) fn all(&self, name: &'static str) -> impl Iterator<Item = &'a Setting> {
        self.0.iter().filter(move |setting| setting.name == name)
    }

    /// Returns the number that a directive sets, or `default` if the directive is not given.
    pub(crate) fn number_or(&self, name: &str, default: u64) -> u64 {
        self.first_value(name).map_or(default, Value::number)
    }

    /// Returns the text that a directive sets, or `None` if the directive is not given.
    pub(crate) fn text(&self, name: &str) -> Option<String> {
        let value = self.first_value(name)?;
        Some(value.text().to_string())
    }

    /// Returns an error if any directive begins with `prefix`. Used if the directive that enables
    /// the feature with this prefix is missing.
    pub(crate) fn reject_prefix(
        &self,
        prefix: &str,
        missing: &str,
        remedy: &str,
    ) -> Result<(), ConfigError> {
        let first = self
            .0
            .iter()
            .find(|setting| setting.name.starts_with(prefix));
        let Some(setting) = first else {
            return Ok(());
        };
        let problem = format!("'{}' has no effect without {missing}", setting.name);
        Err(ConfigError::new(setting.location.clone(), &problem, remedy))
    }

    fn first_value(&self, name: &str) -> Option<&'a Value> {
        self.get(name)?.values.first()
    }
}
