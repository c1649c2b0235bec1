//! The only place that sends, with the grant and the rank that go before it.

use super::*;

impl Gateway {
    /// The only place that sends.
    pub(super) fn send(&mut self, id: RequestId, engine_id: EngineId) {
        let (held, engine) = (&self.requests[&id], &self.engines[&engine_id]);
        if !self.rules_allow(held, engine) {
            return;
        }
        let class = held.req.class;
        let memory = if self.is_dashboard(class) { held.memory } else { self.charged_memory(held, engine) };
        let (threads, group) = (self.set.classes[class].threads, held.req.group);
        let (ideal, sent_at) = (held.ideal, self.now);
        let charge = Charge { class, group, memory, threads, ideal, sent_at, waited: false, noted: None };
        let grant = self.grant(held, engine);
        let usual = self.learned[class].work;
        let Some(engine) = self.engines.get_mut(&engine_id) else { return };
        let Some(held) = self.requests.get_mut(&id) else { return };
        if !held.attempts.is_empty() {
            self.traffic.further.push_back(self.now);
        }
        if self.now < engine.cold_until {
            engine.cold_sends.push_back((self.now, usual));
        }
        if engine.out.is_empty() {
            engine.last_heard = self.now;
        }
        engine.out.insert((id, held.attempts.len()), charge);
        engine.tally();
        let (entry, state) = (engine.entry, State::Out);
        held.attempts.push(Attempt { entry, sent_at, state, cancelled: false, erred: false });
        self.queue.remove(&(held.due, id));
        (held.grant, held.rank) = (grant, None);
        let give_up_at = held.end_by;
        self.rerank(engine_id);
        self.actions.push(Action::Send { request: id, engine: engine_id, give_up_at });
    }

    /// A quarter over the corrected estimate, never under the engine's default, within the largest grant.
    pub(super) fn grant(&self, held: &Held, engine: &Engine) -> f64 {
        let estimate = held.memory.max(held.req.memory_mb.unwrap_or(0.0));
        (GRANT_MARGIN * estimate).min(self.set.largest_share * self.kind(engine).memory_mb)
    }

    /// Largest report or load on the engine at 2, next 1, others 0; dashboards at 3. Told where it changes.
    pub(super) fn rerank(&mut self, engine_id: EngineId) {
        let Some(engine) = self.engines.get(&engine_id) else { return };
        let mut sized: Vec<(f64, RequestId, usize)> =
            engine.out.iter().map(|(&(id, _), charge)| (charge.memory, id, charge.class)).collect();
        sized.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut next = TOP_RANK;
        for (_, id, class) in sized {
            let dashboard = self.is_dashboard(class);
            let rank = if dashboard { TOP_RANK + 1 } else { next };
            next = if dashboard { next } else { next.saturating_sub(1) };
            let Some(held) = self.requests.get_mut(&id) else { continue };
            if held.rank != Some(rank) && !held.ended {
                held.rank = Some(rank);
                self.actions.push(Action::Terms { request: id, grant_mb: held.grant, rank });
            }
        }
    }
}
