//! What is wrong with a text, where, and what would be right.

use std::fmt;
use std::sync::Arc;

/// A place in a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// A text that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{location}: {problem}; {hint}")]
pub struct ConfigError {
    /// Where.
    pub location: Location,
    /// What is wrong.
    pub problem: String,
    /// What was expected, or the remedy.
    pub hint: String,
}

impl ConfigError {
    /// An error at a place.
    pub fn new(location: Location, problem: &str, hint: &str) -> Self {
        ConfigError {
            location,
            problem: problem.to_string(),
            hint: hint.to_string(),
        }
    }
}

/// "did you mean" for a word that is near a known one, else all of the known words.
pub fn suggest<'a>(word: &str, known: impl Iterator<Item = &'a str> + Clone) -> String {
    let distances = known
        .clone()
        .map(|candidate| (strsim::damerau_levenshtein(word, candidate), candidate));
    match distances.min() {
        Some((distance, nearest)) if distance <= 1 + nearest.len() / 4 => {
            format!("did you mean '{nearest}'?")
        }
        _ => format!("known here: {}", known.collect::<Vec<_>>().join(", ")),
    }
}
