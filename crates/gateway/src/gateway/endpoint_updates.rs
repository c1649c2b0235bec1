//! Applies changes of the endpoint list, as reported by service discovery and by peers, to the
//! balancer and to the connections.

use std::collections::BTreeSet;

use eideryard::interface::{Endpoint, EngineId, Event, Micros, Phase};
use eideryard_discovery::{DiscoveredEngine, DiscoveryEvent, EngineHealth};
use eideryard_event_log::{HostEvent, ListedEngine};
use eideryard_replication::drains::Drain;

use super::Gateway;
use crate::engines::parse_address;
use crate::requests::index_of;
use crate::shutdown::Phase as ShutdownPhase;

const MICROS_PER_MS: Micros = 1000;
/// Constants of the 32-bit FNV-1a hash, from which engine IDs are derived.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

impl Gateway {
    /// Reads from the connection to service discovery and handles complete items. Returns whether
    /// there may be more to read.
    pub(super) fn read_discovery(&mut self) -> bool {
        let mut items = Vec::new();
        let before = self.discovery_state();
        let may_have_more = self.discovery.read(
            self.clock.now(),
            &mut self.deadlines,
            &mut self.counters,
            &mut items,
        );
        self.record_discovery_changes(&before, &items);
        for item in items {
            self.handle_discovery_item(item);
        }
        may_have_more
    }

    /// Applies an item from service discovery: a list of changed engines, or of all engines.
    pub(super) fn handle_discovery_item(&mut self, item: DiscoveryEvent) {
        let Some(roster) = item.update else { return };
        let mut endpoints: Vec<Endpoint> = roster
            .engines
            .iter()
            .map(|discovered| self.build_endpoint(discovered))
            .collect();
        self.exchange_drains(item.number, &mut endpoints);
        for (endpoint, discovered) in endpoints.iter().zip(&roster.engines) {
            self.update_endpoint(endpoint, discovered);
        }
        if roster.is_snapshot {
            self.remove_unlisted(&endpoints);
        }
        let has_removed = endpoints
            .iter()
            .any(|endpoint| endpoint.phase == Phase::Removed);
        let event = if roster.is_snapshot {
            Event::EndpointSnapshot(endpoints)
        } else {
            Event::EndpointChanges(endpoints)
        };
        // The balancer gets the update before the outcomes of attempts that the update ended.
        self.events.push_back(event);
        self.handle_engine_events();
        let is_serving = self.shutdown.phase() == ShutdownPhase::Serving;
        self.clients.is_healthy |= is_serving && !self.engine_names.is_empty();
        if roster.is_snapshot || has_removed {
            self.forget_removed_engines();
        }
        if let Some(intent_durability) = &mut self.intent_durability {
            intent_durability.update_lease_tasks(self.clock.now());
        }
    }

    /// Applies the update of one engine to all components except the balancer.
    fn update_endpoint(&mut self, endpoint: &Endpoint, discovered: &DiscoveredEngine) {
        let address = match endpoint.phase {
            Phase::Removed => None,
            _ => parse_address(&discovered.address)
                .inspect_err(|e| tracing::warn!("engine {}: {e}; unreachable", discovered.name))
                .ok(),
        };
        self.record_endpoint(endpoint, discovered);
        if let Some(intent_durability) = &mut self.intent_durability {
            self.last_endpoints.insert(endpoint.engine, *endpoint);
            intent_durability.set_location(endpoint.engine, endpoint.zone, endpoint.cell);
        }
        self.with_engines(|engines, context| {
            engines.update_endpoint(endpoint.engine, address, endpoint.booted_at, context);
        });
    }

    /// Removes all engines that are missing from a complete endpoint list.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<EngineId> = endpoints.iter().map(|endpoint| endpoint.engine).collect();
        for engine in self.engines.ids() {
            if !listed.contains(&engine) {
                self.with_engines(|engines, context| engines.remove_endpoint(engine, context));
            }
        }
    }

    /// Drops what is stored about engines that no longer exist and have no connection. Engines with
    /// new names appear all day, so these tables would otherwise grow without limit. Only updates
    /// that remove an engine call this; other updates need no scan of all names.
    fn forget_removed_engines(&mut self) {
        let engines = &self.engines;
        self.engine_names
            .retain(|&engine, _| engines.contains(engine));
        self.last_listed
            .retain(|&engine, _| engines.contains(engine));
        self.last_endpoints
            .retain(|&engine, _| engines.contains(engine));
        if let Some(intent_durability) = &mut self.intent_durability {
            intent_durability.retain_engines(|engine| engines.contains(engine));
        }
    }

    /// Reports to peers which engines are not ready. Marks engines as draining if a peer with a
    /// newer endpoint list has reported that they drain. `number` is the sequence number of the
    /// discovery event that contained this list.
    fn exchange_drains(&mut self, number: u64, endpoints: &mut [Endpoint]) {
        let now = self.clock.now();
        let Some(intent_durability) = &mut self.intent_durability else {
            return;
        };
        let not_ready = endpoints
            .iter()
            .filter(|endpoint| endpoint.phase != Phase::Ready);
        let drains = not_ready.map(|endpoint| Drain {
            list_event_number: number,
            engine: endpoint.engine,
            booted_at: endpoint.booted_at,
            is_removed: endpoint.phase == Phase::Removed,
        });
        intent_durability.publish_drains(now, drains.collect());
        for endpoint in endpoints {
            if endpoint.phase != Phase::Ready {
                continue;
            }
            let overriding =
                intent_durability.overriding_drain(endpoint.engine, endpoint.booted_at, number);
            if overriding.is_some() {
                endpoint.phase = Phase::Draining;
            }
        }
    }

    /// Marks engines as draining that are ready in this gateway's own endpoint list but draining in
    /// a peer's newer list. Such engines get no new attempts.
    pub(super) fn handle_peer_drains(&mut self, drains: Vec<Drain>) {
        let number = self.discovery.last_event();
        let Some(intent_durability) = &mut self.intent_durability else {
            return;
        };
        let mut draining = Vec::new();
        for drain in drains {
            let Some(endpoint) = self.last_endpoints.get_mut(&drain.engine) else {
                continue;
            };
            if endpoint.phase != Phase::Ready {
                continue;
            }
            let overriding =
                intent_durability.overriding_drain(endpoint.engine, endpoint.booted_at, number);
            if overriding.is_some() {
                endpoint.phase = Phase::Draining;
                draining.push(*endpoint);
            }
        }
        if !draining.is_empty() {
            intent_durability.counters.drains_from_peers += draining.len() as u64;
            self.events.push_back(Event::EndpointChanges(draining));
        }
    }

    fn record_endpoint(&mut self, endpoint: &Endpoint, discovered: &DiscoveredEngine) {
        if !self.event_recorder.is_enabled() {
            return;
        }
        let listed = ListedEngine {
            engine: endpoint.engine,
            name: discovered.name.clone(),
            address: discovered.address.clone(),
            zone: endpoint.zone,
            kind: endpoint.kind,
            phase: endpoint.phase,
            booted_at: endpoint.booted_at,
        };
        self.event_recorder
            .record_host_event(self.clock.now(), &HostEvent::Engine(listed.clone()));
        self.last_listed.insert(endpoint.engine, listed);
    }

    /// Converts an engine to the endpoint that is passed to the balancer. A zone or kind that is
    /// not in the settings gets the index after the last known one.
    fn build_endpoint(&mut self, discovered: &DiscoveredEngine) -> Endpoint {
        let engine = self.assign_engine_number(&discovered.name);
        let index_in = |names: &[String], name: &str, attribute| {
            let index = index_of(names, name);
            if index.is_none() {
                tracing::warn!(
                    "engine {}: {attribute} '{name}' is not in the settings and counts as unknown",
                    discovered.name
                );
            }
            index.unwrap_or(names.len()) as u32
        };
        Endpoint {
            engine,
            zone: index_in(&self.names.zones, &discovered.zone, "zone"),
            kind: index_in(&self.names.kinds, &discovered.machine_kind, "kind"),
            cell: discovered.cell,
            phase: match discovered.health {
                EngineHealth::Up => Phase::Ready,
                EngineHealth::Draining => Phase::Draining,
                EngineHealth::Removed => Phase::Removed,
            },
            booted_at: discovered.booted_at_ms.saturating_mul(MICROS_PER_MS),
        }
    }

    /// Returns the ID of an engine, and assigns an ID to a new name. The ID is a hash of the name,
    /// and thus the same at every gateway and after every restart. If two names have the same hash,
    /// the name that appears later gets the next free ID.
    fn assign_engine_number(&mut self, name: &str) -> EngineId {
        let mut number = name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
        });
        loop {
            match self.engine_names.get(&number) {
                Some(other) if other != name => number = number.wrapping_add(1),
                Some(_) => return number,
                None => {
                    self.engine_names.insert(number, name.to_string());
                    return number;
                }
            }
        }
    }
}
