//! Affinity of table groups to engines, so that queries find their tables cached.

use super::subsetting::MIN_SUBSET;
use super::Balancer;
use crate::hash::mix;
use crate::interface::EngineId;
use crate::request_state::PendingRequest;

/// Requests over which a group's part of all is counted.
pub(super) const GROUP_MEMORY: f64 = 100.0;
/// Such memories after which a group that was not asked for again is forgotten.
pub(super) const GROUP_EXPIRY: f64 = 5.0;
/// Part of that memory that counts as other groups' before any request was seen.
const GROUP_PRIOR: f64 = 0.2;
/// Engines of a hot group, in multiples of the engines that its part of all requests would fill.
const HOT_GROUP_SPREAD: f64 = 2.0;

/// Engines ordered by affinity to a group.
pub(super) struct AffinityOrder {
    /// Highest hash of group and engine first.
    pub(super) engines: Vec<EngineId>,
    /// How many of these, from the first, the group has an affinity to.
    pub(super) affinity_count: usize,
}

impl AffinityOrder {
    /// The engines that the group has an affinity to.
    pub(super) fn affinity_engines(&self) -> &[EngineId] {
        &self.engines[..self.affinity_count]
    }
}

impl Balancer {
    /// The engines of the request's class, ordered by affinity to its group; every gateway finds
    /// the same order.
    pub(super) fn affinity_order(&self, pending: &PendingRequest) -> AffinityOrder {
        let group = pending.request.group;
        let mut order: Vec<(u64, EngineId)> = self
            .subset(pending.request.class)
            .map(|(hash, id)| (mix(group ^ hash), id))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        let affinity_count = self.affinity_count(group, order.len());
        AffinityOrder {
            engines: order.into_iter().map(|(_, id)| id).collect(),
            affinity_count,
        }
    }

    /// How many of so many engines a group has an affinity to; a hot group has more where shares
    /// are below one query.
    fn affinity_count(&self, group: u64, engine_count: usize) -> usize {
        let arrivals = self.traffic.arrivals;
        let counted = GROUP_MEMORY * (1.0 + GROUP_PRIOR - (-arrivals / GROUP_MEMORY).exp());
        let count = self.traffic.groups.get(&group);
        let part = count.map_or(0.0, |group| group.count / counted);
        let hot_engines = if self.subsetting.share_below_one_query() {
            part * engine_count as f64 * HOT_GROUP_SPREAD
        } else {
            0.0
        };
        (hot_engines as usize).max(MIN_SUBSET).min(engine_count)
    }

    /// Whether a class avoids the engines its group has an affinity to: a load would block the
    /// queries that read the group there.
    pub(super) fn avoids_affinity(&self, class: usize) -> bool {
        let classes = &self.settings.classes;
        classes[class].is_load
            && classes
                .iter()
                .any(|other| other.waits_for_load && !other.is_load)
    }
}
