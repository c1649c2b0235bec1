//! Each line that operators may see in a gateway's log is explained in docs/on-call.md.

use std::path::{Path, PathBuf};

/// Where the lines of the program are written.
const SOURCES: [&str; 6] = [
    "crates/gateway/src",
    "crates/store/src",
    "crates/peer-transport/src",
    "crates/event-log/src",
    "crates/result-spool/src",
    "src/balancer",
];

/// What begins a line that is logged at the usual level or above.
const LOGGING: [&str; 7] = [
    "tracing::info!(",
    "tracing::warn!(",
    "tracing::error!(",
    "log::info!(",
    "log::warn!(",
    "log::error!(",
    "Action::Log(format!(",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn sources(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(directory).expect("a directory of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// The text of the string that begins behind the first quote, with lines joined as the compiler
/// does.
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

/// The parts of a format string between its placeholders.
fn fixed_parts(format: &str) -> Vec<String> {
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

/// Whether a line of the page holds all parts in their order.
fn explains(line: &str, parts: &[String]) -> bool {
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
fn every_log_line_is_found_on_the_on_call_page() {
    let page = std::fs::read_to_string(root().join("docs/on-call.md")).expect("the page");
    let mut files = Vec::new();
    for source in SOURCES {
        sources(&root().join(source), &mut files);
    }
    let (mut count, mut missing) = (0, Vec::new());
    for file in files {
        let code = std::fs::read_to_string(&file).expect("a source file");
        for logging in LOGGING {
            for (at, _) in code.match_indices(logging) {
                let format = first_string(&code[at + logging.len()..]);
                let parts = fixed_parts(&format);
                if parts.is_empty() {
                    continue;
                }
                count += 1;
                if !page.lines().any(|line| explains(line, &parts)) {
                    missing.push(format!("{}: {format}", file.display()));
                }
            }
        }
    }
    assert!(count > 30, "{count} lines found");
    assert!(missing.is_empty(), "not explained:\n{}", missing.join("\n"));
}
