//! Scheduling of background work in small jobs, so that background work never delays requests.
//!
//! [`Scheduler`] selects the next job by urgency, within a time budget per round of the event loop
//! and a byte budget per second. [`Wheel`] is a hierarchical timing wheel for deadlines: setting
//! and cancelling one takes constant time. Neither does I/O or reads a clock: the caller passes the
//! time and executes the jobs.
//!
//! ```
//! use eideryard_background_scheduler::{Budget, Scheduler, Urgency};
//!
//! let budget = Budget { round_time: 500, bytes_per_s: 64e6 };
//! let mut scheduler = Scheduler::new(budget, 0);
//! scheduler.submit(0, Urgency::Cleanup, "rewrite", 100).expect("queue is not full");
//! scheduler.submit(0, Urgency::FreeSpace, "move to disk", 100).expect("queue is not full");
//! let job = scheduler.next_job(10).expect("a job");
//! assert_eq!(job.work, "move to disk");
//! ```

pub mod scheduler;
pub mod wheel;

pub use scheduler::{Budget, Job, Scheduler, Urgency};
pub use wheel::{Timer, Wheel};
