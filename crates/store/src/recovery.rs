//! Recovery: determines the live keys from the content of the segment files, and detects missing
//! batches. No I/O.
//!
//! Recovery reads the newest complete snapshot, then each later log in order. A log may end in a
//! torn frame, which was never flushed. Batches that a later segment records as durable must be
//! present, however. If they are not, the store is damaged, and recovery returns the state before
//! the first missing batch.

use std::collections::BTreeMap;

use crate::frame::{self, Frame, HeaderError, SegmentHeader, Write};

mod writes;

use writes::Writes;

/// Value of a live key, with its expiry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The value as it was written.
    pub bytes: Box<[u8]>,
    /// Time after which the key may be dropped, in Unix milliseconds; 0 for never.
    pub until_ms: u64,
}

/// All keys that were written and not removed since, with their values.
pub type LiveKeys = BTreeMap<Box<[u8]>, Value>;

/// How complete a recovered store is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryStatus {
    /// The directory had no segments: the store is new, or its files were deleted.
    New,
    /// Every batch that was ever reported durable is present.
    Whole,
    /// The directory is a copy, so batches that were later written to the original may be missing.
    Copy,
    /// Batches after a certain position are missing.
    Damaged {
        /// Name of the damaged segment.
        segment: String,
        /// Offset of the damage from the start of the segment, in bytes.
        at: u64,
    },
}

/// What was found when a store was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryReport {
    /// How complete the recovered state is.
    pub status: RecoveryStatus,
    /// Random number that identifies the store's incarnation.
    pub identity: u64,
    /// Time at which the incarnation began, in Unix milliseconds: when the store was created or was
    /// last found to be incomplete. Writes from before that time may be missing.
    pub complete_since_ms: u64,
    /// How often the store has been opened, including this time.
    pub start_number: u64,
    /// Time at which the newest recovered segment was created, in Unix milliseconds; 0 if there is
    /// none.
    pub last_segment_at_ms: u64,
    /// Number of live keys that were recovered.
    pub keys: usize,
    /// Bytes of torn frames at the end of logs. Their writes were never reported durable.
    pub torn_bytes: u64,
}

/// Why a store can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// Another process has locked the directory.
    #[error("another process has the store; stop it, or name another directory with store-dir")]
    InUse,
    /// The header of a segment can't be read.
    #[error("segment {segment} can't be used: {error}; {}", remedy(error))]
    Segment {
        /// File name of the segment.
        segment: String,
        /// What is wrong with the header.
        error: HeaderError,
    },
    /// Neither a log nor a snapshot contains the first batches of the store.
    #[error(
        "the first batches of the store are missing: segment {segment} continues after batch \
         {after_batch}, but no snapshot contains the batches up to it; move the directory away, \
         and the gateway starts with an empty store"
    )]
    MissingFirstBatches {
        /// File name of the first log that is present.
        segment: String,
        /// Sequence number of the last batch before that log.
        after_batch: u64,
    },
    /// The directory contains segments of several stores.
    #[error(
        "segment {segment} belongs to another store than the first segment; keep the files of only \
         one store in the directory"
    )]
    ForeignSegment {
        /// File name of a segment of another store.
        segment: String,
    },
    /// A file can't be read or written.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Returns advice for the operator on a segment whose header can't be read.
fn remedy(error: &HeaderError) -> &'static str {
    match error {
        HeaderError::Version(_) => {
            "use a program version that reads this format, or move the directory away"
        }
        HeaderError::Invalid | HeaderError::NotASegment => {
            "move the directory away, and the gateway starts with an empty store"
        }
    }
}

/// Returns the file name of the segment with a number.
pub fn segment_name(number: u64) -> String {
    format!("{number:016x}.seg")
}

/// Parses the number of a segment from its file name; `None` if the file is not a segment.
pub fn segment_number(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_suffix(".seg")?, 16)
        .ok()
        .filter(|_| name.len() == 20)
}

/// Returns the highest segment number among file names, or 0 if there is no segment.
pub fn highest_segment_number(names: &[String]) -> u64 {
    names
        .iter()
        .filter_map(|name| segment_number(name))
        .max()
        .unwrap_or(0)
}

/// Applies a write to the live keys.
pub fn apply(keys: &mut LiveKeys, write: Write) {
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

/// Name and content of a segment file.
#[derive(Clone, Debug)]
pub struct SegmentFile {
    /// File name without the directory.
    pub name: String,
    /// The whole content of the file.
    pub bytes: Vec<u8>,
}

/// The position after which batches are missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// File name of the segment that is damaged or follows the missing batches.
    pub segment: String,
    /// Offset in bytes of the first unreadable frame; 0 if the batches before the segment are
    /// missing.
    pub offset: u64,
}

/// State that was recovered from the segments of a store.
#[derive(Debug)]
pub struct Recovered {
    /// The live keys after the last recovered batch.
    pub keys: LiveKeys,
    /// Sequence number of the last recovered batch; 0 if there is none.
    pub last_batch: u64,
    /// Header of the newest segment; `None` if there are no segments.
    pub newest_header: Option<SegmentHeader>,
    /// The position after which batches are missing; `None` if all are present.
    pub damage: Option<Damage>,
    /// Bytes of torn frames at the end of logs, which were never flushed.
    pub torn_bytes: u64,
    /// Total size in bytes of the logs after the snapshot.
    pub log_bytes: u64,
}

/// A segment with a decoded header.
struct Segment<'a> {
    name: &'a str,
    header: SegmentHeader,
    /// Offset of the first frame in `bytes`.
    first_frame: usize,
    bytes: &'a [u8],
}

impl Segment<'_> {
    /// Passes frames to `accept` until `accept` returns `false` or a frame can't be read. Returns
    /// the offset of the frame at which it stopped.
    fn read_frames(&self, mut accept: impl FnMut(Frame) -> bool) -> usize {
        let mut offset = self.first_frame;
        while let Some((frame, length)) = frame::read(&self.bytes[offset..]) {
            if !accept(frame) {
                break;
            }
            offset += length;
        }
        offset
    }

    /// Returns the writes of a snapshot, or `None` if the snapshot is incomplete.
    fn snapshot(&self) -> Option<Writes> {
        let mut writes = Writes::default();
        let mut write_count = 0u64;
        let mut is_complete = false;
        self.read_frames(|frame| {
            match frame {
                Frame::SnapshotPart(batch) if !is_complete => {
                    write_count += batch.writes.len() as u64;
                    writes.extend(batch);
                }
                Frame::SnapshotEnd(expected) => is_complete = expected == write_count,
                _ => return false,
            }
            true
        });
        is_complete.then_some(writes)
    }

    /// Returns whether any frame after `offset` was written when a batch later than `last_batch`
    /// was already durable.
    fn has_later_durable_batch(&self, offset: usize, last_batch: u64) -> bool {
        (offset + 1..self.bytes.len()).any(|start| match frame::read(&self.bytes[start..]) {
            Some((
                Frame::Batch {
                    number,
                    batches_since_durable,
                    ..
                },
                _,
            )) => number.saturating_sub(batches_since_durable) > last_batch,
            _ => false,
        })
    }
}

/// Recovers the state of a store from its segment files, which have to be sorted by name.
///
/// # Errors
///
/// If a segment can't be read or belongs to another store, or if the first batches are missing.
pub fn recover(files: &[SegmentFile]) -> Result<Recovered, OpenError> {
    let segments = read_headers(files)?;
    let mut recovered = Recovered {
        keys: LiveKeys::new(),
        last_batch: 0,
        newest_header: segments.last().map(|segment| segment.header),
        damage: None,
        torn_bytes: 0,
        log_bytes: 0,
    };
    let writes = read_writes(&segments, &mut recovered)?;
    recovered.keys = writes.into_keys();
    Ok(recovered)
}

fn read_headers(files: &[SegmentFile]) -> Result<Vec<Segment<'_>>, OpenError> {
    let mut segments: Vec<Segment<'_>> = Vec::new();
    for SegmentFile { name, bytes } in files {
        match frame::read_header(bytes) {
            Ok((header, first_frame)) => segments.push(Segment {
                name,
                header,
                first_frame,
                bytes,
            }),
            // A crash during the creation of the segment leaves an incomplete header without any
            // frame after it.
            Err(_) if bytes.len() <= frame::HEADER_BYTES => {}
            Err(error) => {
                return Err(OpenError::Segment {
                    segment: name.clone(),
                    error,
                });
            }
        }
    }
    let identity = segments.first().map(|segment| segment.header.identity);
    let foreign = segments
        .iter()
        .find(|segment| Some(segment.header.identity) != identity);
    match foreign {
        Some(foreign) => Err(OpenError::ForeignSegment {
            segment: foreign.name.to_string(),
        }),
        None => Ok(segments),
    }
}

/// Collects the writes of the newest complete snapshot and of the logs after it, up to the first
/// missing batch.
fn read_writes(segments: &[Segment<'_>], recovered: &mut Recovered) -> Result<Writes, OpenError> {
    let mut writes = Writes::default();
    let mut first_log = 0;
    for (index, segment) in segments.iter().enumerate().rev() {
        if !segment.header.is_snapshot {
            continue;
        }
        if let Some(snapshot) = segment.snapshot() {
            writes = snapshot;
            recovered.last_batch = segment.header.after_batch;
            first_log = index + 1;
            break;
        }
    }
    let mut has_first_batches = first_log > 0;
    for log in segments[first_log..]
        .iter()
        .filter(|segment| !segment.header.is_snapshot)
    {
        if log.header.after_batch > recovered.last_batch {
            recovered.record_missing_batches(log, has_first_batches)?;
            return Ok(writes);
        }
        has_first_batches = true;
        read_log(log, recovered, &mut writes);
        if recovered.damage.is_some() {
            return Ok(writes);
        }
    }
    // Batches that were durable when a segment was created must be present, even if the segment
    // itself is incomplete.
    let later = segments
        .iter()
        .rev()
        .find(|segment| segment.header.last_durable_batch > recovered.last_batch);
    if let Some(segment) = later {
        recovered.record_missing_batches(segment, has_first_batches)?;
    }
    Ok(writes)
}

fn read_log(log: &Segment<'_>, recovered: &mut Recovered, writes: &mut Writes) {
    recovered.log_bytes += log.bytes.len() as u64;
    let last_batch = &mut recovered.last_batch;
    let end = log.read_frames(|frame| match frame {
        Frame::Batch { number, batch, .. } if number == *last_batch + 1 => {
            writes.extend(batch);
            *last_batch = number;
            true
        }
        // An earlier segment contains this batch too: writing it there had failed, so it was
        // written again to this segment.
        Frame::Batch { number, .. } => number <= *last_batch,
        _ => false,
    });
    if end == log.bytes.len() {
        return;
    }
    // A frame can't be read. It was never flushed, unless a frame after it records that later
    // batches were durable.
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
    /// Records that batches before a segment are missing. Fails if the first batches of the store
    /// are missing, because then there is no state to return.
    fn record_missing_batches(
        &mut self,
        segment: &Segment<'_>,
        has_first_batches: bool,
    ) -> Result<(), OpenError> {
        let name = segment.name.to_string();
        if !has_first_batches {
            return Err(OpenError::MissingFirstBatches {
                segment: name,
                after_batch: segment.header.after_batch,
            });
        }
        self.damage = Some(Damage {
            segment: name,
            offset: 0,
        });
        Ok(())
    }
}
