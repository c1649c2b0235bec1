//! Load shedding: when a queued request would miss its objective, those worth least per work are
//! refused until the others are in time (Moore and Hodgson's rule, weighted).

use super::Balancer;
use crate::engine_state::EngineState;
use crate::interface::{Micros, RequestId};
use crate::request_state::PendingRequest;
use std::collections::BTreeMap;

/// Part of the objective by which a queue may run late before something is shed.
const LATENESS_MARGIN: f64 = 0.1;
/// Least rate of work that is assumed, in threads.
const MIN_SERVICE_RATE: f64 = 0.05;
/// Least advice on when to retry, as a part of the longest; the rest is drawn at random.
const MIN_RETRY_AFTER: f64 = 0.5;

/// Requests to refuse so that the others of a queue, given in its order, meet their objectives at
/// `service_rate`, in work a microsecond.
fn select_victims<'a>(
    queue: impl Iterator<Item = &'a PendingRequest>,
    service_rate: f64,
    now: Micros,
) -> Vec<RequestId> {
    let mut victims = Vec::new();
    let mut work_ahead = 0.0;
    // By weight per work, a positive figure, whose bits sort as it does.
    let mut remaining: BTreeMap<(u64, RequestId), f64> = BTreeMap::new();
    for pending in queue {
        let objective = pending.objective_deadline;
        let margin = LATENESS_MARGIN * objective.saturating_sub(now) as f64;
        let latest = objective as f64 + margin;
        work_ahead += pending.work;
        let weight_per_work = pending.priority_weight / pending.work.max(1.0);
        let key = (weight_per_work.to_bits(), pending.request.id);
        remaining.insert(key, pending.work);
        while remaining.contains_key(&key)
            && now as f64 + work_ahead / service_rate + pending.ideal_duration > latest
        {
            let Some(((_, victim), work)) = remaining.pop_first() else {
                break;
            };
            work_ahead -= work;
            victims.push(victim);
        }
    }
    victims
}

impl Balancer {
    /// Refuses queued requests that can't all meet their objectives.
    pub(super) fn shed_load(&mut self) {
        let service_rate = self.service_rate();
        let queue = self.queue.ids().map(|id| &self.requests[&id]);
        let victims = select_victims(queue, service_rate, self.now);
        for id in victims {
            let part = MIN_RETRY_AFTER + (1.0 - MIN_RETRY_AFTER) * self.rng.f64();
            let retry_after = (self.settings.max_retry_after as f64 * part) as Micros;
            self.end_request(id, retry_after);
        }
    }

    /// Work a microsecond that this gateway's share of the engines does, without the quarantined.
    fn service_rate(&self) -> f64 {
        let peers = self.settings.peers;
        let is_shut_out =
            |engine: &EngineState| engine.probation_left > 0 && self.now < engine.quarantined_until;
        let share = |engine: &EngineState| self.warm_cores(engine) / peers;
        let active: f64 = self
            .engines
            .active()
            .filter(|engine| engine.is_open() && !is_shut_out(engine))
            .map(|engine| engine.threads.max(share(engine)) / engine.capacity_slowdown())
            .sum();
        (active + self.engines.resting_cores() / peers).max(MIN_SERVICE_RATE)
    }
}
