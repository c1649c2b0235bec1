//! Which engine of those with room: homes of a group, price, health, loads that hold a group.

use super::*;

impl Balancer {
    /// The engine with the least expected cost among those that may take the request now.
    pub(super) fn choose(&self, id: RequestId) -> Option<EngineId> {
        let held = Some(&self.requests[&id]).filter(|held| self.is_drawn(held))?;
        if self.thin && !self.pool_has_room(held) {
            return None;
        }
        let (order, homes) = self.homes(held);
        // An engine that erred on it isn't asked for it again while there are others.
        let erred = |id: &EngineId| held.erred_at().any(|other| other == *id);
        let others = order.iter().any(|id| !erred(id));
        let among = if self.thin { &held.asked } else { &order };
        let able =
            |e: &Engine| e.asked_at == 0 && self.rules_allow(held, e) && self.has_room(held, e);
        let known = among
            .iter()
            .filter(|&id| !(others && erred(id)))
            .filter_map(|id| self.engines.get(id));
        let priced = known
            .filter(|e| able(e))
            .map(|e| (self.cost(held, e, &order[..homes]), e.entry.engine));
        priced
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, id)| id)
    }

    /// All open engines, highest hash of group and engine first, and how many of them are home to
    /// the group: every gateway finds the same without talking. Where shares are thin, a hot group
    /// has more homes.
    pub(super) fn homes(&self, held: &Held) -> (Vec<EngineId>, usize) {
        let (group, class) = (held.req.group, held.req.class);
        let mut order: Vec<_> = self
            .subset(class)
            .map(|(hash, id)| (mix(group ^ hash), id))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        let seen =
            GROUP_MEMORY * (1.0 + GROUP_PRIOR - (-self.traffic.arrivals / GROUP_MEMORY).exp());
        let part = self
            .traffic
            .groups
            .get(&group)
            .map_or(0.0, |(count, _)| count / seen);
        let hot = if self.thin {
            part * order.len() as f64 * HOT_SPREAD
        } else {
            0.0
        };
        let homes = (hot as usize).max(HOMES).min(order.len());
        (order.into_iter().map(|(_, id)| id).collect(), homes)
    }

    pub(super) fn cost(&self, held: &Held, engine: &Engine, homes: &[EngineId]) -> f64 {
        let class = &self.set.classes[held.req.class];
        let cores = self.kind(engine).cores * self.warmth(engine);
        let crowd = (engine.threads + self.others(engine) + class.threads) / cores;
        let mut cost = held.ideal
            * (0.5 + crowd)
            * if self.thin {
                1.0
            } else {
                engine.slowdown / engine.best_slowdown
            };
        if homes.contains(&engine.entry.engine) != self.keeps_away(held.req.class) {
            cost *= 1.0 - HOME_GAIN;
        }
        if engine.entry.zone != self.set.zone {
            cost *= 1.0 + CROSSING * self.set.cross_zone_tariff;
        }
        // An engine on probation is tried at once: nothing else would tell that it is well again.
        let good = (1.0 - engine.bad) * (1.0 - BAD_WEIGHT).powi(engine.doubts);
        cost * if engine.probation > 0 {
            0.0
        } else {
            1.0 / good.max(LEARN)
        }
    }

    /// Not in quarantine; on probation an engine gets one safe request at a time.
    pub(super) fn may_take(&self, held: &Held, engine: &Engine) -> bool {
        let safe = self.set.classes[held.req.class].effect == Effect::Idempotent;
        let well = engine.probation == 0 || safe && engine.out.is_empty();
        self.now >= engine.quarantined_until && well && !self.load_holds(held, engine)
    }

    /// Whether a load holds the group there, this gateway's own or one that a note told of lately:
    /// what would only stand still there, keeping its memory, may as well leave later or go
    /// elsewhere.
    pub(super) fn load_holds(&self, held: &Held, engine: &Engine) -> bool {
        let own = |c: &Charge| c.group == held.req.group && self.set.classes[c.class].is_load;
        let held_back =
            engine.loading.contains_key(&held.req.group) || engine.out.values().any(own);
        held_back && self.concerned(held.req.class)
    }

    pub(super) fn concerned(&self, class: usize) -> bool {
        self.set.classes[class].is_load || self.set.classes[class].waits_for_load
    }

    /// A load would stop the reading of its group where that is read, so it keeps away from the
    /// homes.
    pub(super) fn keeps_away(&self, class: usize) -> bool {
        self.set.classes[class].is_load
            && self
                .set
                .classes
                .iter()
                .any(|c| c.waits_for_load && !c.is_load)
    }
}
