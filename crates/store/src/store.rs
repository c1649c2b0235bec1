//! The store on top of files: appends batches, flushes them, and rewrites its log as a snapshot.
//!
//! A write error or a failed flush breaks the log for good: nothing that the system may still show
//! of it is trusted. [`Store::rescue`] then writes all keys anew, into files of their own.

use std::collections::BTreeMap;
use std::io;
use std::ops::Bound;

use crate::files::{Files, Log};
use crate::frame::{self, Batch, Frame, Head};
use crate::recovery::{self, Keys, OpenError, RecoveryReport, RecoveryStatus, Value};

/// What tells a directory from a copy of it: its own file's birth, written into the file.
const IDENTITY: &str = "IDENTITY";
/// A log is rewritten once it is this long and twice what is live.
const MIN_LOG: u64 = 1 << 20;
/// Bytes of a snapshot's part, about.
const PART: usize = 32 << 10;
/// What a key costs on disk beside its bytes.
const OVERHEAD: u64 = 24;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Bytes on disk, the rewriting of the log included.
    pub budget: u64,
}

struct Rewriting {
    log: Box<dyn Log>,
    name: String,
    bytes: u64,
    /// The last key that was written.
    at: Option<Box<[u8]>>,
    writes: u64,
    /// Segments that it takes the place of.
    old: Vec<String>,
}

pub struct Store {
    files: Box<dyn Files>,
    plan: Config,
    head: Head,
    keys: Keys,
    live: u64,
    /// The last batch that was written here, and the last that is durable.
    last: u64,
    durable: u64,
    pending: Vec<u8>,
    log: Option<Box<dyn Log>>,
    log_name: String,
    log_bytes: u64,
    /// Sizes of segments, by name.
    sizes: BTreeMap<String, u64>,
    rewriting: Option<Rewriting>,
    /// What was recovered is rewritten soon, however short.
    unsure: bool,
}

/// What a directory's segments hold, without changing anything.
pub fn look(directory: &std::path::Path) -> Result<recovery::Recovered, OpenError> {
    let mut files = crate::files::Directory::new(directory);
    let mut segments = Vec::new();
    for (name, _) in files.list()? {
        if recovery::number(&name).is_some() {
            let bytes = files.read(&name)?;
            segments.push((name, bytes));
        }
    }
    recovery::recover(&segments)
}

fn cost(key: &[u8], value: &[u8]) -> u64 {
    key.len() as u64 + value.len() as u64 + OVERHEAD
}

impl Store {
    /// Opens or makes the store of a directory, for one more start.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn open(
        mut files: Box<dyn Files>,
        plan: Config,
        now_ms: u64,
        random: u64,
    ) -> Result<(Self, RecoveryReport), OpenError> {
        if !files.lock()? {
            return Err(OpenError::InUse);
        }
        let all = files.list()?;
        let names: Vec<String> = all.into_iter().map(|(name, _)| name).collect();
        let mut segments = Vec::new();
        for name in names.iter().filter(|name| recovery::number(name).is_some()) {
            segments.push((name.clone(), files.read(name)?));
        }
        let recovered = recovery::recover(&segments)?;
        let known = identity(files.as_mut(), &names)?;
        let trust = match (&recovered.newest, recovered.damaged.clone()) {
            (None, _) => RecoveryStatus::New,
            (Some(_), Some((segment, at))) => RecoveryStatus::Damaged { segment, at },
            (Some(_), None) if known.is_none() => RecoveryStatus::Copy,
            (Some(_), None) => RecoveryStatus::Whole,
        };
        let own = match known.filter(|_| trust == RecoveryStatus::Whole) {
            Some(own) => own,
            // What is not what it was is another life, which may not know what came before.
            None => make_identity(
                files.as_mut(),
                &names,
                Identity {
                    own: random,
                    life_ms: now_ms,
                },
            )?,
        };
        // What is built on must be durable, also where an earlier process only wrote it.
        for (name, _) in &segments {
            files.sync(name)?;
        }
        let newest = recovered.newest;
        let live = recovered
            .keys
            .iter()
            .map(|(key, value)| cost(key, &value.bytes))
            .sum();
        let highest = names
            .iter()
            .filter_map(|name| recovery::number(name))
            .max()
            .unwrap_or(0);
        let sizes = segments
            .iter()
            .map(|(name, bytes)| (name.clone(), bytes.len() as u64))
            .collect();
        let found = RecoveryReport {
            status: trust,
            identity: own.own,
            life_ms: own.life_ms,
            start: newest.map_or(0, |head| head.start) + 1,
            last_at_ms: newest.map_or(0, |head| head.at_ms),
            keys: recovered.keys.len(),
            torn: recovered.torn,
        };
        let mut store = Store {
            files,
            plan,
            head: Head {
                identity: newest.map_or(random, |head| head.identity),
                number: highest,
                start: found.start,
                snapshot: false,
                after: recovered.last,
                acknowledged: recovered.last,
                at_ms: now_ms,
            },
            keys: recovered.keys,
            live,
            last: recovered.last,
            durable: recovered.last,
            pending: Vec::new(),
            log: None,
            log_name: String::new(),
            log_bytes: recovered.log_bytes,
            sizes,
            rewriting: None,
            unsure: !segments.is_empty(),
        };
        match found.status {
            // What lies behind the damage must not be read again: all is written anew.
            RecoveryStatus::Damaged { .. } => {
                store.rescue(now_ms)?;
            }
            _ => store.begin_log(now_ms)?,
        }
        Ok((store, found))
    }

    pub fn get(&self, key: &[u8]) -> Option<&Value> {
        self.keys.get(key)
    }

    /// All live keys that begin so, in order.
    pub fn prefix<'a>(&'a self, prefix: &'a [u8]) -> impl Iterator<Item = (&'a [u8], &'a Value)> {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        let all = self.keys.range::<[u8], _>(from);
        all.map(|(key, value)| (&**key, value))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    pub fn len(&self) -> usize {
        self.keys.len()
    }

    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The last batch that is durable.
    pub fn durable(&self) -> u64 {
        self.durable
    }

    /// Bytes on disk now.
    pub fn bytes(&self) -> u64 {
        self.sizes.values().sum::<u64>() + self.pending.len() as u64
    }

    /// Whether so much more would break the budget, with room to write all that lives once more.
    pub fn is_full(&self, more: u64) -> bool {
        self.live + more > self.plan.budget / 3
            || self.bytes() + self.live + more > self.plan.budget
    }

    pub fn is_broken(&self) -> bool {
        self.log.is_none()
    }

    /// Takes a batch; it is durable once [`Store::flush`] has told its number. Nothing: it is too
    /// long.
    pub fn write(&mut self, batch: Batch) -> Option<u64> {
        let frame = Frame::Batch(self.last + 1, self.last + 1 - self.durable, batch);
        if !frame::put(&mut self.pending, &frame) {
            return None;
        }
        self.last += 1;
        if let Frame::Batch(_, _, batch) = frame {
            // One after the other: a batch may write a key twice.
            for write in batch.writes {
                let before = self
                    .keys
                    .get(write.key.as_slice())
                    .map_or(0, |value| cost(&write.key, &value.bytes));
                self.live += write
                    .value
                    .as_ref()
                    .map_or(0, |value| cost(&write.key, value));
                self.live -= before;
                recovery::put(&mut self.keys, write);
            }
        }
        Some(self.last)
    }

    /// Makes all that was taken durable; gives the last batch's number.
    pub fn flush(&mut self) -> io::Result<u64> {
        let Some(log) = &mut self.log else {
            return Err(io::Error::other("the log is broken"));
        };
        if self.pending.is_empty() {
            return Ok(self.durable);
        }
        let done = log.append(&self.pending).and_then(|()| log.sync());
        if let Err(e) = done {
            self.log = None;
            return Err(e);
        }
        self.log_bytes += self.pending.len() as u64;
        *self.sizes.entry(self.log_name.clone()).or_default() += self.pending.len() as u64;
        self.pending.clear();
        self.durable = self.last;
        Ok(self.durable)
    }

    // ---- Segments ----

    /// A new segment behind a batch.
    fn create(
        &mut self,
        snapshot: bool,
        after: u64,
        now_ms: u64,
    ) -> io::Result<(Box<dyn Log>, String)> {
        self.head.number += 1;
        let head = Head {
            snapshot,
            after,
            acknowledged: self.durable,
            at_ms: now_ms,
            ..self.head
        };
        let name = recovery::name(head.number);
        let mut log = self.files.create(&name)?;
        let mut bytes = Vec::new();
        frame::put_head(&mut bytes, &head);
        log.append(&bytes)?;
        // Before any frame: a head that is bad with frames behind it is damage.
        log.sync()?;
        self.files.sync_directory()?;
        self.sizes.insert(name.clone(), bytes.len() as u64);
        Ok((log, name))
    }

    fn begin_log(&mut self, now_ms: u64) -> io::Result<()> {
        self.log = None;
        let (log, name) = self.create(false, self.durable, now_ms)?;
        (self.log, self.log_name) = (Some(log), name);
        Ok(())
    }

    /// Whether the log should be rewritten.
    pub fn wants_rewriting(&self) -> bool {
        let long =
            self.log_bytes > MIN_LOG.min(self.plan.budget / 8) && self.log_bytes > 2 * self.live;
        self.log.is_some() && (self.rewriting.is_some() || long || self.unsure)
    }

    /// Does about so many bytes of rewriting. True: the log is rewritten, and what it took the
    /// place of is gone.
    pub fn rewrite(&mut self, now_ms: u64, bytes: usize) -> io::Result<bool> {
        if self.rewriting.is_none() {
            self.flush()?;
            let old = self.sizes.keys().cloned().collect();
            let (log, name) = self.create(true, self.durable, now_ms)?;
            self.rewriting = Some(Rewriting {
                log,
                name,
                bytes: 0,
                at: None,
                writes: 0,
                old,
            });
            // What comes from now on lies behind the snapshot, whatever of it that holds already.
            if let Err(e) = self.begin_log(now_ms) {
                self.rewriting = None;
                return Err(e);
            }
            self.log_bytes = 0;
        }
        let Some(mut own) = self.rewriting.take() else {
            return Ok(false);
        };
        let mut left = bytes;
        while left > 0 {
            let part = self.part(&mut own, now_ms);
            if part.writes.is_empty() {
                // It may hold a part of a batch that came meanwhile: with the log behind it all of
                // that is there.
                self.flush()?;
                return self.finish(own).map(|()| true);
            }
            let mut out = Vec::new();
            own.writes += part.writes.len() as u64;
            frame::put(&mut out, &Frame::Part(part));
            own.log.append(&out)?;
            own.bytes += out.len() as u64;
            left = left.saturating_sub(out.len());
        }
        *self.sizes.entry(own.name.clone()).or_default() = own.bytes;
        self.rewriting = Some(own);
        Ok(false)
    }

    /// The next live keys behind the last that was written; what has expired is forgotten.
    fn part(&mut self, own: &mut Rewriting, now_ms: u64) -> Batch {
        let from = own.at.as_deref().map_or(Bound::Unbounded, Bound::Excluded);
        let (mut part, mut bytes, mut expired) = (Batch::default(), 0, Vec::new());
        for (key, value) in self.keys.range::<[u8], _>((from, Bound::Unbounded)) {
            if value.until_ms != 0 && value.until_ms < now_ms {
                expired.push(key.clone());
                continue;
            }
            part.put(key.to_vec(), value.bytes.to_vec(), value.until_ms);
            bytes += cost(key, &value.bytes) as usize;
            if bytes >= PART {
                break;
            }
        }
        for key in expired {
            if let Some(value) = self.keys.remove(&key) {
                self.live -= cost(&key, &value.bytes);
            }
        }
        own.at = part
            .writes
            .last()
            .map(|write| write.key.as_slice().into())
            .or(own.at.take());
        part
    }

    fn finish(&mut self, mut own: Rewriting) -> io::Result<()> {
        let mut out = Vec::new();
        frame::put(&mut out, &Frame::Whole(own.writes));
        own.log.append(&out)?;
        own.log.sync()?;
        self.files.sync_directory()?;
        self.sizes.insert(own.name, own.bytes + out.len() as u64);
        self.unsure = false;
        // Only now may what it took the place of go.
        for name in own.old {
            self.files.remove(&name)?;
            self.sizes.remove(&name);
        }
        self.files.sync_directory()
    }

    /// Writes all keys anew behind a log that broke or was damaged; what was taken meanwhile is
    /// durable then.
    pub fn rescue(&mut self, now_ms: u64) -> io::Result<u64> {
        (self.log, self.rewriting) = (None, None);
        let old: Vec<String> = self.sizes.keys().cloned().collect();
        // What is not durable yet becomes so with the snapshot, and its frames are not needed
        // again.
        let (log, name) = self.create(true, self.last, now_ms)?;
        let mut own = Rewriting {
            log,
            name,
            bytes: 0,
            at: None,
            writes: 0,
            old,
        };
        loop {
            let part = self.part(&mut own, now_ms);
            if part.writes.is_empty() {
                break;
            }
            let mut out = Vec::new();
            own.writes += part.writes.len() as u64;
            frame::put(&mut out, &Frame::Part(part));
            own.log.append(&out)?;
            own.bytes += out.len() as u64;
        }
        self.finish(own)?;
        self.durable = self.last;
        self.pending.clear();
        self.log_bytes = 0;
        self.begin_log(now_ms)?;
        Ok(self.durable)
    }
}

#[derive(Clone, Copy)]
struct Identity {
    own: u64,
    life_ms: u64,
}

/// The identity that a directory tells, if it is the directory that it was told in.
fn identity(files: &mut dyn Files, names: &[String]) -> io::Result<Option<Identity>> {
    if !names.iter().any(|name| name == IDENTITY) {
        return Ok(None);
    }
    let bytes = files.read(IDENTITY)?;
    let number = |at: usize| {
        let part = bytes.get(at..at + 8).and_then(|part| part.try_into().ok());
        part.map(u64::from_le_bytes)
    };
    let (Some(own), Some(life_ms), Some(birth), Some(sum)) =
        (number(0), number(8), number(16), number(24))
    else {
        return Ok(None);
    };
    // Where the system doesn't tell births, a copy can't be told from what it is a copy of.
    let same = files.birth(IDENTITY)?.is_none_or(|now| now == birth);
    let whole = crc32fast::hash(&bytes[..24]) as u64 == sum;
    Ok(Some(Identity { own, life_ms }).filter(|_| same && whole))
}

fn make_identity(
    files: &mut dyn Files,
    names: &[String],
    identity: Identity,
) -> io::Result<Identity> {
    if names.iter().any(|name| name == IDENTITY) {
        files.remove(IDENTITY)?;
    }
    let mut log = files.create(IDENTITY)?;
    let birth = files.birth(IDENTITY)?.unwrap_or(0);
    let numbers = [identity.own, identity.life_ms, birth];
    let mut bytes = numbers.map(u64::to_le_bytes).concat();
    bytes.extend_from_slice(&(crc32fast::hash(&bytes) as u64).to_le_bytes());
    log.append(&bytes)?;
    log.sync()?;
    files.sync_directory()?;
    Ok(identity)
}
