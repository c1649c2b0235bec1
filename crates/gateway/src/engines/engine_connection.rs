//! One connection to an engine: its open attempts and probes, and which bytes of its output belong
//! to which request.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use eideryard::interface::{EngineId, LoadReport, Micros, ResourceUsage};
use eideryard_engine_protocol as engine_protocol;

use crate::connection::Connection;
use crate::deadlines::{DeadlineKey, Deadlines};
use crate::table::Key;

/// Usage and load report of a successful attempt, kept while its further pages are read.
#[derive(Clone, Copy, Default)]
pub(super) struct ReportedEnd {
    pub(super) usage: Option<ResourceUsage>,
    pub(super) report: Option<LoadReport>,
}

/// A result that is sent to the client once all its pages are read.
pub(super) struct ResultReader {
    /// By index; `None` for a page that has not arrived.
    pub(super) pages: Vec<Option<Vec<u8>>>,
    /// Bytes of the pages that have arrived.
    pub(super) bytes: usize,
    pub(super) end: ReportedEnd,
}

/// A result for the result spool: its pages are passed on in order, and requested as the spool has
/// space for them.
pub(super) struct SpooledResultReader {
    /// The number of pages of the whole result.
    pub(super) count: usize,
    /// The index of the next page to pass on.
    pub(super) next: usize,
    /// The index of the next page to request.
    pub(super) next_requested: usize,
    /// Pages by index that arrived before an earlier page.
    pub(super) early: BTreeMap<usize, Vec<u8>>,
    /// Bytes passed on, for the average size of a page.
    pub(super) bytes: usize,
    pub(super) end: ReportedEnd,
}

/// What an attempt waits for.
pub(super) enum AttemptStage {
    /// Its first answer: the engine runs it or has it queued.
    Running,
    /// Further pages of a result that is sent to the client as a whole.
    ReadingPages(ResultReader),
    /// Further pages of a result for the result spool.
    SpoolingPages(SpooledResultReader),
}

/// The bytes of one request, as offsets in the sequence of all bytes that are ever written to the
/// connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct OutputRange {
    pub(super) begin: u64,
    pub(super) end: u64,
}

/// An attempt in flight on a connection.
pub(super) struct OpenAttempt {
    pub(super) request: Key,
    /// The index among the attempts of the request.
    pub(super) index: usize,
    pub(super) stage: AttemptStage,
    /// The result goes to the result spool.
    pub(super) is_spooled: bool,
    pub(super) sent_at: Micros,
    pub(super) output: OutputRange,
    /// A new rank, to be sent once the request is written; before that the engine doesn't know the
    /// id.
    pub(super) deferred_rank: Option<u8>,
}

/// An attempt of which no byte has been written.
pub(super) struct UnsentAttempt {
    pub(super) id: Box<str>,
    pub(super) request: Key,
    /// The index among the attempts of the request.
    pub(super) index: usize,
}

/// A connection to an engine, which may not be established yet.
pub(super) struct EngineConnection {
    pub(super) engine: EngineId,
    pub(super) stream: Connection,
    pub(super) open_attempts: BTreeMap<Box<str>, OpenAttempt>,
    /// Ids of requests whose attempts ended on this connection without a result. An answer to them
    /// may still arrive, so none of these ids is used on this connection again.
    pub(super) ended_ids: BTreeSet<Box<str>>,
    /// Probes that were not answered yet, by their tag.
    pub(super) probes: BTreeMap<Box<str>, DeadlineKey>,
    /// The connection carries no new attempts and is closed when its open ones have ended.
    pub(super) is_retired: bool,
    pub(super) opened_at: Micros,
    pub(super) last_received_at: Micros,
    /// Until the connection is established: the dial timeout. Later: when it is closed as idle.
    pub(super) deadline: Option<DeadlineKey>,
    /// When the rest of a partly received answer must have arrived.
    pub(super) message_deadline: Option<DeadlineKey>,
}

impl EngineConnection {
    /// Wraps a connection that is being established.
    pub(super) fn new(
        engine: EngineId,
        stream: Connection,
        now: Micros,
        deadline: DeadlineKey,
    ) -> Self {
        EngineConnection {
            engine,
            stream,
            open_attempts: BTreeMap::new(),
            ended_ids: BTreeSet::new(),
            probes: BTreeMap::new(),
            is_retired: false,
            opened_at: now,
            last_received_at: now,
            deadline: Some(deadline),
            message_deadline: None,
        }
    }

    /// Returns whether no attempt and no probe is open.
    pub(super) fn is_idle(&self) -> bool {
        self.open_attempts.is_empty() && self.probes.is_empty()
    }

    /// Returns whether one more attempt or probe fits beside the open ones.
    pub(super) fn has_free_stream(&self, max_streams: usize) -> bool {
        self.open_attempts.len() + self.probes.len() < max_streams
    }

    /// Cancels the idle deadline. A connection that is not established yet keeps its dial timeout.
    pub(super) fn mark_in_use(&mut self, deadlines: &mut Deadlines) {
        if self.stream.is_established() {
            deadlines.cancel(self.deadline.take());
        }
    }

    /// Sends the ranks that were deferred until their requests were written.
    pub(super) fn send_deferred_ranks(&mut self) -> io::Result<()> {
        let Connection {
            written, output, ..
        } = &mut self.stream;
        for (id, attempt) in &mut self.open_attempts {
            if attempt.output.end > *written {
                continue;
            }
            if let Some(rank) = attempt.deferred_rank.take() {
                if matches!(attempt.stage, AttemptStage::Running) {
                    engine_protocol::write_rank_update(output.tail(), id, rank);
                }
            }
        }
        self.stream.flush()
    }

    /// Returns the attempts of which no byte has been written.
    pub(super) fn unsent_attempts(&self) -> Vec<UnsentAttempt> {
        let written = self.stream.written;
        let unsent = self
            .open_attempts
            .iter()
            .filter(|(_, attempt)| written <= attempt.output.begin);
        let unsent = unsent.map(|(id, attempt)| UnsentAttempt {
            id: id.clone(),
            request: attempt.request,
            index: attempt.index,
        });
        unsent.collect()
    }

    /// Cancels an attempt of which no byte has been written, and removes its bytes from the output.
    /// Returns false if the attempt isn't open or a part of it has been written.
    pub(super) fn cancel_unsent(&mut self, id: &str) -> bool {
        let written = self.stream.written;
        let Some(attempt) = self.open_attempts.get(id) else {
            return false;
        };
        let OutputRange { begin, end } = attempt.output;
        if written > begin {
            return false;
        }
        self.open_attempts.remove(id);
        self.stream
            .output
            .cut((begin - written) as usize, (end - written) as usize);
        let removed = end - begin;
        for attempt in self.open_attempts.values_mut() {
            if attempt.output.begin >= end {
                attempt.output.begin -= removed;
                attempt.output.end -= removed;
            }
        }
        true
    }
}
