//! Guards the names that leave the process (tests/data/outward-names.txt): a rewording or renaming
//! of the code that reaches one of them would break clients, engines, stored data or scripts. Each
//! name is looked up in output of the program, in what the codecs accept, or in string literals.

use std::collections::BTreeMap;
use std::fs;
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

use eideryard_discovery::InitialEvents;
use eideryard_emulators::golden;

/// Source files of each kind whose string literals are searched: a package and files in its `src`.
const SOURCES: &str = "
[client requests: fields, methods and errors]
gateway requests/call error_reply clients/decoding gateway/result_delivery
event-log entry/reasons
[engines: commands, answers and their fields]
gateway engines/answer_fields
engine-protocol command answer
[service discovery: fields and values]
discovery sse
gateway gateway/endpoint_updates
[configuration (EDGE_CONFIG): keys]
gateway config
[settings: keys and values]
settings balancer_settings host_settings load_report tree
[operator file: directives and values]
config-syntax include
[command line: commands, options and environment]
cli main
[files and directories]
event-log file_name frame
gateway status
store files frame identity
[counters in log lines]
gateway counters counter_text
[state of the gateway in a report and in resource counters]
gateway gateway/reporting intent_durability result_spool
[STATUS file and fleet commands: JSON keys and values]
gateway replication/status status
peer-transport failure_detector
[event log as text: entries, fields and values]
event-log entry/reasons text/action text/event text/fleet text/host text/names
[records tally --json: keys]
event-log totals tally
[store check and dump]
cli store
[settings fingerprint text]
gateway fingerprints
[result spool: reasons of refusal]
result-spool state/admission
[simulator adapter: events, actions and fields]
simulator-adapter actions error events host lists
[threads]
event-log recorder
gateway status
peer-transport hub
result-spool worker
store worker
";

/// Returns output of the program or texts that a decoder accepts, for kinds of names that have such
/// a source; otherwise nothing.
fn output(kind: &str) -> String {
    match kind.split([':', ' ']).next().unwrap_or_default() {
        "service" => accepted_discovery_names(),
        "operator" => printed(&["reference"]),
        "command" => command_line(),
        "STATUS" => fleet_commands(),
        "event" => printed(&["records", "dump", "event-log"]),
        "records" => printed(&["records", "tally", "--json", "event-log"]),
        _ => String::new(),
    }
}

/// Runs the program in the directory of golden files. Returns its standard output.
fn printed(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_eideryard"))
        .args(arguments)
        .current_dir(golden::path(""))
        .env_remove("EIDERYARD_OPERATOR")
        .output()
        .expect("the program runs");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns the commands and options without their help texts, and the environment variables that
/// the help names.
fn command_line() -> String {
    let help = printed(&["--help"]);
    let words = help.split_whitespace();
    let variables: Vec<&str> = words.filter(|word| word.contains("EIDERYARD_")).collect();
    printed(&["completions", "bash"]) + &variables.join(" ")
}

/// Returns the output of the `fleet` commands for gateways in each role.
fn fleet_commands() -> String {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = since.expect("a time after 1970").as_millis();
    let path = directory.path().to_str().expect("a path in UTF-8");
    let mut text = String::new();
    for (is_voter, votes) in [(true, true), (true, false), (false, false)] {
        let status = format!(
            r#"{{"keeper":{is_voter},"votes":{votes},"majority":{votes},"at_ms":{now_ms},"peers":
            {{"a":{{"state":"slow"}},"b":{{"state":"silent"}},"c":{{"state":"gone"}}}}}}"#
        );
        fs::write(directory.path().join("STATUS"), status).expect("a status file");
        text += &printed(&["fleet", "status", path]);
        text += &printed(&["fleet", "owners", path]);
    }
    text
}

/// Returns the fields and values of service discovery that the decoder distinguishes from misspelt
/// ones.
fn accepted_discovery_names() -> String {
    let events = r#"{"no":1,"items":[{"no":2,"roster":{"seq":3,"whole":true,"hosts":[
        {"host":"A","dial":"B","site":"C","class":"D","block":4,"born_ms":5,"health":"up"},
        {"host":"E","health":"draining"},{"host":"F","health":"removed"}]}}]}"#;
    let read = |text: &str| InitialEvents::read(&serde_json::from_str(text).expect("JSON"));
    let known = read(events).expect("events of service discovery");
    let names = events.split('"').skip(1).step_by(2);
    let is_accepted = |name: &&str| {
        read(&events.replace(&format!("\"{name}\""), "\"misspelt\""))
            .ok()
            .as_ref()
            != Some(&known)
    };
    names.filter(is_accepted).collect::<Vec<_>>().join(" ")
}

/// Returns the string literals in the files of a line of [`SOURCES`], one per line.
fn string_literals(line: &str) -> String {
    let mut words = line.split(' ');
    let package = words.next().unwrap_or_default();
    let mut literals = String::new();
    for file in words {
        let path = golden::path(&format!("../../crates/{package}/src/{file}.rs"));
        let source = fs::read_to_string(&path).unwrap_or_else(|e| panic!("{file}: {e}"));
        let lines = source.lines().filter(|l| !l.trim_start().starts_with("//"));
        let code = lines.collect::<Vec<_>>().join("\n");
        let code = code
            .replace("\\\\", " ")
            .replace("\\\"", " ")
            .replace("'\"'", " ");
        let parts: Vec<&str> = code.split('"').collect();
        assert!(parts.len() % 2 == 1, "{file} has a string without an end");
        for literal in parts.iter().skip(1).step_by(2) {
            literals.push_str(&without_interpolations(literal));
            literals.push('\n');
        }
    }
    literals
}

/// Replaces interpolations and ends of lines by `\x01`, written braces by `\x02`.
fn without_interpolations(literal: &str) -> String {
    let literal = literal.replace("{{", "\x02").replace("}}", "\x02");
    let parts = literal.split('{').enumerate();
    let texts = parts.map(|(index, part)| match part.split_once('}') {
        Some((_, text)) if index > 0 => text,
        _ => part,
    });
    texts
        .collect::<Vec<_>>()
        .join("\x01")
        .replace("\\r\\n", "\x01")
}

fn is_word_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || character == '_'
}

/// Returns whether the adjacent text continues a word, directly or after a hyphen.
fn continues_word(mut adjacent: impl Iterator<Item = char>) -> bool {
    match adjacent.next() {
        Some('-') => adjacent.next().is_some_and(is_word_character),
        next => next.is_some_and(is_word_character),
    }
}

/// Returns whether a text contains a name as a whole word with accepted text before and after the
/// name.
fn has_word(text: &str, name: &str, accepts: impl Fn(&str, &str) -> bool) -> bool {
    text.match_indices(name).any(|(at, _)| {
        let (before, after) = (&text[..at], &text[at + name.len()..]);
        let is_part = continues_word(before.chars().rev()) || continues_word(after.chars());
        !is_part && accepts(before, after)
    })
}

/// Returns whether a name is a whole literal, begins a literal in capitals or precedes a value.
/// Words in prose don't count.
fn is_in_literals(literals: &str, name: &str) -> bool {
    has_word(literals, name, |before, after| {
        let begins = before.is_empty() || before.ends_with('\n');
        let is_capital = !name.contains(|c: char| c.is_ascii_lowercase());
        let is_before_value = |text: &str| text.starts_with(['\x01', '\x02']);
        (begins && (is_capital || after.starts_with('\n')))
            || after.starts_with(['=', ':'])
            || is_before_value(after.strip_prefix(' ').unwrap_or(after))
    })
}

/// Returns the lines below each `[heading]`, by heading.
fn sections(text: &str) -> BTreeMap<&str, Vec<&str>> {
    let mut sections: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    let mut heading = "";
    for line in text.lines().map(str::trim) {
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            heading = name;
            sections.entry(heading).or_default();
        } else if !line.is_empty() && !line.starts_with('#') {
            sections.entry(heading).or_default().push(line);
        }
    }
    sections
}

#[test]
fn every_listed_name_still_leaves_the_process() {
    let list = fs::read_to_string(golden::path("../data/outward-names.txt")).expect("the list");
    let (kinds, sources) = (sections(&list), sections(SOURCES));
    assert!(!kinds.is_empty(), "the list of names is empty");
    let mut failures = Vec::new();
    for (kind, names) in &kinds {
        let Some(files) = sources.get(kind) else {
            failures.push(format!("[{kind}] has no entry in SOURCES"));
            continue;
        };
        if names.is_empty() {
            failures.push(format!("[{kind}] lists no names"));
        }
        let output = output(kind);
        let literals: String = files.iter().map(|line| string_literals(line)).collect();
        let is_found =
            |name: &str| has_word(&output, name, |_, _| true) || is_in_literals(&literals, name);
        let missing = names.iter().filter(|name| !is_found(name));
        failures.extend(missing.map(|name| format!("[{kind}] {name}")));
    }
    assert!(failures.is_empty(), "not found:\n{}", failures.join("\n"));
}
