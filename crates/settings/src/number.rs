//! Parses numbers and flags in settings. An integer may also be written with a fractional part of
//! zero.

use crate::SettingsError;

/// A numeric type that can be parsed from the text of a setting.
pub(crate) trait Number: Sized {
    /// Parses the text; `None` if it is not a number of this type.
    fn parse(text: &str) -> Option<Self>;
}

impl Number for f64 {
    fn parse(text: &str) -> Option<Self> {
        let value: f64 = text.parse().ok()?;
        (!value.is_nan()).then_some(value)
    }
}

impl Number for u64 {
    fn parse(text: &str) -> Option<Self> {
        if let Ok(value) = text.parse() {
            return Some(value);
        }
        let value = <f64 as Number>::parse(text)?;
        let is_whole = value.fract() == 0.0 && (0.0..=u64::MAX as f64).contains(&value);
        is_whole.then_some(value as u64)
    }
}

impl Number for usize {
    fn parse(text: &str) -> Option<Self> {
        <u64 as Number>::parse(text)?.try_into().ok()
    }
}

impl Number for u32 {
    fn parse(text: &str) -> Option<Self> {
        <u64 as Number>::parse(text)?.try_into().ok()
    }
}

/// Parses the value of the setting `key` as a number.
pub(crate) fn parse_number<T: Number>(key: &str, text: &str) -> Result<T, SettingsError> {
    T::parse(text).ok_or_else(|| SettingsError::invalid(key, text))
}

/// Parses the value of the setting `key` as a Boolean.
pub(crate) fn parse_flag(key: &str, text: &str) -> Result<bool, SettingsError> {
    match text {
        "true" | "1" => Ok(true),
        "false" | "0" => Ok(false),
        other => Err(SettingsError::invalid(key, other)),
    }
}
