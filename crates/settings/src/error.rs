//! What is wrong with a setting.

use thiserror::Error;

/// A setting that is missing or has a value that can't be used.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A setting that has to be there is not.
    #[error("setting '{key}' is missing")]
    Missing {
        /// Dotted path of the setting.
        key: String,
    },
    /// A setting's value can't be used.
    #[error("setting '{key}' has the value '{value}', which is not valid")]
    Invalid {
        /// Dotted path of the setting.
        key: String,
        /// The value as it was given.
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
