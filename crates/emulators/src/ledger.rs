//! What was asked, answered and done, held against the rules.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::history::{Event, TimedEvent, MAX_EVENTS};

/// What the clients of a load were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Requests.
    pub asked: u64,
    /// Those with their result.
    pub served: u64,
    /// Those that were refused.
    pub refused: u64,
    /// Those that failed.
    pub failed: u64,
    /// Its connection ended first.
    pub lost: u64,
    /// Taken back by its client.
    pub forgotten: u64,
    /// Of the refused, those that said when to come back.
    pub advised: u64,
}

impl std::iter::Sum for Answers {
    fn sum<I: Iterator<Item = Answers>>(all: I) -> Self {
        all.fold(Answers::default(), |sum, own| Answers {
            asked: sum.asked + own.asked,
            served: sum.served + own.served,
            refused: sum.refused + own.refused,
            failed: sum.failed + own.failed,
            lost: sum.lost + own.lost,
            forgotten: sum.forgotten + own.forgotten,
            advised: sum.advised + own.advised,
        })
    }
}

/// Turns this process's clock into Unix time, once: it doesn't step within a run.
#[derive(Clone, Copy, Debug)]
struct Began {
    instant: Instant,
    unix: u64,
}

impl Default for Began {
    fn default() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as u64;
        Began {
            instant: Instant::now(),
            unix,
        }
    }
}

/// All that is counted of one run.
#[derive(Debug, Default)]
pub struct Ledger {
    began: Began,
    /// What happened, where it is kept.
    pub history: Option<Vec<TimedEvent>>,
    /// Entries that there was no room for.
    pub events_not_kept: u64,
    /// By load.
    pub answers: BTreeMap<String, Answers>,
    /// How often a write took effect, by its key or id.
    effects: HashMap<String, u32>,
    /// What broke a rule, in words.
    pub violations: Vec<String>,
    /// How many broke one; the words of the first are kept.
    pub violation_count: u64,
    /// Queries begun, by engine.
    pub queries_started: BTreeMap<String, u64>,
}

/// Words of so many broken rules are kept.
const MAX_WORDS: usize = 50;

impl Ledger {
    /// Unix microseconds.
    pub fn now(&self) -> u64 {
        self.began.unix + self.began.instant.elapsed().as_micros() as u64
    }

    /// Keeps an event, where events are kept and there is room.
    pub fn record_event(&mut self, event: impl FnOnce() -> Event) {
        let at = self.now();
        let Some(history) = &mut self.history else {
            return;
        };
        if history.len() < MAX_EVENTS {
            history.push(TimedEvent { at, event: event() });
        } else {
            self.events_not_kept += 1;
        }
    }

    /// Counts a broken rule, in words.
    pub fn record_violation(&mut self, what: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_WORDS {
            self.violations.push(what);
        }
    }

    /// A write took effect; a second time breaks a rule.
    pub fn record_effect(&mut self, key: &str, engine: &str) {
        let times = self.effects.entry(key.to_string()).or_default();
        *times += 1;
        if *times == 2 {
            self.record_violation(format!(
                "{key} took effect twice, the second time at {engine}"
            ));
        }
    }

    /// Answers of all loads.
    pub fn total(&self) -> Answers {
        self.answers.values().copied().sum()
    }
}

/// The ledger that all parts of a run share.
pub type SharedLedger = Rc<RefCell<Ledger>>;
