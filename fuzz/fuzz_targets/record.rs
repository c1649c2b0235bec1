//! Any bytes as frames and as one frame's payload: entries or an error, and what is read can be
//! written again. From this folder's parent: `cargo fuzz run record`.
#![no_main]

use eideryard_event_log::codec::{Context, Decoder};
use eideryard_event_log::frame::{find_frame, FrameSearch, FRAME_HEADER_BYTES};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    let mut rest = bytes;
    while !rest.is_empty() {
        rest = match find_frame(rest) {
            FrameSearch::Frame(frame) => &rest[FRAME_HEADER_BYTES + frame.length..],
            FrameSearch::NotFound(count) => &rest[count.min(rest.len())..],
            FrameSearch::Incomplete(_) => &rest[1..],
        };
    }
    let mut decoder = Decoder::new(bytes, Context::new(0));
    let (mut out, mut context) = (Vec::new(), Context::new(0));
    while let Ok(Some((at, entry))) = decoder.next_entry() {
        out.clear();
        context.encode(&mut out, at, entry.as_ref());
    }
});
