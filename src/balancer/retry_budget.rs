//! The retry budget: limits retries to a fraction of the requests that arrived recently.

use crate::interface::{Micros, RetryBudgetSettings};
use std::collections::VecDeque;

/// Arrivals and retries within the budget's sliding window.
pub(super) struct RetryBudget {
    /// `None`: retries are not limited.
    limit: Option<RetryBudgetSettings>,
    /// Arrival times of requests, in order.
    requests: VecDeque<Micros>,
    /// Times at which retries were sent.
    retries: VecDeque<Micros>,
}

impl RetryBudget {
    pub(super) fn new(limit: Option<RetryBudgetSettings>) -> Self {
        RetryBudget {
            limit,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    pub(super) fn record_request(&mut self, now: Micros) {
        self.requests.push_back(now);
    }

    pub(super) fn record_retry(&mut self, sent_at: Micros) {
        self.retries.push_back(sent_at);
    }

    /// Removes a retry that was not sent after all.
    pub(super) fn remove_retry(&mut self, sent_at: Micros) {
        let latest_index = self.retries.iter().rposition(|&retry| retry == sent_at);
        if let Some(index) = latest_index {
            self.retries.remove(index);
        }
    }

    /// Returns whether the budget allows one more retry now.
    pub(super) fn has_room_for_retry(&self, now: Micros) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        let window_start = now.saturating_sub(limit.span);
        let newest_first = self.requests.iter().rev();
        let requests = newest_first.take_while(|&&at| at > window_start).count() as f64;
        let newest_first = self.retries.iter().rev();
        let retries = newest_first.take_while(|&&at| at >= window_start).count() as f64;
        retries + 1.0 <= limit.spare + limit.ratio * requests
    }

    /// Removes arrivals and retries that are older than the budget's window.
    pub(super) fn remove_expired(&mut self, now: Micros) {
        let span = self.limit.map_or(0, |limit| limit.span);
        let window_start = now.saturating_sub(span);
        self.requests.retain(|&at| at >= window_start);
        self.retries.retain(|&at| at >= window_start);
    }
}
