//! Errors in settings.

use thiserror::Error;

/// An error in one setting; its text names the key.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A required setting is missing.
    #[error("setting '{key}' is missing")]
    Missing {
        /// Dotted path of the setting.
        key: String,
    },
    /// The value of a setting has the wrong type, or is a name that the settings don't define.
    #[error("setting '{key}' has the value '{value}', which is not valid")]
    Invalid {
        /// Dotted path of the setting.
        key: String,
        /// The value as it appears in the settings.
        value: String,
    },
}

impl SettingsError {
    pub(crate) fn missing(key: &str) -> Self {
        SettingsError::Missing {
            key: key.to_string(),
        }
    }

    pub(crate) fn invalid(key: &str, value: &str) -> Self {
        SettingsError::Invalid {
            key: key.to_string(),
            value: value.to_string(),
        }
    }
}
