//! Requests that somebody may ask after: those that were not simply served.

use std::collections::VecDeque;

use eideryard::interface::Micros;
use eideryard_event_log::AnswerKind;

use crate::state::{Attempt, Fact, LoggedText, SHOWN};

/// So many of the first and of the last are kept; those between are counted.
const MAX_FIRST: usize = 1500;
const MAX_LAST: usize = 500;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notable {
    pub source: usize,
    pub at: Micros,
    /// As its client named it; nothing where its beginning was not recorded.
    pub id: Option<u64>,
    pub class: usize,
    pub tenant: usize,
    pub how: AnswerKind,
    pub late: bool,
    pub took: Option<Micros>,
    pub tries: usize,
    last: [Option<Attempt>; SHOWN],
}

impl Notable {
    /// The last attempts of it, as far as they had ended when it was answered.
    pub fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.last.iter().flatten()
    }
}

#[derive(Default)]
pub struct Notables {
    first: Vec<Notable>,
    last: VecDeque<Notable>,
    pub left_out: u64,
}

impl Notables {
    pub fn take(&mut self, said: &LoggedText) {
        let Fact::Ended {
            id,
            class,
            tenant,
            how,
            late,
            took,
            attempts,
            last,
            ..
        } = said.fact
        else {
            return;
        };
        if how == AnswerKind::Served && !late && attempts <= 1 {
            return;
        }
        let (source, at, tries) = (said.source, said.at, attempts);
        let notable = Notable {
            source,
            at,
            id,
            class,
            tenant,
            how,
            late,
            took,
            tries,
            last,
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

    pub fn iter(&self) -> impl Iterator<Item = &Notable> {
        self.first.iter().chain(&self.last)
    }
}
