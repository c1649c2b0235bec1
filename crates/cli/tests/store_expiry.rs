//! The intents of requests that run for longer than the window of their class, while the store's
//! log is rewritten.

mod common;

use common::scripted::{Answer, Bulletin, Client, Engine, EngineConnection, PATIENCE};
use common::*;
use serde_json::json;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

const LONG_KEY: &str = "00000000000000000000000000000abc";
const LONG_ID: &str = "0000000000000001";
/// With the smallest budget, a log of 128 KB is rewritten.
const OPERATOR: &str = "store-budget 1MB\n";
const WINDOW_US: u64 = 1_000_000;
/// The retry window and the two margins of 2 s for which an intent was kept on disk after its send.
const EXPIRY_AFTER_SEND: Duration = Duration::from_millis(5_200);
const SHORT_REQUEST_INTERVAL: Duration = Duration::from_millis(20);

fn load_fields<'a>(id: &'a str, key: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![("i", id), ("d", "30000"), ("t", "acme"), ("k", key)]
}

/// Answers all commands but those of the long request.
fn answer_others(mut connection: EngineConnection) {
    while let Ok(command) = connection.command() {
        if command.verb() == "serve" && command.id() != LONG_ID {
            let answered = connection.answer(
                command.id(),
                "OK",
                "count=1,ticks=5,footprint=5",
                "a\tb\tc\n",
            );
            if answered.is_err() {
                break;
            }
        }
    }
}

fn serve_short_request(client: &mut Client, number: u64) {
    let id = format!("{:016x}", 0x1_0000 + number);
    let key = format!("{:032x}", 0x1_0000 + number);
    let fields = load_fields(&id, &key);
    client.call(2 + number, "load", &fields, QUERY).unwrap();
    let answer = client.answer().unwrap();
    assert!(matches!(answer, Answer::Result { .. }), "{answer:?}");
}

/// Returns the lowest number of a segment in the store's directory. It grows when a snapshot has
/// replaced older segments.
fn first_segment(directory: &Path) -> Option<String> {
    let entries = std::fs::read_dir(directory).unwrap();
    let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    names.filter(|name| name.ends_with(".seg")).min()
}

/// A keyed request runs for longer than its intent was kept on disk after the send. Guards against
/// a rewrite of the log that drops the intent, so that a restarted gateway sends the request again.
#[test]
fn an_intent_in_flight_survives_a_rewrite_of_the_log_after_its_window() {
    let directory = tempfile::tempdir().unwrap();
    let engine = Engine::listen("127.0.0.1:0").unwrap();
    let bulletin = Bulletin::listen("127.0.0.1:0").unwrap();
    let mut config = config(bulletin.address(), &[engine.address()]);
    config["settings"]["grades"][1]["window-us"] = json!(WINDOW_US);
    let operator = format!("store-dir \"{}\"\n{OPERATOR}", directory.path().display());
    let gateway = GatewayProcess::start_with_operator(&config, &operator);
    std::thread::spawn(move || {
        while let Ok(connection) = engine.accept() {
            std::thread::spawn(move || answer_others(connection));
        }
    });
    let mut long_client = gateway.client();
    long_client
        .call(1, "load", &load_fields(LONG_ID, LONG_KEY), QUERY)
        .unwrap();

    let mut client = gateway.client();
    let mut number = 0;
    // Without answers the engine would count as silent.
    let expires_at = Instant::now() + EXPIRY_AFTER_SEND;
    while Instant::now() < expires_at {
        serve_short_request(&mut client, number);
        number += 1;
        std::thread::sleep(SHORT_REQUEST_INTERVAL);
    }
    let before = first_segment(directory.path());
    let deadline = Instant::now() + PATIENCE;
    while first_segment(directory.path()) == before {
        assert!(Instant::now() < deadline, "the log was not rewritten");
        serve_short_request(&mut client, number);
        number += 1;
    }
    gateway.kill();
    let dump = Command::new(env!("CARGO_BIN_EXE_eideryard"))
        .args(["store", "dump", directory.path().to_str().unwrap()])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&dump.stdout).into_owned();
    assert!(text.contains("0abc Intent"), "{text}");
}
