//! Tests of the handshake: a peer with which this gateway can't cooperate must be rejected, with a
//! text that tells the operator the difference.

use super::*;

fn handshake(name: &str) -> Handshake {
    Handshake {
        version: VERSION,
        fleet: "north".into(),
        name: name.into(),
        voters: ["g1", "g2", "g3"].map(str::to_string).to_vec(),
        classes_fingerprint: 5,
        identity: 7,
        start_number: 3,
    }
}

fn known_start(identity: u64, start_number: u64) -> Option<KnownStart> {
    Some(KnownStart {
        identity,
        start_number,
    })
}

#[test]
fn each_difference_is_rejected_with_its_specific_reason() {
    let ours = handshake("g1");
    assert_eq!(
        check_handshake(&ours, &handshake("g2"), Some("g2"), known_start(7, 3)),
        Ok(())
    );
    assert_eq!(
        check_handshake(&ours, &handshake("g2"), None, known_start(8, 9)),
        Ok(()),
        "a new store may have a lower start number"
    );
    type Change = fn(&mut Handshake);
    let changes: [(&str, Change); 6] = [
        ("version", |theirs| theirs.version += 1),
        ("fleet", |theirs| theirs.fleet = "south".into()),
        ("answers at the address", |theirs| theirs.name = "g3".into()),
        ("different keepers", |theirs| theirs.voters.truncate(2)),
        ("different classes", |theirs| {
            theirs.classes_fingerprint += 1;
        }),
        ("an old copy or a second process", |theirs| {
            theirs.start_number -= 1;
        }),
    ];
    for (expected_text, change) in changes {
        let mut theirs = handshake("g2");
        change(&mut theirs);
        let reason = check_handshake(&ours, &theirs, Some("g2"), known_start(7, 3))
            .expect_err(expected_text)
            .to_string();
        assert!(reason.contains(expected_text), "{reason}");
    }
    let reason = check_handshake(&ours, &handshake("g1"), None, None)
        .expect_err("itself")
        .to_string();
    assert!(reason.contains("a name of its own"), "{reason}");
}
