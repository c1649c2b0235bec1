//! Sends queued requests as engines get room.

use super::Balancer;
use crate::interface::RequestId;
use std::collections::BTreeMap;

/// Requests alike in what room they need: class and, where loads hold it back, group.
type RoomKey = (usize, u64);

impl Balancer {
    /// Queued requests leave earliest objective first; one that can't leave doesn't block others.
    pub(super) fn release_queue(&mut self) {
        // The least memory that found no room.
        let mut no_room: BTreeMap<RoomKey, f64> = BTreeMap::new();
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
            let found_no_room = no_room
                .get(&(class, group))
                .is_some_and(|&least| memory_mb >= least);
            if is_full[class] || found_no_room || !self.is_ready_to_place(pending) {
                continue;
            }
            // Retries and ordered requests may find no engine for other reasons than room.
            let needs_only_room =
                pending.attempts.is_empty() && !self.settings.classes[class].is_ordered;
            if let Some(engine) = self.choose_engine(id) {
                self.send(id, engine);
                is_full = self.full_classes();
            } else if self.subsetting.share_below_one_query() {
                // It waits until candidates are drawn for it again.
                if let Some(pending) = self.requests.get_mut(&id) {
                    pending.candidates.clear();
                }
            } else if needs_only_room {
                let least = if self.is_dashboard(class) {
                    0.0
                } else {
                    memory_mb
                };
                no_room.insert((class, group), least);
            }
        }
    }
}
