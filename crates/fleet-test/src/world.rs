//! Plays a scenario: starts its engines, gateways and clients, performs its steps at their times,
//! and returns what happened.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use eideryard_emulators::bulletin::Bulletin;
use eideryard_emulators::client::{GatewayAddresses, Load};
use eideryard_emulators::engine::{Engine, KeyMemory};
use eideryard_emulators::history::{ProcessChange, SharedName};
use eideryard_emulators::ledger::{Ledger, SharedLedger};
use eideryard_emulators::scenario::{Scenario, Step};
use rand::rngs::StdRng;
use rand::SeedableRng;
use rustix::process::Signal;
use serde_json::Value;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep_until, Instant};

use crate::config::ListedEngine;
use crate::links::{ActiveFault, Links, BULLETIN};
use crate::processes::{Ending, Processes, Programs};

/// Subdirectory of a gateway's directory for its event log.
pub const RECORD: &str = "record";

mod agreement;
mod parts;
mod power;
mod steps;

/// The result of playing a scenario.
#[derive(Debug)]
pub struct Played {
    /// Counts of the emulated clients and engines, and the history of events if it was recorded.
    pub ledger: Ledger,
    /// How each start of a gateway ended, in the order of the ends.
    pub endings: Vec<Ending>,
    /// Gateways that ended without being stopped, or didn't end when they were.
    pub crashed: Vec<String>,
    /// How long the voters' replicas took to become equal after the last request, in milliseconds;
    /// `None` if they didn't, or if there is no fleet.
    pub agreed: Option<u64>,
}

/// A step that is undone after its duration, as queued for that time.
enum Undo {
    EndLinkFault(ActiveFault),
    ContinueGateway(String),
    ResumeDisk(String),
}

enum Action {
    Step(Step),
    Undo(Undo),
}

struct World {
    scenario: Scenario,
    programs: Option<Programs>,
    ledger: SharedLedger,
    doors: GatewayAddresses,
    /// Service discovery by gateway, or one under [`BULLETIN`] for all if connections pass no
    /// relays. With relays each gateway has its own, as it reaches engines at its own addresses.
    bulletins: BTreeMap<String, Rc<Bulletin>>,
    engines: Vec<Rc<Engine>>,
    links: Option<Links>,
    processes: Processes,
    crashed: Vec<String>,
    rng: StdRng,
}

/// Plays a scenario on this thread until its time is over and all clients have finished. Without
/// `programs` no gateways are started.
pub fn play(scenario: Scenario, programs: Option<Programs>) -> io::Result<Played> {
    on_this_thread(scenario, programs, false)
}

/// Like [`play`], with relays for all connections between the parts, a directory for each gateway,
/// and a recorded history of events.
pub fn play_linked(scenario: Scenario, programs: Programs) -> io::Result<Played> {
    on_this_thread(scenario, Some(programs), true)
}

fn on_this_thread(
    scenario: Scenario,
    programs: Option<Programs>,
    linked: bool,
) -> io::Result<Played> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        World::start(scenario, programs, linked)?.play().await
    })
}

impl World {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn start(scenario: Scenario, programs: Option<Programs>, linked: bool) -> io::Result<Self> {
        let ledger = SharedLedger::default();
        ledger.borrow_mut().history = linked.then(Vec::new);
        let (classes, remembered) = (Rc::new(scenario.classes.clone()), KeyMemory::default());
        let mut engines = Vec::new();
        for (number, spec) in scenario.engines.iter().enumerate() {
            let seed = scenario.seed.wrapping_mul(31).wrapping_add(number as u64);
            let (classes, remembered) = (classes.clone(), remembered.clone());
            engines.push(Engine::start(
                spec.clone(),
                classes,
                remembered,
                ledger.clone(),
                seed,
            )?);
        }
        let names: Vec<SharedName> = scenario
            .gateways
            .iter()
            .map(|gateway| gateway.name.as_str().into())
            .collect();
        let engine_names = engines
            .iter()
            .map(|engine| engine.spec.name.as_str().into())
            .collect();
        let links = if linked {
            Some(Links::start(names.clone(), engine_names, ledger.clone())?)
        } else {
            None
        };
        let mut bulletins = BTreeMap::new();
        if linked {
            for name in &names {
                let reader = Some((name.clone(), ledger.clone()));
                bulletins.insert(name.to_string(), Bulletin::start(None, reader)?);
            }
        } else {
            _ = bulletins.insert(BULLETIN.into(), Bulletin::start(scenario.bulletin, None)?);
        }
        let world = World {
            ledger,
            doors: GatewayAddresses::default(),
            bulletins,
            engines,
            links,
            processes: Processes::default(),
            crashed: Vec::new(),
            rng: StdRng::seed_from_u64(scenario.seed.wrapping_mul(7919)),
            scenario,
            programs,
        };
        if let Some(links) = &world.links {
            world
                .engines
                .iter()
                .for_each(|engine| links.set_all_targets(&engine.spec.name, Some(engine.address)));
        }
        for (gateway, bulletin) in &world.bulletins {
            world
                .links
                .iter()
                .for_each(|links| links.set_target(gateway, BULLETIN, Some(bulletin.address)));
            bulletin.publish(true, world.list_items(gateway, &world.engines, "up", 0));
        }
        Ok(world)
    }

    /// The items of the endpoint list of a gateway for these engines.
    fn list_items(
        &self,
        gateway: &str,
        engines: &[Rc<Engine>],
        health: &str,
        born_ms: u64,
    ) -> Vec<Value> {
        let entry = |engine: &Rc<Engine>| {
            let spec = &engine.spec;
            let relay_address = self
                .links
                .as_ref()
                .and_then(|links| links.address(gateway, &spec.name));
            let address = relay_address.unwrap_or(engine.address).to_string();
            let (name, zone, kind) = (&spec.name, &spec.zone, &spec.kind);
            ListedEngine {
                name,
                address: &address,
                zone,
                kind,
                cell: spec.cell,
                health,
                born_ms,
            }
            .item()
        };
        engines.iter().map(entry).collect()
    }

    /// Announces the health of engines to all gateways.
    fn announce(&self, engines: &[Rc<Engine>], health: &str, born_ms: u64) {
        for (gateway, bulletin) in &self.bulletins {
            bulletin.publish(false, self.list_items(gateway, engines, health, born_ms));
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    async fn play(mut self) -> io::Result<Played> {
        if self.links.is_none() {
            for bulletin in self.bulletins.values() {
                println!("the bulletin listens on {}", bulletin.address);
            }
            for engine in &self.engines {
                println!("engine {} listens on {}", engine.spec.name, engine.address);
            }
        }
        let mut steps: Vec<Step> = self.scenario.steps.clone();
        for gateway in self
            .scenario
            .gateways
            .iter()
            .filter(|_| self.programs.is_some())
        {
            steps.push(Step::new(
                gateway.start,
                "start-gateway",
                vec![gateway.name.clone()],
            ));
        }
        steps.sort_by_key(|step| step.at);
        let mut queue: VecDeque<(Duration, Action)> = steps
            .into_iter()
            .map(|step| (step.at, Action::Step(step)))
            .collect();
        while queue.front().is_some_and(|(at, _)| at.is_zero()) {
            self.run_next(&mut queue, Duration::ZERO).await?;
        }
        self.wait_for_votes().await?;
        let began = Instant::now();
        let is_endless = self.scenario.time.is_zero();
        let until = if is_endless {
            Duration::from_secs(86_400)
        } else {
            self.scenario.time
        };
        let mut loads = Vec::new();
        for (number, spec) in self.scenario.loads.iter().enumerate() {
            let Some(class) = self
                .scenario
                .classes
                .iter()
                .find(|class| class.name == spec.class)
            else {
                continue;
            };
            let seed = self
                .scenario
                .seed
                .wrapping_mul(1009)
                .wrapping_add(number as u64);
            let (doors, ledger) = (self.doors.clone(), self.ledger.clone());
            let load = Load::new(spec.clone(), class.clone(), doors, ledger, seed);
            loads.push(spawn_local(load.run(began, until)));
        }
        while let Some((at, _)) = queue.front() {
            let at = *at;
            sleep_until(began + at).await;
            self.run_next(&mut queue, at).await?;
            self.collect_crashes().await?;
        }
        sleep_until(began + until).await;
        for load in loads {
            load.await.map_err(io::Error::other)?;
        }
        self.collect_crashes().await?;
        let agreed = self.wait_for_equal_replicas().await?;
        for name in self.processes.names() {
            self.signal(&name, Signal::TERM, ProcessChange::Stopping);
        }
        for name in self.processes.names() {
            self.finish_gateway(&name).await?;
        }
        let ledger = std::mem::take(&mut *self.ledger.borrow_mut());
        let endings = std::mem::take(&mut self.processes.endings);
        Ok(Played {
            ledger,
            endings,
            crashed: self.crashed,
            agreed,
        })
    }

    async fn collect_crashes(&mut self) -> io::Result<()> {
        for name in self.processes.crashed() {
            self.crashed.push(name.clone());
            self.finish_gateway(&name).await?;
        }
        Ok(())
    }
}
