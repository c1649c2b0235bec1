//! The only place that sends, with the grant and the rank that go before it.

use super::*;

impl Balancer {
    /// The only place that sends.
    pub(super) fn send(&mut self, id: RequestId, engine_id: EngineId) {
        let (held, engine) = (&self.requests[&id], &self.engines[&engine_id]);
        if !self.rules_allow(held, engine) {
            return;
        }
        let class = held.req.class;
        let memory = if self.is_dashboard(class) {
            held.memory
        } else {
            self.charged_memory(held, engine)
        };
        let (threads, group) = (self.set.classes[class].threads, held.req.group);
        let (ideal, sent_at) = (held.ideal, self.now);
        let charge = Charge {
            class,
            group,
            memory,
            threads,
            ideal,
            sent_at,
            waited: false,
            noted: None,
        };
        let grant = self.grant(held, engine);
        let (entry, state, attempt) = (engine.entry, State::Out, held.attempts.len());
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return;
        };
        engine.last_heard = if engine.out.is_empty() {
            self.now
        } else {
            engine.last_heard
        };
        engine.out.insert((id, attempt), charge);
        engine.tally();
        self.count_sent(
            id,
            Attempt {
                entry,
                sent_at,
                state,
                cancelled: false,
                erred: false,
            },
        );
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        self.queue.remove(&(held.due, id));
        (held.grant, held.rank) = (grant, None);
        let give_up_at = held.end_by;
        self.rerank(engine_id);
        self.actions.push(Action::Send {
            request: id,
            engine: engine_id,
            attempt_deadline: give_up_at,
        });
    }

    /// Asked when the first byte of an attempt is let go: what held when it was sent may hold no
    /// more. False: it is withdrawn, to end as never sent.
    pub fn may_begin(&mut self, now: Micros, id: RequestId, attempt: usize) -> bool {
        self.now = now;
        let last = self
            .requests
            .get_mut(&id)
            .filter(|held| held.attempts.len() == attempt + 1);
        let Some(mut tried) = last.and_then(|held| held.attempts.pop()) else {
            return false;
        };
        self.uncount_sent(id, attempt, &tried);
        let (held, engine) = (&self.requests[&id], self.engines.get(&tried.entry.engine));
        let same = engine.filter(|own| own.entry.booted_at == tried.entry.booted_at);
        let goes = !tried.cancelled && same.is_some_and(|engine| self.rules_allow(held, engine));
        tried.sent_at = now;
        self.count_sent(id, tried);
        goes
    }

    /// Budgets count an attempt from its first byte on, as far as the host tells of that.
    fn count_sent(&mut self, id: RequestId, tried: Attempt) {
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        let cold = self
            .engines
            .get_mut(&tried.entry.engine)
            .filter(|own| self.now < own.cold_until);
        let usual = self.learned[held.req.class].work;
        for own in cold.into_iter() {
            own.cold_sends.push_back((tried.sent_at, usual, id));
        }
        self.traffic
            .further
            .extend((!held.attempts.is_empty()).then_some(tried.sent_at));
        held.attempts.push(tried);
    }

    pub(super) fn uncount_sent(&mut self, id: RequestId, attempt: usize, tried: &Attempt) {
        self.traffic.uncount_further(attempt, tried.sent_at);
        self.engines
            .get_mut(&tried.entry.engine)
            .into_iter()
            .for_each(|own| own.uncount(id, tried.sent_at));
    }

    /// A quarter over the corrected estimate, never under the engine's default, within the largest
    /// grant.
    pub(super) fn grant(&self, held: &Held, engine: &Engine) -> f64 {
        let estimate = held.memory.max(held.req.memory_mb.unwrap_or(0.0));
        (GRANT_MARGIN * estimate).min(self.set.largest_share * self.kind(engine).memory_mb)
    }

    /// Largest report or load on the engine at 2, next 1, others 0; dashboards at 3. Told where it
    /// changes.
    pub(super) fn rerank(&mut self, engine_id: EngineId) {
        let Some(engine) = self.engines.get(&engine_id) else {
            return;
        };
        let mut sized: Vec<(f64, RequestId, usize)> = engine
            .out
            .iter()
            .map(|(&(id, _), charge)| (charge.memory, id, charge.class))
            .collect();
        sized.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut next = TOP_RANK;
        for (_, id, class) in sized {
            let dashboard = self.is_dashboard(class);
            let rank = if dashboard { TOP_RANK + 1 } else { next };
            next = if dashboard {
                next
            } else {
                next.saturating_sub(1)
            };
            let Some(held) = self.requests.get_mut(&id) else {
                continue;
            };
            if held.rank != Some(rank) && !held.ended {
                held.rank = Some(rank);
                self.actions.push(Action::Grant {
                    request: id,
                    grant_mb: held.grant,
                    rank,
                });
            }
        }
    }
}
