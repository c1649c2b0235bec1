//! Data other than intents that the gateway exchanges with its peers: drains of engines, shared
//! probes and events for the event log. Without a fleet all functions do nothing or return nothing.

use eideryard::interface::{EngineId, LoadReport, Micros};
use eideryard_event_log::FleetEvent;
use eideryard_replication::drains::Drain;

use super::IntentDurability;
use crate::replication::ReplicationDriver;

/// Work for this gateway that results from shared probing.
#[derive(Default)]
pub struct ProbeWork {
    /// Engines that this gateway has to probe now on behalf of the whole fleet.
    pub due_engines: Vec<EngineId>,
    /// Load reports of engines that other gateways have probed.
    pub reports: Vec<(EngineId, LoadReport)>,
}

impl IntentDurability {
    /// Returns the replication driver; `None` without a fleet or without a usable store.
    pub fn replication(&self) -> Option<&ReplicationDriver> {
        self.replication.as_deref()
    }

    /// Takes the drains of engines that peers have reported since the last call.
    pub fn take_drains(&mut self) -> Vec<Drain> {
        match &mut self.replication {
            Some(replication) => replication.take_drains(),
            None => Vec::new(),
        }
    }

    /// Reports engines that are draining or removed in this gateway's own endpoint list to peers.
    pub fn publish_drains(&mut self, now: Micros, drains: Vec<Drain>) {
        if drains.is_empty() {
            return;
        }
        if let (Some(replication), Some(worker)) = (&mut self.replication, &mut self.worker) {
            replication.publish_drains(now, drains, worker);
        }
    }

    /// Returns the drain of an engine that a peer has reported from an endpoint list newer than
    /// this gateway's own list, whose sequence number is `list_number`; `None` if there is no such
    /// drain.
    pub fn overriding_drain(
        &self,
        engine: EngineId,
        booted_at: Micros,
        list_number: u64,
    ) -> Option<Drain> {
        let replication = self.replication.as_ref()?;
        replication.overriding_drain(engine, booted_at, list_number)
    }

    /// Takes the probes that this gateway has to send now, and the reports from other gateways'
    /// probes since the last call.
    pub fn take_probe_work(&mut self, now: Micros) -> ProbeWork {
        let replication = self.replication.as_mut();
        let Some(leases) = replication.and_then(|replication| replication.leases_mut()) else {
            return ProbeWork::default();
        };
        ProbeWork {
            due_engines: leases.take_due_probes(now),
            reports: leases.take_fresh_reports(),
        }
    }

    /// Returns a peer's load report on an engine that is recent enough to replace a probe by this
    /// gateway.
    pub fn recent_report(&mut self, now: Micros, engine: EngineId) -> Option<LoadReport> {
        let leases = self.replication.as_mut()?.leases_mut()?;
        leases.recent_report(now, engine)
    }

    /// Publishes an engine's answer to a probe from this gateway, if this gateway holds the lease
    /// for probing that engine.
    pub fn publish_report(&mut self, now: Micros, engine: EngineId, report: &LoadReport) {
        if let (Some(replication), Some(worker)) = (&mut self.replication, &mut self.worker) {
            replication.run_leases(|leases| leases.publish_report(now, engine, report, worker));
        }
    }

    /// Makes this gateway a candidate for the probing leases of all engines in the endpoint list.
    /// Called when the list has changed.
    pub fn update_lease_tasks(&mut self, now: Micros) {
        let replication = self.replication.as_mut();
        if let Some(leases) = replication.and_then(|replication| replication.leases_mut()) {
            leases.set_engines(now, self.engine_locations.keys().copied());
        }
    }

    /// Releases all leases at shutdown, so that other gateways need not wait for their expiry.
    pub fn release_leases(&mut self, now: Micros) {
        if let (Some(replication), Some(worker)) = (&mut self.replication, &mut self.worker) {
            replication.run_leases(|leases| leases.stop(now, worker));
            replication.flush();
        }
    }

    /// Sends the queued messages to peers.
    pub fn flush(&mut self) {
        if let Some(replication) = &mut self.replication {
            replication.flush();
        }
    }

    /// Takes the events for the event log since the last call.
    pub fn take_fleet_events(&mut self) -> Vec<FleetEvent> {
        match &mut self.replication {
            Some(replication) => replication.take_events(),
            None => Vec::new(),
        }
    }

    /// Returns the current state of the fleet as events, which are recorded at the beginning of
    /// each segment of the event log.
    pub fn fleet_state(&self) -> Vec<FleetEvent> {
        match &self.replication {
            Some(replication) => replication.state_events(),
            None => Vec::new(),
        }
    }
}
