//! The fence of one gateway. It stores, for each task, the highest token that the gateway has
//! promised to a candidate or received, and rejects work with a lower token.

use std::collections::BTreeMap;

use crate::fencing_token::{FencingToken, Task};

#[cfg(test)]
mod tests;

/// Highest known token of each task, and whether it is durable.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fences {
    /// Highest token of each task, durable or not.
    greatest: BTreeMap<Task, FencingToken>,
    /// Highest durable token of each task.
    durable: BTreeMap<Task, FencingToken>,
}

/// The fence's decision on a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The work may be applied now.
    Admitted,
    /// The work may be applied once its token is durable in this gateway's store.
    AdmittedOnceDurable,
    /// A higher token of the task is known, so the work is rejected.
    Stale {
        /// The highest known token of the task.
        greatest: FencingToken,
    },
}

impl Fences {
    /// Creates the fence when the gateway starts. All stored tokens count as durable.
    pub fn restore(stored: impl Iterator<Item = (Task, FencingToken)>) -> Self {
        let greatest: BTreeMap<Task, FencingToken> = stored.collect();
        Fences {
            durable: greatest.clone(),
            greatest,
        }
    }

    /// Returns the highest known token of a task; the lowest possible token if none is known.
    pub fn greatest(&self, task: Task) -> FencingToken {
        self.greatest.get(&task).copied().unwrap_or_default()
    }

    /// Iterates over all tasks with their highest known tokens.
    pub fn tokens(&self) -> impl Iterator<Item = (Task, FencingToken)> + '_ {
        self.greatest.iter().map(|(task, token)| (*task, *token))
    }

    /// Returns the number of tasks with a known token.
    pub fn len(&self) -> usize {
        self.greatest.len()
    }

    /// Returns whether no token is known.
    pub fn is_empty(&self) -> bool {
        self.greatest.is_empty()
    }

    /// Removes the tasks with the oldest tokens until at most `max_tasks` are left, and returns the
    /// removed tasks.
    ///
    /// A term is at least the Unix time at which it was requested, so the lowest token is the
    /// oldest. Tasks have to be removed because engines are replaced all day, each time under a new
    /// name. Late work for an engine that was replaced thousands of tasks ago does no harm.
    pub fn trim(&mut self, max_tasks: usize) -> Vec<Task> {
        let mut removed = Vec::new();
        while self.greatest.len() > max_tasks {
            let oldest = self.greatest.iter().min_by_key(|(_, token)| **token);
            let Some((&task, _)) = oldest else { break };
            self.greatest.remove(&task);
            self.durable.remove(&task);
            removed.push(task);
        }
        removed
    }

    /// Raises the highest known token of a task to `token`. Returns whether the previous one was
    /// lower.
    pub fn raise(&mut self, task: Task, token: FencingToken) -> bool {
        let is_greater = token > self.greatest(task);
        if is_greater {
            self.greatest.insert(task, token);
        }
        is_greater
    }

    /// Records that a token is durable in the store.
    pub fn mark_durable(&mut self, task: Task, token: FencingToken) {
        let durable = self.durable.entry(task).or_default();
        *durable = token.max(*durable);
    }

    /// Decides on work that carries a token. Unless the work is rejected, its token becomes the
    /// highest known one of the task.
    ///
    /// Work may be applied only if this gateway would still reject work with lower tokens after a
    /// restart. Therefore the token has to be durable before the work is applied.
    pub fn admit(&mut self, task: Task, token: FencingToken) -> Admission {
        let greatest = self.greatest(task);
        if token < greatest && !cfg!(feature = "unfenced") {
            return Admission::Stale { greatest };
        }
        self.raise(task, token);
        match self.durable.get(&task) {
            Some(durable) if *durable >= token => Admission::Admitted,
            _ => Admission::AdmittedOnceDurable,
        }
    }
}
