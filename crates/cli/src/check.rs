//! `eideryard check`: checks configurations and operator's files. A file that begins with `{` is a
//! configuration (JSON), any other an operator's file.

use std::io;
use std::path::{Path, PathBuf};

use eideryard_config_syntax::ConfigError as OperatorFileError;
use eideryard_gateway::config::{Config, ConfigTextError};
use eideryard_operator_config::OperatorConfig;
use thiserror::Error;

use crate::error::CliError;

/// What a valid file contains.
enum FileKind {
    Configuration,
    OperatorFile,
}

impl FileKind {
    fn name(&self) -> &'static str {
        match self {
            FileKind::Configuration => "configuration",
            FileKind::OperatorFile => "operator's file",
        }
    }
}

/// Why a file can't be used.
#[derive(Debug, Error)]
enum FileError {
    #[error("{name}: {error}")]
    Io { name: String, error: io::Error },
    #[error("{name}:{line}:{column}: {error}; expected a configuration as JSON")]
    Json {
        name: String,
        line: usize,
        column: usize,
        error: serde_json::Error,
    },
    #[error("{name}:{line}:{column}: {error}; see docs/operating for the values of each member")]
    Configuration {
        name: String,
        line: usize,
        column: usize,
        error: ConfigTextError,
    },
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
}

/// Checks files and prints a line for each.
///
/// # Errors
///
/// Some of the files can't be used.
pub fn check(files: &[PathBuf]) -> Result<(), CliError> {
    let mut unusable = 0;
    for file in files {
        match check_file(file) {
            Ok(kind) => println!("{}: a valid {}", file.display(), kind.name()),
            Err(error) => {
                unusable += 1;
                println!("{error}");
            }
        }
    }
    if unusable > 0 {
        return Err(CliError::UnusableFiles {
            unusable,
            total: files.len(),
        });
    }
    Ok(())
}

fn check_file(file: &Path) -> Result<FileKind, FileError> {
    let name = file.display().to_string();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return Err(FileError::Io { name, error }),
    };
    if text.trim_start().starts_with('{') {
        check_configuration(name, &text)?;
        return Ok(FileKind::Configuration);
    }
    OperatorConfig::read(&name, &text)?;
    Ok(FileKind::OperatorFile)
}

fn check_configuration(name: String, text: &str) -> Result<(), FileError> {
    if let Err(error) = serde_json::from_str::<serde_json::Value>(text) {
        return Err(FileError::Json {
            name,
            line: error.line(),
            column: error.column(),
            error,
        });
    }
    if let Err(error) = Config::read(text) {
        let (line, column) = find_member(text, &error.to_string());
        return Err(FileError::Configuration {
            name,
            line,
            column,
            error,
        });
    }
    Ok(())
}

/// Returns the line and column of the member whose path `message` contains in quotes. If the text
/// contains only the first parts of the path, returns the position of the last part found; if it
/// contains none, the beginning of the text.
fn find_member(text: &str, message: &str) -> (usize, usize) {
    let path = message.split('\'').nth(1).unwrap_or("");
    let mut position = 0;
    let mut found = 0;
    for part in path.split('.') {
        if let Ok(index) = part.parse::<usize>() {
            // An index into a list, each item of which begins with a brace.
            let braces = text[position..].match_indices('{').map(|(at, _)| at);
            position += braces.take(index + 1).last().unwrap_or(0);
            continue;
        }
        let Some(offset) = text[position..].find(&format!("\"{part}\"")) else {
            break;
        };
        position += offset;
        found = position;
    }
    line_and_column(text, found)
}

/// Returns the line and column of a byte position, both counted from 1. Columns count characters.
fn line_and_column(text: &str, position: usize) -> (usize, usize) {
    let before = &text[..position];
    let line_start = before.rfind('\n').map_or(0, |end| end + 1);
    let line = before.matches('\n').count() + 1;
    let column = before[line_start..].chars().count() + 1;
    (line, column)
}
