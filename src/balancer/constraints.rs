//! The rules on sending, checked before every send: placement, effects, order, budgets.

use super::slow_start::ColdCandidate;
use super::Balancer;
use crate::engine_state::EngineState;
use crate::interface::{Class, Effect, Endpoint, PriorAttempt, Scope};
use crate::request_state::PendingRequest;

impl Balancer {
    /// Whether all rules allow an attempt of the request on the engine now.
    pub(super) fn rules_allow(&self, pending: &PendingRequest, engine: &EngineState) -> bool {
        let class = &self.settings.classes[pending.request.class];
        // A draining engine isn't open: drains are kept from the moment they are known.
        engine.is_open()
            && may_place(class, &engine.endpoint)
            && !pending.has_ended
            && self.now < pending.end_deadline
            && pending.attempts.len() < self.settings.max_attempts
            && (pending.attempts.is_empty() || self.retry_budget.allows_retry(self.now))
            && self.effect_allows(pending, class, engine)
            && self.order_allows(pending, class)
            && self.slow_start_allows(pending, engine)
    }

    /// Whether the request's effect allows another attempt on any engine at all.
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

    /// What an earlier attempt may have done decides where another one may go.
    fn effect_allows(&self, pending: &PendingRequest, class: &Class, engine: &EngineState) -> bool {
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

    /// Of an ordered class only the first request of its key may be sent, and after the pause that
    /// the one before left.
    fn order_allows(&self, pending: &PendingRequest, class: &Class) -> bool {
        let Some(key) = &pending.request.key else {
            return true;
        };
        if !class.is_ordered {
            return true;
        }
        let may_start = !pending.attempts.is_empty() || !self.key_ordering.is_paused(key, self.now);
        self.key_ordering.is_first(key, pending.request.id) && may_start
    }

    /// Whether a cold engine's budget has room.
    fn slow_start_allows(&self, pending: &PendingRequest, engine: &EngineState) -> bool {
        if self.now >= engine.cold_until {
            return true;
        }
        let candidate = ColdCandidate {
            request: pending.request.id,
            usual_work: self.class_estimates.mean_work(pending.request.class),
            engine,
            cores: self.kind(engine).cores,
        };
        if self.subsetting.share_below_one_query() {
            return self
                .slow_start
                .is_admitted_by_lot(&candidate, &self.traffic);
        }
        let engine_share = self.subsetting.engine_share();
        self.slow_start
            .fits_share(&candidate, engine_share, self.now)
    }
}

/// Whether a class may use an engine, by zones and machine kinds.
pub(super) fn may_place(class: &Class, endpoint: &Endpoint) -> bool {
    let allows_zone = match &class.zones_only {
        Some(zones) => zones.contains(&endpoint.zone),
        None => true,
    };
    let allows_kind = match &class.kinds_only {
        Some(kinds) => kinds.contains(&endpoint.kind),
        None => true,
    };
    allows_zone && allows_kind
}
