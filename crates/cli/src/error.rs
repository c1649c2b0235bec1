//! Errors of the commands. Each is printed as one line on standard error.

use std::io;
use std::path::PathBuf;

use eideryard_console::ConsoleError;
use eideryard_event_log::reader::ReadError;
use thiserror::Error;

/// Why a command fails.
#[derive(Debug, Error)]
pub enum CliError {
    /// Some of the checked files can't be used.
    #[error("{unusable} of {total} files can't be used")]
    UnusableFiles {
        /// Number of files that can't be used.
        unusable: usize,
        /// Number of files that were checked.
        total: usize,
    },
    /// Event logs can't be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// Standard output can't be written.
    #[error(transparent)]
    Output(#[from] io::Error),
    /// Event logs are damaged or don't agree with the gateways' counters.
    #[error("{0} problems in these event logs; see the lines above")]
    DamagedRecords(usize),
    /// An id of a request is malformed.
    #[error("'{0}' is not a request id; expected 16 hex digits")]
    MalformedId(String),
    /// No event log contains a request with the given id.
    #[error("no request with id {0} in these event logs")]
    UnknownId(String),
    /// The given span of time is empty.
    #[error("--from is not before --to")]
    EmptySpan,
    /// A gateway's status file can't be read.
    #[error(
        "{path}: {problem}; expected the store-dir of a gateway whose operator's file has 'fleet'"
    )]
    StatusFile {
        /// Path of the file.
        path: PathBuf,
        /// Why the file can't be read.
        problem: StatusFileProblem,
    },
    /// Some gateways reach no majority of voters. Contains the names of these gateways.
    #[error(
        "no majority of keepers at {0}: keyed and unsafe requests are refused there, or sent at the risk \
         of a second effect"
    )]
    NoMajority(String),
    /// Fewer than two voters were named, so there are no replicas to compare.
    #[error("copies are compared between keepers; expected the store-dir of two or more keepers")]
    TooFewVoters,
    /// A store can't be used.
    #[error("{directory}: {problem}")]
    Store {
        /// Directory of the store.
        directory: PathBuf,
        /// Why the store can't be used.
        problem: StoreProblem,
    },
    /// A store is damaged.
    #[error(
        "{segment} is damaged at byte {offset}: a gateway uses the data before it only as hints and starts \
         with a new identity; no action is needed"
    )]
    DamagedStore {
        /// File name of the segment.
        segment: String,
        /// Offset of the first damaged byte in the segment.
        offset: u64,
    },
    /// A report can't be written.
    #[error("{path}: {error}")]
    Report {
        /// Path of the page.
        path: PathBuf,
        /// Error of the system call.
        error: io::Error,
    },
    /// The console ended with an error.
    #[error(transparent)]
    Console(#[from] ConsoleError),
}

/// Why a status file can't be read.
#[derive(Debug, Error)]
pub enum StatusFileProblem {
    /// The file is missing or can't be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file's content isn't JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Why a store can't be used.
#[derive(Debug, Error)]
pub enum StoreProblem {
    /// The directory doesn't exist.
    #[error("no such directory; expected the directory that store-dir names")]
    NoDirectory,
    /// The directory contains no store.
    #[error("the directory contains no store")]
    NoStore,
    /// The store can't be opened.
    #[error(transparent)]
    Open(#[from] eideryard_store::OpenError),
    /// The store can't be rewritten.
    #[error(transparent)]
    Io(#[from] io::Error),
}
