//! A buffer must not grow with the bytes that pass through it: it is compacted, and releases memory
//! when it is emptied.

use super::*;

#[test]
fn buffer_is_compacted_in_place_and_shrinks_when_emptied() {
    let mut buffer = Buffer::default();
    buffer.tail().extend_from_slice(b"abcdefgh");
    buffer.consume(3);
    assert_eq!((buffer.filled(), buffer.start), (&b"defgh"[..], 3));
    buffer.cut(1, 3);
    assert_eq!(buffer.filled(), b"dgh");
    buffer.consume(1);
    assert_eq!((buffer.filled(), buffer.start), (&b"gh"[..], 0));
    buffer.tail().resize(100 * READ_CHUNK_BYTES, 0);
    buffer.clear();
    assert!(
        buffer.is_empty() && buffer.bytes.capacity() <= 2 * READ_CHUNK_BYTES,
        "{}",
        buffer.bytes.capacity()
    );
}

// Guards against a gateway that exceeds its memory limit because connections retain the capacity
// for a long message that was handled or cancelled, which no limit on buffered bytes counts.
#[test]
fn a_buffer_whose_long_message_was_removed_releases_its_memory() {
    const LONG_MESSAGE_BYTES: usize = 64 * READ_CHUNK_BYTES;
    let removals: [fn(&mut Buffer); 2] = [
        |buffer| buffer.consume(LONG_MESSAGE_BYTES),
        |buffer| buffer.cut(0, LONG_MESSAGE_BYTES),
    ];
    for remove in removals {
        let mut buffer = Buffer::default();
        buffer.tail().resize(LONG_MESSAGE_BYTES, b'x');
        buffer.tail().extend_from_slice(b"next");
        remove(&mut buffer);
        assert_eq!(buffer.filled(), b"next");
        assert!(
            buffer.bytes.capacity() <= MAX_CAPACITY_RATIO * READ_CHUNK_BYTES,
            "{}",
            buffer.bytes.capacity()
        );
    }
}
