//! The rules on sending, each asked in one place, before every send.

use super::*;

impl Balancer {
    /// All rules on sending, in one place.
    pub(super) fn rules_allow(&self, held: &Held, engine: &Engine) -> bool {
        let class = &self.set.classes[held.req.class];
        // Drains are kept by `open`: from the moment this gateway is told, whatever the grace.
        engine.open()
            && may_place(class, &engine.entry)
            && !held.ended
            && self.now < held.end_by
            && held.attempts.len() < self.set.max_attempts
            && (held.attempts.is_empty() || self.budget_allows_further())
            && self.effect_allows(held, class, engine)
            && self.order_allows(held, class)
            && self.cold_budget_allows(held, engine)
    }

    /// Effects: whether any engine at all may still be sent this.
    pub(super) fn may_repeat(&self, held: &Held) -> bool {
        let class = &self.set.classes[held.req.class];
        let first = held.may_have_run().map(|ran| ran.since).min();
        match class.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => first.is_none(),
            Effect::IdempotentWithKey => {
                first.is_none_or(|at| self.now + 2 * self.set.tick < at + class.window)
            }
        }
    }

    /// Effects: what an earlier attempt may have done decides where a further one may go.
    pub(super) fn effect_allows(&self, held: &Held, class: &Class, engine: &Engine) -> bool {
        let same = |ran: PriorAttempt| match class.scope {
            Scope::All => true,
            Scope::Zone => ran.zone == engine.entry.zone,
            Scope::Cell => ran.cell == engine.entry.cell,
        };
        let out = held.attempts.iter().any(|a| a.state == State::Out);
        (!out || self.set.hedging_allowed)
            && self.may_repeat(held)
            && (class.effect != Effect::IdempotentWithKey || held.may_have_run().all(same))
    }

    /// Order: only the first of its key that is not over, and after the pause that its forerunner
    /// left.
    pub(super) fn order_allows(&self, held: &Held, class: &Class) -> bool {
        let Some(key) = held.req.key.as_ref().filter(|_| class.ordered) else {
            return true;
        };
        let Some((line, rests_until)) = self.keys.get(key) else {
            return false;
        };
        line.front() == Some(&held.req.id)
            && (self.now >= *rests_until || !held.attempts.is_empty())
    }

    pub(super) fn budget_allows_further(&self) -> bool {
        let Some(budget) = self.set.attempt_budget else {
            return true;
        };
        let since = self.now.saturating_sub(budget.span);
        let taken = self
            .traffic
            .taken
            .iter()
            .rev()
            .take_while(|&&at| at > since)
            .count() as f64;
        let further = self
            .traffic
            .further
            .iter()
            .rev()
            .take_while(|&&at| at >= since)
            .count() as f64;
        further + 1.0 <= budget.spare + budget.ratio * taken
    }

    /// Cold engines: this gateway's share of the budget, in usual work of the classes sent.
    pub(super) fn cold_budget_allows(&self, held: &Held, engine: &Engine) -> bool {
        let (usual, window) = (
            self.learned[held.req.class].work,
            self.set.overload_window as f64,
        );
        let capacity = self.set.start_capacity * CAPACITY_BUSY * self.kind(engine).cores;
        let whole = self.set.overload_multiple * capacity * window;
        if self.now >= engine.cold_until {
            return true;
        }
        if self.thin {
            // Less than a query is given by lot, at odds that make the sum of gateways fit, chance
            // included.
            let safe =
                ((CHANCE * CHANCE * usual + 4.0 * whole).sqrt() - CHANCE * usual.sqrt()) / 2.0;
            let asked = self.traffic.work * window / self.traffic.gap.max(1.0) * self.set.peers;
            return chance(held.req.id ^ mix(engine.entry.engine as u64))
                < COLD_MARGIN * safe * safe / asked;
        }
        let since = self.now.saturating_sub(self.set.overload_window);
        let sent: f64 = engine
            .cold_sends
            .iter()
            .filter(|(at, ..)| *at >= since)
            .map(|(_, work, _)| work)
            .sum();
        sent + usual <= COLD_MARGIN * whole * self.share
    }
}

/// Placement, also when all allowed engines are down or full.
pub(super) fn may_place(class: &Class, entry: &Endpoint) -> bool {
    class
        .zones_only
        .as_ref()
        .is_none_or(|zones| zones.contains(&entry.zone))
        && class
            .kinds_only
            .as_ref()
            .is_none_or(|kinds| kinds.contains(&entry.kind))
}
