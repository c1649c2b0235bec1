//! Tests of the frame encoding: a truncated or corrupted frame must not decode to another message.

use super::*;

fn two_frames() -> Vec<u8> {
    let mut bytes = Vec::new();
    write(&mut bytes, &Frame::Message("first".to_string())).expect("written");
    write(&mut bytes, &Frame::<String>::Heartbeat(7)).expect("written");
    bytes
}

#[test]
fn frames_round_trip_and_incomplete_frames_are_not_decoded() {
    let bytes = two_frames();
    let first = read::<String>(&bytes).expect("sound").expect("whole");
    assert_eq!(first.frame, Frame::Message("first".into()));
    let second = read::<String>(&bytes[first.length..])
        .expect("sound")
        .expect("whole");
    assert_eq!(second.frame, Frame::Heartbeat(7));
    assert_eq!(first.length + second.length, bytes.len());
    for cut in 0..first.length {
        assert_eq!(read::<String>(&bytes[..cut]), Ok(None), "cut at {cut}");
    }
}

#[test]
fn a_corrupted_byte_never_decodes_to_another_message() {
    let bytes = two_frames();
    let first = read::<String>(&bytes).expect("sound").expect("whole");
    for position in 0..first.length {
        for bit in 0..8 {
            let mut corrupted = bytes.clone();
            corrupted[position] ^= 1 << bit;
            if let Ok(Some(decoded)) = read::<String>(&corrupted) {
                assert_eq!(decoded.frame, first.frame, "bit {bit} of byte {position}");
            }
        }
    }
    let mut out = Vec::new();
    let too_long = Frame::Message("x".repeat(MAX_FRAME_BYTES));
    assert!(matches!(
        write(&mut out, &too_long),
        Err(WriteError::TooLong(_))
    ));
    assert!(out.is_empty());
    assert_eq!(
        read::<String>(&[0xff; 64]),
        Err(FrameError::TooLong(u32::MAX))
    );
}
