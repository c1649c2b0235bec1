//! One connection to an engine: its open attempts and probes, and which bytes of its output belong
//! to which request.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use eideryard::interface::{EngineId, LoadReport, Micros, ResourceUsage};
use eideryard_engine_protocol as engine_protocol;

use crate::connection::Connection;
use crate::deadlines::{DeadlineKey, Deadlines};
use crate::table::Key;

/// Usage and load report of a successful attempt, retained while the remaining pages of its result
/// are read.
#[derive(Clone, Copy, Default)]
pub(super) struct ReportedEnd {
    pub(super) usage: Option<ResourceUsage>,
    pub(super) report: Option<LoadReport>,
}

/// A result that is sent to the client once all its pages are read.
pub(super) struct ResultReader {
    /// The pages by index; `None` for a page that has not arrived.
    pub(super) pages: Vec<Option<Vec<u8>>>,
    /// Bytes of the pages that have arrived.
    pub(super) bytes: usize,
    pub(super) end: ReportedEnd,
}

/// A result for the result spool: its pages are passed on in order, and are requested as space in
/// the spool becomes available.
pub(super) struct SpooledResultReader {
    /// The number of pages in the whole result.
    pub(super) count: usize,
    /// The index of the next page to pass on.
    pub(super) next: usize,
    /// The index of the next page to request.
    pub(super) next_requested: usize,
    /// Pages, by index, that arrived while a page with a lower index was still missing.
    pub(super) early: BTreeMap<usize, Vec<u8>>,
    /// Bytes passed on so far, from which the average size of a page is computed.
    pub(super) bytes: usize,
    pub(super) end: ReportedEnd,
}

/// What an attempt is waiting for.
pub(super) enum AttemptStage {
    /// The first answer: the engine is running the attempt or has queued it.
    Running,
    /// Further pages of a result that is sent to the client as a whole.
    ReadingPages(ResultReader),
    /// Further pages of a result for the result spool.
    SpoolingPages(SpooledResultReader),
}

/// The bytes of one request, as offsets in the stream of all bytes written to the connection.
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
    /// Whether the result goes to the result spool.
    pub(super) is_spooled: bool,
    pub(super) sent_at: Micros,
    pub(super) output: OutputRange,
    /// A new rank, to be sent once the request is written; before that, the engine doesn't know the
    /// ID.
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
    /// IDs of requests whose attempts ended on this connection without a result. An answer to such
    /// an attempt may still arrive, so none of these IDs is reused on this connection.
    pub(super) ended_ids: BTreeSet<Box<str>>,
    /// Probes that have not been answered yet, by tag.
    pub(super) probes: BTreeMap<Box<str>, DeadlineKey>,
    /// Whether the connection is retired: it carries no new attempts, and is closed when its open
    /// attempts have ended.
    pub(super) is_retired: bool,
    pub(super) opened_at: Micros,
    pub(super) last_received_at: Micros,
    /// Until the connection is established: when the dial timeout expires. Later: when the
    /// connection is closed as idle.
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

    /// Returns whether the connection can carry one more attempt or probe.
    pub(super) fn has_free_stream(&self, max_streams: usize) -> bool {
        self.open_attempts.len() + self.probes.len() < max_streams
    }

    /// Cancels the idle deadline. If the connection is not established yet, the dial timeout
    /// remains in effect.
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

    /// Cancels an attempt of which no byte has been written, and removes the attempt's bytes from
    /// the output. Returns false if the attempt isn't open or part of it has been written.
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
