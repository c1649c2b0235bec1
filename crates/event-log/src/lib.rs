//! The event log of a gateway: an append-only series of segment files from which an incident can
//! be reconstructed. It contains the inputs and outputs of the decision module, which chooses an
//! engine for each request, and the events of the gateway process around that module.
//!
//! The gateway records entries through [`Recorder`], which runs on the event loop's thread, never
//! blocks and owns the buffers. A writer thread owns the segment files. [`MergedReader`] merges the
//! logs of any number of gateways, sorted by time, and skips damaged parts.
//!
//! - [`entry`]: the types of entries.
//! - [`codec`] and [`frame`]: encode entries as bytes and put them into frames with checksums,
//!   without I/O.
//! - [`tally`] and [`totals`]: count entries. The same code counts entries that are written,
//!   dropped or read back.
//! - [`recorder`], [`disk`] and [`file_name`]: write logs. [`reader`]: reads them.
//! - [`text`]: formats entries as text.
//!
//! Memory is bounded: a recorder owns [`recorder::BATCH_COUNT`] buffers of
//! [`recorder::BATCH_BYTES`]. A reader owns one buffer of about [`frame::MAX_PAYLOAD`] for each run
//! of a gateway, which lasts from the start of the process to its end.
//!
//! # Example
//!
//! ```
//! use eideryard_event_log::codec::{Context, DecodeError, Decoder};
//! use eideryard_event_log::text::EntryText;
//! use eideryard_event_log::{Entry, HostEvent};
//!
//! # fn main() -> Result<(), DecodeError> {
//! let entry = Entry::Host(HostEvent::DiscoveryLink { is_up: true });
//! let mut bytes = Vec::new();
//! Context::new(1_000_000).encode(&mut bytes, 1_000_250, entry.as_ref());
//!
//! let mut decoder = Decoder::new(&bytes, Context::new(1_000_000));
//! let (at, decoded) = decoder.next_entry()?.expect("an entry");
//! assert_eq!(at, 1_000_250);
//! assert_eq!(EntryText(decoded.as_ref()).to_string(), "host Link { up: true }");
//! assert!(decoder.next_entry()?.is_none());
//! # Ok(())
//! # }
//! ```

pub mod codec;
pub mod disk;
pub mod entry;
pub mod file_name;
pub mod frame;
pub mod reader;
pub mod recorder;
pub mod tally;
pub mod text;
pub mod totals;

mod config;
mod writer;

pub use entry::{
    AnswerKind, ClientRequest, CloseReason, Entry, FleetEvent, HostEvent, ListedEngine, Names,
    OpenRequest, RejectReason, RunningAttempt,
};
pub use reader::{MergedReader, Problem, ReadEntry, Source};
pub use recorder::{Config, Recorder};
pub use totals::{GroupTotals, Tally};
