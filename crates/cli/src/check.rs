//! `eideryard check`: a configuration is JSON, all else is an operator's file.

use eideryard_gateway::config::Config;
use eideryard_operator_config::OperatorConfig;
use std::path::{Path, PathBuf};

pub fn check(files: &[PathBuf]) -> Result<(), String> {
    let mut wrong = 0;
    for file in files {
        match one(file) {
            Ok(kind) => println!("{}: a good {kind}", file.display()),
            Err(message) => {
                wrong += 1;
                println!("{message}");
            }
        }
    }
    match wrong {
        0 => Ok(()),
        count => Err(format!("{count} of {} files can't be used", files.len())),
    }
}

fn one(file: &Path) -> Result<&'static str, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    if !text.trim_start().starts_with('{') {
        return OperatorConfig::read(&name.to_string(), &text)
            .map(|_| "operator's file")
            .map_err(|e| e.to_string());
    }
    if let Err(e) = serde_json::from_str::<serde_json::Value>(&text) {
        let (line, column) = (e.line(), e.column());
        return Err(format!(
            "{name}:{line}:{column}: {e}; expected JSON, as the platform writes it"
        ));
    }
    Config::read(&text)
        .map(|_| "configuration")
        .map_err(|error| {
            let message = error.to_string();
            let (line, column) = place(&text, &message);
            format!(
                "{name}:{line}:{column}: {message}; see docs/operating for what each member holds"
            )
        })
}

/// Where the member stands that a message names in quotes, as far as it does: its last part that
/// the text holds as a name. Else the beginning.
fn place(text: &str, message: &str) -> (usize, usize) {
    let quoted = message.split('\'').nth(1).unwrap_or("");
    let parts: Vec<&str> = quoted.split('.').collect();
    let (mut from, mut found) = (0, None);
    for part in parts {
        if let Ok(item) = part.parse::<usize>() {
            // The item of a list: each of ours begins with a brace.
            let starts = text[from..].match_indices('{').map(|(at, _)| at);
            from += starts.take(item + 1).last().unwrap_or(0);
            continue;
        }
        let Some(at) = text[from..].find(&format!("\"{part}\"")) else {
            break;
        };
        from += at;
        found = Some(from);
    }
    let at = found.unwrap_or(0);
    let line_start = text[..at].rfind('\n').map_or(0, |end| end + 1);
    (
        text[..at].matches('\n').count() + 1,
        text[line_start..at].chars().count() + 1,
    )
}
