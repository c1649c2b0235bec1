//! The list of engines: entries for the module, and what peers' lists forbid.

use super::*;
use std::collections::BTreeSet;

impl Gateway {
    pub(super) fn listed(&mut self, item: Item) {
        let Some(roster) = item.roster else { return };
        let mut entries: Vec<Endpoint> = roster
            .hosts
            .iter()
            .map(|listed| self.entry(listed))
            .collect();
        self.share_drains(item.no, &mut entries);
        for (entry, listed) in entries.iter().zip(&roster.hosts) {
            let address = match entry.phase {
                Phase::Removed => None,
                _ => engines::address(&listed.dial)
                    .inspect_err(|e| tracing::warn!("engine {}: {e}", listed.host))
                    .ok(),
            };
            self.tell_listed(entry, listed);
            if self.keeping.is_some() {
                self.last_entries.insert(entry.engine, *entry);
            }
            if let Some(keeping) = &mut self.keeping {
                keeping.set_place(entry.engine, entry.zone, entry.cell);
            }
            let (due, heard) = (&mut self.due, &mut self.from_engines);
            self.engines
                .listed(entry.engine, address, entry.booted_at, due, heard);
        }
        if roster.whole {
            let told: BTreeSet<EngineId> = entries.iter().map(|entry| entry.engine).collect();
            for engine in self
                .engines
                .ids()
                .into_iter()
                .filter(|engine| !told.contains(engine))
            {
                self.engines
                    .unlisted(engine, &mut self.due, &mut self.from_engines);
            }
        }
        let takes_away = roster.whole || entries.iter().any(|entry| entry.phase == Phase::Removed);
        let event = if roster.whole {
            Event::EndpointSnapshot(entries)
        } else {
            Event::EndpointChanges(entries)
        };
        // What the list ended comes after the list itself.
        self.events.push_back(event);
        self.hear_engines();
        self.clients.well |=
            self.shutdown.phase() == Stage::Serving && !self.engine_names.is_empty();
        if takes_away {
            self.forget_engines();
        }
        if let Some(keeping) = &mut self.keeping {
            keeping.update_lease_tasks(self.clock.now());
        }
    }

    /// Engines come under new names all day: a name stays as long as its engine or a connection to
    /// it, and goes with the next list that takes an engine away. Other changes of the list need no
    /// walk over all.
    fn forget_engines(&mut self) {
        self.engine_names
            .retain(|&engine, _| self.engines.knows(engine));
        self.last_listed
            .retain(|&engine, _| self.engines.knows(engine));
        self.last_entries
            .retain(|&engine, _| self.engines.knows(engine));
        if let Some(keeping) = &mut self.keeping {
            keeping.retain_engines(|engine| self.engines.knows(engine));
        }
    }

    /// Drains of the own list are told to peers; what a peer's newer list forbids binds here too.
    pub(super) fn share_drains(&mut self, number: u64, entries: &mut [Endpoint]) {
        let now = self.clock.now();
        let Some(keeping) = &mut self.keeping else {
            return;
        };
        let closed = entries.iter().filter(|entry| entry.phase != Phase::Ready);
        let told = closed.map(|entry| Drain {
            number,
            engine: entry.engine,
            booted_at: entry.booted_at,
            gone: entry.phase == Phase::Removed,
        });
        keeping.publish_drains(now, told.collect());
        for entry in entries
            .iter_mut()
            .filter(|entry| entry.phase == Phase::Ready)
        {
            if keeping
                .binding_drain(entry.engine, entry.booted_at, number)
                .is_some()
            {
                entry.phase = Phase::Draining;
            }
        }
    }

    /// What peers' lists say of engines that are usable by the own one: they take nothing new.
    pub(super) fn heed_drains(&mut self, drains: Vec<Drain>) {
        let (number, mut bound) = (self.watch.number(), Vec::new());
        let Some(keeping) = &mut self.keeping else {
            return;
        };
        for drain in drains {
            let told = self
                .last_entries
                .get_mut(&drain.engine)
                .filter(|told| told.phase == Phase::Ready);
            let Some(told) = told else { continue };
            if keeping
                .binding_drain(told.engine, told.booted_at, number)
                .is_some()
            {
                told.phase = Phase::Draining;
                bound.push(*told);
            }
        }
        if !bound.is_empty() {
            keeping.counters.drains_heard += bound.len() as u64;
            self.events.push_back(Event::EndpointChanges(bound));
        }
    }

    pub(super) fn tell_listed(&mut self, entry: &Endpoint, listed: &DiscoveredEngine) {
        if !self.tap.is_on() {
            return;
        }
        let told = ListedEngine {
            engine: entry.engine,
            name: listed.host.clone(),
            address: listed.dial.clone(),
            zone: entry.zone,
            kind: entry.kind,
            phase: entry.phase,
            booted_at: entry.booted_at,
        };
        self.tap.host(self.clock.now(), Host::Engine(told.clone()));
        self.last_listed.insert(entry.engine, told);
    }

    pub(super) fn entry(&mut self, listed: &DiscoveredEngine) -> Endpoint {
        let engine = self.number(&listed.host);
        let position = |names: &[String], name: &str, what| {
            let known = place(names, name);
            if known.is_none() {
                tracing::warn!(
                    "engine {}: {what} '{name}' is not in the settings",
                    listed.host
                );
            }
            known.unwrap_or(names.len()) as u32
        };
        Endpoint {
            engine,
            zone: position(&self.names.zones, &listed.site, "zone"),
            kind: position(&self.names.kinds, &listed.class, "kind"),
            cell: listed.block,
            phase: match listed.health {
                State::Up => Phase::Ready,
                State::Draining => Phase::Draining,
                State::Removed => Phase::Removed,
            },
            booted_at: listed.born_ms.saturating_mul(1000),
        }
    }

    /// An engine's number: the same at every gateway and after every restart, since it comes of the
    /// name alone.
    pub(super) fn number(&mut self, name: &str) -> EngineId {
        let hash = name.bytes().fold(0x811c_9dc5, |hash: u32, b| {
            (hash ^ b as u32).wrapping_mul(0x0100_0193)
        });
        let mut number = hash;
        while self
            .engine_names
            .get(&number)
            .is_some_and(|other| other != name)
        {
            number = number.wrapping_add(1);
        }
        self.engine_names
            .entry(number)
            .or_insert_with(|| name.to_string());
        number
    }
}
