//! The store on the real gateway: off unless a directive says so, intents that outlive a kill, a
//! store that can't be used, and what the command line says of one.

mod common;

use common::standin::{Answer, Bulletin, Engine};
use common::*;
use serde_json::{json, Value};
use std::path::Path;
use std::process::Command;

fn started(engines: &[&Engine], operator: &str) -> (Running, Bulletin) {
    let bulletin = Bulletin::listen("127.0.0.1:0").unwrap();
    let mut config = config(
        bulletin.address(),
        &engines.iter().map(|e| e.address()).collect::<Vec<_>>(),
    );
    // Each engine remembers its own keys alone.
    let hosts = &mut config["known"]["items"][0]["roster"]["hosts"];
    for (block, host) in hosts.as_array_mut().unwrap().iter_mut().enumerate() {
        host["block"] = json!(block);
    }
    config["settings"]["grades"][1]["group"] = json!("cell");
    (Running::start_with(&config, operator), bulletin)
}

fn directive(directory: &Path) -> String {
    format!("store-dir \"{}\"\n", directory.display())
}

const KEY: &str = "00000000000000000000000000000abc";

fn keyed(id: &str, marked: bool) -> Vec<(&str, &str)> {
    let mut fields = vec![("i", id), ("d", "15000"), ("t", "acme"), ("k", KEY)];
    fields.extend(marked.then_some(("r", "1")));
    fields
}

fn word(answer: Answer) -> String {
    match answer {
        Answer::Error { word, .. } => word,
        other => format!("{other:?}"),
    }
}

/// What `run` has open when nothing turns anything on: the promise that all that is new ships
/// switched off.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn without_directives_run_has_one_thread_one_listener_no_udp_and_writes_no_file() {
    let engine = Engine::listen("127.0.0.1:0").unwrap();
    let bulletin = Bulletin::listen("127.0.0.1:0").unwrap();
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("config.json");
    std::fs::write(
        &path,
        config(bulletin.address(), &[engine.address()]).to_string(),
    )
    .unwrap();
    // As the platform does: the configuration and nothing else.
    let mut child = Command::new(env!("CARGO_BIN_EXE_eideryard"))
        .arg("run")
        .env("EDGE_CONFIG", &path)
        .env("EIDERYARD_STORE", directory.path())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = std::io::BufRead::lines(std::io::BufReader::new(child.stderr.take().unwrap()));
    assert!(log.any(|line| line.unwrap().contains("listens on")));
    let process = format!("/proc/{}", child.id());
    assert_eq!(
        std::fs::read_dir(format!("{process}/task"))
            .unwrap()
            .count(),
        1,
        "threads"
    );
    let mut sockets = Vec::new();
    for file in std::fs::read_dir(format!("{process}/fd")).unwrap() {
        let file = file.unwrap();
        let target = std::fs::read_link(file.path())
            .unwrap()
            .display()
            .to_string();
        let number: u32 = file.file_name().to_str().unwrap().parse().unwrap();
        let info = std::fs::read_to_string(format!("{process}/fdinfo/{number}")).unwrap();
        let flags = info
            .lines()
            .find_map(|line| line.strip_prefix("flags:"))
            .unwrap()
            .trim();
        let writes = u32::from_str_radix(flags, 8).unwrap() & 3 != 0;
        if let Some(inode) = target.strip_prefix("socket:[") {
            sockets.push(inode.trim_end_matches(']').to_string());
        } else if target.starts_with('/') && !target.starts_with("/dev/") && number > 2 {
            assert!(!writes, "{target} is open for writing");
        }
    }
    let of = |table: &str, state: &str| {
        let rows = std::fs::read_to_string(format!("{process}/net/{table}")).unwrap_or_default();
        let rows = rows.lines().skip(1).map(|row| {
            row.split_whitespace()
                .map(str::to_string)
                .collect::<Vec<_>>()
        });
        let own =
            rows.filter(|row| sockets.contains(&row[9]) && (state.is_empty() || row[3] == state));
        own.count()
    };
    assert_eq!(
        (
            of("tcp", "0A"),
            of("tcp6", "0A"),
            of("udp", ""),
            of("udp6", "")
        ),
        (1, 0, 0, 0)
    );
    child.kill().unwrap();
    child.wait().unwrap();
}

/// Killed while a keyed request runs, the gateway pins its retry to the engine that may still run
/// it: within the scope and window it goes there and nowhere else.
#[test]
fn a_retry_after_a_kill_goes_to_the_engine_that_may_have_run_it_and_nowhere_else() {
    let directory = tempfile::tempdir().unwrap();
    let operator = directive(directory.path());
    let engines = [
        Engine::listen("127.0.0.1:0").unwrap(),
        Engine::listen("127.0.0.1:0").unwrap(),
    ];
    let (running, _bulletin) = started(&[&engines[0], &engines[1]], &operator);
    let mut client = running.client();
    client
        .call(1, "load", &keyed("0000000000000001", false), QUERY)
        .unwrap();
    // Whichever engine it goes to, that is the one.
    for engine in engines.iter() {
        engine.listener.set_nonblocking(true).unwrap();
    }
    let until = std::time::Instant::now() + standin::PATIENCE;
    let first = loop {
        assert!(std::time::Instant::now() < until, "nothing was sent");
        if let Some(at) = engines.iter().position(|engine| engine.accept().is_ok()) {
            break at;
        }
    };
    running.kill();
    let (running, _bulletin) = started(&[&engines[0], &engines[1]], &operator);
    for engine in engines.iter() {
        engine.listener.set_nonblocking(false).unwrap();
    }
    let mut client = running.client();
    client
        .call(1, "load", &keyed("0000000000000002", true), QUERY)
        .unwrap();
    let mut end = engines[first].accept().unwrap();
    let serve = next(&mut end, "serve");
    assert_eq!(
        (serve.id(), serve.field("replay")),
        ("0000000000000002", Some(KEY))
    );
    end.answer(
        "0000000000000002",
        "OK",
        "count=1,ticks=5,footprint=5",
        "a\tb\tc\n",
    )
    .unwrap();
    assert!(matches!(client.answer().unwrap(), Answer::Result { .. }));
    // A change without a key that its engine drops has no second try at all, at whichever engine it
    // runs.
    running.kill();
    let (running, _bulletin) = started(&[&engines[first]], &operator);
    let mut client = running.client();
    let unsafe_fields = keyed("0000000000000003", false);
    client.call(2, "change", &unsafe_fields, QUERY).unwrap();
    let mut end = engines[first].accept().unwrap();
    let serve = next(&mut end, "serve");
    assert_eq!(serve.id(), "0000000000000003");
    running.kill();
    let (running, _bulletin) = started(&[&engines[0], &engines[1]], &operator);
    let mut client = running.client();
    client
        .call(1, "change", &keyed("0000000000000004", true), QUERY)
        .unwrap();
    assert_eq!(word(client.answer().unwrap()), "Failed");
    running.kill();
}

/// A stranger under the gateway's name: a marked retry of what it can't know fails, a first try
/// runs, safe classes never notice.
#[test]
fn a_wiped_store_runs_no_retry_that_it_can_not_know() {
    let directory = tempfile::tempdir().unwrap();
    let engine = Engine::listen("127.0.0.1:0").unwrap();
    let (mut running, _bulletin) = started(&[&engine], &directive(directory.path()));
    let mut client = running.client();
    client
        .call(1, "load", &keyed("0000000000000001", true), QUERY)
        .unwrap();
    assert_eq!(word(client.answer().unwrap()), "Failed");
    client
        .call(2, "load", &keyed("0000000000000002", false), QUERY)
        .unwrap();
    let mut end = engine.accept().unwrap();
    assert_eq!(next(&mut end, "serve").id(), "0000000000000002");
    let counters = running.counters_line();
    assert!(
        counters.contains("intents: 1") && counters.contains("doubted: 1"),
        "{counters}"
    );
    running.kill();
}

#[test]
fn a_store_that_can_not_be_used_is_said_with_the_remedy_and_safe_classes_are_served() {
    let directory = tempfile::tempdir().unwrap();
    let engine = Engine::listen("127.0.0.1:0").unwrap();
    let (first, _bulletin) = started(&[&engine], &directive(directory.path()));
    // Two processes on one directory.
    let bulletin = Bulletin::listen("127.0.0.1:0").unwrap();
    let config: Value = config(bulletin.address(), &[engine.address()]);
    let mut second = Running::launched(&config, &directive(directory.path()));
    let line = second.line_with("store ");
    assert!(
        line.contains("another process has the store") && line.contains("name another directory"),
        "{line}"
    );
    second.listens();
    let mut client = second.client();
    client
        .call(1, "load", &keyed("0000000000000001", false), QUERY)
        .unwrap();
    match client.answer().unwrap() {
        Answer::Error { word, fields, .. } => {
            assert_eq!(word, "TryLater");
            assert!(
                fields
                    .iter()
                    .any(|(name, value)| name == "w" && value != "0"),
                "{fields:?}"
            );
        }
        other => panic!("{other:?}"),
    }
    client
        .call(
            2,
            "report",
            &[("i", "0000000000000002"), ("d", "15000"), ("t", "acme")],
            QUERY,
        )
        .unwrap();
    assert_eq!(
        next(&mut engine.accept().unwrap(), "serve").id(),
        "0000000000000002"
    );
    first.kill();
    second.kill();
}

#[test]
fn the_command_line_says_what_a_store_holds_and_rewrites_it() {
    let directory = tempfile::tempdir().unwrap();
    let engine = Engine::listen("127.0.0.1:0").unwrap();
    let (running, _bulletin) = started(&[&engine], &directive(directory.path()));
    let mut client = running.client();
    client
        .call(1, "load", &keyed("0000000000000001", false), QUERY)
        .unwrap();
    next(&mut engine.accept().unwrap(), "serve");
    let path = directory.path().to_str().unwrap();
    let said = |words: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_eideryard"))
            .args(words)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned(),
        )
    };
    let (code, text) = said(&["store", "compact", path]);
    assert!(
        code == Some(1) && text.contains("another process has the store"),
        "{text}"
    );
    running.kill();
    let (code, text) = said(&["store", "check", path]);
    assert!(
        code == Some(0) && text.contains("1 keys") && text.contains("whole"),
        "{text}"
    );
    let (code, text) = said(&["store", "dump", path]);
    assert!(code == Some(0) && text.contains("0abc Intent"), "{text}");
    assert_eq!(said(&["store", "compact", path]).0, Some(0));
    assert!(said(&["store", "check", path]).1.contains("1 keys"));
    let (code, text) = said(&["store", "check", "/nowhere/at/all"]);
    assert!(
        code == Some(1) && text.contains("no such directory"),
        "{text}"
    );
}

/// What was learned comes back after a planned restart with its age, and not under other settings.
#[test]
fn learned_figures_come_back_as_hints_and_are_dropped_under_other_settings() {
    let directory = tempfile::tempdir().unwrap();
    let engine = Engine::listen("127.0.0.1:0").unwrap();
    let bulletin = Bulletin::listen("127.0.0.1:0").unwrap();
    let mut config = config(bulletin.address(), &[engine.address()]);
    let operator = directive(directory.path());
    let mut first = Running::start_with(&config, &operator);
    first.terminate();
    first.ended();
    let mut again = Running::launched(&config, &operator);
    let line = again.line_with("learned estimates");
    assert!(
        line.contains("of 1 engines") && line.contains("weight decreases with their age"),
        "{line}"
    );
    again.listens();
    again.terminate();
    again.ended();
    config["settings"]["peers-total"] = json!(2);
    let mut other = Running::launched(&config, &operator);
    let line = other.line_with("learned estimates");
    assert!(
        line.contains("dropped") && line.contains("settings differ"),
        "{line}"
    );
    other.kill();
}
