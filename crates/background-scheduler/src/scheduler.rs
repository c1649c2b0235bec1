//! What is done next of the work that may wait.
//!
//! Each kind of work has an urgency; the most urgent that has something to do and may do it now
//! comes first. Two budgets bound it: time in each look at the sockets, so that requests wait for
//! no more than that, and bytes in each second, so that a disk has room for what matters. Work that
//! was passed over for long enough goes before more urgent work, so that none starves.

use std::collections::VecDeque;

pub type Micros = u64;

/// Jobs of one urgency that wait at the most; who offers more is told so and keeps it.
const MAX_WAITING: usize = 65_536;
/// What has waited for so long goes first, whatever its urgency.
const STARVES: Micros = 10_000_000;
/// Bytes that may be saved up, as a part of a second's.
const BURST: f64 = 0.25;

/// The most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// Room that is needed now: moves to disk, deletion when full.
    Room,
    /// What has expired.
    Expiry,
    /// Deletion and tidying with room to spare.
    Tidy,
    /// Checks of what is stored.
    Verify,
}

impl Urgency {
    pub const ALL: [Urgency; 4] = [
        Urgency::Room,
        Urgency::Expiry,
        Urgency::Tidy,
        Urgency::Verify,
    ];
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Time of one look that background work may take.
    pub look: Micros,
    /// Bytes a second that it may read and write.
    pub bytes_per_s: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Job<W> {
    pub urgency: Urgency,
    pub what: W,
    /// What it will read and write.
    pub bytes: u64,
    offered_at: Micros,
}

pub struct Scheduler<W> {
    budget: Budget,
    waiting: [VecDeque<Job<W>>; 4],
    /// Bytes that may be used now; it goes below nothing by at most one job.
    allowance: f64,
    filled_at: Micros,
    /// Time used in this look.
    used: Micros,
}

impl<W> Scheduler<W> {
    pub fn new(budget: Budget, now: Micros) -> Self {
        let waiting = Default::default();
        Scheduler {
            budget,
            waiting,
            allowance: budget.bytes_per_s * BURST,
            filled_at: now,
            used: 0,
        }
    }

    /// Takes work to be done, or gives it back where too much waits already.
    pub fn offer(&mut self, now: Micros, urgency: Urgency, what: W, bytes: u64) -> Result<(), W> {
        let waiting = &mut self.waiting[urgency as usize];
        if waiting.len() >= MAX_WAITING {
            return Err(what);
        }
        waiting.push_back(Job {
            urgency,
            what,
            bytes,
            offered_at: now,
        });
        Ok(())
    }

    pub fn waiting(&self, urgency: Urgency) -> usize {
        self.waiting[urgency as usize].len()
    }

    /// A new look at the sockets begins.
    pub fn look(&mut self) {
        self.used = 0;
    }

    /// What is to be done now; [`Scheduler::done`] tells how long it took. Nothing where a budget
    /// is used up.
    pub fn next(&mut self, now: Micros) -> Option<Job<W>> {
        let passed = now.saturating_sub(self.filled_at) as f64 / 1e6;
        self.filled_at = self.filled_at.max(now);
        let most = self.budget.bytes_per_s * BURST;
        self.allowance = (self.allowance + passed * self.budget.bytes_per_s).min(most);
        if self.used >= self.budget.look || self.allowance < 0.0 {
            return None;
        }
        let starving = |queue: &VecDeque<Job<W>>| {
            queue
                .front()
                .is_some_and(|job| job.offered_at + STARVES <= now)
        };
        let urgency = Urgency::ALL
            .into_iter()
            .filter(|urgency| starving(&self.waiting[*urgency as usize]));
        let oldest = urgency.min_by_key(|urgency| {
            self.waiting[*urgency as usize]
                .front()
                .map(|job| job.offered_at)
        });
        let first = || {
            Urgency::ALL
                .into_iter()
                .find(|urgency| !self.waiting[*urgency as usize].is_empty())
        };
        let urgency = oldest.or_else(first)?;
        let job = self.waiting[urgency as usize].pop_front()?;
        self.allowance -= job.bytes as f64;
        Some(job)
    }

    pub fn done(&mut self, took: Micros) {
        self.used += took;
    }

    /// When there may be something to do again, if nothing is offered meanwhile.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        if self.waiting.iter().all(VecDeque::is_empty) {
            return None;
        }
        let lacks = (-self.allowance).max(0.0) / self.budget.bytes_per_s.max(1.0);
        Some(now + (lacks * 1e6).ceil() as Micros)
    }
}
