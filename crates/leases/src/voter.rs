//! A keeper's votes: each is a promise of its fence, durable before it leaves.

use std::collections::BTreeMap;

use crate::fence::Fences;
use crate::fencing_token::{FencingToken, Task};
use crate::{Micros, LEASE};

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voter {
    /// Until when each task's vote holds, by this clock.
    leases: BTreeMap<Task, Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// New: once the fence's new token is durable.
    Given { new: bool },
    /// The greatest token, and how long its owner's lease still holds.
    Denied {
        greatest: FencingToken,
        left: Micros,
    },
}

impl Voter {
    /// After a start: whose leases still hold is not known, so all do.
    pub fn restore(fences: &Fences, now: Micros) -> Self {
        Voter {
            leases: fences.all().map(|(task, _)| (task, now + LEASE)).collect(),
        }
    }

    pub fn ask(
        &mut self,
        fences: &mut Fences,
        now: Micros,
        task: Task,
        token: FencingToken,
    ) -> Vote {
        let greatest = fences.greatest(task);
        let until = self.leases.get(&task).copied().unwrap_or(0);
        let left = until.saturating_sub(now);
        // Its own last owner gets a new term at once: nobody else is harmed by it.
        let held_by_other = left > 0 && token.owner != greatest.owner;
        // A term has one owner: of two that ask for the same one the second needs a greater.
        let other = token.term <= greatest.term && token != greatest;
        if other || (token > greatest && held_by_other) {
            return Vote::Denied { greatest, left };
        }
        self.leases.insert(task, now + LEASE);
        Vote::Given {
            new: fences.raise(task, token),
        }
    }

    /// Its task is not kept any more.
    pub fn forget(&mut self, task: Task) {
        self.leases.remove(&task);
    }

    /// The owner gives it up: the next one need not wait.
    pub fn release(&mut self, fences: &Fences, task: Task, token: FencingToken) {
        if fences.greatest(task) == token {
            self.leases.remove(&task);
        }
    }
}
