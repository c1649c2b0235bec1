//! Durable state of a gateway: small keys and values that survive its process, in one directory.
//!
//! A log of atomic batches with an index of all live keys in memory. [`frame`] turns batches into
//! checksummed frames and back; [`recovery`] folds segment files to a state and says where it stops
//! and why; both without I/O. [`store`] appends, flushes and rewrites the log as a snapshot, slice
//! by slice; [`worker`] is its thread, which flushes once for all that waits. All file access goes
//! through [`files`], which has the real one; [`faulty`] is the one that tests crash, tear and
//! fill.
//!
//! Guarantees, word for word, stand in docs/store.md. Bounds: [`frame::MAX_BATCH`] bytes a batch,
//! [`store::Config::budget`] bytes on disk, [`worker::MAX_WAITING`] batches that wait.

#![expect(missing_docs, reason = "public items are still to be described")]

pub mod faulty;
pub mod files;
pub mod frame;
pub mod recovery;
pub mod store;
pub mod worker;

pub use files::{Directory, Files};
pub use frame::Batch;
pub use recovery::{OpenError, RecoveryReport, RecoveryStatus};
pub use store::{look, Config, Store};
