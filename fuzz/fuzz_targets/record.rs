//! Any bytes as frames and as one frame's payload: entries or an error, and what is read can be
//! written again. From this folder's parent: `cargo fuzz run record`.
#![no_main]

use eideryard_event_log::codec::{Context, Decoder};
use eideryard_event_log::frame::{find, Found, FRAME_HEAD};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    let mut rest = bytes;
    while !rest.is_empty() {
        rest = match find(rest) {
            Found::Frame(frame) => &rest[FRAME_HEAD + frame.length..],
            Found::No(count) => &rest[count.min(rest.len())..],
            Found::More(_) => &rest[1..],
        };
    }
    let mut decoder = Decoder::new(bytes, Context::new(0));
    let (mut out, mut context) = (Vec::new(), Context::new(0));
    while let Ok(Some((at, entry))) = decoder.next() {
        out.clear();
        context.put(&mut out, at, entry.as_ref());
    }
});
