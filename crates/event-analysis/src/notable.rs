//! Requests that an operator may ask about: those that were not served in time at the first
//! attempt.

use std::collections::VecDeque;

use eideryard::interface::Micros;
use eideryard_event_log::AnswerKind;

use crate::state::{Attempt, Fact, TimedFact, MAX_SHOWN_ATTEMPTS};

/// The first and the last requests are kept; those between are counted.
const MAX_FIRST: usize = 1500;
const MAX_LAST: usize = 500;

/// A request that was not simply served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NotableRequest {
    /// Index of its gateway's run.
    pub source: usize,
    /// When it ended.
    pub at: Micros,
    /// The id that its client gave it, if its start was logged.
    pub id: Option<u64>,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// How it ended.
    pub kind: AnswerKind,
    /// Whether that was after its deadline.
    pub is_late: bool,
    /// Time from its arrival to its end, if its start was logged.
    pub duration: Option<Micros>,
    /// How many attempts were made.
    pub attempt_count: usize,
    last_attempts: [Option<Attempt>; MAX_SHOWN_ATTEMPTS],
}

impl NotableRequest {
    /// Its last attempts, as they were when it was answered.
    pub fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.last_attempts.iter().flatten()
    }
}

/// The first and the last requests that were not simply served.
#[derive(Default)]
pub struct NotableRequests {
    first: Vec<NotableRequest>,
    last: VecDeque<NotableRequest>,
    /// How many between them are not kept.
    pub left_out: u64,
}

impl NotableRequests {
    /// Adds a fact.
    pub fn add(&mut self, fact: &TimedFact) {
        let Some(notable) = notable_request(fact) else {
            return;
        };
        if self.first.len() < MAX_FIRST {
            self.first.push(notable);
            return;
        }
        self.last.push_back(notable);
        if self.last.len() > MAX_LAST {
            self.last.pop_front();
            self.left_out += 1;
        }
    }

    /// All that are kept, in the order of time.
    pub fn iter(&self) -> impl Iterator<Item = &NotableRequest> {
        self.first.iter().chain(&self.last)
    }
}

/// The request that a fact is about, if that is its end and it was not simply served.
fn notable_request(fact: &TimedFact) -> Option<NotableRequest> {
    let Fact::RequestEnded {
        id,
        class,
        tenant,
        kind,
        is_late,
        duration,
        attempt_count,
        last_attempts,
        ..
    } = fact.fact
    else {
        return None;
    };
    if kind == AnswerKind::Served && !is_late && attempt_count <= 1 {
        return None;
    }
    Some(NotableRequest {
        source: fact.source,
        at: fact.at,
        id,
        class,
        tenant,
        kind,
        is_late,
        duration,
        attempt_count,
        last_attempts,
    })
}
