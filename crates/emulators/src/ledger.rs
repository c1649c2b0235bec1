//! Counts requests, answers and effects of one run of a scenario, and violations of rules that are
//! detected during the run.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::history::{Event, TimedEvent, MAX_EVENTS};

/// Numbers of requests from a load, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Requests sent, with each retry counted as a request.
    pub asked: u64,
    /// Requests answered with their result.
    pub served: u64,
    /// Requests rejected with `TryLater`.
    pub refused: u64,
    /// Requests answered with any other error.
    pub failed: u64,
    /// Requests without an answer: the connection was lost, no answer arrived in time, or no
    /// gateway could be reached.
    pub lost: u64,
    /// Requests that the client cancelled.
    pub forgotten: u64,
    /// Rejected requests whose answer contained a retry-after hint.
    pub advised: u64,
}

impl std::iter::Sum for Answers {
    fn sum<I: Iterator<Item = Answers>>(all: I) -> Self {
        all.fold(Answers::default(), |sum, answers| Answers {
            asked: sum.asked + answers.asked,
            served: sum.served + answers.served,
            refused: sum.refused + answers.refused,
            failed: sum.failed + answers.failed,
            lost: sum.lost + answers.lost,
            forgotten: sum.forgotten + answers.forgotten,
            advised: sum.advised + answers.advised,
        })
    }
}

/// The start of a run by the monotonic and the system clock. Unix times in the run are computed
/// from monotonic times, so that they don't step within the run.
#[derive(Clone, Copy, Debug)]
struct RunStart {
    instant: Instant,
    unix_us: u64,
}

impl Default for RunStart {
    fn default() -> Self {
        let unix_us = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as u64;
        RunStart {
            instant: Instant::now(),
            unix_us,
        }
    }
}

/// All counts of one run of a scenario.
#[derive(Debug, Default)]
pub struct Ledger {
    run_start: RunStart,
    /// The recorded events, or `None` if none are recorded.
    pub history: Option<Vec<TimedEvent>>,
    /// Number of events that weren't recorded because [`MAX_EVENTS`] events had been recorded
    /// before.
    pub events_not_kept: u64,
    /// Outcomes of requests, by the name of the load.
    pub answers: BTreeMap<String, Answers>,
    /// How often a write took effect, by its idempotency key or its id.
    effects: HashMap<String, u32>,
    /// Descriptions of the first violations, at most [`MAX_VIOLATION_TEXTS`].
    pub violations: Vec<String>,
    /// Number of all violations, including those without a description.
    pub violation_count: u64,
    /// Number of queries started, by the name of the engine.
    pub queries_started: BTreeMap<String, u64>,
}

/// Maximum number of violations whose descriptions are stored.
const MAX_VIOLATION_TEXTS: usize = 50;

impl Ledger {
    /// Returns the current Unix time in microseconds.
    pub fn now(&self) -> u64 {
        self.run_start.unix_us + self.run_start.instant.elapsed().as_micros() as u64
    }

    /// Records an event, if events are recorded.
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

    /// Counts a violation of a rule and stores its description if there is room for it.
    pub fn record_violation(&mut self, text: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_VIOLATION_TEXTS {
            self.violations.push(text);
        }
    }

    /// Counts that a write took effect. A second effect of the same write is a violation.
    pub fn record_effect(&mut self, key: &str, engine: &str) {
        let count = self.effects.entry(key.to_string()).or_default();
        *count += 1;
        if *count == 2 {
            self.record_violation(format!(
                "{key} took effect twice, the second time at {engine}"
            ));
        }
    }

    /// Returns the sum of the outcomes over all loads.
    pub fn total(&self) -> Answers {
        self.answers.values().copied().sum()
    }
}

/// A ledger that all parts of a run share.
pub type SharedLedger = Rc<RefCell<Ledger>>;
