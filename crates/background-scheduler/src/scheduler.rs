//! Selection of the next background job.
//!
//! Each job has an urgency, and the most urgent job is next. Two budgets limit the work: time per
//! round of the event loop, which limits how long requests wait for background work, and bytes per
//! second, which leaves disk throughput to the requests. To prevent starvation, a job that has
//! waited for too long is executed before more urgent ones.

use std::collections::VecDeque;

/// A time or a duration in microseconds.
pub type Micros = u64;

/// Maximum number of queued jobs of one urgency. Further jobs are returned to the caller.
const MAX_QUEUED: usize = 65_536;
/// Waiting time after which a job is next, whatever its urgency.
const STARVATION_LIMIT: Micros = 10_000_000;
/// Maximum byte budget that can accumulate unused, in seconds of [`Budget::bytes_per_s`].
const BURST_SECONDS: f64 = 0.25;

/// The urgency of a job. The variants are ordered from the most urgent to the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// Work that frees space which is needed now: moves to disk, and deletion when storage is full.
    FreeSpace,
    /// Deletion of expired data.
    Expiry,
    /// Deletion and compaction while there is still free space.
    Cleanup,
    /// Verification of stored data.
    Verify,
}

impl Urgency {
    /// All urgencies, starting with the most urgent.
    pub const ALL: [Urgency; 4] = [
        Urgency::FreeSpace,
        Urgency::Expiry,
        Urgency::Cleanup,
        Urgency::Verify,
    ];
}

/// The limits for background work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Maximum time in microseconds per round of the event loop.
    pub round_time: Micros,
    /// Maximum number of bytes read and written per second.
    pub bytes_per_s: f64,
}

/// A unit of background work that is executed without interruption.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job<W> {
    /// The urgency with which the job was submitted.
    pub urgency: Urgency,
    /// Description of the work, which only the caller interprets.
    pub work: W,
    /// Number of bytes that the job will read and write, as estimated by the caller.
    pub bytes: u64,
    submitted_at: Micros,
}

/// The queued jobs and the unused part of the budgets.
pub struct Scheduler<W> {
    budget: Budget,
    /// One queue per urgency, in the order of [`Urgency::ALL`].
    queues: [VecDeque<Job<W>>; Urgency::ALL.len()],
    /// Number of bytes that jobs may use now. Only the job that exhausts the budget can make this
    /// negative: no further job starts until it is refilled.
    available_bytes: f64,
    refilled_at: Micros,
    /// Microseconds used by jobs in the current round.
    used_time: Micros,
}

impl<W> Scheduler<W> {
    /// Creates a scheduler without jobs.
    pub fn new(budget: Budget, now: Micros) -> Self {
        Scheduler {
            budget,
            queues: Default::default(),
            available_bytes: budget.bytes_per_s * BURST_SECONDS,
            refilled_at: now,
            used_time: 0,
        }
    }

    /// Queues a job.
    ///
    /// # Errors
    ///
    /// Returns `work` if too many jobs of this urgency are queued.
    pub fn submit(&mut self, now: Micros, urgency: Urgency, work: W, bytes: u64) -> Result<(), W> {
        let queue = &mut self.queues[urgency as usize];
        if queue.len() >= MAX_QUEUED {
            return Err(work);
        }
        queue.push_back(Job {
            urgency,
            work,
            bytes,
            submitted_at: now,
        });
        Ok(())
    }

    /// Returns the number of queued jobs of an urgency.
    pub fn queue_length(&self, urgency: Urgency) -> usize {
        self.queues[urgency as usize].len()
    }

    /// Starts a round of the event loop, which renews the time budget.
    pub fn start_round(&mut self) {
        self.used_time = 0;
    }

    /// Removes and returns the next job, or `None` if there is none or a budget is used up. After
    /// the job, call [`Scheduler::finish_job`].
    pub fn next_job(&mut self, now: Micros) -> Option<Job<W>> {
        self.refill(now);
        if self.used_time >= self.budget.round_time || self.available_bytes < 0.0 {
            return None;
        }
        let urgency = self
            .find_starving(now)
            .or_else(|| self.find_most_urgent())?;
        let job = self.queues[urgency as usize].pop_front()?;
        self.available_bytes -= job.bytes as f64;
        Some(job)
    }

    /// Charges the duration of a finished job to the time budget.
    pub fn finish_job(&mut self, duration: Micros) {
        self.used_time += duration;
    }

    /// Returns the earliest time at which [`Scheduler::next_job`] may return a queued job, or
    /// `None` if no job is queued.
    pub fn next_job_at(&self, now: Micros) -> Option<Micros> {
        if self.queues.iter().all(VecDeque::is_empty) {
            return None;
        }
        let missing_bytes = (-self.available_bytes).max(0.0);
        let seconds = missing_bytes / self.budget.bytes_per_s.max(1.0);
        Some(now + (seconds * 1e6).ceil() as Micros)
    }

    fn refill(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(now);
        let max_bytes = self.budget.bytes_per_s * BURST_SECONDS;
        self.available_bytes =
            (self.available_bytes + seconds * self.budget.bytes_per_s).min(max_bytes);
    }

    /// Returns the urgency of the job that has waited longest, if it has reached the starvation
    /// limit.
    fn find_starving(&self, now: Micros) -> Option<Urgency> {
        let mut oldest: Option<&Job<W>> = None;
        for job in self.queues.iter().filter_map(VecDeque::front) {
            let is_starving = job.submitted_at + STARVATION_LIMIT <= now;
            if is_starving && oldest.is_none_or(|oldest| job.submitted_at < oldest.submitted_at) {
                oldest = Some(job);
            }
        }
        oldest.map(|job| job.urgency)
    }

    fn find_most_urgent(&self) -> Option<Urgency> {
        let mut urgencies = Urgency::ALL.into_iter();
        urgencies.find(|urgency| self.queue_length(*urgency) > 0)
    }
}
