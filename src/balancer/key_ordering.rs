//! Key ordering: requests of an ordered class with the same key run one at a time, in order of
//! arrival.

use crate::interface::{Micros, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// The requests that share one ordering key.
#[derive(Default)]
struct KeyQueue {
    /// Requests in order of arrival. A request stays here until its state is removed.
    requests: VecDeque<RequestId>,
    /// Until this time no request with the key may be sent, because an attempt that this gateway no
    /// longer tracks may still be running on its engine.
    paused_until: Micros,
}

/// The requests of ordered classes, by key.
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

    /// Delays the next request with a key, since an attempt of the previous one may still be
    /// running.
    pub(super) fn pause(&mut self, key: &str, until: Micros) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.paused_until = until;
        }
    }

    /// Returns whether a request is the earliest one with its key.
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

    /// Removes keys that have no requests and aren't paused.
    pub(super) fn remove_idle(&mut self, now: Micros) {
        self.queues
            .retain(|_, queue| !queue.requests.is_empty() || queue.paused_until > now);
    }
}
