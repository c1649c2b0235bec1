//! The store of a gateway process: it is off without a directive, intents survive a kill, an
//! unusable store is reported, and the `store` commands work on its directory. Guards against
//! second runs of requests after a restart.

mod common;

use common::scripted::{Answer, Bulletin, Engine};
use common::*;
use serde_json::{json, Value};
use std::path::Path;
use std::process::Command;

fn start_with_store(engines: &[&Engine], operator: &str) -> (GatewayProcess, Bulletin) {
    let bulletin = Bulletin::listen("127.0.0.1:0").unwrap();
    let mut config = config(
        bulletin.address(),
        &engines.iter().map(|e| e.address()).collect::<Vec<_>>(),
    );
    // Engines share no idempotency keys: each is a cell of its own, and the group of keyed requests
    // is the cell.
    let hosts = &mut config["known"]["items"][0]["roster"]["hosts"];
    for (block, host) in hosts.as_array_mut().unwrap().iter_mut().enumerate() {
        host["block"] = json!(block);
    }
    config["settings"]["grades"][1]["group"] = json!("cell");
    (
        GatewayProcess::start_with_operator(&config, operator),
        bulletin,
    )
}

fn store_directive(directory: &Path) -> String {
    format!("store-dir \"{}\"\n", directory.display())
}

const KEY: &str = "00000000000000000000000000000abc";

fn keyed_fields(id: &str, is_retry: bool) -> Vec<(&str, &str)> {
    let mut fields = vec![("i", id), ("d", "15000"), ("t", "acme"), ("k", KEY)];
    fields.extend(is_retry.then_some(("r", "1")));
    fields
}

fn error_word(answer: Answer) -> String {
    match answer {
        Answer::Error { word, .. } => word,
        other => format!("{other:?}"),
    }
}

/// Every optional feature is off by default: without an operator's file, `run` has no threads,
/// sockets or files open for writing for such features.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, from its beginning to its end"
)]
fn without_directives_run_has_one_thread_one_listener_no_udp_socket_and_writes_no_file() {
    let engine = Engine::listen("127.0.0.1:0").unwrap();
    let bulletin = Bulletin::listen("127.0.0.1:0").unwrap();
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("config.json");
    std::fs::write(
        &path,
        config(bulletin.address(), &[engine.address()]).to_string(),
    )
    .unwrap();
    // The platform starts the program like this: with the configuration and nothing else.
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
        let is_writable = u32::from_str_radix(flags, 8).unwrap() & 3 != 0;
        if let Some(inode) = target.strip_prefix("socket:[") {
            sockets.push(inode.trim_end_matches(']').to_string());
        } else if target.starts_with('/') && !target.starts_with("/dev/") && number > 2 {
            assert!(!is_writable, "{target} is open for writing");
        }
    }
    let count_sockets = |table: &str, state: &str| {
        let rows = std::fs::read_to_string(format!("{process}/net/{table}")).unwrap_or_default();
        let rows = rows.lines().skip(1).map(|row| {
            row.split_whitespace()
                .map(str::to_string)
                .collect::<Vec<_>>()
        });
        let matching =
            rows.filter(|row| sockets.contains(&row[9]) && (state.is_empty() || row[3] == state));
        matching.count()
    };
    assert_eq!(
        (
            count_sockets("tcp", "0A"),
            count_sockets("tcp6", "0A"),
            count_sockets("udp", ""),
            count_sockets("udp6", "")
        ),
        (1, 0, 0, 0)
    );
    child.kill().unwrap();
    child.wait().unwrap();
}

/// The gateway is killed while a keyed request runs. After the restart, as long as the window of
/// the class lasts, the gateway sends a retry of the request only to the cell that may have run the
/// request, because only that cell's engine knows the key.
#[test]
fn a_retry_after_a_kill_goes_only_to_the_engine_that_may_have_run_the_request() {
    let directory = tempfile::tempdir().unwrap();
    let operator = store_directive(directory.path());
    let engines = [
        Engine::listen("127.0.0.1:0").unwrap(),
        Engine::listen("127.0.0.1:0").unwrap(),
    ];
    let (gateway, _bulletin) = start_with_store(&[&engines[0], &engines[1]], &operator);
    let mut client = gateway.client();
    client
        .call(1, "load", &keyed_fields("0000000000000001", false), QUERY)
        .unwrap();
    // Either engine may get the request.
    for engine in engines.iter() {
        engine.listener.set_nonblocking(true).unwrap();
    }
    let deadline = std::time::Instant::now() + scripted::PATIENCE;
    let first = loop {
        assert!(std::time::Instant::now() < deadline, "nothing was sent");
        if let Some(at) = engines.iter().position(|engine| engine.accept().is_ok()) {
            break at;
        }
    };
    gateway.kill();
    let (gateway, _bulletin) = start_with_store(&[&engines[0], &engines[1]], &operator);
    for engine in engines.iter() {
        engine.listener.set_nonblocking(false).unwrap();
    }
    let mut client = gateway.client();
    client
        .call(1, "load", &keyed_fields("0000000000000002", true), QUERY)
        .unwrap();
    let mut end = engines[first].accept().unwrap();
    let serve = next_command(&mut end, "serve");
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
    // An unsafe request that may have run before the kill fails without a second attempt, whichever
    // engine ran it.
    gateway.kill();
    let (gateway, _bulletin) = start_with_store(&[&engines[first]], &operator);
    let mut client = gateway.client();
    let unsafe_fields = keyed_fields("0000000000000003", false);
    client.call(2, "change", &unsafe_fields, QUERY).unwrap();
    let mut end = engines[first].accept().unwrap();
    let serve = next_command(&mut end, "serve");
    assert_eq!(serve.id(), "0000000000000003");
    gateway.kill();
    let (gateway, _bulletin) = start_with_store(&[&engines[0], &engines[1]], &operator);
    let mut client = gateway.client();
    client
        .call(1, "change", &keyed_fields("0000000000000004", true), QUERY)
        .unwrap();
    assert_eq!(error_word(client.answer().unwrap()), "Failed");
    gateway.kill();
}

/// A gateway with an empty store doesn't know what ran before it started. A request that is marked
/// as a retry fails, since it may have run; a request that is not marked runs. Safe classes are not
/// affected.
#[test]
fn a_gateway_with_a_wiped_store_fails_marked_retries() {
    let directory = tempfile::tempdir().unwrap();
    let engine = Engine::listen("127.0.0.1:0").unwrap();
    let (mut gateway, _bulletin) = start_with_store(&[&engine], &store_directive(directory.path()));
    let mut client = gateway.client();
    client
        .call(1, "load", &keyed_fields("0000000000000001", true), QUERY)
        .unwrap();
    assert_eq!(error_word(client.answer().unwrap()), "Failed");
    client
        .call(2, "load", &keyed_fields("0000000000000002", false), QUERY)
        .unwrap();
    let mut end = engine.accept().unwrap();
    assert_eq!(next_command(&mut end, "serve").id(), "0000000000000002");
    let counters = gateway.log_counters();
    assert!(
        counters.contains("intents: 1") && counters.contains("doubted: 1"),
        "{counters}"
    );
    gateway.kill();
}

#[test]
fn an_unusable_store_is_reported_with_a_remedy_and_safe_classes_are_served() {
    let directory = tempfile::tempdir().unwrap();
    let engine = Engine::listen("127.0.0.1:0").unwrap();
    let (first, _bulletin) = start_with_store(&[&engine], &store_directive(directory.path()));
    // A second process uses the same directory.
    let bulletin = Bulletin::listen("127.0.0.1:0").unwrap();
    let config: Value = config(bulletin.address(), &[engine.address()]);
    let mut second = GatewayProcess::spawn(&config, &store_directive(directory.path()));
    let line = second.wait_for_line("store ");
    assert!(
        line.contains("another process has the store") && line.contains("name another directory"),
        "{line}"
    );
    second.wait_until_listening();
    let mut client = second.client();
    client
        .call(1, "load", &keyed_fields("0000000000000001", false), QUERY)
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
        next_command(&mut engine.accept().unwrap(), "serve").id(),
        "0000000000000002"
    );
    first.kill();
    second.kill();
}

#[test]
fn the_store_commands_check_dump_and_compact_a_store() {
    let directory = tempfile::tempdir().unwrap();
    let engine = Engine::listen("127.0.0.1:0").unwrap();
    let (gateway, _bulletin) = start_with_store(&[&engine], &store_directive(directory.path()));
    let mut client = gateway.client();
    client
        .call(1, "load", &keyed_fields("0000000000000001", false), QUERY)
        .unwrap();
    next_command(&mut engine.accept().unwrap(), "serve");
    let path = directory.path().to_str().unwrap();
    let run_program = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_eideryard"))
            .args(arguments)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned(),
        )
    };
    let (code, text) = run_program(&["store", "compact", path]);
    assert!(
        code == Some(1) && text.contains("another process has the store"),
        "{text}"
    );
    gateway.kill();
    let (code, text) = run_program(&["store", "check", path]);
    assert!(
        code == Some(0) && text.contains("1 keys") && text.contains("whole"),
        "{text}"
    );
    let (code, text) = run_program(&["store", "dump", path]);
    assert!(code == Some(0) && text.contains("0abc Intent"), "{text}");
    assert_eq!(run_program(&["store", "compact", path]).0, Some(0));
    assert!(run_program(&["store", "check", path]).1.contains("1 keys"));
    let (code, text) = run_program(&["store", "check", "/nowhere/at/all"]);
    assert!(
        code == Some(1) && text.contains("no such directory"),
        "{text}"
    );
}

/// Learned estimates are restored after a planned restart, discounted by their age, and dropped if
/// the settings have changed.
#[test]
fn learned_estimates_are_restored_as_hints_and_dropped_under_other_settings() {
    let directory = tempfile::tempdir().unwrap();
    let engine = Engine::listen("127.0.0.1:0").unwrap();
    let bulletin = Bulletin::listen("127.0.0.1:0").unwrap();
    let mut config = config(bulletin.address(), &[engine.address()]);
    let operator = store_directive(directory.path());
    let mut first = GatewayProcess::start_with_operator(&config, &operator);
    first.terminate();
    first.wait_for_exit();
    let mut again = GatewayProcess::spawn(&config, &operator);
    let line = again.wait_for_line("learned estimates");
    assert!(
        line.contains("of 1 engines") && line.contains("weight decreases with their age"),
        "{line}"
    );
    again.wait_until_listening();
    again.terminate();
    again.wait_for_exit();
    config["settings"]["peers-total"] = json!(2);
    let mut other = GatewayProcess::spawn(&config, &operator);
    let line = other.wait_for_line("learned estimates");
    assert!(
        line.contains("dropped") && line.contains("settings differ"),
        "{line}"
    );
    other.kill();
}
