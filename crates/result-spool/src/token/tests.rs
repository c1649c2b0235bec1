//! Tests of this module, on small inputs.

use super::*;

const TOKEN: Token = Token {
    result: 7 << 32 | 3,
    epoch: 1_000,
    page: 12,
    expires: 5_000,
};

#[test]
fn a_token_names_its_page_and_keys_are_rotated() {
    let old = Keys::new("first", None);
    let new = Keys::new("second", Some("first"));
    let newest = Keys::new("third", Some("second"));
    let text = old.write(&TOKEN, "acme");
    assert_eq!(text.len(), LENGTH);
    assert_eq!(old.read(&text, "acme", 1_000, 4_999), Ok(TOKEN));
    assert_eq!(
        new.read(&text, "acme", 1_000, 4_999),
        Ok(TOKEN),
        "the key before is taken too"
    );
    assert_eq!(
        newest.read(&text, "acme", 1_000, 4_999),
        Err(TokenError::Forged)
    );
    assert_eq!(
        old.read(&text, "rival", 1_000, 4_999),
        Err(TokenError::Forged),
        "another client's"
    );
    assert_eq!(
        old.read(&text, "acme", 1_000, 5_000),
        Err(TokenError::Expired)
    );
    assert_eq!(old.read(&text, "acme", 2_000, 4_999), Err(TokenError::Gone));
}

#[test]
fn whatever_is_changed_it_is_forged() {
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
    let long = [
        text.clone() + "A",
        "é".repeat(LENGTH / 2),
        "=".repeat(LENGTH),
    ];
    for text in ["", "x", &text[1..], &long[0], &long[1], &long[2]] {
        assert_eq!(
            keys.read(text, "acme", 1_000, 0),
            Err(TokenError::Forged),
            "{text}"
        );
    }
}
