//! Errors in a configuration text, with their location and a hint on how to fix them.

use std::fmt;
use std::sync::Arc;

/// A position in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Name of the file, as it is given by the caller or by the include directive.
    pub file: Arc<str>,
    /// Line number, starting at 1.
    pub line: usize,
    /// Column number in characters, starting at 1.
    pub column: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// Why a configuration text was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{location}: {problem}; {hint}")]
pub struct ConfigError {
    /// Position of the first character that is wrong.
    pub location: Location,
    /// What was found.
    pub problem: String,
    /// What was expected, or the remedy.
    pub hint: String,
}

impl ConfigError {
    /// Creates an error at a location.
    pub fn new(location: Location, problem: &str, hint: &str) -> Self {
        ConfigError {
            location,
            problem: problem.to_string(),
            hint: hint.to_string(),
        }
    }
}

/// Returns a hint for an unknown word: the most similar known word if one is similar enough,
/// otherwise all known words.
pub fn suggest<'a>(word: &str, known: impl Iterator<Item = &'a str> + Clone) -> String {
    let distances = known
        .clone()
        .map(|candidate| (strsim::damerau_levenshtein(word, candidate), candidate));
    match distances.min() {
        Some((distance, nearest)) if distance <= 1 + nearest.len() / 4 => {
            format!("did you mean '{nearest}'?")
        }
        _ => format!("expected one of: {}", known.collect::<Vec<_>>().join(", ")),
    }
}
