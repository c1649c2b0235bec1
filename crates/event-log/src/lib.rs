//! The event log of a gateway: the inputs and outputs of its decision module and its own events, as
//! an append-only series of segment files from which an incident can be reconstructed.
//!
//! The gateway records through [`Recorder`], which belongs to its event loop, never waits and owns
//! the buffers. A writer thread owns the segment files. [`MergedReader`] reads the logs of any
//! number of gateways by time and skips damaged parts.
//!
//! - [`entry`]: the types of entries.
//! - [`codec`] and [`frame`]: entries as bytes, and frames of entries with checksums, without I/O.
//! - [`tally`] and [`totals`]: counting of entries, with the same code where they are written, left
//!   out and read.
//! - [`recorder`], [`disk`] and [`file_name`]: writing; [`reader`]: reading.
//! - [`text`]: entries as text.
//!
//! Memory is bounded: a recorder holds [`recorder::BATCH_COUNT`] buffers of
//! [`recorder::BATCH_BYTES`], a reader one buffer of about [`frame::MAX_PAYLOAD`] for each start of
//! a gateway.
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
