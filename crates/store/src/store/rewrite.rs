//! Segments of a [`Store`]: new logs, and snapshots of all live keys that take the place of older
//! segments, written slice by slice or at once.

use std::io;
use std::ops::Bound;

use super::{disk_bytes, Store};
use crate::files::Log;
use crate::frame::{self, Batch, Frame, Head};
use crate::recovery;

/// A log shorter than this is not rewritten.
const MIN_LOG_BYTES: u64 = 1 << 20;
/// Bytes of live keys after which a part of a snapshot ends.
const PART_BYTES: usize = 32 << 10;

/// A snapshot that is being written.
pub(super) struct Rewrite {
    log: Box<dyn Log>,
    name: String,
    bytes: u64,
    last_key: Option<Box<[u8]>>,
    /// Number of keys that were written.
    writes: u64,
    /// Segments that the snapshot replaces.
    old_segments: Vec<String>,
}

impl Rewrite {
    fn append(&mut self, frame: &Frame) -> io::Result<usize> {
        let mut bytes = Vec::new();
        frame::put(&mut bytes, frame);
        self.log.append(&bytes)?;
        self.bytes += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn append_part(&mut self, part: Batch) -> io::Result<usize> {
        self.writes += part.writes.len() as u64;
        self.append(&Frame::Part(part))
    }
}

/// What a new segment holds.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SegmentKind {
    Log,
    Snapshot,
}

impl Store {
    /// Creates a segment behind a batch.
    fn create_segment(
        &mut self,
        kind: SegmentKind,
        after: u64,
        now_ms: u64,
    ) -> io::Result<(Box<dyn Log>, String)> {
        self.head.number += 1;
        let head = Head {
            snapshot: kind == SegmentKind::Snapshot,
            after,
            acknowledged: self.durable,
            at_ms: now_ms,
            ..self.head
        };
        let name = recovery::segment_name(head.number);
        let mut log = self.files.create(&name)?;
        let mut bytes = Vec::new();
        frame::put_head(&mut bytes, &head);
        log.append(&bytes)?;
        // The head is durable before any frame: a bad head with frames behind it is damage.
        log.sync()?;
        self.files.sync_directory()?;
        self.segment_bytes.insert(name.clone(), bytes.len() as u64);
        Ok((log, name))
    }

    pub(super) fn begin_log(&mut self, now_ms: u64) -> io::Result<()> {
        self.log = None;
        let (log, name) = self.create_segment(SegmentKind::Log, self.durable, now_ms)?;
        self.log = Some(log);
        self.log_name = name;
        Ok(())
    }

    fn begin_rewrite(&mut self, after: u64, now_ms: u64) -> io::Result<Rewrite> {
        let old_segments = self.segment_bytes.keys().cloned().collect();
        let (log, name) = self.create_segment(SegmentKind::Snapshot, after, now_ms)?;
        Ok(Rewrite {
            log,
            name,
            bytes: 0,
            last_key: None,
            writes: 0,
            old_segments,
        })
    }

    /// Whether the log should be rewritten, or is being rewritten.
    pub fn wants_rewriting(&self) -> bool {
        let is_long = self.log_bytes > MIN_LOG_BYTES.min(self.config.budget / 8)
            && self.log_bytes > 2 * self.live_bytes;
        !self.is_broken() && (self.rewrite.is_some() || is_long || self.has_old_segments)
    }

    /// Writes about so many bytes of a snapshot. Returns whether the snapshot is complete and the
    /// segments that it replaces are removed.
    ///
    /// # Errors
    ///
    /// Where a file can't be written; the snapshot is given up then.
    pub fn rewrite(&mut self, now_ms: u64, max_bytes: usize) -> io::Result<bool> {
        if self.rewrite.is_none() {
            self.flush()?;
            self.rewrite = Some(self.begin_rewrite(self.durable, now_ms)?);
            // Batches from now on go to a log behind the snapshot, which may hold some of them
            // already.
            if let Err(e) = self.begin_log(now_ms) {
                self.rewrite = None;
                return Err(e);
            }
            self.log_bytes = 0;
        }
        let Some(mut rewrite) = self.rewrite.take() else {
            return Ok(false);
        };
        let mut remaining = max_bytes;
        while remaining > 0 {
            let part = self.next_part(&mut rewrite, now_ms);
            if part.writes.is_empty() {
                // The snapshot may hold a part of a batch that was written meanwhile; with the log
                // behind it the whole batch is there.
                self.flush()?;
                self.finish_rewrite(rewrite)?;
                return Ok(true);
            }
            remaining = remaining.saturating_sub(rewrite.append_part(part)?);
        }
        let bytes = self.segment_bytes.entry(rewrite.name.clone()).or_default();
        *bytes = rewrite.bytes;
        self.rewrite = Some(rewrite);
        Ok(false)
    }

    /// The next live keys of a snapshot. Keys that have expired are removed.
    fn next_part(&mut self, rewrite: &mut Rewrite, now_ms: u64) -> Batch {
        let last_key = rewrite.last_key.as_deref();
        let first = last_key.map_or(Bound::Unbounded, Bound::Excluded);
        let mut part = Batch::default();
        let mut part_bytes = 0;
        let mut expired = Vec::new();
        for (key, value) in self.keys.range::<[u8], _>((first, Bound::Unbounded)) {
            if value.until_ms != 0 && value.until_ms < now_ms {
                expired.push(key.clone());
                continue;
            }
            part.put(key.to_vec(), value.bytes.to_vec(), value.until_ms);
            part_bytes += disk_bytes(key, &value.bytes) as usize;
            if part_bytes >= PART_BYTES {
                break;
            }
        }
        for key in expired {
            if let Some(value) = self.keys.remove(&key) {
                self.live_bytes -= disk_bytes(&key, &value.bytes);
            }
        }
        if let Some(write) = part.writes.last() {
            rewrite.last_key = Some(write.key.as_slice().into());
        }
        part
    }

    fn finish_rewrite(&mut self, mut rewrite: Rewrite) -> io::Result<()> {
        rewrite.append(&Frame::Whole(rewrite.writes))?;
        rewrite.log.sync()?;
        self.files.sync_directory()?;
        self.segment_bytes.insert(rewrite.name, rewrite.bytes);
        self.has_old_segments = false;
        // The snapshot is durable: only now may the segments that it replaces be removed.
        for name in rewrite.old_segments {
            self.files.remove(&name)?;
            self.segment_bytes.remove(&name);
        }
        self.files.sync_directory()
    }

    /// Writes all keys to new segments, in place of a log that is broken or damaged. Batches that
    /// were not durable are durable then. Returns the number of the last.
    ///
    /// # Errors
    ///
    /// Where a file can't be written; it may be called again.
    pub fn rebuild(&mut self, now_ms: u64) -> io::Result<u64> {
        self.log = None;
        self.rewrite = None;
        // The snapshot holds pending batches too, so their frames are not needed.
        let mut rewrite = self.begin_rewrite(self.last, now_ms)?;
        loop {
            let part = self.next_part(&mut rewrite, now_ms);
            if part.writes.is_empty() {
                break;
            }
            rewrite.append_part(part)?;
        }
        self.finish_rewrite(rewrite)?;
        self.durable = self.last;
        self.pending.clear();
        self.log_bytes = 0;
        self.begin_log(now_ms)?;
        Ok(self.durable)
    }
}
