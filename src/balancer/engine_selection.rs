//! Engine selection: chooses the engine with the lowest expected cost among those with room.

use super::outlier_detection::BAD_OUTCOME_WEIGHT;
use super::Balancer;
use crate::engine_state::EngineState;
use crate::engine_table::RingEntry;
use crate::interface::{Effect, EngineId, RequestId};
use crate::request_state::PendingRequest;

/// Fraction of a query's cost that is saved if its tables are cached.
const AFFINITY_GAIN: f64 = 0.25;
/// Increase of the cost on an engine in another zone, as a multiple of `cross_zone_tariff`.
const ZONE_CROSSING_COST: f64 = 10.0;
/// Value that is added to the estimated threads per core when a cost is computed: the expected
/// contention on an engine that runs only this request.
const BASE_THREADS_PER_CORE: f64 = 0.5;
/// Lower limit on the divisor of a cost, which is the share of good outcomes.
const MIN_GOOD_SHARE: f64 = 0.05;

impl Balancer {
    /// Chooses the engine with the lowest expected cost among those that may run the request now.
    pub(super) fn choose_engine(&self, id: RequestId) -> Option<EngineId> {
        let pending = &self.requests[&id];
        if !self.is_ready_to_place(pending) {
            return None;
        }
        let is_share_below_one_query = self.subsetting.is_share_below_one_query();
        if is_share_below_one_query && !self.has_in_flight_quota(pending) {
            return None;
        }
        let order = self.affinity_order(pending);
        // Skips engines on which the request failed, unless it failed on all of them.
        let has_untried = order.engines.iter().any(|&id| !pending.has_error_on(id));
        let candidates = if is_share_below_one_query {
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

    /// Returns whether the request may be sent to an engine now: no probe of the engine is pending,
    /// the constraints allow it and there is room.
    fn may_send(&self, pending: &PendingRequest, engine: &EngineState) -> bool {
        engine.probe_sent_at == 0
            && self.is_send_allowed(pending, engine)
            && self.has_room(pending, engine)
    }

    /// Returns the open engines that requests of a class may be placed on, in ring order.
    pub(super) fn subset(&self, class: usize) -> impl Iterator<Item = RingEntry> + '_ {
        self.subsetting.engines(&self.engines, class, self.now)
    }

    /// Returns the expected cost of the request on an engine: its estimated duration there, in
    /// microseconds, with factors for affinity, zone and health.
    fn expected_cost(
        &self,
        pending: &PendingRequest,
        engine: &EngineState,
        affinity_engines: &[EngineId],
    ) -> f64 {
        let class_id = pending.request.class;
        let class = &self.settings.classes[class_id];
        let threads = engine.threads + self.foreign_threads(engine) + class.threads;
        let threads_per_core = threads / self.warm_cores(engine);
        let slowdown = if self.subsetting.is_share_below_one_query() {
            1.0
        } else {
            engine.slowdown / engine.best_slowdown
        };
        let mut cost =
            pending.ideal_duration * (BASE_THREADS_PER_CORE + threads_per_core) * slowdown;
        let has_affinity = affinity_engines.contains(&engine.id());
        if has_affinity != self.should_avoid_affinity(class_id) {
            cost *= 1.0 - AFFINITY_GAIN;
        }
        if engine.endpoint.zone != self.settings.zone {
            cost *= 1.0 + ZONE_CROSSING_COST * self.settings.cross_zone_tariff;
        }
        cost * health_cost_factor(engine)
    }

    /// Returns whether an engine is available to the request: it isn't quarantined and no load
    /// blocks the request there. An engine on probation gets one idempotent request at a time.
    pub(super) fn is_available(&self, pending: &PendingRequest, engine: &EngineState) -> bool {
        let class = &self.settings.classes[pending.request.class];
        let is_idempotent = class.effect == Effect::Idempotent;
        let is_allowed_by_probation =
            engine.probation_left == 0 || is_idempotent && engine.in_flight.is_empty();
        self.now >= engine.quarantined_until
            && is_allowed_by_probation
            && !self.is_blocked_on(pending, engine)
    }

    /// Returns whether a load holds the request's table group on an engine, according to this
    /// gateway's attempts or to recent progress reports. If so, the request would wait on that
    /// engine and occupy memory.
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

    /// Returns whether requests of a class have to wait on an engine where a load holds their table
    /// group.
    pub(super) fn is_blocked_by_loads(&self, class: usize) -> bool {
        let class = &self.settings.classes[class];
        class.is_load || class.waits_for_load
    }
}

/// Returns the factor on the cost of an engine, which grows with the engine's share of bad
/// outcomes. The factor is 0 for an engine on probation, so that the engine is chosen first: only a
/// request can show that the engine is healthy.
fn health_cost_factor(engine: &EngineState) -> f64 {
    if engine.probation_left > 0 {
        return 0.0;
    }
    let unattributed = (1.0 - BAD_OUTCOME_WEIGHT).powi(engine.unattributed_errors);
    let good_share = (1.0 - engine.bad_share) * unattributed;
    1.0 / good_share.max(MIN_GOOD_SHARE)
}
