//! The queue of requests that are waiting to be sent, ordered by the end of their latency
//! objectives.

use crate::interface::{Micros, RequestId};
use crate::request_state::PendingRequest;
use std::collections::BTreeMap;

/// Waiting requests and their classes, ordered by the end of their latency objective, then by ID.
#[derive(Default)]
pub(super) struct PendingQueue {
    classes: BTreeMap<(Micros, RequestId), usize>,
}

impl PendingQueue {
    pub(super) fn insert(&mut self, pending: &PendingRequest) {
        let request = &pending.request;
        let position = (pending.objective_deadline, request.id);
        self.classes.insert(position, request.class);
    }

    pub(super) fn remove(&mut self, pending: &PendingRequest) {
        let position = (pending.objective_deadline, pending.request.id);
        self.classes.remove(&position);
    }

    /// Returns the IDs of the requests, earliest objective first.
    pub(super) fn ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.classes.keys().map(|&(_, id)| id)
    }

    /// Returns the IDs and classes of the requests, earliest objective first.
    pub(super) fn ids_and_classes(&self) -> impl Iterator<Item = (RequestId, usize)> + '_ {
        self.classes.iter().map(|(&(_, id), &class)| (id, class))
    }
}
