//! Buffers results between engines and clients: pages are stored as they arrive from an engine and
//! delivered as clients request them, so that an engine doesn't wait for a slow client.
//!
//! [`limits`] contains the budget and the constants; [`size`] learns how large results are;
//! [`state`] tracks where pages are stored and decides which results are admitted, which pages move
//! to disk, which results are dropped and how far an engine is read ahead; [`run_registry`] finds
//! the run of a request that is resent; [`token`] signs references to pages; [`segments`] allocates
//! positions of pages on disk. None of these does I/O or reads a clock. [`worker`] is the thread
//! that writes and reads pages.

pub mod limits;
pub mod run_registry;
pub mod segments;
pub mod size;
pub mod state;
pub mod token;
pub mod worker;

pub use limits::Budget;
pub use state::{Admission, Owner, PageLocation, Policy, RejectReason, Spool, SpoolAction};

/// Microseconds, as a duration or as a time of the host's monotonic clock.
pub type Micros = u64;
