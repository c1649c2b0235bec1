//! Load shedding: if a queued request would miss its latency objective, the requests with the
//! lowest weight per work are refused until the others are expected to be in time (a weighted form
//! of the Moore-Hodgson algorithm).

use super::Balancer;
use crate::engine_state::EngineState;
use crate::interface::{Micros, RequestId};
use crate::request_state::PendingRequest;
use std::collections::BTreeMap;

/// Expected lateness above which a request is shed, as a fraction of the time left until its
/// objective.
const LATENESS_MARGIN: f64 = 0.1;
/// Lower limit on the service rate, in threads.
const MIN_SERVICE_RATE: f64 = 0.05;
/// Shortest retry-after hint in a refusal, as a fraction of the longest. The hint is drawn at
/// random between the two.
const MIN_RETRY_AFTER: f64 = 0.5;

/// Selects the requests to refuse so that the other requests in the queue meet their objectives.
/// `queue` is ordered by objective; `service_rate` is the work done per microsecond.
fn select_victims<'a>(
    queue: impl Iterator<Item = &'a PendingRequest>,
    service_rate: f64,
    now: Micros,
) -> Vec<RequestId> {
    let mut victims = Vec::new();
    let mut work_ahead = 0.0;
    // Ordered by weight per work, which is positive: the bits of positive floats sort like their
    // values.
    let mut remaining: BTreeMap<(u64, RequestId), f64> = BTreeMap::new();
    for pending in queue {
        let objective = pending.objective_deadline;
        let margin = LATENESS_MARGIN * objective.saturating_sub(now) as f64;
        let latest_end = objective as f64 + margin;
        work_ahead += pending.work;
        let weight_per_work = pending.priority_weight / pending.work.max(1.0);
        let key = (weight_per_work.to_bits(), pending.request.id);
        remaining.insert(key, pending.work);
        while remaining.contains_key(&key)
            && now as f64 + work_ahead / service_rate + pending.ideal_duration > latest_end
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
    /// Refuses queued requests until the others are expected to meet their objectives.
    pub(super) fn shed_load(&mut self) {
        let service_rate = self.service_rate();
        let queue = self.queue.ids().map(|id| &self.requests[&id]);
        let victims = select_victims(queue, service_rate, self.now);
        for id in victims {
            let fraction = MIN_RETRY_AFTER + (1.0 - MIN_RETRY_AFTER) * self.rng.f64();
            let retry_after = (self.settings.max_retry_after as f64 * fraction) as Micros;
            self.end_request(id, retry_after);
        }
    }

    /// Returns the work per microsecond that this gateway's share of the engines performs, not
    /// counting engines in quarantine.
    fn service_rate(&self) -> f64 {
        let peers = self.settings.peers;
        let is_quarantined =
            |engine: &EngineState| engine.probation_left > 0 && self.now < engine.quarantined_until;
        let core_share = |engine: &EngineState| self.warm_cores(engine) / peers;
        let active_rate: f64 = self
            .engines
            .active()
            .filter(|engine| engine.is_open() && !is_quarantined(engine))
            .map(|engine| engine.threads.max(core_share(engine)) / engine.capacity_slowdown())
            .sum();
        (active_rate + self.engines.resting_cores() / peers).max(MIN_SERVICE_RATE)
    }
}
