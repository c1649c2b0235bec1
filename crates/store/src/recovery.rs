//! Segment files to a state: what holds, up to where, and what is not trusted. Pure.
//!
//! The newest whole snapshot is taken, and behind it each log in order. A log may end in a torn
//! frame: what was not flushed. But what the next segment says came before it must be there: less
//! is damage, and the state is that up to it.

use std::collections::BTreeMap;

use crate::frame::{self, Batch, Frame, FrameError, Head, Write};

/// A live key's value, and when it is dropped (0: never).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    pub bytes: Box<[u8]>,
    pub until_ms: u64,
}

pub type Keys = BTreeMap<Box<[u8]>, Value>;

/// How far what was found is to be trusted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryStatus {
    /// Nothing was there: a new store, or one that was wiped.
    New,
    /// All that was ever acknowledged is there.
    Whole,
    /// It holds what it held at some time, but it is not the directory that was written then.
    Copy,
    /// It holds up to a point, and something behind it is gone.
    Damaged { segment: String, at: u64 },
}

/// What was there, in figures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryReport {
    pub status: RecoveryStatus,
    pub identity: u64,
    /// When this life of the store began, in Unix milliseconds: when it was made, or found not to
    /// be whole. What happened before it may not be known here.
    pub life_ms: u64,
    /// How often the store was opened, this time included.
    pub start: u64,
    /// When the last segment was begun.
    pub last_at_ms: u64,
    pub keys: usize,
    /// Bytes at the end of logs that were never whole: writes that nobody was told were durable.
    pub torn: u64,
}

#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    #[error("another process has the store; stop it, or name another directory with store-dir")]
    InUse,
    #[error("{segment} can't be used: {why}; {remedy}")]
    Segment {
        segment: String,
        why: FrameError,
        remedy: &'static str,
    },
    #[error(
        "the store has lost its beginning: {segment} follows batch {after}, which no snapshot holds; \
        move the \
         directory away, the gateway then starts as a stranger"
    )]
    NoBeginning { segment: String, after: u64 },
    #[error(
        "{segment} belongs to another store; put one store's files into a directory, not two's"
    )]
    Mixed { segment: String },
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// A file's name, by the segment's number.
pub fn name(number: u64) -> String {
    format!("{number:016x}.seg")
}

/// The number that a file's name tells, if it is a segment's.
pub fn number(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_suffix(".seg")?, 16)
        .ok()
        .filter(|_| name.len() == 20)
}

pub fn put(keys: &mut Keys, write: Write) {
    let key = write.key.into_boxed_slice();
    match write.value {
        Some(value) => {
            let value = Value {
                bytes: value.into_boxed_slice(),
                until_ms: write.until_ms,
            };
            _ = keys.insert(key, value);
        }
        None => _ = keys.remove(&key),
    }
}

/// A write and what it is sorted by first: the key's beginning as a number, which most comparisons
/// need nothing beyond.
struct Keyed {
    begins: u128,
    key: Box<[u8]>,
    value: Option<Value>,
}

/// The first 16 bytes of a key as a number that sorts as they do.
fn begins(key: &[u8]) -> u128 {
    let mut first = [0; 16];
    let length = key.len().min(16);
    first[..length].copy_from_slice(&key[..length]);
    u128::from_be_bytes(first)
}

/// Writes in their order, of which the last for each key holds: sorted once at the end, which takes
/// a third of the time that as many inserts take.
#[derive(Default)]
struct Writes(Vec<Keyed>);

impl Writes {
    fn take(&mut self, batch: Batch) {
        self.0.extend(batch.writes.into_iter().map(|write| {
            let value = write.value.map(|bytes| Value {
                bytes: bytes.into(),
                until_ms: write.until_ms,
            });
            Keyed {
                begins: begins(&write.key),
                key: write.key.into(),
                value,
            }
        }));
    }

    fn fold(self) -> Keys {
        let mut all = self.0;
        // Stable: of equal keys the last write stays the last.
        all.sort_by(|a, b| a.begins.cmp(&b.begins).then_with(|| a.key.cmp(&b.key)));
        let mut all = all.into_iter().peekable();
        let last = std::iter::from_fn(|| loop {
            let write = all.next()?;
            if all
                .peek()
                .is_none_or(|next| next.begins != write.begins || next.key != write.key)
            {
                return Some((write.key, write.value));
            }
        });
        last.filter_map(|(key, value)| Some((key, value?)))
            .collect()
    }
}

/// The state that segments hold.
#[derive(Debug)]
pub struct Recovered {
    pub keys: Keys,
    /// The last batch that holds.
    pub last: u64,
    /// The newest segment's head, if there was one.
    pub newest: Option<Head>,
    pub damaged: Option<(String, u64)>,
    pub torn: u64,
    /// Bytes of the logs behind the snapshot.
    pub log_bytes: u64,
}

struct Segment<'a> {
    name: &'a str,
    head: Head,
    frames: usize,
    bytes: &'a [u8],
}

impl Segment<'_> {
    /// All frames up to one that can't be read; and where that is.
    fn read(&self, mut each: impl FnMut(Frame) -> bool) -> usize {
        let mut at = self.frames;
        while let Some((frame, length)) = frame::read(&self.bytes[at..]) {
            if !each(frame) {
                break;
            }
            at += length;
        }
        at
    }

    /// The keys of a snapshot, if it is whole.
    fn snapshot(&self) -> Option<Writes> {
        let (mut keys, mut writes, mut whole) = (Writes::default(), 0u64, false);
        self.read(|frame| {
            match frame {
                Frame::Part(batch) if !whole => {
                    writes += batch.writes.len() as u64;
                    keys.take(batch);
                }
                Frame::Whole(count) => whole = count == writes,
                _ => return false,
            }
            true
        });
        whole.then_some(keys)
    }
}

/// Folds the files of a directory, by name and content, in the order of their names.
pub fn recover(files: &[(String, Vec<u8>)]) -> Result<Recovered, OpenError> {
    let mut segments = Vec::new();
    for (name, bytes) in files {
        match frame::read_head(bytes) {
            Ok((head, frames)) => segments.push(Segment {
                name,
                head,
                frames,
                bytes,
            }),
            // A crash or a fault while it was begun leaves a head that was never whole, and no
            // frame behind it.
            Err(_) if bytes.len() <= frame::HEAD => {}
            Err(why) => {
                let remedy = match why {
                    FrameError::Version(_) => {
                        "use the program that wrote it, or move the directory away"
                    }
                    _ => "move the directory away; the gateway then starts as a stranger",
                };
                return Err(OpenError::Segment {
                    segment: name.clone(),
                    why,
                    remedy,
                });
            }
        }
    }
    let first = segments.first().map(|segment| segment.head.identity);
    if let Some(other) = segments
        .iter()
        .find(|segment| Some(segment.head.identity) != first)
    {
        return Err(OpenError::Mixed {
            segment: other.name.to_string(),
        });
    }
    let mut recovered = Recovered {
        keys: Keys::new(),
        last: 0,
        newest: segments.last().map(|segment| segment.head),
        damaged: None,
        torn: 0,
        log_bytes: 0,
    };
    let writes = writes(&segments, &mut recovered)?;
    recovered.keys = writes.fold();
    Ok(recovered)
}

/// The writes of the newest whole snapshot and of the logs behind it, up to the first thing that is
/// missing.
fn writes(segments: &[Segment<'_>], recovered: &mut Recovered) -> Result<Writes, OpenError> {
    let (mut from, mut writes) = (0, Writes::default());
    let snapshots = segments
        .iter()
        .enumerate()
        .rev()
        .filter(|(_, segment)| segment.head.snapshot);
    for (place, segment) in snapshots {
        if let Some(keys) = segment.snapshot() {
            (writes, recovered.last, from) = (keys, segment.head.after, place + 1);
            break;
        }
    }
    let mut logs = 0;
    for segment in segments.iter().skip(from).filter(|own| !own.head.snapshot) {
        if segment.head.after > recovered.last {
            missing(recovered, segment, from == 0 && logs == 0)?;
            return Ok(writes);
        }
        logs += 1;
        recovered.log_bytes += segment.bytes.len() as u64;
        let last = &mut recovered.last;
        let end = segment.read(|frame| match frame {
            Frame::Batch(number, _, batch) if number == *last + 1 => {
                writes.take(batch);
                *last = number;
                true
            }
            // Batches that an earlier segment told too: its writer saw them fail and wrote them
            // again.
            Frame::Batch(number, ..) => number <= *last,
            _ => false,
        });
        if end == segment.bytes.len() {
            continue;
        }
        // Something can't be read here. It was never flushed, unless a frame behind it was written
        // when more than there is was durable: then it is damage.
        let (rest, last) = (&segment.bytes[end..], recovered.last);
        let knew_more = |skip| match frame::read(&rest[skip..]) {
            Some((Frame::Batch(number, behind, _), _)) => number.saturating_sub(behind) > last,
            _ => false,
        };
        if (1..rest.len()).any(knew_more) {
            recovered.damaged = Some((segment.name.to_string(), end as u64));
            return Ok(writes);
        }
        recovered.torn += rest.len() as u64;
    }
    // What was acknowledged when a segment was begun is there, whatever has become of that segment.
    if let Some(segment) = segments
        .iter()
        .rev()
        .find(|own| own.head.acknowledged > recovered.last)
    {
        missing(recovered, segment, from == 0 && logs == 0)?;
    }
    Ok(writes)
}

/// What came before a segment is not there: nothing at all, or something in between.
fn missing(recovered: &mut Recovered, segment: &Segment<'_>, all: bool) -> Result<(), OpenError> {
    let (segment, after) = (segment.name.to_string(), segment.head.after);
    if all {
        return Err(OpenError::NoBeginning { segment, after });
    }
    recovered.damaged = Some((segment, 0));
    Ok(())
}
