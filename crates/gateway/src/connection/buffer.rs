//! The bytes of a connection that wait in one direction.

#[cfg(test)]
mod tests;

/// Bytes that are read at once, and the capacity that an emptied buffer keeps.
pub(super) const READ_CHUNK_BYTES: usize = 16 << 10;

/// Bytes that were received and not used yet, or are to be sent; one allocation, compacted in
/// place.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
}

impl Buffer {
    /// All bytes that wait.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// How many bytes wait.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Whether no byte waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        self.consume(self.len());
    }

    /// Where bytes are appended.
    pub fn tail(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Removes bytes from the middle, counted from the first that waits.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.bytes.drain(self.start + from..self.start + to);
    }

    /// Removes the first bytes.
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
        }
    }
}
