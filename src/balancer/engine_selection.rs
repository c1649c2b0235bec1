//! Engine selection: the engine with the least expected cost among those with room.

use super::outlier_detection::BAD_OUTCOME_WEIGHT;
use super::Balancer;
use crate::engine_state::EngineState;
use crate::engine_table::RingEntry;
use crate::interface::{Effect, EngineId, RequestId};
use crate::request_state::PendingRequest;

/// Part of a query's cost that finding its group cached saves.
const AFFINITY_GAIN: f64 = 0.25;
/// Cost of crossing zones, in multiples of its tariff.
const ZONE_CROSSING_COST: f64 = 10.0;
/// Expected crowding of an engine that is empty but for the request.
const BASE_CROWDING: f64 = 0.5;
/// Least share of good outcomes that is counted with.
const MIN_GOOD_SHARE: f64 = 0.05;

impl Balancer {
    /// The engine with the least expected cost among those that may run the request now.
    pub(super) fn choose_engine(&self, id: RequestId) -> Option<EngineId> {
        let pending = &self.requests[&id];
        if !self.is_ready_to_place(pending) {
            return None;
        }
        let share_below_one_query = self.subsetting.share_below_one_query();
        if share_below_one_query && !self.has_in_flight_quota(pending) {
            return None;
        }
        let order = self.affinity_order(pending);
        // An engine that the request failed on is not used for it again while there are others.
        let has_untried = order.engines.iter().any(|&id| !pending.has_error_on(id));
        let candidates = if share_below_one_query {
            &pending.candidates
        } else {
            &order.engines
        };
        candidates
            .iter()
            .filter(|&&id| !(has_untried && pending.has_error_on(id)))
            .filter_map(|id| self.engines.get(id))
            .filter(|engine| self.may_send(pending, engine))
            .map(|engine| {
                let cost = self.expected_cost(pending, engine, order.affinity_engines());
                (cost, engine.id())
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, id)| id)
    }

    fn may_send(&self, pending: &PendingRequest, engine: &EngineState) -> bool {
        engine.probe_sent_at == 0
            && self.rules_allow(pending, engine)
            && self.has_room(pending, engine)
    }

    /// The open engines that a class is placed among, in the order of the ring.
    pub(super) fn subset(&self, class: usize) -> impl Iterator<Item = RingEntry> + '_ {
        self.subsetting.engines(&self.engines, class, self.now)
    }

    fn expected_cost(
        &self,
        pending: &PendingRequest,
        engine: &EngineState,
        affinity_engines: &[EngineId],
    ) -> f64 {
        let class_id = pending.request.class;
        let class = &self.settings.classes[class_id];
        let threads = engine.threads + self.foreign_threads(engine) + class.threads;
        let crowding = threads / self.warm_cores(engine);
        let slowdown = if self.subsetting.share_below_one_query() {
            1.0
        } else {
            engine.slowdown / engine.best_slowdown
        };
        let mut cost = pending.ideal_duration * (BASE_CROWDING + crowding) * slowdown;
        let has_affinity = affinity_engines.contains(&engine.id());
        if has_affinity != self.avoids_affinity(class_id) {
            cost *= 1.0 - AFFINITY_GAIN;
        }
        if engine.endpoint.zone != self.settings.zone {
            cost *= 1.0 + ZONE_CROSSING_COST * self.settings.cross_zone_tariff;
        }
        cost * health_cost_factor(engine)
    }

    /// Whether an engine is neither quarantined nor, on probation, busy, and no load blocks the
    /// request there. On probation an engine gets one idempotent request at a time.
    pub(super) fn is_available(&self, pending: &PendingRequest, engine: &EngineState) -> bool {
        let class = &self.settings.classes[pending.request.class];
        let is_idempotent = class.effect == Effect::Idempotent;
        let passes_probation =
            engine.probation_left == 0 || is_idempotent && engine.in_flight.is_empty();
        self.now >= engine.quarantined_until
            && passes_probation
            && !self.is_blocked_on(pending, engine)
    }

    /// Whether a load, of this gateway or lately reported, holds the request's group there: the
    /// request would only wait there and keep its memory.
    fn is_blocked_on(&self, pending: &PendingRequest, engine: &EngineState) -> bool {
        if !self.is_blocked_by_loads(pending.request.class) {
            return false;
        }
        let group = pending.request.group;
        engine.active_loads.contains_key(&group)
            || engine
                .in_flight
                .values()
                .any(|other| other.group == group && self.settings.classes[other.class].is_load)
    }

    /// Whether requests of a class wait where a load holds their group.
    pub(super) fn is_blocked_by_loads(&self, class: usize) -> bool {
        let class = &self.settings.classes[class];
        class.is_load || class.waits_for_load
    }
}

/// Bad outcomes make an engine dearer. One on probation is tried at once: nothing else would show
/// that it is healthy again.
fn health_cost_factor(engine: &EngineState) -> f64 {
    if engine.probation_left > 0 {
        return 0.0;
    }
    let unattributed = (1.0 - BAD_OUTCOME_WEIGHT).powi(engine.unattributed_errors);
    let good_share = (1.0 - engine.bad_share) * unattributed;
    1.0 / good_share.max(MIN_GOOD_SHARE)
}
