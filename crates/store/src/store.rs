//! The store on top of files: opens a directory, appends batches and flushes them.
//!
//! A write error or a failed flush breaks the log for good: nothing that the system may still show
//! of it is trusted. [`Store::rebuild`] then writes all keys to new files.

use std::collections::BTreeMap;
use std::io;
use std::ops::Bound;
use std::path::Path;

use crate::files::{Directory, Files, Log};
use crate::frame::{self, Batch, Frame, Head, Write};
use crate::identity::{self, Identity};
use crate::recovery::{
    self, Keys, OpenError, Recovered, RecoveryReport, RecoveryStatus, SegmentFile, Value,
};

mod rewrite;

use rewrite::Rewrite;

/// Bytes that a key takes on disk beside itself and its value.
const KEY_OVERHEAD_BYTES: u64 = 24;

/// Settings of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Bytes on disk, the rewriting of the log included.
    pub budget: u64,
}

/// An open store. It owns its directory, and all live keys in memory.
pub struct Store {
    files: Box<dyn Files>,
    config: Config,
    /// Head of the newest segment; the next one is made from it.
    head: Head,
    keys: Keys,
    /// Bytes that all live keys take on disk.
    live_bytes: u64,
    /// Number of the last batch that was written.
    last: u64,
    /// Number of the last batch that is durable.
    durable: u64,
    /// Frames that were written and not flushed.
    pending: Vec<u8>,
    /// The segment that batches are appended to; `None` once it is broken.
    log: Option<Box<dyn Log>>,
    log_name: String,
    /// Bytes of all logs behind the last snapshot.
    log_bytes: u64,
    /// Sizes of all segments, by name.
    segment_bytes: BTreeMap<String, u64>,
    rewrite: Option<Rewrite>,
    /// Whether segments of an earlier process are in use, which are rewritten soon.
    has_old_segments: bool,
}

/// Reads what the segments of a directory hold, and changes nothing.
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
    /// Opens the store of a directory, or makes a new one. `random` identifies a new incarnation.
    ///
    /// # Errors
    ///
    /// Where another process has the directory, where its files can't be used, or where they can't
    /// be read or written.
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
        let known = identity::read(files.as_mut(), &names)?;
        let status = recovery_status(&recovered, known);
        let identity = match known {
            Some(known) if status == RecoveryStatus::Whole => known,
            // A store that is not whole may not know what came before: a new incarnation.
            _ => {
                let identity = Identity {
                    id: random,
                    since_ms: now_ms,
                };
                identity::write(files.as_mut(), &names, identity)?;
                identity
            }
        };
        // An earlier process may have written segments without a flush; what is built on must be
        // durable.
        for segment in &segments {
            files.sync(&segment.name)?;
        }
        let report = RecoveryReport {
            status,
            identity: identity.id,
            complete_since_ms: identity.since_ms,
            start_number: recovered.newest_header.map_or(0, |head| head.start_number) + 1,
            last_segment_at_ms: recovered.newest_header.map_or(0, |head| head.at_ms),
            keys: recovered.keys.len(),
            torn_bytes: recovered.torn_bytes,
        };
        let head = Head {
            identity: recovered.newest_header.map_or(random, |head| head.identity),
            number: recovery::highest_segment_number(&names),
            start_number: report.start_number,
            snapshot: false,
            after: recovered.last_batch,
            acknowledged: recovered.last_batch,
            at_ms: now_ms,
        };
        let mut store = Store::from_recovered(files, config, head, recovered, &segments);
        match report.status {
            // Segments behind the damage must not be read again: all keys are written anew.
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
        head: Head,
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
            head,
            keys: recovered.keys,
            live_bytes,
            last: recovered.last_batch,
            durable: recovered.last_batch,
            pending: Vec::new(),
            log: None,
            log_name: String::new(),
            log_bytes: recovered.log_bytes,
            segment_bytes,
            rewrite: None,
            has_old_segments: !segments.is_empty(),
        }
    }

    /// The value of a key.
    pub fn get(&self, key: &[u8]) -> Option<&Value> {
        self.keys.get(key)
    }

    /// All live keys with a prefix, in order.
    pub fn prefix<'a>(&'a self, prefix: &'a [u8]) -> impl Iterator<Item = (&'a [u8], &'a Value)> {
        let range = (Bound::Included(prefix), Bound::Unbounded);
        self.keys
            .range::<[u8], _>(range)
            .map(|(key, value)| (&**key, value))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Number of live keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there are no live keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Number of the last batch that is durable.
    pub fn durable_batch(&self) -> u64 {
        self.durable
    }

    /// Bytes on disk, and those that wait for a flush.
    pub fn bytes(&self) -> u64 {
        self.segment_bytes.values().sum::<u64>() + self.pending.len() as u64
    }

    /// Whether so many more bytes would exceed the budget, which has to hold all live keys once
    /// more.
    pub fn is_full(&self, more_bytes: u64) -> bool {
        let live_bytes = self.live_bytes + more_bytes;
        live_bytes > self.config.budget / 3 || self.bytes() + live_bytes > self.config.budget
    }

    /// Whether a write or a flush has failed, so that [`Store::rebuild`] is needed.
    pub fn is_broken(&self) -> bool {
        self.log.is_none()
    }

    /// Takes a batch, and returns its number; it is durable once [`Store::flush`] has returned this
    /// number. `None` where it is longer than [`frame::MAX_BATCH`].
    pub fn write(&mut self, batch: Batch) -> Option<u64> {
        let number = self.last + 1;
        let frame = Frame::Batch {
            number,
            behind_durable: number - self.durable,
            batch,
        };
        if !frame::put(&mut self.pending, &frame) {
            return None;
        }
        self.last = number;
        if let Frame::Batch { batch, .. } = frame {
            for write in batch.writes {
                self.apply(write);
            }
        }
        Some(number)
    }

    fn apply(&mut self, write: Write) {
        let added = write.value.as_ref();
        self.live_bytes += added.map_or(0, |value| disk_bytes(&write.key, value));
        let replaced = self.keys.get(write.key.as_slice());
        self.live_bytes -= replaced.map_or(0, |value| disk_bytes(&write.key, &value.bytes));
        recovery::apply(&mut self.keys, write);
    }

    /// Makes all batches that were taken durable, and returns the number of the last.
    ///
    /// # Errors
    ///
    /// Where the log is broken, or breaks now.
    pub fn flush(&mut self) -> io::Result<u64> {
        let Some(log) = &mut self.log else {
            return Err(io::Error::other("the log is broken"));
        };
        if self.pending.is_empty() {
            return Ok(self.durable);
        }
        let flushed = log.append(&self.pending).and_then(|()| log.sync());
        if let Err(e) = flushed {
            self.log = None;
            return Err(e);
        }
        let bytes = self.pending.len() as u64;
        self.log_bytes += bytes;
        *self.segment_bytes.entry(self.log_name.clone()).or_default() += bytes;
        self.pending.clear();
        self.durable = self.last;
        Ok(self.durable)
    }
}
