//! Answers of a gateway that spools results.

use super::scripted::{Answer, Client};

/// Returns lines of an operator's file that turn the spool on, followed by the given lines.
pub fn operator_with_spool(operator_lines: &str) -> String {
    format!("spool-memory 4MB\nspool-key \"a secret for tests only\"\n{operator_lines}")
}

fn field(fields: &[(String, String)], name: &str) -> String {
    fields
        .iter()
        .find(|(field_name, _)| field_name == name)
        .map(|(_, value)| value.clone())
        .unwrap_or_default()
}

/// Reads an answer that is a part of a result: its rows, the token of the next part, and whether there
/// is one.
pub fn read_part(client: &mut Client) -> (Vec<u8>, String, bool) {
    match client.answer().expect("an answer") {
        Answer::Part { body, fields, .. } => {
            (body, field(&fields, "token"), field(&fields, "more") == "1")
        }
        other => panic!("{other:?}"),
    }
}

/// Reads an answer that is an error: its word and its reason.
pub fn read_error(client: &mut Client) -> (String, String) {
    match client.answer().expect("an answer") {
        Answer::Error { word, fields, .. } => (word, field(&fields, "why")),
        other => panic!("{other:?}"),
    }
}
