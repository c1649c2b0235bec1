//! One connection to an engine: what is open on it, and where in its output each request stands.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use eideryard::interface::{EngineId, LoadReport, Micros, ResourceUsage};
use eideryard_engine_protocol as engine_protocol;

use crate::connection::Connection;
use crate::deadlines::{DeadlineKey, Deadlines};
use crate::table::Key;

/// What the engine stated when an attempt succeeded, while its further pages are read.
#[derive(Clone, Copy, Default)]
pub(super) struct ReportedEnd {
    pub(super) usage: Option<ResourceUsage>,
    pub(super) report: Option<LoadReport>,
}

/// A result whose pages are all read before it goes to the client.
pub(super) struct ResultReader {
    pub(super) pages: Vec<Option<Vec<u8>>>,
    pub(super) bytes: usize,
    pub(super) end: ReportedEnd,
}

/// A result for the result spool: pages are handed on in their order, and requested as there is
/// room.
pub(super) struct SpooledResultReader {
    /// Pages of the whole result.
    pub(super) count: usize,
    /// The next page to hand on.
    pub(super) next: usize,
    /// The next page to request.
    pub(super) next_requested: usize,
    /// Pages that arrived before their turn.
    pub(super) early: BTreeMap<usize, Vec<u8>>,
    /// Bytes handed on, for the average size of a page.
    pub(super) bytes: usize,
    pub(super) end: ReportedEnd,
}

/// What an attempt on a connection waits for.
pub(super) enum AttemptStage {
    /// Its first answer.
    Running,
    /// Further pages of its result.
    ReadingPages(ResultReader),
    /// Further pages of a result for the result spool.
    SpoolingPages(SpooledResultReader),
}

/// The bytes of a request in everything that is ever written to a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct OutputRange {
    pub(super) begin: u64,
    pub(super) end: u64,
}

/// An attempt that a connection carries.
pub(super) struct OpenAttempt {
    pub(super) request: Key,
    pub(super) attempt: usize,
    pub(super) stage: AttemptStage,
    /// Its result goes to the result spool.
    pub(super) is_spooled: bool,
    pub(super) sent_at: Micros,
    pub(super) output: OutputRange,
    /// A new rank to be sent once the request is written: until then the engine knows no such id.
    pub(super) deferred_rank: Option<u8>,
}

/// An attempt of which no byte was written.
pub(super) struct UnsentAttempt {
    pub(super) id: Box<str>,
    pub(super) request: Key,
    pub(super) attempt: usize,
}

/// One connection to an engine.
pub(super) struct EngineConnection {
    pub(super) engine: EngineId,
    pub(super) stream: Connection,
    pub(super) open: BTreeMap<Box<str>, OpenAttempt>,
    /// Ids of requests that ended here without a result: an answer to them may still arrive, so
    /// none of them is sent on this connection again.
    pub(super) ended_ids: BTreeSet<Box<str>>,
    pub(super) probes: BTreeMap<Box<str>, DeadlineKey>,
    /// It accepts no more attempts, and closes when those that are open have ended.
    pub(super) is_retired: bool,
    pub(super) opened_at: Micros,
    pub(super) last_received_at: Micros,
    /// Until then it must be up; afterwards, while nothing is open, it is closed then.
    pub(super) deadline: Option<DeadlineKey>,
    /// Until then the rest of an answer that has begun must have arrived.
    pub(super) message_deadline: Option<DeadlineKey>,
}

impl EngineConnection {
    /// A connection that is being established.
    pub(super) fn new(
        engine: EngineId,
        stream: Connection,
        now: Micros,
        deadline: DeadlineKey,
    ) -> Self {
        EngineConnection {
            engine,
            stream,
            open: BTreeMap::new(),
            ended_ids: BTreeSet::new(),
            probes: BTreeMap::new(),
            is_retired: false,
            opened_at: now,
            last_received_at: now,
            deadline: Some(deadline),
            message_deadline: None,
        }
    }

    /// Nothing is open on it.
    pub(super) fn is_idle(&self) -> bool {
        self.open.is_empty() && self.probes.is_empty()
    }

    /// Whether the engine accepts one request more beside those that are open.
    pub(super) fn has_free_stream(&self, max_streams: usize) -> bool {
        self.open.len() + self.probes.len() < max_streams
    }

    /// It is no longer idle. One that isn't up yet keeps its deadline for that.
    pub(super) fn mark_used(&mut self, deadlines: &mut Deadlines) {
        if self.stream.was_up() {
            deadlines.cancel(self.deadline.take());
        }
    }

    /// Sends the ranks that were set for requests which were not written yet.
    pub(super) fn send_deferred_ranks(&mut self) -> io::Result<()> {
        let Connection {
            written, output, ..
        } = &mut self.stream;
        for (id, open) in &mut self.open {
            if open.output.end > *written {
                continue;
            }
            if let Some(rank) = open.deferred_rank.take() {
                if matches!(open.stage, AttemptStage::Running) {
                    engine_protocol::write_weigh(output.tail(), id, rank);
                }
            }
        }
        self.stream.flush()
    }

    /// Attempts of which no byte was written.
    pub(super) fn unsent_attempts(&self) -> Vec<UnsentAttempt> {
        let written = self.stream.written;
        let unsent = self
            .open
            .iter()
            .filter(|(_, open)| written <= open.output.begin);
        let unsent = unsent.map(|(id, open)| UnsentAttempt {
            id: id.clone(),
            request: open.request,
            attempt: open.attempt,
        });
        unsent.collect()
    }

    /// Cancels an attempt of which no byte was written, and removes its bytes from the output.
    /// False: it isn't open, or a part of it was written.
    pub(super) fn cancel_unsent(&mut self, id: &str) -> bool {
        let written = self.stream.written;
        let Some(open) = self.open.get(id) else {
            return false;
        };
        let OutputRange { begin, end } = open.output;
        if written > begin {
            return false;
        }
        self.open.remove(id);
        self.stream
            .output
            .cut((begin - written) as usize, (end - written) as usize);
        let removed = end - begin;
        for open in self.open.values_mut() {
            if open.output.begin >= end {
                open.output.begin -= removed;
                open.output.end -= removed;
            }
        }
        true
    }
}
