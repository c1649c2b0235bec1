//! Creation of a [`Store`]'s segments: new logs, and snapshots of all live keys that replace older
//! segments. A snapshot is written in slices or at once.

use std::io;
use std::ops::Bound;

use super::{disk_bytes, Store};
use crate::files::AppendFile;
use crate::frame::{self, Batch, Frame, SegmentHeader, NO_EXPIRY};
use crate::recovery;

/// A log of up to this many bytes, or an eighth of the budget if that is less, is not rewritten.
const MIN_LOG_BYTES: u64 = 1 << 20;
/// A part of a snapshot ends once its keys and values take this many bytes on disk.
const PART_BYTES: usize = 32 << 10;

/// A snapshot that is being written.
pub(super) struct Rewrite {
    file: Box<dyn AppendFile>,
    name: String,
    bytes: u64,
    /// The last key that was written; the next part continues after it.
    last_key: Option<Box<[u8]>>,
    /// Number of keys that have been written so far.
    key_count: u64,
    /// Segments that the snapshot replaces.
    old_segments: Vec<String>,
}

impl Rewrite {
    fn append(&mut self, frame: &Frame) -> io::Result<usize> {
        let mut bytes = Vec::new();
        frame::append(&mut bytes, frame);
        self.file.append(&bytes)?;
        self.bytes += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn append_part(&mut self, part: Batch) -> io::Result<usize> {
        self.key_count += part.writes.len() as u64;
        self.append(&Frame::SnapshotPart(part))
    }
}

/// What a new segment contains.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SegmentKind {
    Log,
    Snapshot,
}

impl Store {
    /// Creates a segment for what follows `after_batch`, and makes the segment's header durable.
    fn create_segment(
        &mut self,
        kind: SegmentKind,
        after_batch: u64,
        now_ms: u64,
    ) -> io::Result<(Box<dyn AppendFile>, String)> {
        self.header.number += 1;
        let header = SegmentHeader {
            is_snapshot: kind == SegmentKind::Snapshot,
            after_batch,
            last_durable_batch: self.durable_batch,
            at_ms: now_ms,
            ..self.header
        };
        let name = recovery::segment_name(header.number);
        let mut file = self.files.create(&name)?;
        let mut bytes = Vec::new();
        frame::append_header(&mut bytes, &header);
        file.append(&bytes)?;
        // The header is durable before any frame is written, so an invalid header with frames after
        // it means damage.
        file.sync()?;
        self.files.sync_directory()?;
        self.segment_bytes.insert(name.clone(), bytes.len() as u64);
        Ok((file, name))
    }

    pub(super) fn begin_log(&mut self, now_ms: u64) -> io::Result<()> {
        self.log = None;
        let (log, name) = self.create_segment(SegmentKind::Log, self.durable_batch, now_ms)?;
        self.log = Some(log);
        self.log_name = name;
        Ok(())
    }

    fn begin_rewrite(&mut self, after_batch: u64, now_ms: u64) -> io::Result<Rewrite> {
        let old_segments = self.segment_bytes.keys().cloned().collect();
        let (file, name) = self.create_segment(SegmentKind::Snapshot, after_batch, now_ms)?;
        Ok(Rewrite {
            file,
            name,
            bytes: 0,
            last_key: None,
            key_count: 0,
            old_segments,
        })
    }

    /// Returns whether [`Store::rewrite`] should be called: a rewrite has begun, the log has grown
    /// long compared with the live keys, or segments of an earlier process are in use.
    pub fn should_rewrite(&self) -> bool {
        let is_long = self.log_bytes > MIN_LOG_BYTES.min(self.config.budget / 8)
            && self.log_bytes > 2 * self.live_bytes;
        !self.is_broken() && (self.rewrite.is_some() || is_long || self.has_old_segments)
    }

    /// Writes about `max_bytes` of a snapshot. Returns `true` once the snapshot is complete and the
    /// segments that it replaces are removed.
    ///
    /// # Errors
    ///
    /// If a file can't be written. The snapshot is abandoned then.
    pub fn rewrite(&mut self, now_ms: u64, max_bytes: usize) -> io::Result<bool> {
        if self.rewrite.is_none() {
            self.flush()?;
            self.rewrite = Some(self.begin_rewrite(self.durable_batch, now_ms)?);
            // Batches from now on go to a new log after the snapshot. The snapshot may contain some
            // of their writes too.
            if let Err(error) = self.begin_log(now_ms) {
                self.rewrite = None;
                return Err(error);
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
                // The snapshot may contain only a part of a batch that was written while the
                // snapshot was in progress. The log after it contains the whole batch and has to be
                // durable first.
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

    /// Returns the next live keys of a snapshot, and drops expired keys that it passes. Returns an
    /// empty batch at the end.
    fn next_part(&mut self, rewrite: &mut Rewrite, now_ms: u64) -> Batch {
        let last_key = rewrite.last_key.as_deref();
        let start = last_key.map_or(Bound::Unbounded, Bound::Excluded);
        let mut part = Batch::default();
        let mut part_bytes = 0;
        let mut expired = Vec::new();
        for (key, value) in self.keys.range::<[u8], _>((start, Bound::Unbounded)) {
            if value.until_ms != NO_EXPIRY && value.until_ms < now_ms {
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
        rewrite.append(&Frame::SnapshotEnd(rewrite.key_count))?;
        rewrite.file.sync()?;
        self.files.sync_directory()?;
        self.segment_bytes.insert(rewrite.name, rewrite.bytes);
        self.has_old_segments = false;
        // The segments that the snapshot replaces may be removed only now that the snapshot is
        // durable.
        for name in rewrite.old_segments {
            self.files.remove(&name)?;
            self.segment_bytes.remove(&name);
        }
        self.files.sync_directory()
    }

    /// Replaces a broken or damaged log: writes all live keys to new segments. Afterwards all
    /// written batches are durable. Returns the sequence number of the last one.
    ///
    /// # Errors
    ///
    /// If a file can't be written. The call may be repeated.
    pub fn rebuild(&mut self, now_ms: u64) -> io::Result<u64> {
        self.log = None;
        self.rewrite = None;
        // The snapshot includes the writes of pending batches, so their frames are not needed.
        let mut rewrite = self.begin_rewrite(self.last_batch, now_ms)?;
        loop {
            let part = self.next_part(&mut rewrite, now_ms);
            if part.writes.is_empty() {
                break;
            }
            rewrite.append_part(part)?;
        }
        self.finish_rewrite(rewrite)?;
        self.durable_batch = self.last_batch;
        self.pending_frames.clear();
        self.log_bytes = 0;
        self.begin_log(now_ms)?;
        Ok(self.durable_batch)
    }
}
