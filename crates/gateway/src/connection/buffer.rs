//! The buffer of a connection for one direction.

#[cfg(test)]
mod tests;

/// The maximum number of bytes in one read, and the capacity that a buffer retains when it is
/// emptied.
pub(super) const READ_CHUNK_BYTES: usize = 16 << 10;
/// A buffer releases memory when bytes are removed and its capacity exceeds the rest by this
/// factor.
const MAX_CAPACITY_RATIO: usize = 4;

/// A byte queue: received bytes that have not been decoded yet, or bytes to be sent. The queue is a
/// single allocation that is compacted in place.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// Bytes before this index have been consumed.
    start: usize,
}

impl Buffer {
    /// Returns the bytes that have not been consumed yet.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Returns the number of bytes that have not been consumed yet.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Returns whether all bytes have been consumed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Discards all bytes.
    pub fn clear(&mut self) {
        self.consume(self.len());
    }

    /// Returns the vector to which bytes are appended; the caller must not change or remove the
    /// bytes that the vector already contains.
    pub fn tail(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Removes the bytes `from..to`, counted from the first byte that has not been consumed yet.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.bytes.drain(self.start + from..self.start + to);
        self.release_excess_capacity();
    }

    /// Removes the first `count` bytes that have not been consumed yet.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start == self.bytes.len() {
            self.start = 0;
            self.bytes.clear();
            self.bytes.shrink_to(READ_CHUNK_BYTES);
        } else if self.start >= self.bytes.len() / 2 {
            self.bytes.copy_within(self.start.., 0);
            self.bytes.truncate(self.bytes.len() - self.start);
            self.start = 0;
            self.release_excess_capacity();
        }
    }

    /// Releases memory if little of it is in use. The limits on buffered bytes count the content
    /// of buffers, so their capacity must not be much larger.
    fn release_excess_capacity(&mut self) {
        let needed = self.bytes.len().max(READ_CHUNK_BYTES);
        if self.bytes.capacity() > MAX_CAPACITY_RATIO * needed {
            self.bytes.shrink_to(needed);
        }
    }
}
