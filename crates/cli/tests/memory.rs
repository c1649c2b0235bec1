//! The memory limit that the platform grants: a gateway that exceeds it is killed, and all that it
//! had taken is lost. The limits on buffered bytes must cover everything that grows with the length
//! of clients' messages.

mod common;

use common::scripted::{self, Client};
use common::{addresses, config, fields, start_emulators, GatewayProcess};
use serde_json::json;

/// The least limit that a gateway has to run with.
const MEMORY_LIMIT_MB: u64 = 32;
/// The length of the longest statement that fits into a message, with its fields.
const LONG_STATEMENT_BYTES: usize = 1_000_000;

/// Starts a gateway with the least memory limit, and one engine that answers at once.
fn start_with_least_memory() -> (scripted::Bulletin, GatewayProcess) {
    let (bulletin, mut engines) = start_emulators(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["limits"]["memory_mb"] = json!(MEMORY_LIMIT_MB);
    let gateway = GatewayProcess::start(&configured);
    engines.remove(0).answer_all(1, "a\tb\tc\n".to_string());
    (bulletin, gateway)
}

/// A load of many short rows, which has a token for each of its bytes.
fn load_statement(bytes: usize) -> Vec<u8> {
    let mut statement = b"INSERT INTO readings_17.batches VALUES ".to_vec();
    while statement.len() + 8 < bytes {
        statement.extend(b"(7,4,1),");
    }
    statement.extend(b"(7,4,1)");
    statement
}

fn load_message(number: u64, bytes: usize) -> Vec<u8> {
    let (id, key) = (format!("{number:016x}"), format!("{number:032x}"));
    let mut fields = fields(&id, "15000");
    fields.push(("k", &key));
    scripted::call(number, "load", &fields, &load_statement(bytes))
}

fn assert_within_limit(gateway: &GatewayProcess) {
    let peak_kb = gateway.peak_memory_kb();
    assert!(
        peak_kb <= MEMORY_LIMIT_MB << 10,
        "{peak_kb} KB of {MEMORY_LIMIT_MB} MB"
    );
}

// Guards against a gateway that is killed because it collects the tokens of a long statement
// (docs/incidents/long-statements.md).
#[test]
fn long_statements_keep_a_gateway_within_its_memory_limit() {
    let (_bulletin, gateway) = start_with_least_memory();
    let lengths = [200_000, 500_000, LONG_STATEMENT_BYTES, LONG_STATEMENT_BYTES];
    for (number, bytes) in (1..).zip(lengths) {
        let mut client = gateway.client();
        client.write_raw(&load_message(number, bytes)).unwrap();
        client.answer().expect("an answer");
    }
    assert_within_limit(&gateway);
}

// Guards against a gateway that is killed because the input of each connection retains the capacity
// for a long message while a part of the next one is there.
#[test]
fn clients_that_have_sent_long_messages_keep_a_gateway_within_its_memory_limit() {
    const CLIENTS: u64 = 48;
    let (_bulletin, gateway) = start_with_least_memory();
    let mut clients: Vec<Client> = Vec::new();
    for number in 1..=CLIENTS {
        let mut client = gateway.client();
        let mut bytes = load_message(number, LONG_STATEMENT_BYTES);
        let begin_of_next_message = load_message(number, 0)[0];
        bytes.push(begin_of_next_message);
        client.write_raw(&bytes).unwrap();
        client.answer().expect("an answer");
        clients.push(client);
    }
    assert_within_limit(&gateway);
}
