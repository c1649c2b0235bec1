//! What is wrong with a text, where, and what would be right.

use std::fmt;
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub file: Arc<str>,
    /// Both from 1; columns count characters.
    pub line: usize,
    pub column: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {what}; {hint}")]
pub struct Fault {
    pub place: Place,
    pub what: String,
    /// What was expected, or the remedy.
    pub hint: String,
}

impl Fault {
    pub fn new(place: Place, what: &str, hint: &str) -> Self {
        Fault {
            place,
            what: what.to_string(),
            hint: hint.to_string(),
        }
    }
}

/// "did you mean" for a word that is none of those known, else all of them.
pub fn suggest<'a>(word: &str, known: impl Iterator<Item = &'a str> + Clone) -> String {
    let near = known
        .clone()
        .map(|own| (strsim::damerau_levenshtein(word, own), own))
        .min();
    match near {
        Some((distance, own)) if distance <= 1 + own.len() / 4 => format!("did you mean '{own}'?"),
        _ => format!("known here: {}", known.collect::<Vec<_>>().join(", ")),
    }
}
