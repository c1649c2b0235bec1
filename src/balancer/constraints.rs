//! Constraints that are checked before every send: placement, safety of repeats, order among
//! requests with the same key, retry budget and slow start.

use super::slow_start::ColdCandidate;
use super::Balancer;
use crate::engine_state::EngineState;
use crate::interface::{Class, Effect, Endpoint, PriorAttempt, Scope};
use crate::request_state::PendingRequest;

impl Balancer {
    /// Returns whether all constraints allow an attempt of the request on the engine now.
    pub(super) fn is_send_allowed(&self, pending: &PendingRequest, engine: &EngineState) -> bool {
        let class = &self.settings.classes[pending.request.class];
        // A draining engine isn't open: it gets no new work once the drain is known.
        engine.is_open()
            && may_place(class, &engine.endpoint)
            && !pending.has_ended
            && self.now < pending.end_deadline
            && pending.attempts.len() < self.settings.max_attempts
            && (pending.attempts.is_empty() || self.retry_budget.has_room_for_retry(self.now))
            && self.is_allowed_by_effect(pending, class, engine)
            && self.is_allowed_by_order(pending, class)
            && self.is_allowed_by_slow_start(pending, engine)
    }

    /// Returns whether the request may be attempted again on at least one engine, given the effect
    /// of its class. The window of a keyed class ends 2 ticks early.
    pub(super) fn may_repeat(&self, pending: &PendingRequest) -> bool {
        let class = &self.settings.classes[pending.request.class];
        let first_run = pending.possible_runs().map(|run| run.since).min();
        match class.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => first_run.is_none(),
            Effect::IdempotentWithKey => {
                let margin = 2 * self.settings.tick;
                first_run.is_none_or(|since| self.now + margin < since + class.window)
            }
        }
    }

    /// Returns whether the previous attempts of the request allow another one on this engine: a
    /// keyed request may only be repeated in the scope that recognises its key, and without hedging
    /// only one attempt may be in flight.
    fn is_allowed_by_effect(
        &self,
        pending: &PendingRequest,
        class: &Class,
        engine: &EngineState,
    ) -> bool {
        let endpoint = &engine.endpoint;
        let is_in_scope = |run: PriorAttempt| match class.scope {
            Scope::All => true,
            Scope::Zone => run.zone == endpoint.zone,
            Scope::Cell => run.cell == endpoint.cell,
        };
        let is_keyed = class.effect == Effect::IdempotentWithKey;
        (self.settings.may_hedge || !pending.has_attempt_in_flight())
            && self.may_repeat(pending)
            && (!is_keyed || pending.possible_runs().all(is_in_scope))
    }

    /// Returns whether the order among requests with the same key allows a send. In an ordered
    /// class only the first request of a key may be sent, and its first attempt only after the
    /// key's pause.
    fn is_allowed_by_order(&self, pending: &PendingRequest, class: &Class) -> bool {
        let Some(key) = &pending.request.key else {
            return true;
        };
        if !class.is_ordered {
            return true;
        }
        let may_start = !pending.attempts.is_empty() || !self.key_ordering.is_paused(key, self.now);
        self.key_ordering.is_first(key, pending.request.id) && may_start
    }

    /// Returns whether the engine is warm or its slow-start budget has room for the request.
    fn is_allowed_by_slow_start(&self, pending: &PendingRequest, engine: &EngineState) -> bool {
        if self.now >= engine.cold_until {
            return true;
        }
        let candidate = ColdCandidate {
            request: pending.request.id,
            mean_work: self.class_estimates.mean_work(pending.request.class),
            engine,
            cores: self.kind(engine).cores,
        };
        if self.subsetting.is_share_below_one_query() {
            return self
                .slow_start
                .is_admitted_by_hash(&candidate, &self.traffic);
        }
        let engine_share = self.subsetting.engine_share();
        self.slow_start
            .is_within_share(&candidate, engine_share, self.now)
    }
}

/// Returns whether the settings allow a class on an engine's zone and machine kind.
pub(super) fn may_place(class: &Class, endpoint: &Endpoint) -> bool {
    let is_zone_allowed = match &class.zones_only {
        Some(zones) => zones.contains(&endpoint.zone),
        None => true,
    };
    let is_kind_allowed = match &class.kinds_only {
        Some(kinds) => kinds.contains(&endpoint.kind),
        None => true,
    };
    is_zone_allowed && is_kind_allowed
}
