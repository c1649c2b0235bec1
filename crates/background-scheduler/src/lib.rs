//! Work that may wait, done a little at a time so that what may not wait never does.
//!
//! [`scheduler`] says what is done next, by priority, within a budget of time for each look at the
//! sockets and of bytes for each second. [`wheel`] holds deadlines in a hierarchical timing wheel:
//! setting and taking back one costs the same however many there are. Both are pure: the time is an
//! argument, the host does the work.

#![expect(missing_docs, reason = "public items are still to be described")]

pub mod scheduler;
pub mod wheel;

pub use scheduler::{Budget, Job, Scheduler, Urgency};
pub use wheel::{Timer, Wheel};
