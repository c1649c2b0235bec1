//! Ordering: requests of an ordered class that carry the same key run one at a time, in the order
//! taken.

use crate::interface::{Micros, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// Requests of one key.
#[derive(Default)]
struct KeyQueue {
    /// In the order taken.
    requests: VecDeque<RequestId>,
    /// Until then an attempt that has ended here may still run.
    paused_until: Micros,
}

/// The order of requests for each key.
#[derive(Default)]
pub(super) struct KeyOrdering {
    queues: BTreeMap<String, KeyQueue>,
}

impl KeyOrdering {
    pub(super) fn push(&mut self, key: &str, request: RequestId) {
        let queue = self.queues.entry(key.to_owned()).or_default();
        queue.requests.push_back(request);
    }

    pub(super) fn remove(&mut self, key: &str, request: RequestId) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.requests.retain(|&other| other != request);
        }
    }

    /// Holds a key's next request back, since an attempt of the one before may still run.
    pub(super) fn pause(&mut self, key: &str, until: Micros) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.paused_until = until;
        }
    }

    /// Whether a request is the first of its key that has not ended.
    pub(super) fn is_first(&self, key: &str, request: RequestId) -> bool {
        self.queues
            .get(key)
            .is_some_and(|queue| queue.requests.front() == Some(&request))
    }

    pub(super) fn is_paused(&self, key: &str, now: Micros) -> bool {
        self.queues
            .get(key)
            .is_some_and(|queue| now < queue.paused_until)
    }

    /// Drops keys without requests whose pause is over.
    pub(super) fn forget_idle(&mut self, now: Micros) {
        self.queues
            .retain(|_, queue| !queue.requests.is_empty() || queue.paused_until > now);
    }
}
