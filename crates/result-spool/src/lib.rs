//! Results between engines and clients: pages go in as they come from an engine and out as clients
//! ask, and neither waits for the other.
//!
//! [`limits`] has the budgets and all tuned values; [`size`] learns how large results are;
//! [`state`] knows which pages are where and decides who is admitted, who moves to disk, who is
//! dropped and how far an engine is read ahead; [`returns`] finds the one answer of a request that
//! comes again; [`token`] names a page so that nobody else can; [`segments`] says where pages stand
//! on disk. All of these are pure: no I/O, no clock. [`worker`] is the thread that writes and
//! reads.

#![expect(missing_docs, reason = "public items are still to be described")]

pub mod limits;
pub mod run_registry;
pub mod segments;
pub mod size;
pub mod state;
pub mod token;
pub mod worker;

pub use limits::Budget;
pub use state::{Admission, Owner, PageLocation, Policy, RejectReason, Spool, SpoolAction};

/// Microseconds on the host's clock.
pub type Micros = u64;
