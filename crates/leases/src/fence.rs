//! Remembers the greatest token of each task that was promised or seen, and turns lesser ones away.

use std::collections::BTreeMap;

use crate::fencing_token::{FencingToken, Task};

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fences {
    greatest: BTreeMap<Task, FencingToken>,
    /// Of these, what the store holds.
    durable: BTreeMap<Task, FencingToken>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It counts; waits: once its token is durable here.
    Admitted { waits: bool },
    /// There has been a greater one.
    Stale(FencingToken),
}

impl Fences {
    pub fn restore(found: impl Iterator<Item = (Task, FencingToken)>) -> Self {
        let greatest: BTreeMap<Task, FencingToken> = found.collect();
        Fences {
            durable: greatest.clone(),
            greatest,
        }
    }

    pub fn greatest(&self, task: Task) -> FencingToken {
        self.greatest.get(&task).copied().unwrap_or_default()
    }

    pub fn all(&self) -> impl Iterator<Item = (Task, FencingToken)> + '_ {
        self.greatest.iter().map(|(task, token)| (*task, *token))
    }

    pub fn len(&self) -> usize {
        self.greatest.len()
    }

    pub fn is_empty(&self) -> bool {
        self.greatest.is_empty()
    }

    /// Where there are more tasks than this, those go of which the last term is the oldest, as
    /// terms begin with the time at which they were asked for: engines come under new names all
    /// day, and what is late for one that was replaced thousands of tasks ago does no harm.
    pub fn trim(&mut self, most: usize) -> Vec<Task> {
        let mut gone = Vec::new();
        while self.greatest.len() > most {
            let oldest = self
                .greatest
                .iter()
                .min_by_key(|(_, token)| **token)
                .map(|(task, _)| *task);
            let Some(task) = oldest else { break };
            self.greatest.remove(&task);
            self.durable.remove(&task);
            gone.push(task);
        }
        gone
    }

    /// Raises the fence. True: it was lower.
    pub fn raise(&mut self, task: Task, token: FencingToken) -> bool {
        let higher = token > self.greatest(task);
        if higher {
            self.greatest.insert(task, token);
        }
        higher
    }

    /// The store holds a token.
    pub fn durable(&mut self, task: Task, token: FencingToken) {
        let known = self.durable.entry(task).or_default();
        *known = token.max(*known);
    }

    /// Work counts only once a restart would turn lesser work away: a token that was promised a
    /// moment ago and is not durable yet is waited for.
    pub fn admit(&mut self, task: Task, token: FencingToken) -> Admission {
        let greatest = self.greatest(task);
        if token < greatest && !cfg!(feature = "unfenced") {
            return Admission::Stale(greatest);
        }
        self.raise(task, token);
        Admission::Admitted {
            waits: self
                .durable
                .get(&task)
                .is_none_or(|durable| *durable < token),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn work_waits_for_its_token_and_of_too_many_tasks_the_oldest_go() {
        let mut fences = Fences::default();
        let (task, token) = (
            |number| Task { kind: 1, number },
            |term| FencingToken { term, owner: 1 },
        );
        assert_eq!(
            fences.admit(task(1), token(5)),
            Admission::Admitted { waits: true }
        );
        fences.durable(task(1), token(5));
        assert_eq!(
            fences.admit(task(1), token(5)),
            Admission::Admitted { waits: false }
        );
        assert_eq!(fences.admit(task(1), token(4)), Admission::Stale(token(5)));
        (2..10).for_each(|number| _ = fences.raise(task(number), token(u64::from(number))));
        assert_eq!(fences.trim(6), [2, 3, 4].map(task));
        assert!(fences.len() == 6 && fences.greatest(task(1)) == token(5));
    }
}
