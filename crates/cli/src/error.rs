//! Why a command fails. Each error is one line on standard error.

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
        /// How many.
        unusable: usize,
        /// How many were checked.
        total: usize,
    },
    /// Event logs can't be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// Standard output can't be written.
    #[error(transparent)]
    Output(#[from] io::Error),
    /// Event logs are damaged or don't agree with the gateways' counters.
    #[error("{0} things are wrong with these records")]
    DamagedRecords(usize),
    /// An id of a request is malformed.
    #[error("'{0}' is no id; expected 16 hex digits")]
    MalformedId(String),
    /// No event log holds a request.
    #[error("no record tells of {0}")]
    UnknownId(String),
    /// A span of time is empty.
    #[error("--from is not before --to")]
    EmptySpan,
    /// A gateway's status file can't be read.
    #[error("{path}: {problem}; name the store-dir of a gateway whose file has 'fleet'")]
    StatusFile {
        /// Path of the file.
        path: PathBuf,
        /// What is wrong.
        problem: StatusFileProblem,
    },
    /// Some gateways reach no majority of voters.
    #[error(
        "no majority of keepers at {0}: keyed and unsafe requests are refused there, or sent at a risk"
    )]
    NoMajority(String),
    /// Replicas can't be compared.
    #[error("copies are compared between keepers: name the store-dir of two or more")]
    TooFewVoters,
    /// A store can't be used.
    #[error("{directory}: {problem}")]
    Store {
        /// Directory of the store.
        directory: PathBuf,
        /// What is wrong.
        problem: StoreProblem,
    },
    /// A store is damaged.
    #[error(
        "{segment} is damaged at byte {offset}: a gateway takes what lies before it as hints and begins as a \
         stranger; nothing has to be done by hand"
    )]
    DamagedStore {
        /// Name of the segment.
        segment: String,
        /// The first damaged byte.
        offset: u64,
    },
    /// A report can't be written.
    #[error("{path}: {error}")]
    Report {
        /// Path of the page.
        path: PathBuf,
        /// What the system says.
        error: io::Error,
    },
    /// The console ended with an error.
    #[error(transparent)]
    Console(#[from] ConsoleError),
}

/// What is wrong with a status file.
#[derive(Debug, Error)]
pub enum StatusFileProblem {
    /// It can't be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It holds something else.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// What is wrong with a store.
#[derive(Debug, Error)]
pub enum StoreProblem {
    /// The directory doesn't exist.
    #[error("no such directory; name the one that store-dir names")]
    NoDirectory,
    /// The directory holds no store.
    #[error("no store is there")]
    NoStore,
    /// The store can't be opened.
    #[error(transparent)]
    Open(#[from] eideryard_store::OpenError),
    /// The store can't be rewritten.
    #[error(transparent)]
    Io(#[from] io::Error),
}
