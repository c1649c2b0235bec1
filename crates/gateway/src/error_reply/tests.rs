//! Clients match the error codes and field names of errors, so neither may change when names in the
//! code change.

use eideryard_msgpack_rpc::write_error;

use super::*;

fn encode(reply: &ErrorReply<'_>) -> Vec<u8> {
    let mut output = Vec::new();
    reply.write(&mut output, 7);
    output
}

fn expected_bytes(word: &str, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut output = Vec::new();
    write_error(&mut output, 7, word, fields);
    output
}

#[test]
fn each_kind_of_error_has_its_word_on_the_wire() {
    let words = [
        (ErrorKind::TryLater, "TryLater"),
        (ErrorKind::Failed, "Failed"),
        (ErrorKind::Invalid, "Invalid"),
        (ErrorKind::Gone, "Gone"),
        (ErrorKind::Forged, "Forged"),
    ];
    for (kind, word) in words {
        assert_eq!(encode(&ErrorReply::new(kind)), expected_bytes(word, &[]));
    }
}

#[test]
fn reason_comes_before_the_delay_in_milliseconds() {
    let reply = ErrorReply {
        retry_after: Some(1_250_999),
        ..ErrorReply::with_reason(ErrorKind::TryLater, "full")
    };
    let fields = [("why", "full"), ("w", "1250")];
    assert_eq!(encode(&reply), expected_bytes("TryLater", &fields));
}

#[test]
fn invalid_request_is_answered_with_the_name_of_its_field() {
    let reply = ErrorReply {
        field: Some("d"),
        ..ErrorReply::new(ErrorKind::Invalid)
    };
    assert_eq!(encode(&reply), expected_bytes("Invalid", &[("field", "d")]));
}
