//! The codec with messages that are complete, cut into pieces, malformed or corrupted.

use eideryard_msgpack_rpc::*;

fn call(id: u64) -> Vec<u8> {
    let mut out = vec![0x94, 0];
    rmp::encode::write_uint(&mut out, id).unwrap();
    rmp::encode::write_str(&mut out, "report").unwrap();
    out.push(0x92);
    rmp::encode::write_map_len(&mut out, 2).unwrap();
    for text in ["i", "9b1f03aa5c7e2d41", "d", "1500"] {
        rmp::encode::write_str(&mut out, text).unwrap();
    }
    rmp::encode::write_bin(&mut out, b"SELECT 1").unwrap();
    out
}

fn expected(id: u32) -> Message<'static> {
    let fields = vec![("i", "9b1f03aa5c7e2d41"), ("d", "1500")];
    Message::Call {
        id,
        method: "report",
        fields,
        body: b"SELECT 1",
    }
}

#[test]
fn messages_are_decoded_only_when_complete_and_one_after_the_other() {
    let mut bytes = call(7);
    let one = bytes.len();
    assert_eq!(decode(&bytes), Ok(Some((expected(7), one))));
    (0..one).for_each(|cut| assert_eq!(decode(&bytes[..cut]), Ok(None), "cut at {cut}"));
    bytes.extend(call(70_000));
    assert_eq!(decode(&bytes).unwrap().unwrap().1, one);
    assert_eq!(
        decode(&bytes[one..]),
        Ok(Some((expected(70_000), bytes.len() - one)))
    );
}

#[test]
fn cancel_notifications_and_health_checks_are_decoded() {
    let forget = [
        0x93, 2, 0xa6, b'f', b'o', b'r', b'g', b'e', b't', 0x92, 7, 0xcd, 1, 0,
    ];
    assert_eq!(
        decode(&forget),
        Ok(Some((Message::Cancel { ids: vec![7, 256] }, forget.len())))
    );
    let health = [
        0x94, 0, 8, 0xa6, b'i', b's', b'W', b'e', b'l', b'l', 0x91, 0x80,
    ];
    let expected = Message::CallWithoutBody {
        id: 8,
        method: "isWell",
        fields: vec![],
    };
    assert_eq!(decode(&health), Ok(Some((expected, health.len()))));
}

#[test]
fn a_request_with_unsupported_parameters_keeps_its_id() {
    for parameters in [&[0x91, 5][..], &[0x80], &[0x92, 0x80, 5], &[0xc0]] {
        let mut bytes = vec![0x94, 0, 9, 0xa1, b'x'];
        bytes.extend(parameters);
        assert_eq!(
            decode(&bytes),
            Ok(Some((Message::InvalidRequest { id: 9 }, bytes.len()))),
            "{parameters:x?}"
        );
    }
    let other = [0x93, 2, 0xa1, b'x', 0x90];
    assert_eq!(decode(&other), Ok(Some((Message::Other, other.len()))));
    // A field whose value is not a string is skipped, and a number may be of a signed type.
    let odd = [
        0x94, 0, 0xd2, 0, 0, 0, 9, 0xa1, b'x', 0x92, 0x82, 0xa1, b'a', 5, 0xa1, b'b', 0xa1, b'c',
        0xc4, 0,
    ];
    let call = Message::Call {
        id: 9,
        method: "x",
        fields: vec![("b", "c")],
        body: b"",
    };
    assert_eq!(decode(&odd), Ok(Some((call, odd.len()))));
}

#[test]
fn malformed_messages_and_those_over_a_limit_are_errors() {
    let deep = [vec![0x94, 0, 1, 0xa1, b'x'], vec![0x91; 64]].concat();
    let endless = [0x94, 0, 1, 0xa1, b'x', 0xdd, 0xff, 0xff, 0xff, 0xff];
    let huge = [
        0x94, 0, 1, 0xa1, b'x', 0x92, 0x80, 0xc6, 0xff, 0xff, 0xff, 0xff,
    ];
    let cases: [&[u8]; 7] = [
        &[0xc1],
        b"GET / HTTP/1.1",
        &[0x94, 7],
        &[0x95, 0],
        &deep,
        &endless,
        &huge,
    ];
    for bytes in cases.into_iter() {
        assert_eq!(decode(bytes), Err(Malformed), "{bytes:x?}");
    }
    let mut long = vec![0x94, 0, 1, 0xa1, b'x', 0x92, 0x80, 0xc6, 0, 0x10, 0, 0];
    long.resize(MAX_BYTES, 0);
    assert_eq!(decode(&long), Err(Malformed));
}

/// Guards against quadratic work: each piece of a long message makes the decoder start over, so a
/// message with too many values must be rejected before it is complete.
#[test]
fn a_message_with_too_many_values_is_an_error_before_it_is_complete() {
    let forget = |count: u32| {
        let mut bytes = vec![0x93, 2, 0xa6, b'f', b'o', b'r', b'g', b'e', b't', 0xdd];
        bytes.extend(count.to_be_bytes());
        bytes.resize(bytes.len() + count as usize, 1);
        bytes
    };
    let ids = vec![1; 1000];
    assert_eq!(
        decode(&forget(1000)),
        Ok(Some((Message::Cancel { ids }, forget(1000).len())))
    );
    let long = forget(1_000_000);
    assert_eq!(decode(&long[..MAX_VALUES / 2]), Ok(None));
    assert_eq!(decode(&long[..2 * MAX_VALUES]), Err(Malformed));
}

#[test]
fn corrupted_messages_never_cause_a_panic() {
    let mut rng = fastrand::Rng::with_seed(17);
    for _ in 0..20_000 {
        let mut bytes = call(rng.u64(..));
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        bytes.truncate(rng.usize(..=bytes.len()));
        if let Ok(Some((_, length))) = decode(&bytes) {
            assert!(length <= bytes.len());
        }
    }
}

#[test]
fn responses_are_encoded_as_the_protocol_defines() {
    let mut out = Vec::new();
    write_result(&mut out, 7, [&b"a\tb"[..], &b"\n"[..]].into_iter());
    assert_eq!(
        out,
        [&[0x94, 1, 7, 0xc0, 0x92, 0xc4, 4][..], b"a\tb\n", &[0x80]].concat()
    );
    out.clear();
    write_error(&mut out, 7, "TryLater", &[("w", "250")]);
    let error = [
        &[0x94, 1, 7, 0x92, 0xa8][..],
        b"TryLater",
        &[0x81, 0xa1, b'w', 0xa3],
        b"250",
        &[0xc0],
    ]
    .concat();
    assert_eq!(out, error);
    out.clear();
    write_health(&mut out, 300, true);
    assert_eq!(out, [0x94, 1, 0xcd, 1, 44, 0xc0, 0x92, 0xc3, 0x80]);
    assert_eq!(decode(&out), Ok(Some((Message::Other, out.len()))));
}
