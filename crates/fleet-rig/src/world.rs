//! Plays a scenario: starts what it names, does what it says at its times, and tells what came of it.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use eideryard_standin::bulletin::{Bulletin, Mood};
use eideryard_standin::client::{Doors, Load};
use eideryard_standin::engine::{Engine, Remembered};
use eideryard_standin::history::{Name, Process, What};
use eideryard_standin::ledger::{Ledger, Shared};
use eideryard_standin::scenario::{Scenario, Step};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde_json::{json, Value};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep_until, Instant};

use crate::config::{self, Place};
use crate::directories;
use crate::links::{Lasting, Links, BULLETIN, CLIENTS};
use crate::processes::{Ending, Processes, Programs};
use crate::relay::Fault;

/// Keepers have so long to vote at first, and copies to agree at last.
const AGREE_WITHIN: Duration = Duration::from_secs(30);
const LOOKS_EVERY: Duration = Duration::from_millis(50);
/// The operator's file and the record of a gateway, in its directory.
const OPERATOR: &str = "operator.conf";
pub const RECORD: &str = "record";

#[derive(Debug)]
pub struct Played {
    pub ledger: Ledger,
    pub endings: Vec<Ending>,
    /// Gateways that ended though nobody told them to, or didn't end when they were.
    pub crashed: Vec<String>,
    /// How long copies took to agree once nothing new came, in milliseconds; nothing where they didn't, or
    /// there is no fleet.
    pub agreed: Option<u64>,
}

/// What ends by itself after a time.
enum Undo {
    Link(Lasting),
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
    /// One for each gateway where all links are the rig's own, since each finds engines at other doors.
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

/// The same with all links between the parts led through the rig, each gateway in a directory of its own,
/// and the history of all sides kept.
pub fn play_linked(scenario: Scenario, programs: Programs) -> io::Result<Played> {
    on_this_thread(scenario, Some(programs), true)
}

fn on_this_thread(scenario: Scenario, programs: Option<Programs>, linked: bool) -> io::Result<Played> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async { World::start(scenario, programs, linked)?.play().await })
}

impl World {
    fn start(scenario: Scenario, programs: Option<Programs>, linked: bool) -> io::Result<Self> {
        let ledger = Shared::default();
        ledger.borrow_mut().history = linked.then(Vec::new);
        let (classes, remembered) = (Rc::new(scenario.classes.clone()), Remembered::default());
        let mut engines = Vec::new();
        for (number, spec) in scenario.engines.iter().enumerate() {
            let seed = scenario.seed.wrapping_mul(31).wrapping_add(number as u64);
            let (classes, remembered) = (classes.clone(), remembered.clone());
            engines.push(Engine::start(spec.clone(), classes, remembered, ledger.clone(), seed)?);
        }
        let names: Vec<Name> = scenario.gateways.iter().map(|own| own.name.as_str().into()).collect();
        let of_engines = engines.iter().map(|engine| engine.spec.name.as_str().into()).collect();
        let links = match linked {
            true => Some(Links::start(names.clone(), of_engines, ledger.clone())?),
            false => None,
        };
        let mut bulletins = BTreeMap::new();
        match linked {
            true => {
                for name in &names {
                    let reader = Some((name.clone(), ledger.clone()));
                    bulletins.insert(name.to_string(), Bulletin::start(None, reader)?);
                }
            }
            false => _ = bulletins.insert(BULLETIN.into(), Bulletin::start(scenario.bulletin, None)?),
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
            world.engines.iter().for_each(|engine| links.lead_to(&engine.spec.name, Some(engine.address)));
        }
        for (gateway, bulletin) in &world.bulletins {
            world.links.iter().for_each(|links| links.lead(gateway, BULLETIN, Some(bulletin.address)));
            bulletin.tell(true, world.listed(gateway, &world.engines, "up", 0));
        }
        Ok(world)
    }

    /// Engines as the list tells of them to a gateway.
    fn listed(&self, gateway: &str, engines: &[Rc<Engine>], health: &str, born_ms: u64) -> Vec<Value> {
        let entry = |engine: &Rc<Engine>| {
            let spec = &engine.spec;
            let door = self.links.as_ref().and_then(|links| links.door(gateway, &spec.name));
            json!({"host": spec.name, "dial": door.unwrap_or(engine.address).to_string(), "site": spec.zone,
                   "class": spec.kind, "block": spec.cell, "health": health, "share": 1,
                   "born_ms": born_ms})
        };
        engines.iter().map(entry).collect()
    }

    fn tell(&self, engines: &[Rc<Engine>], health: &str, born_ms: u64) {
        for (gateway, bulletin) in &self.bulletins {
            bulletin.tell(false, self.listed(gateway, engines, health, born_ms));
        }
    }

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
        for gateway in self.scenario.gateways.iter().filter(|_| self.programs.is_some()) {
            steps.push(Step::new(gateway.start, "start-gateway", vec![gateway.name.clone()]));
        }
        steps.sort_by_key(|step| step.at);
        let mut queue: VecDeque<(Duration, Next)> =
            steps.into_iter().map(|step| (step.at, Next::Step(step))).collect();
        while queue.front().is_some_and(|(at, _)| at.is_zero()) {
            self.next(&mut queue, Duration::ZERO).await?;
        }
        self.keepers_vote().await?;
        let began = Instant::now();
        let endless = self.scenario.time.is_zero();
        let until = if endless { Duration::from_secs(86_400) } else { self.scenario.time };
        let mut loads = Vec::new();
        for (number, spec) in self.scenario.loads.iter().enumerate() {
            let Some(class) = self.scenario.classes.iter().find(|class| class.name == spec.class) else {
                continue;
            };
            let seed = self.scenario.seed.wrapping_mul(1009).wrapping_add(number as u64);
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
        Ok(Played { ledger, endings, crashed: self.crashed, agreed })
    }

    /// What keepers say of themselves, of those that run.
    fn keepers(&self) -> Vec<Value> {
        let Some(programs) = self.programs.as_ref().filter(|_| self.is_fleet()) else { return Vec::new() };
        let names = self.processes.names();
        let told = names.iter().filter_map(|name| directories::status(&programs.directory, name));
        told.filter(|told| told["keeper"] == true).collect()
    }

    fn is_fleet(&self) -> bool {
        self.scenario.gateways.iter().any(|own| own.operator.iter().any(|line| line.starts_with("fleet ")))
    }

    /// A fleet that begins for the first time takes keyed requests once its keepers vote; loads begin then.
    async fn keepers_vote(&mut self) -> io::Result<()> {
        let until = Instant::now() + AGREE_WITHIN;
        while self.is_fleet() && Instant::now() < until {
            let keepers = self.keepers();
            if !keepers.is_empty()
                && keepers.iter().all(|told| told["votes"] == true && told["majority"] == true)
            {
                break;
            }
            tokio::time::sleep(LOOKS_EVERY).await;
        }
        self.look_for_crashes().await
    }

    /// Waits until all keepers tell the same of their copies.
    async fn copies_agree(&mut self) -> io::Result<Option<u64>> {
        let began = Instant::now();
        let from = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let told_since = |told: &Value| told["at_ms"].as_u64() >= Some(from.as_millis() as u64);
        while self.is_fleet() && began.elapsed() < AGREE_WITHIN {
            // What was told before says nothing of now.
            let keepers = self.keepers();
            if !keepers.iter().all(told_since) {
                tokio::time::sleep(LOOKS_EVERY).await;
                continue;
            }
            let first = keepers.first().map(|told| told["print"].clone());
            let second = |told: &Value| told["at_ms"].as_u64().map(|at| at / 1000);
            let same =
                |told: &Value| Some(&told["print"]) == first.as_ref() && second(told) == second(&keepers[0]);
            if first.is_some() && keepers.iter().all(same) {
                return Ok(Some(began.elapsed().as_millis() as u64));
            }
            tokio::time::sleep(LOOKS_EVERY).await;
        }
        Ok(None)
    }

    async fn look_for_crashes(&mut self) -> io::Result<()> {
        for name in self.processes.crashed() {
            self.crashed.push(name.clone());
            self.ended(&name).await?;
        }
        Ok(())
    }

    async fn next(&mut self, queue: &mut VecDeque<(Duration, Next)>, now: Duration) -> io::Result<()> {
        let more = match queue.pop_front() {
            Some((_, Next::Step(step))) => self.step(&step).await?,
            Some((_, Next::Undo(undo))) => {
                self.undo(undo);
                Vec::new()
            }
            None => Vec::new(),
        };
        for (after, next) in more {
            let at = now + after;
            let place = queue.partition_point(|(own, _)| *own <= at);
            queue.insert(place, (at, next));
        }
        Ok(())
    }

    fn did(&self, what: String) {
        self.ledger.borrow_mut().happened(|| What::Did { what });
    }

    fn engines_of(&self, names: &[String]) -> Vec<Rc<Engine>> {
        self.engines.iter().filter(|engine| names.contains(&engine.spec.name)).cloned().collect()
    }

    /// Does a step; gives what follows it, and after how long.
    async fn step(&mut self, step: &Step) -> io::Result<Vec<(Duration, Next)>> {
        let engines = self.engines_of(&step.names);
        if step.action.starts_with("link-") {
            return Ok(self.link_step(step));
        }
        match step.action {
            "kill" => engines.iter().for_each(|engine| self.kill_engine(engine)),
            "start" => self.start_engines(&engines).await?,
            "vanish" => engines.iter().for_each(|engine| engine.vanish(step.lasts)),
            "reset" => engines.iter().for_each(|engine| engine.reset()),
            "stall" => engines.iter().for_each(|engine| engine.stall(step.lasts)),
            "errors" => engines.iter().for_each(|engine| engine.fail(step.share, step.lasts)),
            "busy" => engines.iter().for_each(|engine| engine.turn_away(step.lasts)),
            "drain" => self.tell(&engines, "draining", 0),
            "remove" => self.tell(&engines, "removed", 0),
            "list" => self.tell(&engines, "up", 0),
            "bulletin" => {
                self.bulletin(match step.names[0].as_str() {
                    "down" => Mood::Down,
                    "silent" => Mood::Silent,
                    _ => Mood::Up,
                })
                .await?
            }
            "kill-gateway" => {
                step.names.iter().for_each(|name| self.signal(name, Signal::KILL, Process::Killed));
                for name in &step.names {
                    self.ended(name).await?;
                }
            }
            "stop-gateway" => {
                step.names.iter().for_each(|name| self.signal(name, Signal::TERM, Process::Stopping))
            }
            "start-gateway" => {
                for name in step
                    .names
                    .iter()
                    .filter(|name| !self.processes.is_running(name))
                    .cloned()
                    .collect::<Vec<_>>()
                {
                    self.ended(&name).await?;
                    self.start_gateway(&name).await?;
                }
            }
            "pause-gateway" => {
                step.names.iter().for_each(|name| self.signal(name, Signal::STOP, Process::Paused));
                let undo = |name: &String| (step.lasts, Next::Undo(Undo::Continue(name.clone())));
                return Ok(step.names.iter().map(undo).collect());
            }
            "stall-disk" => {
                for name in &step.names {
                    self.processes.hold(name, "store")?;
                }
                self.did(format!("stall-disk {}", step.names.join(" ")));
                let undo = |name: &String| (step.lasts, Next::Undo(Undo::Disk(name.clone())));
                return Ok(step.names.iter().map(undo).collect());
            }
            "save-directory" | "wipe-directory" | "put-back-directory" => self.directories(step)?,
            "power-loss" => self.power_loss().await?,
            "power-back" => return Ok(self.power_back(step)),
            _ => {}
        }
        if !matches!(step.action, "start-gateway" | "kill-gateway" | "stop-gateway") {
            self.did(format!("{} {}", step.action, step.names.join(" ")).trim_end().to_string());
        }
        Ok(Vec::new())
    }

    fn link_step(&mut self, step: &Step) -> Vec<(Duration, Next)> {
        let Some(links) = &mut self.links else { return Vec::new() };
        let fault = match step.action {
            "link-reset" => {
                links.reset(&step.names[0], &step.names[1]);
                return Vec::new();
            }
            "link-flap" => {
                // Cut for one period, whole for the next.
                let lasts = step.lasts.min(self.scenario.time);
                let cut = |at: Duration| {
                    let cut = Step { action: "link-cut", at, lasts: step.time, ..step.clone() };
                    (at, Next::Step(cut))
                };
                let periods = lasts.as_micros().div_ceil(2 * step.time.as_micros().max(1)) as u32;
                return (0..periods).map(|number| cut(step.time * 2 * number)).collect();
            }
            "link-stall" => Fault::Stall,
            "link-swallow" => Fault::Swallow,
            "link-delay" => Fault::Delay(step.time),
            "link-throttle" => Fault::Throttle(step.bytes),
            _ => Fault::Cut,
        };
        vec![(step.lasts, Next::Undo(Undo::Link(links.begin(step, fault))))]
    }

    fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Link(lasting) => self.links.iter().for_each(|links| links.end(&lasting)),
            Undo::Disk(name) => {
                self.processes.let_go(&name);
                self.did(format!("the disk of {name} goes on"));
            }
            Undo::Continue(name) => self.signal(&name, Signal::CONT, Process::Continued),
        }
    }

    fn directories(&mut self, step: &Step) -> io::Result<()> {
        let Some(programs) = self.programs.as_ref().filter(|_| self.links.is_some()) else { return Ok(()) };
        for name in &step.names {
            match step.action {
                "save-directory" => directories::save(&programs.directory, name)?,
                "wipe-directory" => directories::wipe(&programs.directory, name)?,
                _ => _ = directories::put_back(&programs.directory, name)?,
            }
        }
        Ok(())
    }

    // ---- Power ----

    /// All at once: first every process gets its signal, then comes what takes time.
    async fn power_loss(&mut self) -> io::Result<()> {
        let names = self.processes.names();
        names.iter().for_each(|name| self.signal(name, Signal::KILL, Process::Killed));
        self.engines.iter().for_each(|engine| self.kill_engine(engine));
        self.bulletin(Mood::Down).await?;
        for name in &names {
            self.ended(name).await?;
        }
        let Some(programs) = self.programs.as_ref().filter(|_| self.links.is_some()) else { return Ok(()) };
        for name in &names {
            let torn = directories::tear(&directories::of(&programs.directory, name), &mut self.rng)?;
            self.ledger.borrow_mut().happened(|| What::Did { what: format!("{name}: {torn} files torn") });
        }
        Ok(())
    }

    /// Each part comes back at a time of its own within the one that is told.
    fn power_back(&mut self, step: &Step) -> Vec<(Duration, Next)> {
        let wanted = |name: &str| step.names.iter().any(|own| own == "all" || own == name);
        let mut parts: Vec<(&'static str, String)> = Vec::new();
        if wanted(BULLETIN) {
            parts.push(("bulletin", "up".into()));
        }
        for engine in self.engines.iter().filter(|engine| wanted(&engine.spec.name)) {
            parts.push(("start", engine.spec.name.clone()));
        }
        for gateway in self.scenario.gateways.iter().filter(|gateway| wanted(&gateway.name)) {
            parts.push(("start-gateway", gateway.name.clone()));
        }
        self.did(format!("power-back {}", step.names.join(" ")));
        let mut drawn = Vec::new();
        for (action, name) in parts {
            let after = step.time.mul_f64(self.rng.random::<f64>());
            drawn.push((after, Next::Step(Step::new(after, action, vec![name]))));
        }
        drawn
    }

    // ---- Parts ----

    fn kill_engine(&self, engine: &Rc<Engine>) {
        engine.kill();
        self.links.iter().for_each(|links| links.lead_to(&engine.spec.name, None));
    }

    async fn start_engines(&mut self, engines: &[Rc<Engine>]) -> io::Result<()> {
        for engine in engines {
            engine.restart().await?;
            let address = Some(engine.address);
            self.links.iter().for_each(|links| links.lead_to(&engine.spec.name, address));
        }
        self.tell(engines, "up", self.ledger.borrow().now() / 1000);
        Ok(())
    }

    async fn bulletin(&self, mood: Mood) -> io::Result<()> {
        for (gateway, bulletin) in &self.bulletins {
            bulletin.set(mood).await?;
            let address = Some(bulletin.address).filter(|_| mood != Mood::Down);
            self.links.iter().for_each(|links| links.lead(gateway, BULLETIN, address));
        }
        Ok(())
    }

    fn note(&self, name: &str, how: Process) {
        self.ledger.borrow_mut().happened(|| What::Gateway { gateway: name.into(), how });
    }

    /// Sends a signal; one that ends it closes its door as well.
    fn signal(&mut self, name: &str, signal: Signal, how: Process) {
        if !self.processes.names().iter().any(|own| own == name) {
            return;
        }
        self.processes.signal(name, signal);
        self.note(name, how);
        if matches!(how, Process::Killed | Process::Stopping) {
            self.doors.borrow_mut().remove(name);
        }
        if how == Process::Killed {
            self.links.iter().for_each(|links| links.lead_to(name, None));
        }
    }

    async fn ended(&mut self, name: &str) -> io::Result<()> {
        if !self.processes.names().iter().any(|own| own == name) {
            return Ok(());
        }
        self.doors.borrow_mut().remove(name);
        // One that stands still doesn't hear that it is to end.
        self.processes.signal(name, Signal::CONT);
        if !self.processes.ended(name).await? {
            self.ledger.borrow_mut().break_rule(format!("gateway {name} doesn't end"));
            self.crashed.push(name.to_string());
        }
        self.links.iter().for_each(|links| links.lead_to(name, None));
        self.note(name, Process::Ended);
        Ok(())
    }

    async fn start_gateway(&mut self, name: &str) -> io::Result<()> {
        let Some(programs) = self.programs.clone() else { return Ok(()) };
        let bulletin = self.bulletins.get(name).or_else(|| self.bulletins.get(BULLETIN));
        let Some(bulletin) = bulletin.cloned() else { return Ok(()) };
        let door = self.links.as_ref().and_then(|links| links.door(name, BULLETIN));
        let place = Place {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            bulletin: door.unwrap_or(bulletin.address),
            known: bulletin.known(),
        };
        let config = config::config(&self.scenario, name, place);
        let more = match &self.links {
            Some(_) => vec!["--operator".to_string(), self.operator(&programs, name)?],
            None => Vec::new(),
        };
        let (address, start) = self.processes.start(&programs, name, &config, &more).await?;
        self.links.iter().for_each(|links| links.lead_to(name, None));
        let door = match &self.links {
            Some(links) => {
                links.lead(CLIENTS, name, Some(address));
                links.door(CLIENTS, name)
            }
            None => Some(address),
        };
        let reached = self.processes.peers_reach(name);
        self.links.iter().for_each(|links| links.lead_peers(name, reached));
        self.note(name, Process::Started(start));
        door.into_iter().for_each(|door| _ = self.doors.borrow_mut().insert(name.to_string(), door));
        Ok(())
    }

    /// A line of a gateway's operator's file with its directory and the doors to its peers.
    fn filled(&self, name: &str, line: &str, directory: &Path) -> String {
        let mut line = line.replace("{directory}", &directory.display().to_string());
        for gateway in &self.scenario.gateways {
            let door = self.links.as_ref().and_then(|links| links.door(name, &gateway.name));
            // Its own address nobody calls.
            let door = door.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 9)));
            line = line.replace(&format!("{{peer {}}}", gateway.name), &door.to_string());
        }
        line
    }

    /// Writes a gateway's operator's file: its record, and what the scenario says.
    fn operator(&self, programs: &Programs, name: &str) -> io::Result<String> {
        let own = directories::of(&programs.directory, name);
        std::fs::create_dir_all(&own)?;
        let mut text = format!("record-dir \"{}\"\n", own.join(RECORD).display());
        let spec = self.scenario.gateways.iter().find(|gateway| gateway.name == name);
        for line in spec.into_iter().flat_map(|spec| &spec.operator) {
            text += &self.filled(name, line, &own);
            text += "\n";
        }
        // Beside the directory: what is wiped is state, not the operator's own file.
        let path = programs.directory.join(format!("{name}.{OPERATOR}"));
        std::fs::write(&path, text)?;
        Ok(path.display().to_string())
    }
}
