//! One line of the protocol: a verb and fields of the form `name=value`.

use std::fmt::Display;
use std::str::FromStr;

use crate::error::AdapterError;

/// A parsed line; verb and fields are slices of the line's text.
pub struct Line<'a> {
    /// First word of the line, which identifies the kind of line; empty if the line has no words.
    pub verb: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line into its verb and fields.
    pub fn parse(text: &'a str) -> Result<Self, AdapterError> {
        let mut words = text.split(' ').filter(|word| !word.is_empty());
        let verb = words.next().unwrap_or("");
        let mut fields = Vec::new();
        for word in words {
            let field = word
                .split_once('=')
                .ok_or_else(|| AdapterError::MalformedField {
                    verb: verb.to_string(),
                    part: word.to_string(),
                })?;
            fields.push(field);
        }
        Ok(Line { verb, fields })
    }

    /// Iterates over all fields, as names and values, in the order of the line.
    pub fn fields(&self) -> impl Iterator<Item = (&'a str, &'a str)> + '_ {
        self.fields.iter().copied()
    }

    /// Returns the text of a field; `None` if the line doesn't contain it.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        let field = self.fields.iter().find(|(key, _)| *key == name);
        field.map(|(_, value)| *value)
    }

    /// Returns the text of a required field.
    pub fn required_text(&self, name: &str) -> Result<&'a str, AdapterError> {
        self.text(name).ok_or_else(|| self.missing(name))
    }

    /// Returns the value of a field; `None` if the line doesn't contain it.
    pub fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, AdapterError> {
        let text = self.text(name);
        text.map(|text| self.parse_value(name, text)).transpose()
    }

    /// Returns the value of a required field.
    pub fn required<T: FromStr>(&self, name: &str) -> Result<T, AdapterError> {
        self.optional(name)?.ok_or_else(|| self.missing(name))
    }

    /// Returns the value of a field, or `default` if the line doesn't contain it.
    pub fn value_or<T: FromStr>(&self, name: &str, default: T) -> Result<T, AdapterError> {
        Ok(self.optional(name)?.unwrap_or(default))
    }

    /// Parses a value; `name` is the field's name for the error text.
    pub fn parse_value<T: FromStr>(&self, name: &str, value: &str) -> Result<T, AdapterError> {
        value.parse().map_err(|_| AdapterError::InvalidField {
            verb: self.verb.to_string(),
            name: name.to_string(),
            value: value.to_string(),
        })
    }

    /// Returns the error for a value that the protocol doesn't define.
    pub fn unknown_value(&self, field: &'static str, value: &dyn Display) -> AdapterError {
        AdapterError::UnknownValue {
            verb: self.verb.to_string(),
            field,
            value: value.to_string(),
        }
    }

    fn missing(&self, name: &str) -> AdapterError {
        AdapterError::MissingField {
            verb: self.verb.to_string(),
            name: name.to_string(),
        }
    }
}
