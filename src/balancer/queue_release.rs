//! Queue release: sends queued requests once engines have room for them.

use super::Balancer;
use crate::interface::RequestId;
use std::collections::BTreeMap;

/// Requests with the same key differ only in the memory that they need: their class and, if loads
/// can block the class, their table group (else 0).
type RoomKey = (usize, u64);

impl Balancer {
    /// Sends queued requests, earliest objective first. A request that can't be sent doesn't block
    /// the requests behind it.
    pub(super) fn release_queue(&mut self) {
        // The smallest memory for which no engine had room; larger requests are skipped.
        let mut unplaced_memory: BTreeMap<RoomKey, f64> = BTreeMap::new();
        let mut is_full = self.full_classes();
        let releasable: Vec<(RequestId, usize)> = self
            .queue
            .ids_and_classes()
            .filter(|&(_, class)| !is_full[class])
            .collect();
        for (id, class) in releasable {
            let pending = &self.requests[&id];
            let memory_mb = pending.memory_mb;
            let group = if self.is_blocked_by_loads(class) {
                pending.request.group
            } else {
                0
            };
            let is_known_not_to_fit = unplaced_memory
                .get(&(class, group))
                .is_some_and(|&min_memory_mb| memory_mb >= min_memory_mb);
            if is_full[class] || is_known_not_to_fit || !self.is_ready_to_place(pending) {
                continue;
            }
            // A retry or an ordered request may be held back for reasons other than a lack of room.
            let is_limited_by_room_only =
                pending.attempts.is_empty() && !self.settings.classes[class].is_ordered;
            if let Some(engine) = self.choose_engine(id) {
                self.send(id, engine);
                is_full = self.full_classes();
            } else if self.subsetting.is_share_below_one_query() {
                // The request stays queued until new candidates are drawn for it.
                if let Some(pending) = self.requests.get_mut(&id) {
                    pending.candidates.clear();
                }
            } else if is_limited_by_room_only {
                let min_memory_mb = if self.is_dashboard(class) {
                    0.0
                } else {
                    memory_mb
                };
                unplaced_memory.insert((class, group), min_memory_mb);
            }
        }
    }
}
