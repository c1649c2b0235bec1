//! Every log line at level info or above must be explained in docs/on-call.md. Guards against new
//! or reworded lines that on-call operators can't look up.

use std::path::{Path, PathBuf};

/// The directories with the source of the gateway process.
const SOURCES: [&str; 6] = [
    "crates/gateway/src",
    "crates/store/src",
    "crates/peer-transport/src",
    "crates/event-log/src",
    "crates/result-spool/src",
    "src/balancer",
];

/// The code before the format string of a log line at level info or above.
const LOG_CALLS: [&str; 7] = [
    "tracing::info!(",
    "tracing::warn!(",
    "tracing::error!(",
    "log::info!(",
    "log::warn!(",
    "log::error!(",
    "Action::Log(format!(",
];

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn collect_sources(directory: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(directory).expect("a source directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_sources(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Returns the content of the first string literal in `code`, with escaped line breaks removed as
/// the compiler does.
fn first_string(code: &str) -> String {
    let mut text = String::new();
    let mut chars = code.chars().skip_while(|c| *c != '"').skip(1).peekable();
    while let Some(c) = chars.next() {
        match c {
            '"' => break,
            '\\' if chars.peek() == Some(&'\n') => {
                while chars.peek().is_some_and(|c| c.is_whitespace()) {
                    chars.next();
                }
            }
            '\\' => text.extend(chars.next()),
            c => text.push(c),
        }
    }
    text
}

/// Returns the literal parts of a format string between its placeholders, omitting parts of one
/// character.
fn literal_parts(format: &str) -> Vec<String> {
    let mut parts = vec![String::new()];
    let mut depth = 0;
    for c in format.chars() {
        match c {
            '{' => {
                depth += 1;
                parts.push(String::new());
            }
            '}' => depth -= 1,
            c if depth == 0 => parts.last_mut().expect("a part").push(c),
            _ => {}
        }
    }
    let parts = parts.iter().map(|part| part.trim().to_string());
    parts.filter(|part| part.len() > 1).collect()
}

/// Returns whether a line of the page contains all parts in their order.
fn contains_in_order(line: &str, parts: &[String]) -> bool {
    let mut rest = line;
    for part in parts {
        let Some(at) = rest.find(part.as_str()) else {
            return false;
        };
        rest = &rest[at + part.len()..];
    }
    true
}

#[test]
fn every_log_line_is_explained_on_the_on_call_page() {
    let page = std::fs::read_to_string(workspace_root().join("docs/on-call.md")).expect("the page");
    let mut files = Vec::new();
    for source in SOURCES {
        collect_sources(&workspace_root().join(source), &mut files);
    }
    let (mut count, mut missing) = (0, Vec::new());
    for file in files {
        let code = std::fs::read_to_string(&file).expect("a source file");
        for log_call in LOG_CALLS {
            for (at, _) in code.match_indices(log_call) {
                let format = first_string(&code[at + log_call.len()..]);
                let parts = literal_parts(&format);
                if parts.is_empty() {
                    continue;
                }
                count += 1;
                if !page.lines().any(|line| contains_in_order(line, &parts)) {
                    missing.push(format!("{}: {format}", file.display()));
                }
            }
        }
    }
    assert!(count > 30, "{count} lines found");
    assert!(
        missing.is_empty(),
        "log lines that docs/on-call.md does not explain:\n{}",
        missing.join("\n")
    );
}
