//! Durable state of a gateway: small keys and values that survive its process, in one directory.
//!
//! A store is a log of atomic batches, with all live keys in memory. State and its owner:
//!
//! - [`store`]: [`Store`] appends and flushes batches, and rewrites the log as a snapshot;
//! - [`worker`]: [`worker::Worker`] owns a store in a thread of its own, for callers that must not
//!   wait for the disk;
//! - [`recovery`] and [`frame`]: from segment files to live keys, and the bytes of segments, both
//!   without I/O;
//! - [`files`]: all file access; [`faulty`] is a directory in memory that tests crash, tear and
//!   fill.
//!
//! Guarantees stand in docs/store.md. Bounds: [`frame::MAX_BATCH`] bytes a batch,
//! [`store::Config::budget`] bytes on disk, [`worker::MAX_WAITING`] batches that wait.
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
pub use frame::Batch;
pub use recovery::{OpenError, RecoveryReport, RecoveryStatus};
pub use store::{inspect, Config, Store};
