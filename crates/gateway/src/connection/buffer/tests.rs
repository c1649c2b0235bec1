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
