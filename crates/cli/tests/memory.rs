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

/// The lengths of the first statements; freed memory of these is too short for the next ones.
const FIRST_STATEMENT_BYTES: [usize; 2] = [200_000, 500_000];

/// A load of many short rows, which has a token for each of its bytes.
fn load_message(number: u64, statement_bytes: usize) -> Vec<u8> {
    let (id, key) = (format!("{number:016x}"), format!("{number:032x}"));
    let mut fields = fields(&id, "15000");
    fields.push(("k", &key));
    let mut statement = b"INSERT INTO readings_17.batches VALUES ".to_vec();
    statement.extend(b"(7,4,1),".iter().cycle().take(statement_bytes));
    scripted::call(number, "load", &fields, &statement)
}

// Guards against a gateway that is killed because it collects the tokens of a long statement, or
// because the input of each connection retains the capacity for a long message while a part of the
// next one is there (docs/incidents/long-statements.md).
#[test]
fn clients_with_long_statements_keep_a_gateway_within_its_memory_limit() {
    const CLIENTS: u64 = 48;
    let (bulletin, mut engines) = start_emulators(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["limits"]["memory_mb"] = json!(MEMORY_LIMIT_MB);
    let gateway = GatewayProcess::start(&configured);
    engines.remove(0).answer_all(1, "a\tb\tc\n".to_string());
    let mut clients: Vec<Client> = Vec::new();
    for number in 1..=CLIENTS {
        let mut client = gateway.client();
        let statement_bytes = FIRST_STATEMENT_BYTES.get(clients.len());
        let statement_bytes = *statement_bytes.unwrap_or(&LONG_STATEMENT_BYTES);
        let mut bytes = load_message(number, statement_bytes);
        let begin_of_next_message = bytes[0];
        bytes.push(begin_of_next_message);
        client.write_raw(&bytes).unwrap();
        client.answer().expect("an answer");
        clients.push(client);
    }
    let peak_kb = gateway.peak_memory_kb();
    println!("peak after {CLIENTS} statements of up to {LONG_STATEMENT_BYTES} bytes: {peak_kb} KB");
    assert!(peak_kb <= MEMORY_LIMIT_MB << 10, "{peak_kb} KB");
}
