//! Remembers the greatest token of each task that was promised or seen, and turns lesser ones away.

use std::collections::BTreeMap;

use crate::token::{Task, Token};

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fences {
    greatest: BTreeMap<Task, Token>,
    /// Of these, what the store holds.
    durable: BTreeMap<Task, Token>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It counts; waits: once its token is durable here.
    Admitted { waits: bool },
    /// There has been a greater one.
    Stale(Token),
}

impl Fences {
    pub fn restore(found: impl Iterator<Item = (Task, Token)>) -> Self {
        let greatest: BTreeMap<Task, Token> = found.collect();
        Fences { durable: greatest.clone(), greatest }
    }

    pub fn greatest(&self, task: Task) -> Token {
        self.greatest.get(&task).copied().unwrap_or_default()
    }

    pub fn all(&self) -> impl Iterator<Item = (Task, Token)> + '_ {
        self.greatest.iter().map(|(task, token)| (*task, *token))
    }

    pub fn len(&self) -> usize {
        self.greatest.len()
    }

    pub fn is_empty(&self) -> bool {
        self.greatest.is_empty()
    }

    /// Raises the fence. True: it was lower.
    pub fn raise(&mut self, task: Task, token: Token) -> bool {
        let higher = token > self.greatest(task);
        if higher {
            self.greatest.insert(task, token);
        }
        higher
    }

    /// The store holds a token.
    pub fn durable(&mut self, task: Task, token: Token) {
        let known = self.durable.entry(task).or_default();
        *known = token.max(*known);
    }

    /// Work counts only once a restart would turn lesser work away: a token that was promised a moment ago
    /// and is not durable yet is waited for.
    pub fn admit(&mut self, task: Task, token: Token) -> Admission {
        let greatest = self.greatest(task);
        if token < greatest && !cfg!(feature = "unfenced") {
            return Admission::Stale(greatest);
        }
        self.raise(task, token);
        Admission::Admitted { waits: self.durable.get(&task).is_none_or(|durable| *durable < token) }
    }
}
