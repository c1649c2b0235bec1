//! Work that may wait, done a little at a time so that urgent work never does.
//!
//! [`Scheduler`] chooses the next job by priority, within a budget of time for each round of the
//! event loop and of bytes for each second. [`Wheel`] holds deadlines in a hierarchical timing
//! wheel: setting and cancelling one costs the same however many there are. Both are pure and own
//! nothing but their queues: the time is an argument, the host does the work.
//!
//! ```
//! use eideryard_background_scheduler::{Budget, Scheduler, Urgency};
//!
//! let budget = Budget { round_time: 500, bytes_per_s: 64e6 };
//! let mut scheduler = Scheduler::new(budget, 0);
//! scheduler.submit(0, Urgency::Cleanup, "tidy", 100).expect("room");
//! scheduler.submit(0, Urgency::FreeSpace, "move to disk", 100).expect("room");
//! let job = scheduler.next_job(10).expect("a job");
//! assert_eq!(job.work, "move to disk");
//! ```

pub mod scheduler;
pub mod wheel;

pub use scheduler::{Budget, Job, Scheduler, Urgency};
pub use wheel::{Timer, Wheel};
