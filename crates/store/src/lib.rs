//! Durable key-value store of a gateway: small keys and values in one directory that survive a
//! restart of the process.
//!
//! A store is an append-only log of atomic batches. All live keys are in memory. Modules:
//!
//! - [`store`]: [`Store`] appends and flushes batches, and rewrites the log as a snapshot;
//! - [`worker`]: [`worker::Worker`] runs a store in a separate thread, for callers that must not
//!   wait for the disk;
//! - [`recovery`]: reads the live keys from the content of segment files, without I/O;
//! - [`frame`]: the encoding of segment files, without I/O;
//! - [`files`]: all file access;
//! - [`faulty`]: a simulated disk in memory, which tests use to inject crashes, torn writes and a
//!   full disk.
//!
//! docs/store.md lists the guarantees. An encoded batch is at most [`frame::MAX_FRAME_BYTES`] long,
//! the directory takes at most [`store::Config::budget`] bytes, and at most
//! [`worker::MAX_QUEUED_BATCHES`] batches are waiting for the thread at a time.
//!
//! ```
//! use eideryard_store::faulty::FaultyDisk;
//! use eideryard_store::{Batch, Config, RecoveryStatus, Store};
//!
//! let disk = FaultyDisk::default();
//! let config = Config { budget: 1 << 20 };
//! let (mut store, report) = Store::open(Box::new(disk.clone()), config, 1_000, 7)?;
//! assert_eq!(report.status, RecoveryStatus::New);
//! let mut batch = Batch::default();
//! batch.put(b"key".to_vec(), b"value".to_vec(), 0);
//! let number = store.write(batch);
//! assert_eq!(Some(store.flush()?), number);
//!
//! disk.kill();
//! let (store, report) = Store::open(Box::new(disk), config, 2_000, 8)?;
//! assert_eq!(report.status, RecoveryStatus::Whole);
//! assert_eq!(store.get(b"key").map(|value| &*value.bytes), Some(&b"value"[..]));
//! # Ok::<(), eideryard_store::OpenError>(())
//! ```

pub mod faulty;
pub mod files;
pub mod frame;
mod identity;
pub mod recovery;
pub mod store;
pub mod worker;

pub use files::{Directory, Files};
pub use frame::{Batch, NO_EXPIRY};
pub use recovery::{OpenError, RecoveryReport, RecoveryStatus};
pub use store::{inspect, Config, Store};
