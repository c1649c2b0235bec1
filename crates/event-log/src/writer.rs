//! The writer thread. It writes batches as frames of segment files and removes the oldest segments
//! beyond the size limit. File errors lose only log entries, and a later entry states how many.

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

/// Maximum number of segment files of one gateway, whatever their size. Without this limit, a disk
/// that fails repeatedly would leave many small ones.
const MAX_SEGMENTS: usize = 4096;

/// The state of the writer thread. It owns the segment files.
pub(crate) struct Writer {
    config: Config,
    disk: Box<dyn Disk>,
    /// Notifies the recorder that entries were lost and that a new segment is needed.
    has_lost_entries: Arc<AtomicBool>,
    open_segment: Option<OpenSegment>,
    /// Finished segments of this gateway, those of earlier runs included, oldest first.
    finished_segments: VecDeque<FinishedSegment>,
    finished_bytes: u64,
    /// Whether `finished_segments` includes the files of earlier runs.
    has_listed_earlier: bool,
    segment_count: u64,
    frame_count: u64,
    /// The totals after the last written batch.
    written_tally: Tally,
    /// Time of the last written entry.
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
    pub fn new(config: Config, disk: Box<dyn Disk>, has_lost_entries: Arc<AtomicBool>) -> Self {
        Writer {
            written_tally: Tally::with_groups(config.class_count, config.tenant_count),
            written_until: config.epoch,
            config,
            disk,
            has_lost_entries,
            open_segment: None,
            finished_segments: VecDeque::new(),
            finished_bytes: 0,
            has_listed_earlier: false,
            segment_count: 0,
            frame_count: 0,
            retry_at: None,
            is_failing: false,
        }
    }

    /// Writes batches until the recorder is dropped, and returns their buffers.
    pub fn run(mut self, filled_batches: &Receiver<Batch>, free_batches: &SyncSender<Batch>) {
        while let Ok(batch) = filled_batches.recv() {
            self.handle_batch(&batch);
            // The channel has room for all buffers.
            let _ = free_batches.try_send(batch);
        }
    }

    fn handle_batch(&mut self, batch: &Batch) {
        if !self.can_write(batch) {
            self.has_lost_entries.store(true, Ordering::Relaxed);
            return;
        }
        match self.write(batch) {
            Ok(()) => self.on_written(batch),
            Err(error) => self.on_error(&error),
        }
    }

    /// Returns whether a batch can be written: either it starts a segment and no retry delay is
    /// running, or it directly follows the last written batch.
    fn can_write(&self, batch: &Batch) -> bool {
        if batch.starts_segment {
            return self.retry_at.is_none_or(|at| Instant::now() >= at);
        }
        self.open_segment.is_some() && batch.before == self.written_tally
    }

    fn on_written(&mut self, batch: &Batch) {
        self.written_tally.clone_from(&batch.after);
        self.written_until = batch.last_at;
        if std::mem::take(&mut self.is_failing) {
            log::info!("the event log is being written again after a file error");
        }
    }

    fn on_error(&mut self, error: &io::Error) {
        if !std::mem::replace(&mut self.is_failing, true) {
            log::error!(
                "the event log can't be written: {error}; requests are still served, entries are \
                 dropped until a retry succeeds"
            );
        }
        if let Some(mut open) = self.open_segment.take() {
            // If this fails too, the reader skips the incomplete frame.
            let _ = open.file.truncate(open.length);
            self.finish_segment(open);
        }
        self.retry_at = Some(Instant::now() + self.config.retry_delay);
        self.has_lost_entries.store(true, Ordering::Relaxed);
    }

    fn write(&mut self, batch: &Batch) -> io::Result<()> {
        if batch.starts_segment {
            self.start_segment(batch.bytes.len() as u64)?;
        }
        let missing = batch.before.entries - self.written_tally.entries;
        self.append_frame(batch.first_at, &batch.bytes)?;
        if missing > 0 && batch.starts_segment {
            // The gap entry follows the state, whose totals already include the missing entries.
            self.append_gap(batch, missing)?;
        }
        Ok(())
    }

    fn start_segment(&mut self, first_bytes: u64) -> io::Result<()> {
        if let Some(open) = self.open_segment.take() {
            self.finish_segment(open);
        }
        self.remove_oldest(first_bytes)?;
        self.segment_count += 1;
        let name = file_name(&self.config.name, self.config.epoch, self.segment_count);
        let mut file = self.disk.create(&name)?;
        let header = encode_file_header();
        file.append(&header)?;
        self.open_segment = Some(OpenSegment {
            file,
            name,
            length: header.len() as u64,
        });
        Ok(())
    }

    fn append_frame(&mut self, first_at: Micros, payload: &[u8]) -> io::Result<()> {
        let Some(open) = &mut self.open_segment else {
            return Ok(());
        };
        self.frame_count += 1;
        let header = encode_frame_header(self.config.epoch, self.frame_count, first_at, payload);
        open.file.append(&header)?;
        open.file.append(payload)?;
        open.length += (header.len() + payload.len()) as u64;
        Ok(())
    }

    fn append_gap(&mut self, batch: &Batch, missing: u64) -> io::Result<()> {
        let gap = HostEvent::Gap {
            from: self.written_until,
            to: batch.first_at,
            entries: missing,
            counted: Box::new(batch.before.since(&self.written_tally)),
        };
        let mut payload = Vec::new();
        let at = batch.last_at;
        Context::new(at).encode(&mut payload, at, EntryRef::Host(&gap));
        self.append_frame(at, &payload)
    }

    fn finish_segment(&mut self, open: OpenSegment) {
        self.finished_bytes += open.length;
        self.finished_segments.push_back(FinishedSegment {
            name: open.name,
            length: open.length,
        });
    }

    /// Removes the oldest segments until another one fits into the limits.
    fn remove_oldest(&mut self, first_bytes: u64) -> io::Result<()> {
        self.list_earlier_segments()?;
        let needed = first_bytes.max(self.config.max_segment_bytes);
        while self.finished_segments.len() >= MAX_SEGMENTS
            || self.finished_bytes + needed > self.config.max_total_bytes
        {
            let Some(oldest) = self.finished_segments.front() else {
                break;
            };
            match self.disk.remove(&oldest.name) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => self.finished_bytes -= oldest.length,
            }
            self.finished_segments.pop_front();
        }
        Ok(())
    }

    /// Adds the files of earlier runs to the finished segments, once.
    fn list_earlier_segments(&mut self) -> io::Result<()> {
        if self.has_listed_earlier {
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
            self.finished_segments
                .push_front(FinishedSegment { name, length });
        }
        self.has_listed_earlier = true;
        Ok(())
    }
}
