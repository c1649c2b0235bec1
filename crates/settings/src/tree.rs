//! Settings by dotted path, independent of their input format.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::number::{parse_flag, parse_number, Number};
use crate::SettingsError;

/// A tree of settings, stored flat with each leaf under its dotted path. A list of trees is stored
/// with its length under `.count` and its items under `.0`, `.1` and so on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsTree {
    leaves: BTreeMap<String, Leaf>,
}

#[derive(Clone, Debug, PartialEq)]
enum Leaf {
    /// A single value as text, or a list of values joined with commas.
    Text(String),
    /// A list of plain values.
    List(Vec<String>),
}

impl SettingsTree {
    /// Builds a tree from pairs of a dotted path and a value. In the value, items of a list are
    /// separated by commas.
    pub fn from_pairs<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let mut tree = SettingsTree::default();
        for (path, value) in pairs {
            tree.leaves
                .insert(path.to_string(), Leaf::Text(value.to_string()));
        }
        tree
    }

    /// Builds a tree from nested JSON objects, whose values may be JSON lists and numbers.
    pub fn from_json(value: &Value) -> Self {
        let mut tree = SettingsTree::default();
        tree.insert_json("", value);
        tree
    }

    fn insert_json(&mut self, path: &str, value: &Value) {
        match value {
            Value::Null => {}
            Value::Object(members) => {
                for (name, member) in members {
                    self.insert_json(&child_path(path, name), member);
                }
            }
            Value::Array(items) if items.iter().any(is_nested) => {
                let count = Leaf::Text(items.len().to_string());
                self.leaves.insert(child_path(path, "count"), count);
                for (index, item) in items.iter().enumerate() {
                    self.insert_json(&child_path(path, &index.to_string()), item);
                }
            }
            Value::Array(items) => {
                let texts = items.iter().map(plain_text).collect();
                self.leaves.insert(path.to_string(), Leaf::List(texts));
            }
            value => {
                let text = Leaf::Text(plain_text(value));
                self.leaves.insert(path.to_string(), text);
            }
        }
    }

    /// Returns the text of a setting; `None` if the setting is missing or is a JSON list.
    pub(crate) fn text(&self, path: &str) -> Option<&str> {
        match self.leaves.get(path)? {
            Leaf::Text(text) => Some(text),
            Leaf::List(_) => None,
        }
    }

    /// Returns the value of a setting as a number; `None` if the setting is missing.
    pub(crate) fn optional<T: Number>(&self, path: &str) -> Result<Option<T>, SettingsError> {
        match self.leaves.get(path) {
            None => Ok(None),
            Some(Leaf::Text(text)) => parse_number(path, text).map(Some),
            Some(Leaf::List(items)) => {
                let text = format!("[{}]", items.join(", "));
                Err(SettingsError::invalid(path, &text))
            }
        }
    }

    /// Returns the value of a setting as a number, or `default` if the setting is missing.
    pub(crate) fn number_or<T: Number>(&self, path: &str, default: T) -> Result<T, SettingsError> {
        Ok(self.optional(path)?.unwrap_or(default))
    }

    /// Returns the value of a setting as a Boolean; false if the setting is missing.
    pub(crate) fn flag(&self, path: &str) -> Result<bool, SettingsError> {
        match self.text(path) {
            None => Ok(false),
            Some(text) => parse_flag(path, text),
        }
    }

    /// Returns the items of a list of plain values; no items if the setting is missing.
    pub(crate) fn list(&self, path: &str) -> Vec<&str> {
        match self.leaves.get(path) {
            None => Vec::new(),
            Some(Leaf::Text(text)) => text.split(',').filter(|item| !item.is_empty()).collect(),
            Some(Leaf::List(items)) => items.iter().map(String::as_str).collect(),
        }
    }

    /// Returns the items of a list of names; no items if the setting is missing.
    pub(crate) fn names(&self, path: &str) -> Vec<String> {
        self.list(path).into_iter().map(str::to_string).collect()
    }

    /// Returns one item of a list of numbers; `None` if the list has no such item.
    pub(crate) fn item<T: Number>(
        &self,
        path: &str,
        index: usize,
    ) -> Result<Option<T>, SettingsError> {
        let items = self.list(path);
        let text = items.get(index);
        text.map(|text| parse_number(path, text)).transpose()
    }

    /// Returns one item of a list of Booleans; false if the list has no such item.
    pub(crate) fn item_flag(&self, path: &str, index: usize) -> Result<bool, SettingsError> {
        match self.list(path).get(index) {
            None => Ok(false),
            Some(text) => parse_flag(path, text),
        }
    }

    /// Returns a list of indexes, each written as a number or as a name from the list at
    /// `names_path`; `None` if the setting is missing.
    pub(crate) fn indexes(
        &self,
        path: &str,
        names_path: &str,
    ) -> Result<Option<Vec<u32>>, SettingsError> {
        if !self.leaves.contains_key(path) {
            return Ok(None);
        }
        let names = self.list(names_path);
        let mut indexes = Vec::new();
        for item in self.list(path) {
            let index = match names.iter().position(|name| *name == item) {
                Some(index) => index as u32,
                None => parse_number(path, item)?,
            };
            indexes.push(index);
        }
        Ok(Some(indexes))
    }
}

fn child_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

fn is_nested(value: &Value) -> bool {
    value.is_object() || value.is_array()
}

fn plain_text(value: &Value) -> String {
    match value.as_str() {
        Some(text) => text.to_string(),
        None => value.to_string(),
    }
}
