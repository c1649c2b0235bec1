//! The codec with answers that are complete, cut into pieces, malformed or corrupted, and with all
//! commands.

use eideryard_engine_protocol::*;

const VALID_ANSWER: &[u8] =
    b"9b1f OK count=2,ticks=80.5,footprint=96,report=inflight:7;util:0.61 6\r\na\tb\tc\n\r\n";

#[test]
fn answers_are_decoded_only_when_complete_and_one_after_the_other() {
    let (answer, length) = decode(VALID_ANSWER).unwrap().unwrap();
    assert_eq!(
        (answer.id, answer.kind, answer.payload, length),
        (
            "9b1f",
            AnswerKind::Ok,
            &b"a\tb\tc\n"[..],
            VALID_ANSWER.len()
        )
    );
    assert_eq!(answer.fields.number::<usize>("count"), Some(2));
    assert_eq!(answer.fields.number::<f64>("ticks"), Some(80.5));
    assert_eq!(answer.fields.get("pos"), None);
    let report: Vec<_> = answer.fields.report().unwrap().collect();
    assert_eq!(report, [("inflight", 7.0), ("util", 0.61)]);
    (0..VALID_ANSWER.len())
        .for_each(|cut| assert_eq!(decode(&VALID_ANSWER[..cut]), Ok(None), "cut at {cut}"));
    let two = [VALID_ANSWER, b"x NOTE - 0\r\n\r\n"].concat();
    let (note, length) = decode(&two[VALID_ANSWER.len()..]).unwrap().unwrap();
    assert_eq!(
        (note.kind, note.fields.get("remark"), length),
        (AnswerKind::Note, None, 14)
    );
}

#[test]
fn malformed_answers_and_those_over_a_limit_are_errors() {
    let long = vec![b'x'; MAX_HEAD];
    let cases: [&[u8]; 9] = [
        b"\r\n",
        b"x OK -\r\n",
        b"x OK - 5 6\r\n",
        b"x WHAT - 0\r\n\r\n",
        b"x OK - -1\r\n\r\n",
        b"x OK - 999999999\r\n",
        b"x OK - 1\r\nabc",
        b"x \xff - 0\r\n\r\n",
        &long,
    ];
    for bytes in cases.into_iter() {
        assert_eq!(decode(bytes), Err(Malformed), "{bytes:?}");
    }
    let head_with_length = |length: usize| format!("x OK - {length}\r\n").into_bytes();
    assert_eq!(decode(&head_with_length(MAX_PAYLOAD)), Ok(None));
    assert_eq!(decode(&head_with_length(MAX_PAYLOAD + 1)), Err(Malformed));
}

#[test]
fn corrupted_answers_never_cause_a_panic() {
    let mut rng = fastrand::Rng::with_seed(23);
    for _ in 0..20_000 {
        let mut bytes = VALID_ANSWER.to_vec();
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(..bytes.len());
            bytes[at] = if rng.bool() {
                rng.u8(..)
            } else {
                *rng.choice(b" =,:;\r\n0").unwrap()
            };
        }
        bytes.truncate(rng.usize(..=bytes.len()));
        if let Ok(Some((answer, length))) = decode(&bytes) {
            assert!(length <= bytes.len());
            answer
                .fields
                .report()
                .into_iter()
                .for_each(|report| _ = report.count());
        }
    }
}

#[test]
fn commands_are_encoded_as_the_protocol_defines() {
    let mut out = Vec::new();
    let mut serve = ServeCommand {
        id: "9b1f",
        class: "report",
        wait_ms: 1200,
        key: Some("5c0f"),
        grant_mb: 640,
        rank: Some(2),
        statement: b"SELECT 1",
    };
    serve.write(&mut out);
    assert_eq!(
        out,
        b"serve 9b1f profile=report,max=1200,replay=5c0f,heap=640,order=2 8\r\nSELECT 1\r\n"
    );
    out.clear();
    (serve.key, serve.grant_mb, serve.rank, serve.statement) = (None, 0, None, b"");
    serve.write(&mut out);
    assert_eq!(out, b"serve 9b1f profile=report,max=1200 0\r\n\r\n");
    out.clear();
    write_cancel(&mut out, "a");
    write_rank_update(&mut out, "a", 3);
    write_read(&mut out, "a", 1);
    write_release(&mut out, "a");
    write_load_probe(&mut out, "t");
    assert_eq!(
        out,
        b"cancel a\r\nweigh a 3\r\nread a 1\r\nrelease a\r\ngauges t\r\n"
    );
}
