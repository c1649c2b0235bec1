//! Requests of clients. The gateway owns one table of them, in which each has a slot until it has
//! had its final answer and no attempt of it is in flight. [`Requests::release`] is the one place
//! where a slot is freed.

use std::collections::{BTreeSet, VecDeque};

use eideryard::interface::{EngineId, Micros, PriorAttempt};

use crate::deadlines::{DeadlineKey, Deadlines};
use crate::table::{Key, Table};

pub use call::{Call, CallError};
pub use names::{index_of, Names};

mod call;
mod names;
#[cfg(test)]
mod tests;

/// Ids of finished requests that are remembered, so that a second request of the same id is
/// recognized.
const MAX_FINISHED_IDS: usize = 4096;

/// The class and tenant of a request, by their indices in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLabels {
    pub class: usize,
    pub tenant: usize,
}

/// One attempt of a request at an engine.
pub struct Attempt {
    pub engine: EngineId,
    /// The connection that carries it, while it is in flight.
    pub connection: Option<Key>,
    pub sent_at: Micros,
    pub deadline: Option<DeadlineKey>,
    /// It waits until its intent is durable: no byte of it was sent.
    pub awaits_durability: bool,
    /// Its intent is in the intent log, which must learn of its end.
    pub has_intent: bool,
}

/// A request in its slot.
pub struct Request {
    pub client: Key,
    /// The client's number of it on its connection.
    pub call_id: u32,
    pub id: Box<str>,
    pub class: usize,
    pub tenant: usize,
    pub received_at: Micros,
    pub key: Option<Box<str>>,
    pub statement: Box<[u8]>,
    /// Its result goes to the result spool.
    pub is_spooled: bool,
    pub grant_mb: u64,
    pub rank: Option<u8>,
    /// The client has had its final answer, or no longer waits for one.
    pub is_answered: bool,
    /// When the client stops waiting.
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    /// Attempts of it that may have run before, as they were reported to the balancer.
    pub prior_attempts: Vec<PriorAttempt>,
    /// The balancer's timer for it.
    pub timer: Option<DeadlineKey>,
}

impl Request {
    /// Its class and tenant.
    pub fn labels(&self) -> RequestLabels {
        RequestLabels {
            class: self.class,
            tenant: self.tenant,
        }
    }

    /// It is answered and no attempt of it is in flight.
    fn is_finished(&self) -> bool {
        let is_ended =
            |attempt: &Attempt| attempt.connection.is_none() && !attempt.awaits_durability;
        self.is_answered && self.attempts.iter().all(is_ended)
    }
}

/// Why a valid request is rejected.
#[derive(Debug, PartialEq)]
pub enum InsertError {
    /// Its id is that of an open request, or was a while ago: engines could not tell the two apart.
    DuplicateId,
    /// Statements use an eighth of the memory already; each is copied once more for its engine.
    StatementMemoryFull,
}

/// All requests, by slot.
pub struct Requests {
    table: Table<Request>,
    /// Bytes of all statements in the table, and how many there may be.
    statement_bytes: usize,
    max_statement_bytes: usize,
    /// Ids of all requests in the table, and of the last that have left it, in that order.
    ids: BTreeSet<Box<str>>,
    finished_ids: VecDeque<Box<str>>,
}

impl Requests {
    /// An empty table for a process that is granted so much memory.
    pub fn new(memory_mb: u64) -> Self {
        let max_statement_bytes = (memory_mb as usize) << 17;
        Requests {
            table: Table::new(),
            statement_bytes: 0,
            max_statement_bytes,
            ids: BTreeSet::new(),
            finished_ids: VecDeque::new(),
        }
    }

    /// Gives a request a slot.
    pub fn insert(
        &mut self,
        client: Key,
        call_id: u32,
        received_at: Micros,
        deadline: Micros,
        call: Call,
    ) -> Result<Key, InsertError> {
        if self.ids.contains(&call.id) {
            return Err(InsertError::DuplicateId);
        }
        if self.statement_bytes + call.statement.len() > self.max_statement_bytes {
            return Err(InsertError::StatementMemoryFull);
        }
        self.statement_bytes += call.statement.len();
        self.ids.insert(call.id.clone());
        Ok(self.table.insert(Request {
            client,
            call_id,
            id: call.id,
            class: call.class,
            tenant: call.tenant,
            received_at,
            key: call.key,
            statement: call.statement,
            is_spooled: false,
            grant_mb: 0,
            rank: None,
            is_answered: false,
            deadline,
            attempts: Vec::new(),
            prior_attempts: Vec::new(),
            timer: None,
        }))
    }

    /// The request in a slot.
    pub fn get(&self, key: Key) -> Option<&Request> {
        self.table.get(key)
    }

    /// The request in a slot, to change it.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Request> {
        self.table.get_mut(key)
    }

    /// How many requests are kept, and how many ids.
    pub fn sizes(&self) -> (usize, usize) {
        (self.table.len(), self.ids.len())
    }

    /// The requests that wait for an answer.
    pub fn open(&self) -> impl Iterator<Item = (Key, &Request)> {
        self.table
            .iter()
            .filter(|(_, request)| !request.is_answered)
    }

    /// The slots of the requests that wait for an answer.
    pub fn open_keys(&self) -> Vec<Key> {
        self.open().map(|(key, _)| key).collect()
    }

    /// Frees the slot of a request that is answered, unless an attempt of it is still in flight.
    pub fn release(&mut self, key: Key, deadlines: &mut Deadlines) {
        if !self.table.get(key).is_some_and(Request::is_finished) {
            return;
        }
        let Some(request) = self.table.remove(key) else {
            return;
        };
        deadlines.cancel(request.timer);
        self.statement_bytes -= request.statement.len();
        self.finished_ids.push_back(request.id);
        if self.finished_ids.len() > MAX_FINISHED_IDS {
            if let Some(oldest) = self.finished_ids.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }
}
