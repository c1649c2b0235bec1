//! What the gateway exchanges with its peers beside intents: drains of engines, shared probes and
//! events for the event log. Without a fleet all of it is empty.

use eideryard::interface::{EngineId, LoadReport, Micros};
use eideryard_event_log::FleetEvent;
use eideryard_replication::drains::Drain;

use super::IntentDurability;
use crate::replication::ReplicationDriver;

/// What shared probes ask of the gateway.
#[derive(Default)]
pub struct ProbeWork {
    /// Engines that this gateway is to probe now on behalf of all.
    pub due_engines: Vec<EngineId>,
    /// Reports of engines that other gateways probed.
    pub reports: Vec<(EngineId, LoadReport)>,
}

impl IntentDurability {
    /// The replication driver, in a fleet.
    pub fn replication(&self) -> Option<&ReplicationDriver> {
        self.replication.as_deref()
    }

    /// What peers' endpoint lists say of engines, since the last call.
    pub fn take_drains(&mut self) -> Vec<Drain> {
        match &mut self.replication {
            Some(replication) => replication.take_drains(),
            None => Vec::new(),
        }
    }

    /// Tells peers what this gateway's own endpoint list says of engines.
    pub fn publish_drains(&mut self, now: Micros, drains: Vec<Drain>) {
        if drains.is_empty() {
            return;
        }
        if let (Some(replication), Some(worker)) = (&mut self.replication, &mut self.worker) {
            replication.publish_drains(now, drains, worker);
        }
    }

    /// A peer's newer endpoint list that closes an engine which this gateway's own list allows.
    pub fn binding_drain(
        &self,
        engine: EngineId,
        booted_at: Micros,
        list_number: u64,
    ) -> Option<Drain> {
        let replication = self.replication.as_ref()?;
        replication.binding_drain(engine, booted_at, list_number)
    }

    /// Probes that are due here, and reports of other gateways' probes since the last call.
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

    /// A report recent enough to replace a probe of this gateway's own.
    pub fn recent_report(&mut self, now: Micros, engine: EngineId) -> Option<LoadReport> {
        let leases = self.replication.as_mut()?.leases_mut()?;
        leases.recent_report(now, engine)
    }

    /// An engine has answered a probe of this gateway.
    pub fn publish_report(&mut self, now: Micros, engine: EngineId, report: &LoadReport) {
        if let (Some(replication), Some(worker)) = (&mut self.replication, &mut self.worker) {
            replication.run_leases(|leases| leases.publish_report(now, engine, report, worker));
        }
    }

    /// The endpoint list has changed: this gateway may own the probing of the engines in it.
    pub fn update_lease_tasks(&mut self, now: Micros) {
        let replication = self.replication.as_mut();
        if let Some(leases) = replication.and_then(|replication| replication.leases_mut()) {
            leases.set_engines(now, self.engine_locations.keys().copied());
        }
    }

    /// The gateway shuts down: others need not wait for its leases to expire.
    pub fn release_leases(&mut self, now: Micros) {
        if let (Some(replication), Some(worker)) = (&mut self.replication, &mut self.worker) {
            replication.run_leases(|leases| leases.stop(now, worker));
            replication.flush();
        }
    }

    /// Sends the messages to peers that were queued since.
    pub fn flush(&mut self) {
        if let Some(replication) = &mut self.replication {
            replication.flush();
        }
    }

    /// Events for the event log since the last call.
    pub fn take_fleet_events(&mut self) -> Vec<FleetEvent> {
        match &mut self.replication {
            Some(replication) => replication.take_events(),
            None => Vec::new(),
        }
    }

    /// All that the event log knows of the fleet, for the beginning of a segment.
    pub fn fleet_state(&self) -> Vec<FleetEvent> {
        match &self.replication {
            Some(replication) => replication.state_events(),
            None => Vec::new(),
        }
    }
}
