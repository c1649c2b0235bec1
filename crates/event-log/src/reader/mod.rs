//! Reads logs: the segments of any number of gateways and directories as one stream of entries,
//! sorted by time, with one frame of each gateway in memory at a time. Damaged parts are skipped
//! and reported as [`Problem`]s. No entry is returned twice.
//!
//! [`MergedReader`] is the entry point. Below it, `stream` reads the segments of one run of one
//! gateway and `segments` lists the files. A run lasts from the start of a gateway's process to its
//! end.

mod merged;
mod segments;
mod stream;

use std::fmt::{self, Display, Formatter};
use std::io;
use std::path::{Path, PathBuf};

use eideryard::interface::Micros;

use crate::codec::DecodeError;
use crate::entry::Entry;
use crate::frame::VERSION;

pub use merged::MergedReader;

/// Why a log can't be read at all.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// A file or directory can't be read.
    #[error("{path}: {error}")]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The directories contain no segment files.
    #[error(
        "{path}: no event log found; expected segment files named NAME.START.NUMBER.eyr in the \
             directory"
    )]
    NoSegments {
        /// The first directory that was searched.
        path: PathBuf,
    },
    /// The log was written by a newer version of the program.
    #[error(
        "{path}: the event log has format version {version}, but this program reads versions up to \
             {VERSION}; use the program that wrote the log, or a later one"
    )]
    UnsupportedVersion {
        /// The segment file.
        path: PathBuf,
        /// The format version in the file's header.
        version: u32,
    },
}

/// A part of a log that was skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The segment file.
    pub file: PathBuf,
    /// Offset in the file of the first skipped byte.
    pub from: u64,
    /// Number of skipped bytes; 0 for missing frames.
    pub bytes: u64,
    /// Why the bytes were skipped.
    pub kind: ProblemKind,
}

/// Why a part of a log was skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProblemKind {
    /// The file doesn't start with a valid header.
    #[error("the file's header is damaged")]
    FileHeaderDamaged,
    /// No frame with a valid checksum starts in these bytes.
    #[error("no frame with a valid checksum")]
    NoValidFrame,
    /// The file ends within a frame.
    #[error("the file ends within a frame")]
    IncompleteFrame,
    /// A frame with this sequence number was already read, or the frame belongs to another run of
    /// the gateway.
    #[error("a frame that was already read, or that belongs to another run of the gateway")]
    DuplicateFrame,
    /// The sequence number of the frame at this position is higher than expected.
    #[error("frames are missing before this position")]
    MissingFrames,
    /// The frame is intact, but an entry can't be decoded.
    #[error(transparent)]
    Undecodable(DecodeError),
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        let end = self.from + self.bytes;
        write!(f, "{file}: bytes {} to {end}: {}", self.from, self.kind)
    }
}

/// One run of one gateway, from the start of its process to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The gateway's name.
    pub name: String,
    /// When the gateway started, in microseconds since the Unix epoch.
    pub epoch: Micros,
    /// The directory that contains the segments of this run.
    pub directory: PathBuf,
    /// Total size of the segments in bytes.
    pub bytes: u64,
}

/// An entry, or a damaged part, with its source and time.
#[derive(Debug)]
pub struct ReadEntry {
    /// Index of the source in [`MergedReader::sources`].
    pub source: usize,
    /// Time of the entry, in microseconds since the Unix epoch. For damage, the time of the entry
    /// before it.
    pub at: Micros,
    /// The entry or the damage.
    pub content: ReadContent,
}

/// What was read at one position of a log.
#[derive(Debug)]
pub enum ReadContent {
    /// A decoded entry.
    Entry(Entry),
    /// Part of the log could not be read here. Totals may lack entries until the next
    /// [`HostEvent::Tally`](crate::HostEvent::Tally).
    Damaged,
}

/// Returns a function that adds the path of a file or directory to an I/O error.
fn io_error(path: &Path) -> impl Fn(io::Error) -> ReadError + '_ {
    move |error| ReadError::Io {
        path: path.to_path_buf(),
        error,
    }
}
