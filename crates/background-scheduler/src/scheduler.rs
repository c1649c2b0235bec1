//! Which job is done next of the work that may wait.
//!
//! Each kind of work has an urgency; the most urgent that has something to do comes first. Two
//! budgets bound it: time in each round of the event loop, so that requests wait for no more than
//! that, and bytes in each second, so that a disk has room for what matters. A job that has waited
//! for long enough goes before more urgent ones, so that none starves.

use std::collections::VecDeque;

/// A time or a duration in microseconds.
pub type Micros = u64;

/// Jobs of one urgency that may wait; further ones are returned to whoever offers them.
const MAX_WAITING: usize = 65_536;
/// A job that has waited for so long goes first, whatever its urgency.
const STARVATION_LIMIT: Micros = 10_000_000;
/// Bytes that may be saved up, as a part of a second's.
const BURST_SECONDS: f64 = 0.25;

/// How urgent a job is, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// Room that is needed now: moves to disk, deletion when full.
    FreeSpace,
    /// Deletion of what has expired.
    Expiry,
    /// Deletion and tidying with room to spare.
    Cleanup,
    /// Checks of stored data.
    Verify,
}

impl Urgency {
    /// All urgencies, the most urgent first.
    pub const ALL: [Urgency; 4] = [
        Urgency::FreeSpace,
        Urgency::Expiry,
        Urgency::Cleanup,
        Urgency::Verify,
    ];
}

/// What background work may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Time of one round of the event loop.
    pub round_time: Micros,
    /// Bytes a second that it may read and write.
    pub bytes_per_s: f64,
}

/// A piece of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job<W> {
    /// How urgent it is.
    pub urgency: Urgency,
    /// What is to be done.
    pub work: W,
    /// Bytes that it will read and write.
    pub bytes: u64,
    offered_at: Micros,
}

/// Queues of jobs, and what of the budgets is left.
pub struct Scheduler<W> {
    budget: Budget,
    /// One queue an urgency.
    queues: [VecDeque<Job<W>>; Urgency::ALL.len()],
    /// Bytes that may be used now; it falls below 0 by at most one job.
    allowance: f64,
    refilled_at: Micros,
    /// Time used in this round.
    used: Micros,
}

impl<W> Scheduler<W> {
    /// A scheduler without jobs.
    pub fn new(budget: Budget, now: Micros) -> Self {
        Scheduler {
            budget,
            queues: Default::default(),
            allowance: budget.bytes_per_s * BURST_SECONDS,
            refilled_at: now,
            used: 0,
        }
    }

    /// Adds a job.
    ///
    /// # Errors
    ///
    /// The work itself, where too many jobs of its urgency wait.
    pub fn submit(&mut self, now: Micros, urgency: Urgency, work: W, bytes: u64) -> Result<(), W> {
        let queue = &mut self.queues[urgency as usize];
        if queue.len() >= MAX_WAITING {
            return Err(work);
        }
        queue.push_back(Job {
            urgency,
            work,
            bytes,
            offered_at: now,
        });
        Ok(())
    }

    /// Jobs of an urgency that wait.
    pub fn queue_length(&self, urgency: Urgency) -> usize {
        self.queues[urgency as usize].len()
    }

    /// Begins a round of the event loop.
    pub fn start_round(&mut self) {
        self.used = 0;
    }

    /// Takes the job to be done now; none where a budget is used up. [`Scheduler::finish_job`]
    /// reports how long it took.
    pub fn next_job(&mut self, now: Micros) -> Option<Job<W>> {
        self.refill(now);
        if self.used >= self.budget.round_time || self.allowance < 0.0 {
            return None;
        }
        let urgency = self.starving(now).or_else(|| self.most_urgent())?;
        let job = self.queues[urgency as usize].pop_front()?;
        self.allowance -= job.bytes as f64;
        Some(job)
    }

    /// Reports how long a job took.
    pub fn finish_job(&mut self, duration: Micros) {
        self.used += duration;
    }

    /// When there may be a job to be done again, if none is offered meanwhile.
    pub fn next_job_at(&self, now: Micros) -> Option<Micros> {
        if self.queues.iter().all(VecDeque::is_empty) {
            return None;
        }
        let missing_bytes = (-self.allowance).max(0.0);
        let seconds = missing_bytes / self.budget.bytes_per_s.max(1.0);
        Some(now + (seconds * 1e6).ceil() as Micros)
    }

    fn refill(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(now);
        let most = self.budget.bytes_per_s * BURST_SECONDS;
        self.allowance = (self.allowance + seconds * self.budget.bytes_per_s).min(most);
    }

    /// The urgency of the job that has waited longest, if that is too long.
    fn starving(&self, now: Micros) -> Option<Urgency> {
        let mut oldest: Option<&Job<W>> = None;
        for job in self.queues.iter().filter_map(VecDeque::front) {
            let is_starving = job.offered_at + STARVATION_LIMIT <= now;
            if is_starving && oldest.is_none_or(|oldest| job.offered_at < oldest.offered_at) {
                oldest = Some(job);
            }
        }
        oldest.map(|job| job.urgency)
    }

    fn most_urgent(&self) -> Option<Urgency> {
        let mut urgencies = Urgency::ALL.into_iter();
        urgencies.find(|urgency| self.queue_length(*urgency) > 0)
    }
}
