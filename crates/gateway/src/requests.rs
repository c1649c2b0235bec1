//! Client requests. The main loop owns one [`Requests`] table, in which each request occupies a
//! slot until it has its final answer and none of its attempts is in flight. Only
//! [`Requests::release`] frees a slot.

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

/// Maximum number of IDs of finished requests that are stored in order to reject a new request with
/// the same ID.
const MAX_FINISHED_IDS: usize = 4096;

/// The class and tenant of a request, as indices in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLabels {
    pub class: usize,
    pub tenant: usize,
}

/// One attempt of a request at an engine.
pub struct Attempt {
    pub engine: EngineId,
    /// The connection that carries the attempt; `None` unless it is in flight.
    pub connection: Option<Key>,
    pub sent_at: Micros,
    pub deadline: Option<DeadlineKey>,
    /// Whether the attempt is waiting until its intent is durable. If so, no byte of the attempt
    /// has been sent.
    pub awaits_durability: bool,
    /// Whether the intent log contains an intent for the attempt and must be notified when the
    /// attempt ends.
    pub has_intent: bool,
}

/// Whether a request still needs its final answer, and from whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerState {
    /// The client waits for the answer.
    Awaited,
    /// The client no longer waits, but the run continues: other calls may be attached to it, and
    /// its result goes to the result spool.
    Detached,
    /// The request has ended: the answer was sent, or nobody waits for it.
    Ended,
}

/// A client request in its slot.
pub struct Request {
    /// The client's connection.
    pub client: Key,
    /// The message ID that the client has chosen, unique among its connection's open requests.
    pub call_id: u32,
    /// The ID from the request, 16 hex digits; unique among open and recently finished requests.
    pub id: Box<str>,
    /// Index of the class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    pub received_at: Micros,
    /// The idempotency key; `None` if the client sent none.
    pub key: Option<Box<str>>,
    pub statement: Box<[u8]>,
    /// Whether the result goes to the result spool.
    pub is_spooled: bool,
    /// The memory grant that the balancer has set, in MB; 0 until the balancer sets one.
    pub grant_mb: u64,
    /// The rank that the balancer has set; `None` until the balancer sets one.
    pub rank: Option<u8>,
    pub answer_state: AnswerState,
    /// Whether the balancer has yet to handle that the client has left. Until then it may still
    /// decide to send an attempt, whose end it must be told.
    pub awaits_balancer: bool,
    /// When the client stops waiting.
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    /// Prior attempts that may have run before this request was received, as reported to the
    /// balancer.
    pub prior_attempts: Vec<PriorAttempt>,
    /// The deadline of the balancer's timer that ends the request; `None` until the balancer sets
    /// it.
    pub timer: Option<DeadlineKey>,
}

impl Request {
    /// Returns the class and tenant, for the event log and the result spool.
    pub fn labels(&self) -> RequestLabels {
        RequestLabels {
            class: self.class,
            tenant: self.tenant,
        }
    }

    /// Returns whether the request has ended, so that no further attempt is made.
    pub fn has_ended(&self) -> bool {
        self.answer_state == AnswerState::Ended
    }

    /// Returns whether the request has ended, none of its attempts is in flight or waiting for its
    /// intent, and the balancer knows of the end.
    fn is_finished(&self) -> bool {
        let is_over =
            |attempt: &Attempt| attempt.connection.is_none() && !attempt.awaits_durability;
        self.has_ended() && !self.awaits_balancer && self.attempts.iter().all(is_over)
    }
}

/// Why a valid request is not added to the table.
#[derive(Debug, PartialEq)]
pub enum InsertError {
    /// An open or recently finished request has the same ID, so engines could not distinguish the
    /// two.
    DuplicateId,
    /// All statements together would occupy more than an eighth of the memory. The limit is this
    /// low because each statement is copied once more for its engine.
    StatementMemoryFull,
}

/// The table of requests.
pub struct Requests {
    table: Table<Request>,
    /// Bytes of the statements of all requests in the table.
    statement_bytes: usize,
    max_statement_bytes: usize,
    /// IDs of all requests in the table, and the IDs in `finished_ids`.
    ids: BTreeSet<Box<str>>,
    /// IDs of the last [`MAX_FINISHED_IDS`] requests that were removed from the table, oldest
    /// first.
    finished_ids: VecDeque<Box<str>>,
}

impl Requests {
    /// Creates an empty table. `memory_mb` is the memory that the platform grants to the process;
    /// all statements together may occupy an eighth of it.
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

    /// Adds a request and returns the key of its slot. The balancer sets the request's grant and
    /// rank later.
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
            answer_state: AnswerState::Awaited,
            awaits_balancer: false,
            deadline,
            attempts: Vec::new(),
            prior_attempts: Vec::new(),
            timer: None,
        }))
    }

    /// Returns the request with this key; `None` if its slot was freed.
    pub fn get(&self, key: Key) -> Option<&Request> {
        self.table.get(key)
    }

    /// Returns mutable access to the request with this key; `None` if its slot was freed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Request> {
        self.table.get_mut(key)
    }

    /// Returns the number of requests in the table and the number of stored IDs.
    pub fn sizes(&self) -> (usize, usize) {
        (self.table.len(), self.ids.len())
    }

    /// Returns the requests whose clients wait for an answer, with their keys.
    pub fn awaited(&self) -> impl Iterator<Item = (Key, &Request)> {
        self.table
            .iter()
            .filter(|(_, request)| request.answer_state == AnswerState::Awaited)
    }

    /// Returns the keys of the requests that have not ended.
    pub fn open_keys(&self) -> Vec<Key> {
        let open = self
            .table
            .iter()
            .filter(|(_, request)| !request.has_ended());
        open.map(|(key, _)| key).collect()
    }

    /// Frees the slot of a request if it has ended, none of its attempts is in flight and the
    /// balancer knows of the end.
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
