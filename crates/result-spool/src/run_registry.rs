//! A request that comes again gets the answer of its one run: attached while that lasts, the same
//! answer after it, and "gone" when that was dropped. Never a second run.

use std::collections::{BTreeMap, VecDeque};

/// What a request is known by when it comes again: its key, or the id of its first try.
pub type RunName = Box<str>;

/// Names whose answers were dropped are known as gone as long as there are no more than this.
const MAX_GONE: usize = 65_536;
/// Clients that wait for one run; one client's tries, so more than a few are a fault.
const MAX_WAITING: usize = 16;

#[derive(Clone, Debug, PartialEq)]
pub enum Arrival<A> {
    /// Nothing is known of it: it runs.
    First,
    /// Its run goes on: the answer of that is this one's too.
    Attached,
    /// Its run has ended so.
    Answered(A),
    /// Its answer was dropped: a failure that says so.
    Gone,
    /// Too many wait for this one already: refused.
    TooManyWaiters,
}

enum Run<W, A> {
    Runs(Vec<W>),
    Ended(A),
}

/// Runs by name; `W` is who waits, `A` an answer, small: a result's number, or a failure.
pub struct RunRegistry<W, A> {
    runs: BTreeMap<RunName, Run<W, A>>,
    /// Dropped ones, oldest first; [`RunRegistry::gone`] finds them by name.
    gone: BTreeMap<RunName, u64>,
    order: VecDeque<(RunName, u64)>,
    dropped: u64,
}

impl<W: PartialEq, A: Clone> Default for RunRegistry<W, A> {
    fn default() -> Self {
        Self::new()
    }
}

impl<W: PartialEq, A: Clone> RunRegistry<W, A> {
    pub fn new() -> Self {
        RunRegistry {
            runs: BTreeMap::new(),
            gone: BTreeMap::new(),
            order: VecDeque::new(),
            dropped: 0,
        }
    }

    /// Runs that go on or whose answers are kept, and names known as gone.
    pub fn len(&self) -> (usize, usize) {
        (self.runs.len(), self.gone.len())
    }

    /// Whether anything is known of a name: a run that goes on, an answer, or that it is gone.
    pub fn contains(&self, name: &str) -> bool {
        self.runs.contains_key(name) || self.gone.contains_key(name)
    }

    pub fn register(&mut self, name: &str, who: W) -> Arrival<A> {
        match self.runs.get_mut(name) {
            Some(Run::Ended(answer)) => Arrival::Answered(answer.clone()),
            Some(Run::Runs(waiting)) if waiting.len() >= MAX_WAITING => Arrival::TooManyWaiters,
            Some(Run::Runs(waiting)) => {
                waiting.push(who);
                Arrival::Attached
            }
            None if self.gone.contains_key(name) => Arrival::Gone,
            None => {
                self.runs.insert(name.into(), Run::Runs(vec![who]));
                Arrival::First
            }
        }
    }

    /// Who waited has gone. True: nobody waits any more, though the run goes on.
    pub fn detach(&mut self, name: &str, who: &W) -> bool {
        match self.runs.get_mut(name) {
            Some(Run::Runs(waiting)) => {
                waiting.retain(|own| own != who);
                waiting.is_empty()
            }
            _ => false,
        }
    }

    /// The run has ended: gives all who wait, for the same answer.
    pub fn finish(&mut self, name: &str, answer: A) -> Vec<W> {
        match self.runs.get_mut(name) {
            Some(run @ Run::Runs(_)) => match std::mem::replace(run, Run::Ended(answer)) {
                Run::Runs(waiting) => waiting,
                Run::Ended(_) => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    /// It was refused before anything ran: it may come again as if it had not been there. Gives all
    /// who wait.
    pub fn withdraw(&mut self, name: &str) -> Vec<W> {
        match self.runs.remove(name) {
            Some(Run::Runs(waiting)) => waiting,
            Some(ended) => {
                self.runs.insert(name.into(), ended);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Its answer is kept no longer.
    pub fn drop_answer(&mut self, name: &str) {
        if !matches!(self.runs.get(name), Some(Run::Ended(_))) {
            return;
        }
        self.runs.remove(name);
        self.dropped += 1;
        self.gone.insert(name.into(), self.dropped);
        self.order.push_back((name.into(), self.dropped));
        while self.gone.len() > MAX_GONE || self.order.len() > 2 * MAX_GONE {
            let Some((name, number)) = self.order.pop_front() else {
                return;
            };
            // It may have been dropped once more since.
            if self.gone.get(&name) == Some(&number) {
                self.gone.remove(&name);
            }
        }
    }
}

#[cfg(test)]
mod tests;
