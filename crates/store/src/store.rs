//! The store: opens a directory, appends batches to a log and flushes them.
//!
//! After a write error or a failed flush, the current log is not used again: its content can't be
//! relied on, even if the system returns that content on a read. [`Store::rebuild`] then writes all
//! keys to new files.

use std::collections::BTreeMap;
use std::io;
use std::ops::Bound;
use std::path::Path;

use crate::files::{AppendFile, Directory, Files};
use crate::frame::{self, Batch, Frame, SegmentHeader, Write};
use crate::identity::{self, Identity};
use crate::recovery::{
    self, LiveKeys, OpenError, Recovered, RecoveryReport, RecoveryStatus, SegmentFile, Value,
};

mod rewrite;

use rewrite::Rewrite;

/// Bytes that a key takes on disk in addition to the lengths of the key and its value.
const KEY_OVERHEAD_BYTES: u64 = 24;

/// Settings of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of bytes that all files together should not exceed, including a snapshot that is
    /// being written. [`Store::is_full`] reports whether more data would exceed it; writes are not
    /// rejected.
    pub budget: u64,
}

/// An open store. It locks its directory and keeps all live keys in memory.
pub struct Store {
    files: Box<dyn Files>,
    config: Config,
    /// Header of the newest segment. The header of the next segment is derived from it.
    header: SegmentHeader,
    keys: LiveKeys,
    /// Number of bytes that all live keys take on disk.
    live_bytes: u64,
    /// Sequence number of the last batch that was written, durable or not.
    last_batch: u64,
    /// Sequence number of the last batch that is durable.
    durable_batch: u64,
    /// Encoded frames that have not been flushed yet.
    pending_frames: Vec<u8>,
    /// The segment to which batches are appended; `None` after a write to it has failed.
    log: Option<Box<dyn AppendFile>>,
    log_name: String,
    /// Total size in bytes of the logs after the last snapshot.
    log_bytes: u64,
    /// Sizes of all segments in bytes, by file name.
    segment_bytes: BTreeMap<String, u64>,
    /// The snapshot that is being written, if any.
    rewrite: Option<Rewrite>,
    /// Whether segments of an earlier process are in use. They are rewritten soon.
    has_old_segments: bool,
}

/// Reads the state of a store from the segments of a directory, without changing any file.
pub fn inspect(directory: &Path) -> Result<Recovered, OpenError> {
    let mut files = Directory::new(directory);
    let names = file_names(&mut files)?;
    let segments = read_segments(&mut files, &names)?;
    recovery::recover(&segments)
}

fn file_names(files: &mut dyn Files) -> io::Result<Vec<String>> {
    let files = files.list()?;
    Ok(files.into_iter().map(|(name, _)| name).collect())
}

fn read_segments(files: &mut dyn Files, names: &[String]) -> io::Result<Vec<SegmentFile>> {
    let mut segments = Vec::new();
    for name in names {
        if recovery::segment_number(name).is_some() {
            let bytes = files.read(name)?;
            segments.push(SegmentFile {
                name: name.clone(),
                bytes,
            });
        }
    }
    Ok(segments)
}

/// Returns the number of bytes that a key and its value take on disk.
fn disk_bytes(key: &[u8], value: &[u8]) -> u64 {
    key.len() as u64 + value.len() as u64 + KEY_OVERHEAD_BYTES
}

fn recovery_status(recovered: &Recovered, identity: Option<Identity>) -> RecoveryStatus {
    if recovered.newest_header.is_none() {
        return RecoveryStatus::New;
    }
    match &recovered.damage {
        Some(damage) => RecoveryStatus::Damaged {
            segment: damage.segment.clone(),
            at: damage.offset,
        },
        None if identity.is_none() => RecoveryStatus::Copy,
        None => RecoveryStatus::Whole,
    }
}

impl Store {
    /// Opens the store in a directory, or creates one. `random` identifies the incarnation if a new
    /// one begins.
    ///
    /// # Errors
    ///
    /// If another process has locked the directory, if its files are not those of one intact store,
    /// or if a file can't be read or written.
    pub fn open(
        mut files: Box<dyn Files>,
        config: Config,
        now_ms: u64,
        random: u64,
    ) -> Result<(Self, RecoveryReport), OpenError> {
        if !files.lock()? {
            return Err(OpenError::InUse);
        }
        let names = file_names(files.as_mut())?;
        let segments = read_segments(files.as_mut(), &names)?;
        let recovered = recovery::recover(&segments)?;
        let stored_identity = identity::read(files.as_mut(), &names)?;
        let status = recovery_status(&recovered, stored_identity);
        let identity = match stored_identity {
            Some(stored_identity) if status == RecoveryStatus::Whole => stored_identity,
            // Earlier writes may be missing from an incomplete store, so a new incarnation begins.
            _ => {
                let identity = Identity {
                    id: random,
                    since_ms: now_ms,
                };
                identity::write(files.as_mut(), &names, identity)?;
                identity
            }
        };
        // An earlier process may have written segments without flushing them. They have to be
        // durable before anything is appended after them.
        for segment in &segments {
            files.sync(&segment.name)?;
        }
        let report = RecoveryReport {
            status,
            identity: identity.id,
            complete_since_ms: identity.since_ms,
            start_number: recovered
                .newest_header
                .map_or(0, |header| header.start_number)
                + 1,
            last_segment_at_ms: recovered.newest_header.map_or(0, |header| header.at_ms),
            keys: recovered.keys.len(),
            torn_bytes: recovered.torn_bytes,
        };
        let header = SegmentHeader {
            identity: recovered
                .newest_header
                .map_or(random, |header| header.identity),
            number: recovery::highest_segment_number(&names),
            start_number: report.start_number,
            is_snapshot: false,
            after_batch: recovered.last_batch,
            last_durable_batch: recovered.last_batch,
            at_ms: now_ms,
        };
        let mut store = Store::from_recovered(files, config, header, recovered, &segments);
        match report.status {
            // Segments after the damage must not be read again, so all keys are written to new
            // segments.
            RecoveryStatus::Damaged { .. } => {
                store.rebuild(now_ms)?;
            }
            _ => store.begin_log(now_ms)?,
        }
        Ok((store, report))
    }

    fn from_recovered(
        files: Box<dyn Files>,
        config: Config,
        header: SegmentHeader,
        recovered: Recovered,
        segments: &[SegmentFile],
    ) -> Self {
        let live_bytes = recovered
            .keys
            .iter()
            .map(|(key, value)| disk_bytes(key, &value.bytes))
            .sum();
        let segment_bytes = segments
            .iter()
            .map(|segment| (segment.name.clone(), segment.bytes.len() as u64))
            .collect();
        Store {
            files,
            config,
            header,
            keys: recovered.keys,
            live_bytes,
            last_batch: recovered.last_batch,
            durable_batch: recovered.last_batch,
            pending_frames: Vec::new(),
            log: None,
            log_name: String::new(),
            log_bytes: recovered.log_bytes,
            segment_bytes,
            rewrite: None,
            has_old_segments: !segments.is_empty(),
        }
    }

    /// Returns the value of a live key, including writes that are not durable yet.
    pub fn get(&self, key: &[u8]) -> Option<&Value> {
        self.keys.get(key)
    }

    /// Returns all live keys that begin with a prefix, in sorted order.
    pub fn prefix<'a>(&'a self, prefix: &'a [u8]) -> impl Iterator<Item = (&'a [u8], &'a Value)> {
        let range = (Bound::Included(prefix), Bound::Unbounded);
        self.keys
            .range::<[u8], _>(range)
            .map(|(key, value)| (&**key, value))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Returns the number of live keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no live keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the sequence number of the last batch that is durable; 0 if there is none.
    pub fn durable_batch(&self) -> u64 {
        self.durable_batch
    }

    /// Returns the total size of the segments in bytes, including frames that have not been flushed
    /// yet.
    pub fn bytes(&self) -> u64 {
        self.segment_bytes.values().sum::<u64>() + self.pending_frames.len() as u64
    }

    /// Returns whether writing `additional_bytes` more bytes would exceed the budget. The budget
    /// must leave room for a second copy of all live keys, which a rewrite needs.
    pub fn is_full(&self, additional_bytes: u64) -> bool {
        let live_bytes = self.live_bytes + additional_bytes;
        live_bytes > self.config.budget / 3 || self.bytes() + live_bytes > self.config.budget
    }

    /// Returns whether a write or a flush has failed. Nothing can be flushed until
    /// [`Store::rebuild`] succeeds.
    pub fn is_broken(&self) -> bool {
        self.log.is_none()
    }

    /// Applies a batch to the live keys and returns its sequence number. The batch is durable once
    /// [`Store::flush`] has returned this number or a higher one. Returns `None` and applies
    /// nothing if the encoded batch is longer than [`frame::MAX_FRAME_BYTES`].
    pub fn write(&mut self, batch: Batch) -> Option<u64> {
        let number = self.last_batch + 1;
        let frame = Frame::Batch {
            number,
            batches_since_durable: number - self.durable_batch,
            batch,
        };
        if !frame::append(&mut self.pending_frames, &frame) {
            return None;
        }
        self.last_batch = number;
        if let Frame::Batch { batch, .. } = frame {
            for write in batch.writes {
                self.apply_write(write);
            }
        }
        Some(number)
    }

    fn apply_write(&mut self, write: Write) {
        let added = write.value.as_ref();
        self.live_bytes += added.map_or(0, |value| disk_bytes(&write.key, value));
        let replaced = self.keys.get(write.key.as_slice());
        self.live_bytes -= replaced.map_or(0, |value| disk_bytes(&write.key, &value.bytes));
        recovery::apply(&mut self.keys, write);
    }

    /// Makes all written batches durable and returns the sequence number of the last one.
    ///
    /// # Errors
    ///
    /// If the log is broken, or if the write or the flush fails. Such a failure breaks the log.
    pub fn flush(&mut self) -> io::Result<u64> {
        let Some(log) = &mut self.log else {
            return Err(io::Error::other(
                "an earlier write to the log failed, so it has to be rebuilt",
            ));
        };
        if self.pending_frames.is_empty() {
            return Ok(self.durable_batch);
        }
        let flushed = log.append(&self.pending_frames).and_then(|()| log.sync());
        if let Err(error) = flushed {
            self.log = None;
            return Err(error);
        }
        let bytes = self.pending_frames.len() as u64;
        self.log_bytes += bytes;
        *self.segment_bytes.entry(self.log_name.clone()).or_default() += bytes;
        self.pending_frames.clear();
        self.durable_batch = self.last_batch;
        Ok(self.durable_batch)
    }
}
