//! Recovery: from the content of segment files to the live keys, and to what is missing. No I/O.
//!
//! The newest whole snapshot is read, then each log behind it in order. A log may end in a torn
//! frame, which was not flushed. But the batches that a later segment requires must be there: if
//! they are not, the store is damaged, and its state is that before the missing batch.

use std::collections::BTreeMap;

use crate::frame::{self, Frame, FrameError, Head, Write};

mod writes;

use writes::Writes;

/// Value of a live key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The value.
    pub bytes: Box<[u8]>,
    /// Time after which it may be dropped, in Unix milliseconds; 0 for never.
    pub until_ms: u64,
}

/// All live keys.
pub type Keys = BTreeMap<Box<[u8]>, Value>;

/// How complete a recovered store is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryStatus {
    /// There were no segments: a new store, or one that was wiped.
    New,
    /// All batches that were ever reported durable are there.
    Whole,
    /// The directory is a copy of the one that was written, so later batches may be missing.
    Copy,
    /// Batches behind a point are missing.
    Damaged {
        /// Name of the damaged segment.
        segment: String,
        /// Offset of the damage in bytes.
        at: u64,
    },
}

/// What an opened store had recovered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryReport {
    /// How complete it is.
    pub status: RecoveryStatus,
    /// Identity of the store's incarnation.
    pub identity: u64,
    /// Begin of the incarnation, in Unix milliseconds: when the store was made, or found not to be
    /// whole. Earlier writes may be missing.
    pub complete_since_ms: u64,
    /// Number of times that the store was opened, this one included.
    pub start_number: u64,
    /// Time at which the last segment was begun, in Unix milliseconds.
    pub last_segment_at_ms: u64,
    /// Number of live keys.
    pub keys: usize,
    /// Bytes of torn frames at the end of logs: writes that were never reported durable.
    pub torn_bytes: u64,
}

/// Why a store can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// Another process has the directory.
    #[error("another process has the store; stop it, or name another directory with store-dir")]
    InUse,
    /// The head of a segment can't be read.
    #[error("{segment} can't be used: {why}; {}", remedy(why))]
    Segment {
        /// Name of the segment.
        segment: String,
        /// Why.
        why: FrameError,
    },
    /// The first batches are missing.
    #[error(
        "the store has lost its beginning: {segment} follows batch {after}, which no snapshot holds; \
        move the \
         directory away, the gateway then starts as a stranger"
    )]
    NoBeginning {
        /// Name of the first segment that is there.
        segment: String,
        /// The batch that it follows.
        after: u64,
    },
    /// Segments of several stores are in one directory.
    #[error(
        "{segment} belongs to another store; put one store's files into a directory, not two's"
    )]
    Mixed {
        /// Name of a segment of another store.
        segment: String,
    },
    /// A file can't be read or written.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// What the operator can do about a segment that can't be read.
fn remedy(error: &FrameError) -> &'static str {
    match error {
        FrameError::Version(_) => "use the program that wrote it, or move the directory away",
        FrameError::Head | FrameError::Foreign => {
            "move the directory away; the gateway then starts as a stranger"
        }
    }
}

/// File name of a segment.
pub fn segment_name(number: u64) -> String {
    format!("{number:016x}.seg")
}

/// Number of a segment, if the file name is a segment's.
pub fn segment_number(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_suffix(".seg")?, 16)
        .ok()
        .filter(|_| name.len() == 20)
}

/// The highest segment number among file names, or 0.
pub fn highest_segment_number(names: &[String]) -> u64 {
    names
        .iter()
        .filter_map(|name| segment_number(name))
        .max()
        .unwrap_or(0)
}

/// Applies a write to the live keys.
pub fn apply(keys: &mut Keys, write: Write) {
    let key = write.key.into_boxed_slice();
    match write.value {
        Some(value) => {
            let value = Value {
                bytes: value.into_boxed_slice(),
                until_ms: write.until_ms,
            };
            keys.insert(key, value);
        }
        None => {
            keys.remove(&key);
        }
    }
}

/// A segment file.
#[derive(Clone, Debug)]
pub struct SegmentFile {
    /// Its name.
    pub name: String,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// Where a store is damaged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Name of the segment.
    pub segment: String,
    /// Offset in bytes.
    pub offset: u64,
}

/// What segments hold.
#[derive(Debug)]
pub struct Recovered {
    /// The live keys.
    pub keys: Keys,
    /// Number of the last batch.
    pub last_batch: u64,
    /// Head of the newest segment, if there is one.
    pub newest_header: Option<Head>,
    /// Where batches are missing, if they are.
    pub damage: Option<Damage>,
    /// Bytes of torn frames at the end of logs.
    pub torn_bytes: u64,
    /// Bytes of the logs behind the snapshot.
    pub log_bytes: u64,
}

struct Segment<'a> {
    name: &'a str,
    head: Head,
    first_frame: usize,
    bytes: &'a [u8],
}

impl Segment<'_> {
    /// Reads frames until `accept` returns false or a frame can't be read, and returns the offset
    /// of that frame.
    fn read(&self, mut accept: impl FnMut(Frame) -> bool) -> usize {
        let mut offset = self.first_frame;
        while let Some((frame, length)) = frame::read(&self.bytes[offset..]) {
            if !accept(frame) {
                break;
            }
            offset += length;
        }
        offset
    }

    /// The writes of a snapshot, if it is whole.
    fn snapshot(&self) -> Option<Writes> {
        let mut writes = Writes::default();
        let mut count = 0u64;
        let mut is_whole = false;
        self.read(|frame| {
            match frame {
                Frame::Part(batch) if !is_whole => {
                    count += batch.writes.len() as u64;
                    writes.extend(batch);
                }
                Frame::Whole(expected) => is_whole = expected == count,
                _ => return false,
            }
            true
        });
        is_whole.then_some(writes)
    }

    /// Whether a frame behind `offset` was written when a later batch than `last` was durable.
    fn has_later_durable_batch(&self, offset: usize, last: u64) -> bool {
        (offset + 1..self.bytes.len()).any(|start| match frame::read(&self.bytes[start..]) {
            Some((
                Frame::Batch {
                    number,
                    behind_durable,
                    ..
                },
                _,
            )) => number.saturating_sub(behind_durable) > last,
            _ => false,
        })
    }
}

/// Recovers the state of a store from its segments, in the order of their names.
///
/// # Errors
///
/// Where a segment can't be read or belongs to another store, or the first batches are missing.
pub fn recover(files: &[SegmentFile]) -> Result<Recovered, OpenError> {
    let segments = read_heads(files)?;
    let mut recovered = Recovered {
        keys: Keys::new(),
        last_batch: 0,
        newest_header: segments.last().map(|segment| segment.head),
        damage: None,
        torn_bytes: 0,
        log_bytes: 0,
    };
    let writes = read_writes(&segments, &mut recovered)?;
    recovered.keys = writes.into_keys();
    Ok(recovered)
}

fn read_heads(files: &[SegmentFile]) -> Result<Vec<Segment<'_>>, OpenError> {
    let mut segments: Vec<Segment<'_>> = Vec::new();
    for SegmentFile { name, bytes } in files {
        match frame::read_head(bytes) {
            Ok((head, first_frame)) => segments.push(Segment {
                name,
                head,
                first_frame,
                bytes,
            }),
            // A crash while the segment was begun leaves a head that is not whole, without any
            // frame behind it.
            Err(_) if bytes.len() <= frame::HEAD => {}
            Err(why) => {
                return Err(OpenError::Segment {
                    segment: name.clone(),
                    why,
                });
            }
        }
    }
    let identity = segments.first().map(|segment| segment.head.identity);
    let foreign = segments
        .iter()
        .find(|segment| Some(segment.head.identity) != identity);
    match foreign {
        Some(foreign) => Err(OpenError::Mixed {
            segment: foreign.name.to_string(),
        }),
        None => Ok(segments),
    }
}

/// The writes of the newest whole snapshot and of the logs behind it, up to the first batch that is
/// missing.
fn read_writes(segments: &[Segment<'_>], recovered: &mut Recovered) -> Result<Writes, OpenError> {
    let mut writes = Writes::default();
    let mut first_log = 0;
    for (index, segment) in segments.iter().enumerate().rev() {
        if !segment.head.snapshot {
            continue;
        }
        if let Some(snapshot) = segment.snapshot() {
            writes = snapshot;
            recovered.last_batch = segment.head.after;
            first_log = index + 1;
            break;
        }
    }
    let mut has_beginning = first_log > 0;
    for log in segments[first_log..].iter().filter(|s| !s.head.snapshot) {
        if log.head.after > recovered.last_batch {
            recovered.record_missing(log, has_beginning)?;
            return Ok(writes);
        }
        has_beginning = true;
        read_log(log, recovered, &mut writes);
        if recovered.damage.is_some() {
            return Ok(writes);
        }
    }
    // Batches that were durable when a segment was begun must be there, whatever became of the
    // segment itself.
    let later = segments
        .iter()
        .rev()
        .find(|segment| segment.head.acknowledged > recovered.last_batch);
    if let Some(segment) = later {
        recovered.record_missing(segment, has_beginning)?;
    }
    Ok(writes)
}

fn read_log(log: &Segment<'_>, recovered: &mut Recovered, writes: &mut Writes) {
    recovered.log_bytes += log.bytes.len() as u64;
    let last = &mut recovered.last_batch;
    let end = log.read(|frame| match frame {
        Frame::Batch { number, batch, .. } if number == *last + 1 => {
            writes.extend(batch);
            *last = number;
            true
        }
        // An earlier segment has the batch too: its write had failed and was repeated.
        Frame::Batch { number, .. } => number <= *last,
        _ => false,
    });
    if end == log.bytes.len() {
        return;
    }
    // A frame can't be read. It was not flushed, unless a frame behind it states that later batches
    // were durable.
    if log.has_later_durable_batch(end, recovered.last_batch) {
        recovered.damage = Some(Damage {
            segment: log.name.to_string(),
            offset: end as u64,
        });
    } else {
        recovered.torn_bytes += (log.bytes.len() - end) as u64;
    }
}

impl Recovered {
    /// Batches before a segment are missing: damage, or an error where nothing is there.
    fn record_missing(
        &mut self,
        segment: &Segment<'_>,
        has_beginning: bool,
    ) -> Result<(), OpenError> {
        let name = segment.name.to_string();
        if !has_beginning {
            return Err(OpenError::NoBeginning {
                segment: name,
                after: segment.head.after,
            });
        }
        self.damage = Some(Damage {
            segment: name,
            offset: 0,
        });
        Ok(())
    }
}
