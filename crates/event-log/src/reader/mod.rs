//! Reading of logs: the segments of any number of gateways and directories as one stream of entries
//! by time, with one frame of each gateway in memory at a time. Damaged parts are skipped and
//! reported as [`Problem`]s; no entry is returned twice.
//!
//! [`MergedReader`] is the entry point. Below it, `stream` reads the segments of one start of one
//! gateway and `segments` lists the files.

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
    /// The file system refused.
    #[error("{path}: {error}")]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// What the file system said.
        error: io::Error,
    },
    /// The directories hold no segment files.
    #[error("{path}: no record is there (files named NAME.START.NUMBER.eyr)")]
    NoSegments {
        /// The first directory.
        path: PathBuf,
    },
    /// The log was written by a later version.
    #[error(
        "{path}: version {version} of the record is newer than this program, which reads up to \
             {VERSION}; use the program that wrote it, or a later one"
    )]
    UnsupportedVersion {
        /// The segment file.
        path: PathBuf,
        /// Its version.
        version: u32,
    },
}

/// A part of a log that was skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The segment file.
    pub file: PathBuf,
    /// Position of the first byte that was skipped.
    pub from: u64,
    /// How many bytes were skipped.
    pub bytes: u64,
    /// Why.
    pub kind: ProblemKind,
}

/// Why a part of a log was skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProblemKind {
    /// The file doesn't start with a valid header.
    #[error("the file's head is damaged")]
    FileHeadDamaged,
    /// No frame has a valid checksum there.
    #[error("no frame with a fitting checksum")]
    NoValidFrame,
    /// The file ends within a frame.
    #[error("a frame that isn't whole")]
    IncompleteFrame,
    /// The frame's number was read before, or the frame is of another start of the gateway.
    #[error("a frame that was read before, or of another start")]
    DuplicateFrame,
    /// The number of the frame there is not the next one.
    #[error("frames before this are missing")]
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

/// One start of one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The gateway's name.
    pub name: String,
    /// When it started.
    pub epoch: Micros,
    /// The directory of its segments.
    pub directory: PathBuf,
    /// Bytes of its segments.
    pub bytes: u64,
}

/// An entry, or damage, in the order of time.
#[derive(Debug)]
pub struct ReadEntry {
    /// Index of its source in [`MergedReader::sources`].
    pub source: usize,
    /// Time of the entry; of the entry before, for damage.
    pub at: Micros,
    /// What was read.
    pub content: ReadContent,
}

/// What was read at one place of a log.
#[derive(Debug)]
pub enum ReadContent {
    /// An entry.
    Entry(Entry),
    /// Something could not be read here: totals up to now may lack entries, until the next
    /// [`HostEvent::Tally`](crate::HostEvent::Tally).
    Damaged,
}

/// Maps an I/O error of a file or directory.
fn io_error(path: &Path) -> impl Fn(io::Error) -> ReadError + '_ {
    move |error| ReadError::Io {
        path: path.to_path_buf(),
        error,
    }
}
