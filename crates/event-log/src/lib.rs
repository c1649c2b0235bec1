//! The event record of a gateway: what went into the decision module, what came out, and what the
//! host knows beside that, as an append-only series of segment files that an incident can be folded
//! from again.
//!
//! [`codec`] turns entries into bytes and back, [`frame`] wraps batches of them with checksums,
//! both without I/O. [`tally`] counts entries to [`totals`], the same way where they are written,
//! left out or read. [`recorder`] is the event loop's side, which never waits; [`writer`] is the
//! thread behind it; [`reader`] merges any number of records by time and gets over damage. [`text`]
//! prints entries.
//!
//! Bounds: a recorder holds [`recorder::BATCHES`] buffers of [`recorder::BATCH`] bytes and nothing
//! else that grows; a reader holds one buffer of [`frame::MAX_PAYLOAD`] and a little for each
//! segment file.

#![expect(missing_docs, reason = "public items are still to be described")]

pub mod codec;
pub mod entry;
pub mod frame;
pub mod plan;
pub mod reader;
pub mod recorder;
pub mod tally;
pub mod text;
pub mod totals;
pub mod writer;

pub use entry::{
    AnswerKind, CloseReason, Entry, FleetEvent, Host, ListedEngine, Names, Offer, OpenRequest,
    RejectReason,
};
pub use reader::{Merged, Problem, ReadEntry, Source};
pub use recorder::{Config, Recorder};
pub use tally::{Lane, Tally};
