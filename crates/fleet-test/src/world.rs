//! Plays a scenario: starts what it names, does what it says at its times, and tells what came of
//! it.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use eideryard_emulators::bulletin::Bulletin;
use eideryard_emulators::client::{Doors, Load};
use eideryard_emulators::engine::{Engine, Remembered};
use eideryard_emulators::history::{Name, Process};
use eideryard_emulators::ledger::{Ledger, Shared};
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

/// The record of a gateway, in its directory.
pub const RECORD: &str = "record";

mod agreement;
mod parts;
mod power;
mod steps;

/// What came of a scenario.
#[derive(Debug)]
pub struct Played {
    /// What the stand-ins counted, and the history.
    pub ledger: Ledger,
    /// How each start of a gateway ended.
    pub endings: Vec<Ending>,
    /// Gateways that ended though nobody told them to, or didn't end when they were.
    pub crashed: Vec<String>,
    /// How long copies took to agree once nothing new came, in milliseconds; nothing where they
    /// didn't, or there is no fleet.
    pub agreed: Option<u64>,
}

/// What ends by itself after a time.
enum Undo {
    Link(ActiveFault),
    Continue(String),
    Disk(String),
}

enum Next {
    Step(Step),
    Undo(Undo),
}

struct World {
    scenario: Scenario,
    programs: Option<Programs>,
    ledger: Shared,
    doors: Doors,
    /// One for each gateway where all links are the rig's own, since each finds engines at other
    /// doors.
    bulletins: BTreeMap<String, Rc<Bulletin>>,
    engines: Vec<Rc<Engine>>,
    links: Option<Links>,
    processes: Processes,
    crashed: Vec<String>,
    rng: StdRng,
}

/// Plays it on this thread, until its time is over and all clients have their answers.
pub fn play(scenario: Scenario, programs: Option<Programs>) -> io::Result<Played> {
    on_this_thread(scenario, programs, false)
}

/// The same with all links between the parts led through the rig, each gateway in a directory of
/// its own, and the history of all sides kept.
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
        let ledger = Shared::default();
        ledger.borrow_mut().history = linked.then(Vec::new);
        let (classes, remembered) = (Rc::new(scenario.classes.clone()), Remembered::default());
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
        let names: Vec<Name> = scenario
            .gateways
            .iter()
            .map(|own| own.name.as_str().into())
            .collect();
        let of_engines = engines
            .iter()
            .map(|engine| engine.spec.name.as_str().into())
            .collect();
        let links = if linked {
            Some(Links::start(names.clone(), of_engines, ledger.clone())?)
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
            doors: Doors::default(),
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
            bulletin.tell(true, world.listed(gateway, &world.engines, "up", 0));
        }
        Ok(world)
    }

    /// Engines as the list tells of them to a gateway.
    fn listed(
        &self,
        gateway: &str,
        engines: &[Rc<Engine>],
        health: &str,
        born_ms: u64,
    ) -> Vec<Value> {
        let entry = |engine: &Rc<Engine>| {
            let spec = &engine.spec;
            let door = self
                .links
                .as_ref()
                .and_then(|links| links.door(gateway, &spec.name));
            let address = door.unwrap_or(engine.address).to_string();
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

    fn tell(&self, engines: &[Rc<Engine>], health: &str, born_ms: u64) {
        for (gateway, bulletin) in &self.bulletins {
            bulletin.tell(false, self.listed(gateway, engines, health, born_ms));
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
        let mut queue: VecDeque<(Duration, Next)> = steps
            .into_iter()
            .map(|step| (step.at, Next::Step(step)))
            .collect();
        while queue.front().is_some_and(|(at, _)| at.is_zero()) {
            self.next(&mut queue, Duration::ZERO).await?;
        }
        self.keepers_vote().await?;
        let began = Instant::now();
        let endless = self.scenario.time.is_zero();
        let until = if endless {
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
            self.next(&mut queue, at).await?;
            self.look_for_crashes().await?;
        }
        sleep_until(began + until).await;
        for load in loads {
            load.await.map_err(io::Error::other)?;
        }
        self.look_for_crashes().await?;
        let agreed = self.copies_agree().await?;
        for name in self.processes.names() {
            self.signal(&name, Signal::TERM, Process::Stopping);
        }
        for name in self.processes.names() {
            self.ended(&name).await?;
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

    async fn look_for_crashes(&mut self) -> io::Result<()> {
        for name in self.processes.crashed() {
            self.crashed.push(name.clone());
            self.ended(&name).await?;
        }
        Ok(())
    }
}
