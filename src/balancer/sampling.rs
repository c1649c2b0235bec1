//! The few engines that a request is placed among where shares are thin, and the probes that this
//! takes.

use super::*;

impl Balancer {
    /// Draws the few engines that a request is placed among, and probes those with no fresh report.
    /// Reports are late, so the best engine by them would draw every gateway at once: choice among
    /// few bounds that.
    pub(super) fn draw(&mut self, id: RequestId) {
        if !self.thin {
            return;
        }
        let lots = [(); ASKED].map(|_| self.rng.f64());
        let held = &self.requests[&id];
        let (mut order, homes) = self.homes(held);
        let away = self.keeps_away(held.req.class);
        order.drain(
            ..if away && order.len() > homes {
                homes
            } else {
                0
            },
        );
        let able = |e: &Engine| self.rules_allow(held, e) && self.may_take(held, e);
        order.retain(|id| able(&self.engines[id]));
        let (mut asked, first) = (Vec::new(), held.asked_at == 0);
        for (turn, lot) in lots.into_iter().enumerate().take(order.len()) {
            // Once the homes had no room the last one is any engine.
            let near = !away && (first || turn + 1 < ASKED);
            let among = if near {
                (homes - turn.min(homes - 1)).min(order.len())
            } else {
                order.len()
            };
            asked.push(order.remove((lot * among as f64) as usize));
        }
        for id in &asked {
            let fresh = (self.now - self.engines[id].reported_at) as f64 <= FRESH * self.latency;
            let wanted = !fresh && self.traffic.probes >= 1.0;
            let may_ask = |e: &&mut Engine| self.set.may_probe && wanted && e.asked_at == 0;
            let Some(engine) = self.engines.get_mut(id).filter(may_ask) else {
                continue;
            };
            engine.asked_at = self.now;
            self.traffic.probes -= 1.0;
            self.actions.push(Action::Probe { engine: *id });
        }
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        (held.asked, held.asked_at) = (asked, self.now);
    }

    /// Held requests are drawn for again, earliest due first, at a rate that follows arrivals:
    /// reports are late, and a backlog that looks at every one would rush as one into the first
    /// engine that shows room.
    pub(super) fn draw_again(&mut self) {
        let idle = |id: &RequestId| !self.waits_for_reports(&self.requests[id]);
        let due: Vec<RequestId> = self.queue.keys().map(|&(_, id)| id).filter(idle).collect();
        for id in due.into_iter().take(self.traffic.redraws as usize) {
            self.traffic.redraws -= 1.0;
            self.draw(id);
        }
    }

    pub(super) fn waits_for_reports(&self, held: &Held) -> bool {
        let asked = |id| self.engines.get(id).is_some_and(|e| e.asked_at > 0);
        self.now <= held.asked_at + BEAT_TICKS * self.set.tick && held.asked.iter().any(asked)
    }

    /// Whether a request may be placed now; where shares are thin it has its engines, and they were
    /// heard.
    pub(super) fn is_drawn(&self, held: &Held) -> bool {
        !self.thin || !held.asked.is_empty() && !self.waits_for_reports(held)
    }
}
