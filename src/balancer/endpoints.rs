//! Endpoint updates: engines that start, restart, drain or are removed.

use super::constraints::may_place;
use super::Balancer;
use crate::engine_state::EngineState;
use crate::interface::{Endpoint, EngineId, Phase};
use std::collections::BTreeSet;

impl Balancer {
    /// Takes in the complete list: an engine that it lacks is removed.
    pub(super) fn on_endpoint_snapshot(&mut self, endpoints: &[Endpoint]) {
        let present: BTreeSet<EngineId> =
            endpoints.iter().map(|endpoint| endpoint.engine).collect();
        let removed: Vec<Endpoint> = self
            .engines
            .listed()
            .map(|engine| engine.endpoint)
            .filter(|endpoint| !present.contains(&endpoint.engine))
            .collect();
        for endpoint in removed {
            self.engines.update_listing(endpoint, self.now, |engine| {
                engine.is_listed = false;
            });
        }
        self.on_endpoint_changes(endpoints);
    }

    /// Takes in entries that have changed.
    pub(super) fn on_endpoint_changes(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            self.update_endpoint(*endpoint);
        }
        let classes = &self.settings.classes;
        self.engines
            .update_rings(|class, endpoint| may_place(&classes[class], endpoint));
        self.update_subsetting();
    }

    fn update_endpoint(&mut self, endpoint: Endpoint) {
        let warm_at = self.slow_start.warm_at(endpoint.booted_at);
        self.engines.update_listing(endpoint, self.now, |engine| {
            if endpoint.booted_at > engine.endpoint.booted_at {
                reset_restarted(engine, endpoint);
            }
            if endpoint.booted_at > 0 {
                engine.cold_until = engine.cold_until.max(warm_at);
            }
            engine.endpoint = endpoint;
            engine.is_listed = endpoint.phase != Phase::Removed;
        });
    }

    /// Counts the open engines anew.
    pub(super) fn update_subsetting(&mut self) {
        self.subsetting.update(self.engines.open_count());
        let knows_load = self.traffic.arrivals > 0.0 || self.load_estimates.has_reports();
        if !knows_load {
            let share_below_one_query = self.subsetting.share_below_one_query();
            self.load_estimates.assume_start_load(share_below_one_query);
            self.sampling_budget.set_start_probes(share_below_one_query);
        }
    }
}

/// After a restart nothing that was learned of the process before holds, but what is in flight
/// still has to end.
fn reset_restarted(engine: &mut EngineState, endpoint: Endpoint) {
    *engine = EngineState {
        in_flight: std::mem::take(&mut engine.in_flight),
        threads: engine.threads,
        memory_mb: engine.memory_mb,
        ..EngineState::new(endpoint)
    };
}
