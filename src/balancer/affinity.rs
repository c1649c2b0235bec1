//! Affinity of table groups to engines: queries of a group prefer the same few engines, where its
//! tables are likely to be cached.

use super::subsetting::MIN_SUBSET;
use super::Balancer;
use crate::hash::mix;
use crate::interface::EngineId;
use crate::request_state::PendingRequest;

/// Decay constant of the counts of requests per group, as a number of arrivals.
pub(super) const GROUP_DECAY_REQUESTS: f64 = 100.0;
/// A group without a request for this multiple of `GROUP_DECAY_REQUESTS` arrivals is removed.
pub(super) const GROUP_EXPIRY: f64 = 5.0;
/// Number of requests for other groups that is assumed before the first arrival, as a fraction of
/// `GROUP_DECAY_REQUESTS`.
const GROUP_PRIOR: f64 = 0.2;
/// Number of engines that a hot group has an affinity to, as a multiple of the number that
/// corresponds to the group's share of all requests.
const HOT_GROUP_SPREAD: f64 = 2.0;

/// Engines ordered by their affinity to a group.
pub(super) struct AffinityOrder {
    /// Engines that the request may be placed on, ordered by a hash of group and engine, highest
    /// first.
    pub(super) engines: Vec<EngineId>,
    /// Number of engines, counted from the first, that the group has an affinity to.
    pub(super) affinity_count: usize,
}

impl AffinityOrder {
    /// Returns the engines that the group has an affinity to.
    pub(super) fn affinity_engines(&self) -> &[EngineId] {
        &self.engines[..self.affinity_count]
    }
}

impl Balancer {
    /// Returns the engines that the request's class may be placed on, ordered by affinity to its
    /// group. All gateways compute the same order without exchanging messages.
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

    /// Returns the number of engines that a group has an affinity to, out of `engine_count`. If
    /// shares are below one query, a hot group has more than `MIN_SUBSET`.
    fn affinity_count(&self, group: u64, engine_count: usize) -> usize {
        let arrivals = self.traffic.arrivals;
        let total_count =
            GROUP_DECAY_REQUESTS * (1.0 + GROUP_PRIOR - (-arrivals / GROUP_DECAY_REQUESTS).exp());
        let count = self.traffic.groups.get(&group);
        let fraction = count.map_or(0.0, |group| group.count / total_count);
        let hot_engines = if self.subsetting.is_share_below_one_query() {
            fraction * engine_count as f64 * HOT_GROUP_SPREAD
        } else {
            0.0
        };
        (hot_engines as usize).max(MIN_SUBSET).min(engine_count)
    }

    /// Returns whether requests of a class should avoid the engines that their group has an
    /// affinity to: a load there would block the queries that read the group.
    pub(super) fn should_avoid_affinity(&self, class: usize) -> bool {
        let classes = &self.settings.classes;
        classes[class].is_load
            && classes
                .iter()
                .any(|other| other.waits_for_load && !other.is_load)
    }
}
