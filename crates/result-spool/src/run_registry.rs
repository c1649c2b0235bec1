//! Finds the run of a request that is resent. While the run is in progress, the request waits for
//! its answer; after the run has ended, the request gets the stored answer, or an error once that
//! was dropped. A second run is never started.

use std::collections::{BTreeMap, VecDeque};

use crate::limits::{MIN_WAIT_TO_MARGIN_RATIO, WAIT_MARGIN};
use crate::Micros;

/// The name of a run: the request's idempotency key, or else the id of the first request.
pub type RunName = Box<str>;

/// Maximum number of names that are retained after their answers were dropped. When it is exceeded,
/// the oldest name is removed.
const MAX_DROPPED_NAMES: usize = 65_536;
/// Maximum number of requests that wait for one run. They are retries by one client, so more than a
/// few indicate a fault in that client.
const MAX_WAITERS: usize = 16;

/// How a request that has arrived is handled.
#[derive(Clone, Debug, PartialEq)]
pub enum Arrival<A> {
    /// The name is unknown: the request starts a new run.
    First,
    /// The run is in progress: the request waits for the same answer.
    Attached,
    /// The run has ended with this answer.
    Answered(A),
    /// The run has ended and its answer was dropped: the request fails.
    Gone,
    /// The maximum number of requests is waiting for this run: the request is rejected.
    TooManyWaiters,
}

/// Returns when a request that arrives at `now` stops waiting for a run; its client waits for the
/// answer for `wait` microseconds.
pub fn end_of_wait(now: Micros, wait: Micros) -> Micros {
    let margin = WAIT_MARGIN.min(wait / MIN_WAIT_TO_MARGIN_RATIO);
    now + wait - margin
}

enum Run<W, A> {
    /// In progress, with the requests that are waiting for its answer.
    Running(Vec<W>),
    Ended(A),
}

/// Runs by name. `W` identifies a waiting request; `A` is an answer, which is cloned and should be
/// small, such as the ID of a result.
pub struct RunRegistry<W, A> {
    runs: BTreeMap<RunName, Run<W, A>>,
    /// Names whose answers were dropped, with the value of `drop_count` at that time.
    dropped_names: BTreeMap<RunName, u64>,
    /// The same names and values, oldest first. A name whose answer was dropped again later also
    /// has an outdated entry here.
    drop_order: VecDeque<(RunName, u64)>,
    /// Number of answers dropped so far.
    drop_count: u64,
}

impl<W: PartialEq, A: Clone> Default for RunRegistry<W, A> {
    fn default() -> Self {
        Self::new()
    }
}

impl<W: PartialEq, A: Clone> RunRegistry<W, A> {
    /// Creates an empty registry.
    pub fn new() -> Self {
        RunRegistry {
            runs: BTreeMap::new(),
            dropped_names: BTreeMap::new(),
            drop_order: VecDeque::new(),
            drop_count: 0,
        }
    }

    /// Returns the number of runs that are in progress or whose answer is still stored, and the
    /// number of run names retained after their answers were dropped.
    pub fn len(&self) -> (usize, usize) {
        (self.runs.len(), self.dropped_names.len())
    }

    /// Returns whether a name is known: its run is in progress, its answer is stored, or the name
    /// is retained after its answer was dropped.
    pub fn contains(&self, name: &str) -> bool {
        self.runs.contains_key(name) || self.dropped_names.contains_key(name)
    }

    /// Handles a request: attaches it to the run of its name, or starts a run if the name is
    /// unknown.
    pub fn register(&mut self, name: &str, waiter: W) -> Arrival<A> {
        match self.runs.get_mut(name) {
            Some(Run::Ended(answer)) => Arrival::Answered(answer.clone()),
            Some(Run::Running(waiters)) if waiters.len() >= MAX_WAITERS => Arrival::TooManyWaiters,
            Some(Run::Running(waiters)) => {
                waiters.push(waiter);
                Arrival::Attached
            }
            None if self.dropped_names.contains_key(name) => Arrival::Gone,
            None => {
                self.runs.insert(name.into(), Run::Running(vec![waiter]));
                Arrival::First
            }
        }
    }

    /// Removes a waiting request; the run continues. Returns whether the request was waiting.
    pub fn remove_waiter(&mut self, name: &str, waiter: &W) -> bool {
        let Some(Run::Running(waiters)) = self.runs.get_mut(name) else {
            return false;
        };
        let count_before = waiters.len();
        waiters.retain(|other| other != waiter);
        waiters.len() < count_before
    }

    /// Returns whether requests other than `waiter` are waiting for a run.
    pub fn has_other_waiters(&self, name: &str, waiter: &W) -> bool {
        match self.runs.get(name) {
            Some(Run::Running(waiters)) => waiters.iter().any(|other| other != waiter),
            _ => false,
        }
    }

    /// Ends a run with its answer. Returns all requests that were waiting for the answer; empty if
    /// the run wasn't in progress.
    pub fn finish(&mut self, name: &str, answer: A) -> Vec<W> {
        match self.runs.get_mut(name) {
            Some(run @ Run::Running(_)) => match std::mem::replace(run, Run::Ended(answer)) {
                Run::Running(waiters) => waiters,
                Run::Ended(_) => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    /// Removes a run that was rejected before anything ran, so that the name can be used again.
    /// Returns all requests that were waiting for the run.
    pub fn withdraw(&mut self, name: &str) -> Vec<W> {
        match self.runs.remove(name) {
            Some(Run::Running(waiters)) => waiters,
            Some(ended) => {
                self.runs.insert(name.into(), ended);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Drops the answer of a run that has ended. The run's name is retained, so that the request
    /// fails if it is resent.
    pub fn drop_answer(&mut self, name: &str) {
        if !matches!(self.runs.get(name), Some(Run::Ended(_))) {
            return;
        }
        self.runs.remove(name);
        self.drop_count += 1;
        self.dropped_names.insert(name.into(), self.drop_count);
        self.drop_order.push_back((name.into(), self.drop_count));
        while self.dropped_names.len() > MAX_DROPPED_NAMES
            || self.drop_order.len() > 2 * MAX_DROPPED_NAMES
        {
            let Some((name, number)) = self.drop_order.pop_front() else {
                return;
            };
            // A different number means that an answer of the same name was dropped again later.
            if self.dropped_names.get(&name) == Some(&number) {
                self.dropped_names.remove(&name);
            }
        }
    }
}

#[cfg(test)]
mod tests;
