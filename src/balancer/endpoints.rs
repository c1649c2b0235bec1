//! Endpoint updates: engines that are added, restarted, draining or removed.

use super::constraints::may_place;
use super::Balancer;
use crate::engine_state::EngineState;
use crate::interface::{Endpoint, EngineId, Phase};
use std::collections::BTreeSet;

impl Balancer {
    /// Processes the complete endpoint list: engines that it doesn't contain are removed.
    pub(super) fn on_endpoint_snapshot(&mut self, endpoints: &[Endpoint]) {
        let snapshot_ids: BTreeSet<EngineId> =
            endpoints.iter().map(|endpoint| endpoint.engine).collect();
        let removed: Vec<Endpoint> = self
            .engines
            .listed()
            .map(|engine| engine.endpoint)
            .filter(|endpoint| !snapshot_ids.contains(&endpoint.engine))
            .collect();
        for endpoint in removed {
            self.engines.update_listing(endpoint, self.now, |engine| {
                engine.is_listed = false;
            });
        }
        self.on_endpoint_changes(endpoints);
    }

    /// Processes changed entries of the endpoint list.
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
        let warm_up_end = self.slow_start.warm_up_end(endpoint.booted_at, self.now);
        self.engines.update_listing(endpoint, self.now, |engine| {
            if endpoint.booted_at > engine.endpoint.booted_at {
                reset_after_restart(engine, endpoint);
            }
            // A repeated listing of the same process must not prolong its warm-up.
            if endpoint.booted_at > 0 && engine.cold_until == 0 {
                engine.cold_until = warm_up_end;
            }
            engine.endpoint = endpoint;
            engine.is_listed = endpoint.phase != Phase::Removed;
        });
    }

    /// Adapts the mode of subsetting to the number of open engines, and, as long as neither a
    /// request nor a load report has arrived, the assumed load of other gateways and the number of
    /// available probes.
    pub(super) fn update_subsetting(&mut self) {
        self.subsetting.update(self.engines.open_count());
        let is_load_known = self.traffic.arrivals > 0.0 || self.load_estimates.has_reports();
        if !is_load_known {
            let is_share_below_one_query = self.subsetting.is_share_below_one_query();
            self.load_estimates
                .assume_start_load(is_share_below_one_query);
            self.sampling_budget
                .set_start_probes(is_share_below_one_query);
        }
    }
}

/// Resets the state of an engine that has restarted: observations of its previous process no longer
/// apply. Attempts in flight stay recorded until they end.
fn reset_after_restart(engine: &mut EngineState, endpoint: Endpoint) {
    *engine = EngineState {
        in_flight: std::mem::take(&mut engine.in_flight),
        threads: engine.threads,
        memory_mb: engine.memory_mb,
        ..EngineState::new(endpoint)
    };
}
