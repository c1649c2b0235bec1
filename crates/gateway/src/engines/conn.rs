//! One connection to an engine: what is open on it, and where in its output each request stands.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use eideryard::interface::{EngineId, LoadReport, Micros, ResourceUsage};
use eideryard_engine_protocol as line;

use crate::connection::Connection;
use crate::deadlines::{DeadlineKey, Deadlines};
use crate::table::Key;

/// What an attempt on a connection waits for.
pub(super) enum Stage {
    Running,
    /// It ended well; its further pages are on their way.
    Reading {
        pages: Vec<Option<Vec<u8>>>,
        bytes: usize,
        bill: Option<ResourceUsage>,
        report: Option<LoadReport>,
    },
    /// The same for the spool: pages are handed on in order as they come, and asked for as it has
    /// room.
    ResultSpoolDriver {
        count: usize,
        /// The next to hand on, and the next to ask for.
        next: usize,
        asked: usize,
        /// Those that came before their turn.
        early: BTreeMap<usize, Vec<u8>>,
        /// Bytes handed on, for the size of a usual page.
        bytes: usize,
        bill: Option<ResourceUsage>,
        report: Option<LoadReport>,
    },
}

pub(super) struct Open {
    pub(super) request: Key,
    pub(super) attempt: usize,
    pub(super) stage: Stage,
    /// Its result goes to the spool.
    pub(super) spooled: bool,
    pub(super) sent_at: Micros,
    /// Where in what is sent on this connection its request begins and ends.
    pub(super) sent: (u64, u64),
    /// A new priority that is told once the request is out: until then the engine knows no such id.
    pub(super) later_rank: Option<u8>,
}

pub(super) struct Conn {
    pub(super) engine: EngineId,
    pub(super) connection: Connection,
    pub(super) open: BTreeMap<Box<str>, Open>,
    /// Requests that ended here without a result: an answer of theirs may still come, or come once
    /// more, so none of them is sent on this connection again.
    pub(super) ended: BTreeSet<Box<str>>,
    pub(super) probes: BTreeMap<Box<str>, DeadlineKey>,
    /// It takes no more: it closes when what is open on it is over.
    pub(super) retired: bool,
    pub(super) opened_at: Micros,
    pub(super) heard_at: Micros,
    /// Until it must be up; afterwards, where nothing is open, until it is closed for that.
    pub(super) deadline: Option<DeadlineKey>,
    /// Until the rest of an answer that has begun must have come.
    pub(super) rest: Option<DeadlineKey>,
}

impl Conn {
    /// It isn't idle any more; one that isn't up yet keeps its deadline for that.
    pub(super) fn is_used(&mut self, due: &mut Deadlines) {
        due.take_back(if self.connection.was_up() {
            self.deadline.take()
        } else {
            None
        });
    }

    /// Ranks that came for requests which were not out yet.
    pub(super) fn tell_later_ranks(&mut self) -> io::Result<()> {
        let Connection {
            written, output, ..
        } = &mut self.connection;
        let out = self
            .open
            .iter_mut()
            .filter(|(_, open)| open.sent.1 <= *written);
        for (id, open) in out {
            if let Some(rank) = open
                .later_rank
                .take()
                .filter(|_| matches!(open.stage, Stage::Running))
            {
                line::write_weigh(output.tail(), id, rank);
            }
        }
        self.connection.flush()
    }

    /// Attempts of which no byte is out.
    pub(super) fn unbegun(&self) -> Vec<(Box<str>, Key, usize)> {
        let unbegun = self
            .open
            .iter()
            .filter(|(_, open)| self.connection.written <= open.sent.0);
        unbegun
            .map(|(id, open)| (id.clone(), open.request, open.attempt))
            .collect()
    }

    /// Withdraws an attempt of which no byte is out: it leaves nothing behind in what waits to be
    /// written. False: it isn't there, or has begun.
    pub(super) fn withdraw(&mut self, id: &str) -> bool {
        let written = self.connection.written;
        let Some(open) = self.open.get(id).filter(|open| written <= open.sent.0) else {
            return false;
        };
        let (begin, end) = open.sent;
        self.open.remove(id);
        self.connection
            .output
            .cut((begin - written) as usize, (end - written) as usize);
        for open in self.open.values_mut().filter(|open| open.sent.0 >= end) {
            open.sent = (open.sent.0 - (end - begin), open.sent.1 - (end - begin));
        }
        true
    }
}
