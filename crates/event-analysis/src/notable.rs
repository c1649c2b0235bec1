//! Requests that an operator may look for: those that were not served in time at the first attempt.

use std::collections::VecDeque;

use eideryard::interface::Micros;
use eideryard_event_log::AnswerKind;

use crate::state::{Attempt, Fact, TimedFact, MAX_SHOWN_ATTEMPTS};

/// Number of requests stored from the start. Of all later ones, only the last [`MAX_LAST`] are
/// stored; the others are only counted.
const MAX_FIRST: usize = 1500;
/// Number of requests stored from the end, in addition to the first [`MAX_FIRST`].
const MAX_LAST: usize = 500;

/// A request that was not served in time at the first attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NotableRequest {
    /// Index of the source whose gateway answered the request.
    pub source: usize,
    /// Time of the final answer, by the gateway's clock.
    pub at: Micros,
    /// ID that the client gave to the request; `None` if the log lacks the request's arrival.
    pub id: Option<u64>,
    /// Index of the request's class.
    pub class: usize,
    /// Index of the request's tenant.
    pub tenant: usize,
    /// Kind of the final answer.
    pub kind: AnswerKind,
    /// Whether the final answer came after the deadline.
    pub is_late: bool,
    /// Time from arrival to final answer; `None` if the log lacks the request's arrival.
    pub duration: Option<Micros>,
    /// Number of attempts made; [`NotableRequest::attempts`] may return fewer.
    pub attempt_count: usize,
    last_attempts: [Option<Attempt>; MAX_SHOWN_ATTEMPTS],
}

impl NotableRequest {
    /// Returns the last attempts, in their state at the time of the final answer.
    pub fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.last_attempts.iter().flatten()
    }
}

/// The first and the last requests that were not served in time at the first attempt.
#[derive(Default)]
pub struct NotableRequests {
    first: Vec<NotableRequest>,
    last: VecDeque<NotableRequest>,
    /// Number of requests between the first and the last ones that were dropped.
    pub left_out: u64,
}

impl NotableRequests {
    /// Adds the request that a fact is about, if the fact is its end and the request is notable.
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

    /// Returns the stored requests, in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &NotableRequest> {
        self.first.iter().chain(&self.last)
    }
}

/// Returns the request that a fact is about if the fact is its end and the request was not served
/// in time at the first attempt.
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
