//! The writer's thread: batches to segment files, the oldest of which go when the budget is used
//! up. Whatever a disk does, it only costs entries of the record, and their number is told.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender};
use std::sync::Arc;
use std::time::Instant;

use crate::codec::Context;
use crate::entry::{EntryRef, Host};
use crate::frame::{file_head, frame_head};
use crate::plan::{Batch, Config};
use crate::tally::Tally;

/// Segments of one name, whatever the budget: a disk that fails again and again leaves many small
/// ones.
const MAX_SEGMENTS: usize = 4096;
const ENDING: &str = "eyr";

/// All that a writer does with files, so that tests can let any of it fail.
pub trait Disk: Send {
    /// Names and sizes of the files that are there.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

pub trait Segment: Send {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Takes back what a failed append may have left behind.
    fn cut(&mut self, length: u64) -> io::Result<()>;
}

/// A directory of the real file system, made where it is missing.
pub struct Directory(pub PathBuf);

impl Disk for Directory {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        std::fs::create_dir_all(&self.0)?;
        let mut files = Vec::new();
        for file in std::fs::read_dir(&self.0)? {
            let file = file?;
            files.extend(file.file_name().into_string().ok().map(|name| {
                let size = file.metadata().map_or(0, |data| data.len());
                (name, size)
            }));
        }
        Ok(files)
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>> {
        std::fs::create_dir_all(&self.0)?;
        Ok(Box::new(
            OpenOptions::new()
                .create_new(true)
                .append(true)
                .open(self.0.join(name))?,
        ))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.0.join(name))
    }
}

impl Segment for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }
}

/// The name of a segment's file; they sort by gateway, start and number.
pub fn file_name(name: &str, epoch: u64, segment: u64) -> String {
    let safe = |c: char| {
        if c.is_ascii_alphanumeric() || c == '_' || c == '-' {
            c
        } else {
            '_'
        }
    };
    let name: String = name.chars().map(safe).collect();
    format!("{name}.{epoch:016x}.{segment:08}.{ENDING}")
}

/// The gateway, start and number that a file's name tells, if it is a segment's.
pub fn read_file_name(path: &Path) -> Option<(String, u64, u64)> {
    let mut parts = path.file_name()?.to_str()?.split('.');
    let (name, epoch, segment) = (parts.next()?, parts.next()?, parts.next()?);
    let ours = parts.next() == Some(ENDING) && parts.next().is_none();
    let numbers = (u64::from_str_radix(epoch, 16).ok()?, segment.parse().ok()?);
    ours.then(|| (name.to_string(), numbers.0, numbers.1))
}

pub(crate) struct Writer {
    plan: Config,
    disk: Box<dyn Disk>,
    lost: Arc<AtomicBool>,
    /// The segment that is written, its name and length.
    open: Option<(Box<dyn Segment>, String, u64)>,
    /// Finished and earlier segments of this gateway, oldest first.
    kept: std::collections::VecDeque<(String, u64)>,
    kept_bytes: u64,
    listed: bool,
    segments: u64,
    frames: u64,
    /// Up to where the record is whole.
    whole: (Tally, u64),
    not_before: Option<Instant>,
    failing: bool,
}

impl Writer {
    pub fn new(plan: Config, disk: Box<dyn Disk>, lost: Arc<AtomicBool>) -> Self {
        Writer {
            whole: (Tally::sized(plan.classes, plan.tenants), plan.epoch),
            plan,
            disk,
            lost,
            open: None,
            kept: Default::default(),
            kept_bytes: 0,
            listed: false,
            segments: 0,
            frames: 0,
            not_before: None,
            failing: false,
        }
    }

    /// Until the loop's side has gone.
    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    pub fn run(mut self, filled: Receiver<Batch>, empty: SyncSender<Batch>) {
        while let Ok(batch) = filled.recv() {
            self.take(&batch);
            // The channel holds as many as there are.
            let _ = empty.try_send(batch);
        }
    }

    fn take(&mut self, batch: &Batch) {
        let follows = self.open.is_some() && !batch.begins && batch.before == self.whole.0;
        let waits = self.not_before.is_some_and(|at| Instant::now() < at);
        if !follows && (!batch.begins || waits) {
            // Nothing can be made of it without the state before it.
            self.lost.store(true, Ordering::Relaxed);
            return;
        }
        match self.write(batch) {
            Ok(()) => {
                self.whole.0.clone_from(&batch.after);
                self.whole.1 = batch.last_at;
                if std::mem::take(&mut self.failing) {
                    log::info!("the record is written again");
                }
            }
            Err(e) => {
                if !std::mem::replace(&mut self.failing, true) {
                    log::error!("the record can't be written, serving goes on without: {e}");
                }
                if let Some((mut segment, name, length)) = self.open.take() {
                    // Where this fails too, the reader skips what it can't read.
                    let _ = segment.cut(length);
                    self.finish(name, length);
                }
                self.not_before = Some(Instant::now() + self.plan.pause);
                self.lost.store(true, Ordering::Relaxed);
            }
        }
    }

    fn write(&mut self, batch: &Batch) -> io::Result<()> {
        if batch.begins {
            if let Some((_, name, length)) = self.open.take() {
                self.finish(name, length);
            }
            self.make_room(batch.bytes.len() as u64)?;
            self.segments += 1;
            let name = file_name(&self.plan.name, self.plan.epoch, self.segments);
            let mut segment = self.disk.create(&name)?;
            segment.append(&file_head())?;
            self.open = Some((segment, name, file_head().len() as u64));
        }
        let missing = batch.before.entries - self.whole.0.entries;
        let Some((segment, _, length)) = &mut self.open else {
            return Ok(());
        };
        let mut frame = |first_at, payload: &[u8]| {
            self.frames += 1;
            let head = frame_head(self.plan.epoch, self.frames, first_at, payload);
            segment.append(&head)?;
            segment.append(payload)?;
            *length += (head.len() + payload.len()) as u64;
            io::Result::Ok(())
        };
        frame(batch.first_at, &batch.bytes)?;
        if missing > 0 && batch.begins {
            // Behind the state, which tells the totals as they are after it.
            let (from, to) = (self.whole.1, batch.first_at);
            let counted = Box::new(batch.before.since(&self.whole.0));
            let gap = Host::Gap {
                from,
                to,
                entries: missing,
                counted,
            };
            let mut bytes = Vec::new();
            Context::new(batch.last_at).put(&mut bytes, batch.last_at, EntryRef::Host(&gap));
            frame(batch.last_at, &bytes)?;
        }
        Ok(())
    }

    fn finish(&mut self, name: String, length: u64) {
        self.kept_bytes += length;
        self.kept.push_back((name, length));
    }

    /// Removes the oldest segments until one more fits into the budget.
    fn make_room(&mut self, first: u64) -> io::Result<()> {
        if !self.listed {
            let own = file_name(&self.plan.name, 0, 0);
            let own = own.split('.').next().unwrap_or_default().to_string();
            let mut files = self.disk.list()?;
            files.retain(|(name, _)| {
                read_file_name(Path::new(name)).is_some_and(|(of, ..)| of == own)
            });
            files.sort();
            self.kept_bytes += files.iter().map(|(_, size)| size).sum::<u64>();
            files
                .into_iter()
                .rev()
                .for_each(|file| self.kept.push_front(file));
            self.listed = true;
        }
        let wanted = first.max(self.plan.segment);
        while self.kept.len() >= MAX_SEGMENTS || self.kept_bytes + wanted > self.plan.budget {
            let Some((name, size)) = self.kept.pop_front() else {
                break;
            };
            match self.disk.remove(&name) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => {
                    self.kept.push_front((name, size));
                    return Err(e);
                }
                _ => self.kept_bytes -= size,
            }
        }
        Ok(())
    }
}
