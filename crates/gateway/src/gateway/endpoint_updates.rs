//! The way of an update of the engines: from service discovery and from peers to the balancer and
//! to the connections.

use std::collections::BTreeSet;

use eideryard::interface::{Endpoint, EngineId, Event, Micros, Phase};
use eideryard_discovery::{DiscoveredEngine, Item, State};
use eideryard_event_log::{HostEvent, ListedEngine};
use eideryard_replication::drains::Drain;

use super::Gateway;
use crate::engines::parse_address;
use crate::requests::index_of;
use crate::shutdown::Phase as ShutdownPhase;

const MICROS_PER_MS: Micros = 1000;
/// Constants of the FNV-1a hash, which engines' numbers are derived by.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

impl Gateway {
    /// Reads from service discovery. True: there may be more.
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

    /// Service discovery reports engines that have changed, or all engines.
    pub(super) fn handle_discovery_item(&mut self, item: Item) {
        let Some(roster) = item.roster else { return };
        let mut endpoints: Vec<Endpoint> = roster
            .hosts
            .iter()
            .map(|discovered| self.endpoint_of(discovered))
            .collect();
        self.exchange_drains(item.no, &mut endpoints);
        for (endpoint, discovered) in endpoints.iter().zip(&roster.hosts) {
            self.update_endpoint(endpoint, discovered);
        }
        if roster.whole {
            self.remove_unlisted(&endpoints);
        }
        let has_removed = endpoints
            .iter()
            .any(|endpoint| endpoint.phase == Phase::Removed);
        let event = if roster.whole {
            Event::EndpointSnapshot(endpoints)
        } else {
            Event::EndpointChanges(endpoints)
        };
        // The ends of attempts that the update caused come after the update itself.
        self.events.push_back(event);
        self.handle_engine_events();
        let is_serving = self.shutdown.phase() == ShutdownPhase::Serving;
        self.clients.is_healthy |= is_serving && !self.engine_names.is_empty();
        if roster.whole || has_removed {
            self.forget_engines();
        }
        if let Some(intent_durability) = &mut self.intent_durability {
            intent_durability.update_lease_tasks(self.clock.now());
        }
    }

    /// Applies one engine's update to everything but the balancer.
    fn update_endpoint(&mut self, endpoint: &Endpoint, discovered: &DiscoveredEngine) {
        let address = match endpoint.phase {
            Phase::Removed => None,
            _ => parse_address(&discovered.dial)
                .inspect_err(|e| tracing::warn!("engine {}: {e}", discovered.host))
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

    /// Removes all engines that a snapshot doesn't list.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<EngineId> = endpoints.iter().map(|endpoint| endpoint.engine).collect();
        for engine in self.engines.ids() {
            if !listed.contains(&engine) {
                self.with_engines(|engines, context| engines.remove_endpoint(engine, context));
            }
        }
    }

    /// Engines come under new names all day: a name stays as long as its engine or a connection to
    /// it, and goes with the next update that removes an engine. Other updates need no walk over
    /// all names.
    fn forget_engines(&mut self) {
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

    /// Reports drains to peers; an engine that a peer with a newer list reported as draining counts
    /// as draining here too.
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
            let binding =
                intent_durability.binding_drain(endpoint.engine, endpoint.booted_at, number);
            if binding.is_some() {
                endpoint.phase = Phase::Draining;
            }
        }
    }

    /// Peers report engines as draining that are ready by the list of this gateway: they get
    /// nothing new.
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
            let binding =
                intent_durability.binding_drain(endpoint.engine, endpoint.booted_at, number);
            if binding.is_some() {
                endpoint.phase = Phase::Draining;
                draining.push(*endpoint);
            }
        }
        if !draining.is_empty() {
            intent_durability.counters.drains_heard += draining.len() as u64;
            self.events.push_back(Event::EndpointChanges(draining));
        }
    }

    fn record_endpoint(&mut self, endpoint: &Endpoint, discovered: &DiscoveredEngine) {
        if !self.event_recorder.is_enabled() {
            return;
        }
        let listed = ListedEngine {
            engine: endpoint.engine,
            name: discovered.host.clone(),
            address: discovered.dial.clone(),
            zone: endpoint.zone,
            kind: endpoint.kind,
            phase: endpoint.phase,
            booted_at: endpoint.booted_at,
        };
        self.event_recorder
            .record_host(self.clock.now(), &HostEvent::Engine(listed.clone()));
        self.last_listed.insert(endpoint.engine, listed);
    }

    /// The endpoint that the balancer gets for an engine. A zone or kind that the settings don't
    /// know gets the index behind the last one.
    fn endpoint_of(&mut self, discovered: &DiscoveredEngine) -> Endpoint {
        let engine = self.engine_number(&discovered.host);
        let index_in = |names: &[String], name: &str, list| {
            let index = index_of(names, name);
            if index.is_none() {
                tracing::warn!(
                    "engine {}: {list} '{name}' is not in the settings",
                    discovered.host
                );
            }
            index.unwrap_or(names.len()) as u32
        };
        Endpoint {
            engine,
            zone: index_in(&self.names.zones, &discovered.site, "zone"),
            kind: index_in(&self.names.kinds, &discovered.class, "kind"),
            cell: discovered.block,
            phase: match discovered.health {
                State::Up => Phase::Ready,
                State::Draining => Phase::Draining,
                State::Removed => Phase::Removed,
            },
            booted_at: discovered.born_ms.saturating_mul(MICROS_PER_MS),
        }
    }

    /// An engine's number: the same at every gateway and after every restart, since it is a hash of
    /// the name. Of two names with one hash, the later gets the next free number.
    fn engine_number(&mut self, name: &str) -> EngineId {
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
