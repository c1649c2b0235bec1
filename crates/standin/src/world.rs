//! Plays a scenario: starts what it names, does what it says at its times, and tells what came of it.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

use crate::bulletin::{Bulletin, Mood};
use crate::client::{Doors, Load};
use crate::engine::Engine;
use crate::ledger::{Ledger, Shared};
use crate::scenario::{Scenario, Step};

/// How long a gateway may take to listen, and to end.
const PATIENCE: Duration = Duration::from_secs(20);

/// Gateways that a scenario starts: the program, and what more it is told.
#[derive(Clone, Debug, Default)]
pub struct Programs {
    pub program: PathBuf,
    pub arguments: Vec<String>,
    pub variables: Vec<(String, String)>,
    /// Configurations and logs go there.
    pub directory: PathBuf,
}

struct Gateway {
    child: Child,
    log: PathBuf,
    starts: usize,
}

/// How one start of a gateway ended.
#[derive(Clone, Debug)]
pub struct Ending {
    pub name: String,
    pub log: PathBuf,
    /// Processor time of all its threads.
    pub cpu: Duration,
    /// Its last counters, unless it was killed.
    pub counters: Option<BTreeMap<String, u64>>,
}

#[derive(Debug)]
pub struct Played {
    pub ledger: Ledger,
    pub endings: Vec<Ending>,
}

struct World {
    scenario: Scenario,
    programs: Option<Programs>,
    ledger: Shared,
    doors: Doors,
    bulletin: Rc<Bulletin>,
    engines: Vec<Rc<Engine>>,
    gateways: BTreeMap<String, Gateway>,
    starts: BTreeMap<String, usize>,
    endings: Vec<Ending>,
}

/// Plays it on this thread, until its time is over and all clients have their answers.
pub fn play(scenario: Scenario, programs: Option<Programs>) -> io::Result<Played> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async { World::start(scenario, programs).await?.play().await })
}

impl World {
    async fn start(scenario: Scenario, programs: Option<Programs>) -> io::Result<Self> {
        let ledger = Shared::default();
        let bulletin = Bulletin::start(scenario.bulletin).await?;
        let effects: BTreeMap<String, &'static str> =
            scenario.classes.iter().map(|class| (class.name.clone(), class.effect)).collect();
        let mut engines = Vec::new();
        for (number, spec) in scenario.engines.iter().enumerate() {
            let seed = scenario.seed.wrapping_mul(31).wrapping_add(number as u64);
            engines.push(Engine::start(spec.clone(), effects.clone(), ledger.clone(), seed).await?);
        }
        let world = World {
            ledger,
            doors: Doors::default(),
            bulletin,
            engines,
            gateways: BTreeMap::new(),
            starts: BTreeMap::new(),
            endings: Vec::new(),
            scenario,
            programs,
        };
        world.bulletin.tell(true, world.engines.iter().map(|engine| listed(engine, "up", 0)).collect());
        Ok(world)
    }

    async fn play(mut self) -> io::Result<Played> {
        println!("the bulletin listens on {}", self.bulletin.address);
        for engine in &self.engines {
            println!("engine {} listens on {}", engine.spec.name, engine.address);
        }
        let mut steps: Vec<Step> = self.scenario.steps.clone();
        for gateway in self.scenario.gateways.iter().filter(|_| self.programs.is_some()) {
            let names = vec![gateway.name.clone()];
            let (share, lasts) = (1.0, Duration::ZERO);
            steps.push(Step { at: gateway.start, action: "start-gateway", share, names, lasts });
        }
        steps.sort_by_key(|step| step.at);
        let first = steps.iter().take_while(|step| step.at.is_zero()).count();
        for step in steps.drain(..first).collect::<Vec<_>>() {
            self.step(&step).await?;
        }
        let began = Instant::now();
        let endless = self.scenario.time.is_zero();
        let until = if endless { Duration::from_secs(86_400) } else { self.scenario.time };
        let mut loads = Vec::new();
        for (number, spec) in self.scenario.loads.iter().enumerate() {
            let class = self.scenario.classes.iter().find(|class| class.name == spec.class);
            let keyed = class.is_some_and(|class| class.effect == "keyed");
            let threads = class.map_or(1, |class| class.threads);
            let seed = self.scenario.seed.wrapping_mul(1009).wrapping_add(number as u64);
            let (doors, ledger) = (self.doors.clone(), self.ledger.clone());
            let load = Load::new(spec.clone(), keyed, threads, doors, ledger, seed);
            loads.push(spawn_local(load.run(began, until)));
        }
        for step in steps {
            sleep_until(began + step.at).await;
            self.step(&step).await?;
        }
        sleep_until(began + until).await;
        for load in loads {
            load.await.map_err(io::Error::other)?;
        }
        for name in self.gateways.keys().cloned().collect::<Vec<_>>() {
            self.signal(&name, Signal::TERM);
        }
        for name in self.gateways.keys().cloned().collect::<Vec<_>>() {
            self.ended(&name).await?;
        }
        let ledger = std::mem::take(&mut *self.ledger.borrow_mut());
        Ok(Played { ledger, endings: self.endings })
    }

    async fn step(&mut self, step: &Step) -> io::Result<()> {
        let engines: Vec<Rc<Engine>> =
            self.engines.iter().filter(|engine| step.names.contains(&engine.spec.name)).cloned().collect();
        let list = |health: &str, born_ms: u64| {
            let hosts = engines.iter().map(|engine| listed(engine, health, born_ms)).collect();
            self.bulletin.tell(false, hosts);
        };
        match step.action {
            "kill" => engines.iter().for_each(|engine| engine.kill()),
            "start" => {
                for engine in &engines {
                    engine.restart().await?;
                }
                list("up", unix_ms());
            }
            "vanish" => engines.iter().for_each(|engine| engine.vanish(step.lasts)),
            "reset" => engines.iter().for_each(|engine| engine.reset()),
            "stall" => engines.iter().for_each(|engine| engine.stall(step.lasts)),
            "errors" => engines.iter().for_each(|engine| engine.fail(step.share, step.lasts)),
            "busy" => engines.iter().for_each(|engine| engine.turn_away(step.lasts)),
            "drain" => list("draining", 0),
            "remove" => list("removed", 0),
            "list" => list("up", 0),
            "bulletin" => {
                let mood = match step.names[0].as_str() {
                    "down" => Mood::Down,
                    "silent" => Mood::Silent,
                    _ => Mood::Up,
                };
                self.bulletin.set(mood).await?;
            }
            "kill-gateway" => {
                for name in &step.names {
                    self.doors.borrow_mut().remove(name);
                    self.signal(name, Signal::KILL);
                    self.ended(name).await?;
                }
            }
            "stop-gateway" => {
                for name in &step.names {
                    self.doors.borrow_mut().remove(name);
                    self.signal(name, Signal::TERM);
                }
            }
            "start-gateway" => {
                for name in &step.names {
                    self.ended(name).await?;
                    self.start_gateway(name).await?;
                }
            }
            _ => {}
        }
        Ok(())
    }

    // ---- Gateways ----

    async fn start_gateway(&mut self, name: &str) -> io::Result<()> {
        let Some(programs) = self.programs.clone() else { return Ok(()) };
        let starts = self.starts.entry(name.to_string()).or_default();
        *starts += 1;
        let starts = *starts;
        let path = programs.directory.join(format!("{name}-{starts}.json"));
        std::fs::write(&path, serde_json::to_string_pretty(&self.config(name))?)?;
        let log = programs.directory.join(format!("{name}-{starts}.log"));
        let child = Command::new(&programs.program)
            .args(&programs.arguments)
            .env("EDGE_CONFIG", &path)
            .envs(programs.variables.iter().map(|(name, value)| (name, value)))
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        self.gateways.insert(name.to_string(), Gateway { child, log: log.clone(), starts });
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(address) = find(&log, "listens on ").and_then(|line| address(&line)) {
                self.doors.borrow_mut().insert(name.to_string(), address);
                return Ok(());
            }
            if Instant::now() > until {
                return Err(io::Error::other(format!(
                    "gateway {name} doesn't listen; see {}",
                    log.display()
                )));
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    fn signal(&self, name: &str, signal: Signal) {
        if let Some(gateway) = self.gateways.get(name) {
            // One that has ended already needs none.
            let _ = kill_process(Pid::from_child(&gateway.child), signal);
        }
    }

    /// Waits until a gateway has ended, if it runs, and notes how.
    async fn ended(&mut self, name: &str) -> io::Result<()> {
        let Some(mut gateway) = self.gateways.remove(name) else { return Ok(()) };
        self.doors.borrow_mut().remove(name);
        let until = Instant::now() + PATIENCE;
        let mut cpu = Duration::ZERO;
        while gateway.child.try_wait()?.is_none() {
            cpu = processor_time(gateway.child.id()).unwrap_or(cpu).max(cpu);
            if Instant::now() > until {
                gateway.child.kill()?;
                self.ledger.borrow_mut().break_rule(format!("gateway {name} doesn't end"));
            }
            sleep(Duration::from_millis(10)).await;
        }
        let counters = find(&gateway.log, "counters:").map(|line| counters(&line));
        let name = format!("{name}#{}", gateway.starts);
        self.endings.push(Ending { name, log: gateway.log, cpu, counters });
        Ok(())
    }

    fn config(&self, name: &str) -> Value {
        let own = self.scenario.gateways.iter().find(|gateway| gateway.name == name);
        let classes = &self.scenario.classes;
        let longest =
            self.scenario.loads.iter().map(|load| load.wait).max().unwrap_or(Duration::from_secs(5));
        let repeat = |effect| match effect {
            "keyed" => "token",
            "unsafe" => "side_effect",
            _ => "pure",
        };
        let grades: Vec<Value> = classes
            .iter()
            .map(|class| {
                json!({"name": class.name, "aim-us": class.aim.as_micros() as u64, "aim-stretch": 2.0,
                       "deadline-us": longest.as_micros() as u64, "value": 1.0,
                       "repeat": repeat(class.effect),
                       "group": "all", "window-us": 15_000_000})
            })
            .collect();
        let set = |of: fn(&crate::scenario::EngineSpec) -> &String| {
            let names: std::collections::BTreeSet<_> = self.scenario.engines.iter().map(of).collect();
            names.into_iter().cloned().collect::<Vec<_>>()
        };
        let (kinds, zones) = (set(|engine| &engine.kind), set(|engine| &engine.zone));
        let of_kind = |kind: &String| self.scenario.engines.iter().find(|engine| engine.kind == *kind);
        let cores: Vec<u64> = kinds.iter().filter_map(of_kind).map(|engine| engine.cores).collect();
        let memory: Vec<f64> = kinds.iter().filter_map(of_kind).map(|engine| engine.memory_mb).collect();
        let warm = self.scenario.engines.iter().map(|engine| engine.warm_up).max().unwrap_or_default();
        let orgs: Vec<Value> = self
            .scenario
            .tenants
            .iter()
            .map(|(name, quota)| json!({"name": name, "quota-rps": quota}))
            .collect();
        json!({
            "name": name, "listen": "127.0.0.1:0", "seed": format!("{:016x}", self.scenario.seed),
            "limits": {"cores": 1.0, "memory_mb": own.map_or(192, |own| own.memory_mb),
                       "sockets": own.map_or(1024, |own| own.sockets)},
            "bulletin": self.bulletin.address.to_string(),
            "known": self.bulletin.known(),
            "settings": {
                "tick-us": 1000, "peers-total": self.scenario.gateways.len().max(1), "az": 0,
                "zones": zones, "kinds": kinds, "grades": grades, "orgs": orgs,
                "extra": {"kind-cores": cores, "kind-memory-mb": memory,
                          "threads-by-class": classes.iter().map(|class| class.threads).collect::<Vec<_>>(),
                          "is-load": classes.iter().map(|class| class.is_load).collect::<Vec<_>>(),
                          "class-waits": vec![false; classes.len()],
                          "largest-share": 0.4, "note-period-us": 500_000, "bills": true},
                "report": {"fields": ["concurrent", "depth", "load_share"], "source": "inline"},
                "limits": {"may-cancel": true, "may-duplicate": false, "probes": true, "retry-after": true,
                           "max-attempts": 5, "max-retry-after-us": 1_000_000, "conn-idle-us": 30_000_000,
                           "dial-timeout-us": 250_000, "streams-per-conn": 32},
                "rules": {"warm-within-us": warm.as_micros() as u64, "start-capacity": 0.4,
                          "fall-multiple": 3.0,
                          "fall-us": 1_000_000, "further-ratio": 0.2, "ratio-span-us": 10_000_000,
                          "spare-attempts": 10, "drain-grace-us": 500_000, "grace-to-answer-us": 5000}
            }
        })
    }
}

fn listed(engine: &Engine, health: &str, born_ms: u64) -> Value {
    json!({"host": engine.spec.name, "dial": engine.address.to_string(), "site": engine.spec.zone,
           "class": engine.spec.kind, "block": 0, "health": health, "share": 1, "born_ms": born_ms})
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Of a process that still runs, by the system's own account.
fn processor_time(process: u32) -> Option<Duration> {
    let mut sum = 0;
    for task in std::fs::read_dir(format!("/proc/{process}/task")).ok()? {
        let told = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        sum += told.split(' ').next()?.parse::<u64>().ok()?;
    }
    Some(Duration::from_nanos(sum))
}

/// The last line of a log that holds a text.
fn find(log: &Path, text: &str) -> Option<String> {
    let lines = BufReader::new(File::open(log).ok()?).lines().map_while(Result::ok);
    lines.filter(|line| line.contains(text)).last()
}

fn address(line: &str) -> Option<SocketAddr> {
    line.split(' ').filter_map(|word| word.trim_matches('"').parse().ok()).next_back()
}

/// The counters of a line that tells them, by name.
pub fn counters(line: &str) -> BTreeMap<String, u64> {
    let pairs = line.split([' ', ';']).filter_map(|word| word.split_once('='));
    pairs.filter_map(|(name, value)| Some((name.to_string(), value.parse().ok()?))).collect()
}
