//! Guards against tokens that are accepted from another client, after their time, or when changed.

use super::*;

const TOKEN: Token = Token {
    result: 7 << 32 | 3,
    epoch: 1_000,
    page: 12,
    expires: 5_000,
};

#[test]
fn a_token_is_valid_for_its_client_its_time_and_two_keys() {
    let old_keys = Keys::new("first", None);
    let new_keys = Keys::new("second", Some("first"));
    let newest_keys = Keys::new("third", Some("second"));
    let text = old_keys.write(&TOKEN, "acme");
    assert_eq!(text.len(), TOKEN_LENGTH);
    assert_eq!(old_keys.read(&text, "acme", 1_000, 4_999), Ok(TOKEN));
    assert_eq!(
        new_keys.read(&text, "acme", 1_000, 4_999),
        Ok(TOKEN),
        "a token signed with the previous key"
    );
    assert_eq!(
        newest_keys.read(&text, "acme", 1_000, 4_999),
        Err(TokenError::Forged)
    );
    assert_eq!(
        old_keys.read(&text, "rival", 1_000, 4_999),
        Err(TokenError::Forged),
        "a token of another client"
    );
    assert_eq!(
        old_keys.read(&text, "acme", 1_000, 5_000),
        Err(TokenError::Expired)
    );
    assert_eq!(
        old_keys.read(&text, "acme", 2_000, 4_999),
        Err(TokenError::Gone)
    );
}

#[test]
fn a_changed_token_is_rejected_as_forged() {
    let keys = Keys::new("secret", None);
    let text = keys.write(&TOKEN, "acme");
    for at in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[at] = if bytes[at] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(bytes).unwrap();
        assert_eq!(
            keys.read(&changed, "acme", 1_000, 0),
            Err(TokenError::Forged),
            "{at}"
        );
    }
    let wrong_lengths = [
        text.clone() + "A",
        "é".repeat(TOKEN_LENGTH / 2),
        "=".repeat(TOKEN_LENGTH),
    ];
    for text in [
        "",
        "x",
        &text[1..],
        &wrong_lengths[0],
        &wrong_lengths[1],
        &wrong_lengths[2],
    ] {
        assert_eq!(
            keys.read(text, "acme", 1_000, 0),
            Err(TokenError::Forged),
            "{text}"
        );
    }
}
