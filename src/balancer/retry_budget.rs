//! The retry budget: further attempts as a part of the requests taken lately.

use crate::interface::{Micros, RetryBudgetSettings};
use std::collections::VecDeque;

/// Requests and retries as far back as the budget counts.
pub(super) struct RetryBudget {
    limit: Option<RetryBudgetSettings>,
    /// When requests were taken.
    requests: VecDeque<Micros>,
    /// When retries were sent.
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

    /// Removes a retry that never came about.
    pub(super) fn remove_retry(&mut self, sent_at: Micros) {
        let latest = self.retries.iter().rposition(|&retry| retry == sent_at);
        if let Some(index) = latest {
            self.retries.remove(index);
        }
    }

    /// Whether one more retry fits.
    pub(super) fn allows_retry(&self, now: Micros) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        let since = now.saturating_sub(limit.span);
        let newest_first = self.requests.iter().rev();
        let requests = newest_first.take_while(|&&at| at > since).count() as f64;
        let newest_first = self.retries.iter().rev();
        let retries = newest_first.take_while(|&&at| at >= since).count() as f64;
        retries + 1.0 <= limit.spare + limit.ratio * requests
    }

    /// Forgets what lies further back than the budget counts.
    pub(super) fn forget_expired(&mut self, now: Micros) {
        let span = self.limit.map_or(0, |limit| limit.span);
        let since = now.saturating_sub(span);
        self.requests.retain(|&at| at >= since);
        self.retries.retain(|&at| at >= since);
    }
}
