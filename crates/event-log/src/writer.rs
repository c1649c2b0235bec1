//! The writer thread: it turns batches into frames of segment files and removes the oldest segments
//! beyond the limit. File errors cost only log entries, whose number the log states afterwards.

use std::collections::VecDeque;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender};
use std::sync::Arc;
use std::time::Instant;

use eideryard::interface::Micros;

use crate::codec::Context;
use crate::config::{Batch, Config};
use crate::disk::{Disk, Segment};
use crate::entry::{EntryRef, HostEvent};
use crate::file_name::{file_name, file_name_prefix, parse_file_name};
use crate::frame::{encode_file_header, encode_frame_header};
use crate::totals::Tally;

/// Most segment files of one gateway, whatever their size: a disk that fails again and again leaves
/// many small ones.
const MAX_SEGMENTS: usize = 4096;

/// The state of the writer thread. It owns the segment files.
pub(crate) struct Writer {
    config: Config,
    disk: Box<dyn Disk>,
    /// Tells the recorder that entries were lost and that a new segment is needed.
    has_lost: Arc<AtomicBool>,
    open: Option<OpenSegment>,
    /// Finished segments of this gateway, of earlier starts too, oldest first.
    finished: VecDeque<FinishedSegment>,
    finished_bytes: u64,
    /// Whether `finished` includes the files of earlier starts.
    has_listed: bool,
    segments: u64,
    frames: u64,
    /// The totals, and the time, up to which everything is written.
    written: Tally,
    written_until: Micros,
    retry_at: Option<Instant>,
    is_failing: bool,
}

struct OpenSegment {
    file: Box<dyn Segment>,
    name: String,
    length: u64,
}

struct FinishedSegment {
    name: String,
    length: u64,
}

impl Writer {
    pub fn new(config: Config, disk: Box<dyn Disk>, has_lost: Arc<AtomicBool>) -> Self {
        Writer {
            written: Tally::with_groups(config.class_count, config.tenant_count),
            written_until: config.epoch,
            config,
            disk,
            has_lost,
            open: None,
            finished: VecDeque::new(),
            finished_bytes: 0,
            has_listed: false,
            segments: 0,
            frames: 0,
            retry_at: None,
            is_failing: false,
        }
    }

    /// Writes batches until the recorder is dropped, and returns their buffers.
    pub fn run(mut self, filled: &Receiver<Batch>, empty: &SyncSender<Batch>) {
        while let Ok(batch) = filled.recv() {
            self.handle_batch(&batch);
            // The channel has room for all buffers.
            let _ = empty.try_send(batch);
        }
    }

    fn handle_batch(&mut self, batch: &Batch) {
        if !self.can_write(batch) {
            self.has_lost.store(true, Ordering::Relaxed);
            return;
        }
        match self.write(batch) {
            Ok(()) => self.on_written(batch),
            Err(error) => self.on_error(&error),
        }
    }

    /// A batch can only be decoded behind the one before it, or at the start of a segment.
    fn can_write(&self, batch: &Batch) -> bool {
        if batch.starts_segment {
            return self.retry_at.is_none_or(|at| Instant::now() >= at);
        }
        self.open.is_some() && batch.before == self.written
    }

    fn on_written(&mut self, batch: &Batch) {
        self.written.clone_from(&batch.after);
        self.written_until = batch.last_at;
        if std::mem::take(&mut self.is_failing) {
            log::info!("the record is written again");
        }
    }

    fn on_error(&mut self, error: &io::Error) {
        if !std::mem::replace(&mut self.is_failing, true) {
            log::error!("the record can't be written, serving goes on without: {error}");
        }
        if let Some(mut open) = self.open.take() {
            // Where this fails too, the reader skips what it can't read.
            let _ = open.file.truncate(open.length);
            self.finish(open);
        }
        self.retry_at = Some(Instant::now() + self.config.retry_delay);
        self.has_lost.store(true, Ordering::Relaxed);
    }

    fn write(&mut self, batch: &Batch) -> io::Result<()> {
        if batch.starts_segment {
            self.start_segment(batch.bytes.len() as u64)?;
        }
        let missing = batch.before.entries - self.written.entries;
        self.append_frame(batch.first_at, &batch.bytes)?;
        if missing > 0 && batch.starts_segment {
            // The gap follows the state, whose totals include the missing entries.
            self.append_gap(batch, missing)?;
        }
        Ok(())
    }

    fn start_segment(&mut self, first_bytes: u64) -> io::Result<()> {
        if let Some(open) = self.open.take() {
            self.finish(open);
        }
        self.remove_oldest(first_bytes)?;
        self.segments += 1;
        let name = file_name(&self.config.name, self.config.epoch, self.segments);
        let mut file = self.disk.create(&name)?;
        let head = encode_file_header();
        file.append(&head)?;
        self.open = Some(OpenSegment {
            file,
            name,
            length: head.len() as u64,
        });
        Ok(())
    }

    fn append_frame(&mut self, first_at: Micros, payload: &[u8]) -> io::Result<()> {
        let Some(open) = &mut self.open else {
            return Ok(());
        };
        self.frames += 1;
        let head = encode_frame_header(self.config.epoch, self.frames, first_at, payload);
        open.file.append(&head)?;
        open.file.append(payload)?;
        open.length += (head.len() + payload.len()) as u64;
        Ok(())
    }

    fn append_gap(&mut self, batch: &Batch, missing: u64) -> io::Result<()> {
        let gap = HostEvent::Gap {
            from: self.written_until,
            to: batch.first_at,
            entries: missing,
            counted: Box::new(batch.before.since(&self.written)),
        };
        let mut payload = Vec::new();
        let at = batch.last_at;
        Context::new(at).encode(&mut payload, at, EntryRef::Host(&gap));
        self.append_frame(at, &payload)
    }

    fn finish(&mut self, open: OpenSegment) {
        self.finished_bytes += open.length;
        self.finished.push_back(FinishedSegment {
            name: open.name,
            length: open.length,
        });
    }

    /// Removes the oldest segments until one more fits into the limits.
    fn remove_oldest(&mut self, first_bytes: u64) -> io::Result<()> {
        self.list_earlier_segments()?;
        let needed = first_bytes.max(self.config.max_segment_bytes);
        while self.finished.len() >= MAX_SEGMENTS
            || self.finished_bytes + needed > self.config.max_total_bytes
        {
            let Some(oldest) = self.finished.front() else {
                break;
            };
            match self.disk.remove(&oldest.name) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => self.finished_bytes -= oldest.length,
            }
            self.finished.pop_front();
        }
        Ok(())
    }

    /// Adds the files of earlier starts to the finished segments, once.
    fn list_earlier_segments(&mut self) -> io::Result<()> {
        if self.has_listed {
            return Ok(());
        }
        let prefix = file_name_prefix(&self.config.name);
        let mut files = self.disk.list()?;
        files.retain(|(name, _)| {
            parse_file_name(Path::new(name)).is_some_and(|parsed| parsed.gateway == prefix)
        });
        files.sort();
        for (name, length) in files.into_iter().rev() {
            self.finished_bytes += length;
            self.finished.push_front(FinishedSegment { name, length });
        }
        self.has_listed = true;
        Ok(())
    }
}
