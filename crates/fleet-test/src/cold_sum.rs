//! What all gateways together send to an engine that has just started: the real decision module,
//! many times, in virtual time, without any word among them. Engines are simple queues; what is
//! judged is the sum of calls at the cold ones, beside what the settings allow, and the worth
//! served.
//!
//! Drawn for each seed: sizes, the rule's figures, unequal traffic, a burst, a list that each
//! gateway sees at its own time, restarts while the engine is cold, dials that come up late.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use eideryard::balancer::Balancer;
use eideryard::interface::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

mod settings;

use settings::{settings, warmth};

const S: Micros = 1_000_000;
/// When the cold engines start, and how long they are watched.
const BORN: Micros = 1_000 * S;
const BEFORE: Micros = 2 * S;
const WATCHED: Micros = 7 * S;
/// Worths and shares of the two classes: look-ups, and reports on two threads.
const REPORTS: f64 = 0.15;
const WORTH: [f64; 2] = [1.0, 8.0];
const THREADS: [f64; 2] = [1.0, 2.0];

/// What is left out, to show what it is for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Without {
    /// Nobody asks the module before a first byte.
    pub asking: bool,
    /// Every dial comes up at once.
    pub late_dials: bool,
    /// The list doesn't tell when engines started.
    pub cold: bool,
}

/// One seed's figures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sum {
    /// Requests of mean work in the worst window at a cold engine, over N + 2 root N + 2; above 1
    /// it falls.
    pub over_bound: f64,
    /// The same over N alone.
    pub over_budget: f64,
    /// Worth served in time, as a part of all.
    pub served: f64,
    /// Calls within the window.
    pub calls: usize,
    /// A hash of every action of every gateway, with its time: equal decisions give equal hashes.
    pub decisions: u64,
}

#[derive(Clone, Debug)]
enum What {
    Arrives(usize),
    Ends {
        gateway: usize,
        life: u32,
        request: RequestId,
        attempt: usize,
        engine: EngineId,
    },
    Timer {
        gateway: usize,
        life: u32,
        tag: u64,
    },
    Told {
        gateway: usize,
    },
    Restarts(usize),
    DialUp {
        gateway: usize,
        life: u32,
        engine: EngineId,
    },
}

struct Own {
    module: Balancer,
    life: u32,
    weight: f64,
    told: bool,
    sequence: u64,
    /// What waits for a dial, by engine; nothing waits once it is up.
    dials: HashMap<EngineId, Vec<(RequestId, usize)>>,
    requests: HashMap<RequestId, Asked>,
}

struct Asked {
    class: usize,
    work: f64,
    due: Micros,
    attempts: usize,
    over: bool,
    sent_at: Micros,
}

#[derive(Default)]
struct Engine {
    cores: f64,
    born: Option<Micros>,
    threads: f64,
    /// When each call began here, and its work.
    calls: Vec<(Micros, f64)>,
}

struct World {
    rng: StdRng,
    set: Settings,
    seed: u64,
    without: Without,
    now: Micros,
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    happens: HashMap<u64, What>,
    counted: u64,
    gateways: Vec<Own>,
    engines: Vec<Engine>,
    /// The first so many are cold.
    cold: usize,
    rate: f64,
    burst: (Micros, f64),
    means: [f64; 2],
    worth: (f64, f64),
    work: (f64, f64),
    decisions: DefaultHasher,
}

/// Plays one seed with so many gateways.
pub fn play(seed: u64, gateways: usize, without: Without) -> Sum {
    let mut world = World::new(seed, gateways, without);
    world.run();
    world.sum()
}

impl World {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn new(seed: u64, gateways: usize, without: Without) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ (gateways as u64) << 40);
        let engines = rng.random_range(6..=6 + gateways / 4);
        let cold = 1 + engines / 8;
        let cores = [8.0, 12.0, 16.0][rng.random_range(0..3)];
        let set = settings(&mut rng, gateways, cores);
        let means = [
            rng.random_range(0.1..0.26) * 1e6,
            rng.random_range(1.7..5.0) * 1e6,
        ];
        let usual = (1.0 - REPORTS) * means[0] + REPORTS * means[1];
        let capacity = (engines - cold) as f64 * cores / usual;
        let burst = (rng.random_range(2..6) * S, rng.random_range(1.0..2.4));
        let mut world = World {
            rate: capacity * rng.random_range(0.5..0.9),
            rng,
            set,
            seed,
            without,
            now: BORN - BEFORE,
            heap: BinaryHeap::new(),
            happens: HashMap::new(),
            counted: 0,
            gateways: Vec::new(),
            engines: Vec::new(),
            cold,
            burst,
            means,
            worth: (0.0, 0.0),
            work: (0.0, 0.0),
            decisions: DefaultHasher::new(),
        };
        for number in 0..engines {
            let born = (number < cold).then_some(BORN);
            world.engines.push(Engine {
                cores,
                born,
                ..Engine::default()
            });
        }
        for index in 0..gateways {
            let weight = if world.rng.random_bool(0.2) {
                4.0
            } else {
                world.rng.random_range(0.3..1.3)
            };
            let module = world.module(index, 0);
            let (dials, requests) = Default::default();
            world.gateways.push(Own {
                module,
                life: 0,
                weight,
                told: false,
                sequence: 0,
                dials,
                requests,
            });
            world.tell_list(index);
            world.arrival(index);
            // Most hear within seconds, some only when their list comes back.
            let late = if world.rng.random_bool(0.1) { 5 * S } else { 0 };
            let at = BORN + 400_000 + late + world.rng.random_range(0..2 * S);
            world.at(at, What::Told { gateway: index });
            if world.rng.random_bool(0.3) {
                let at = BORN + world.rng.random_range(0..4 * S);
                world.at(at, What::Restarts(index));
            }
        }
        world
    }

    /// Settings tell each its number on every other seed.
    fn module(&mut self, index: usize, life: u32) -> Balancer {
        let told = self.seed.is_multiple_of(2);
        let set = Settings {
            gateway_index: told.then_some(index as f64),
            ..self.set.clone()
        };
        Balancer::new(set, self.rng.random::<u64>() ^ u64::from(life), self.now)
    }

    fn at(&mut self, at: Micros, what: What) {
        self.counted += 1;
        self.happens.insert(self.counted, what);
        self.heap.push(Reverse((at, self.counted)));
    }

    fn arrival(&mut self, gateway: usize) {
        let all: f64 = if self.gateways.len() == 1 {
            1.0
        } else {
            self.gateways.len() as f64
        };
        let (length, times) = self.burst;
        let in_burst = (BORN + S..BORN + S + length).contains(&self.now);
        let rate =
            self.rate * self.gateways[gateway].weight / all * if in_burst { times } else { 1.0 };
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.at(self.now + wait as Micros + 1, What::Arrives(gateway));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.heap.pop() {
            if at > BORN + WATCHED {
                return;
            }
            self.now = at;
            let Some(what) = self.happens.remove(&number) else {
                continue;
            };
            self.happened(what);
        }
    }

    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    fn happened(&mut self, what: What) {
        match what {
            What::Arrives(gateway) => {
                self.arrival(gateway);
                self.arrives(gateway);
            }
            What::Told { gateway } => {
                self.gateways[gateway].told = true;
                self.tell_list(gateway);
            }
            What::Restarts(gateway) => {
                let life = self.gateways[gateway].life + 1;
                let module = self.module(gateway, life);
                let own = &mut self.gateways[gateway];
                (own.module, own.life, own.sequence) = (module, life, 0);
                (own.dials, own.requests) = Default::default();
                self.tell_list(gateway);
            }
            What::Timer { gateway, life, tag } if life == self.gateways[gateway].life => {
                self.tell(gateway, Event::Timer { tag });
            }
            What::DialUp {
                gateway,
                life,
                engine,
            } if life == self.gateways[gateway].life => {
                let waiting = self.gateways[gateway]
                    .dials
                    .insert(engine, Vec::new())
                    .unwrap_or_default();
                for (request, attempt) in waiting {
                    self.begins(gateway, request, attempt, engine);
                }
            }
            What::Ends {
                gateway,
                life,
                request,
                attempt,
                engine,
            } => {
                let class = self.gateways[gateway]
                    .requests
                    .get(&request)
                    .map(|asked| asked.class);
                self.engines[engine as usize].threads -= THREADS[class.unwrap_or(0)];
                if life == self.gateways[gateway].life {
                    self.ended(gateway, request, attempt, engine);
                }
            }
            What::Timer { .. } | What::DialUp { .. } => {}
        }
    }

    fn tell_list(&mut self, gateway: usize) {
        let told = self.gateways[gateway].told;
        let entry = |(number, engine): (usize, &Engine)| Endpoint {
            engine: number as EngineId,
            phase: if engine.born.is_none() || told {
                Phase::Ready
            } else {
                Phase::Removed
            },
            booted_at: engine.born.filter(|_| !self.without.cold).unwrap_or(0),
            ..Endpoint::default()
        };
        let list = self.engines.iter().enumerate().map(entry).collect();
        self.tell(gateway, Event::EndpointSnapshot(list));
    }

    fn arrives(&mut self, gateway: usize) {
        let class = self.rng.random_bool(REPORTS) as usize;
        // Log-normal, with a spread as wide as its mean.
        let (a, b): (f64, f64) = (1.0 - self.rng.random::<f64>(), self.rng.random());
        let spread = (2f64).ln().sqrt();
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let work = self.means[class] * (spread * normal - spread * spread / 2.0).exp();
        let set = &self.set.classes[class];
        let due = self.now
            + set.latency_objective
            + (set.latency_objective_per_work * work / THREADS[class]) as Micros;
        let own = &mut self.gateways[gateway];
        own.sequence += 1;
        // As the gateway numbers them: generation and slot, alike in every process.
        let id = own.sequence << 32;
        let asked = Asked {
            class,
            work,
            due,
            attempts: 0,
            over: false,
            sent_at: 0,
        };
        own.requests.insert(id, asked);
        self.worth.1 += WORTH[class];
        self.work = (self.work.0 + work, self.work.1 + 1.0);
        let request = Request {
            id,
            class,
            deadline: self.now + [4, 20][class] * S,
            work: Some(work),
            memory_mb: Some([40.0, 300.0][class]),
            group: self.rng.random_range(0..20),
            ..Request::default()
        };
        self.tell(gateway, Event::Arrived(request));
    }

    fn tell(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        let own = &mut self.gateways[gateway];
        own.module.handle(self.now, event, &mut actions);
        for action in actions {
            (self.now, gateway, format!("{action:?}")).hash(&mut self.decisions);
            let life = self.gateways[gateway].life;
            match action {
                Action::Send {
                    request, engine, ..
                } => self.sends(gateway, request, engine),
                Action::SetTimer { after, tag } => {
                    self.at(self.now + after.max(1), What::Timer { gateway, life, tag });
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    let asked = self.gateways[gateway].requests.get_mut(&request);
                    for asked in asked.into_iter() {
                        asked.over = true;
                    }
                }
                Action::Probe { engine } => {
                    let report = self.report(engine);
                    let probed = ProbeEnded {
                        engine,
                        outcome: Outcome::Answered,
                        report,
                    };
                    self.tell(gateway, Event::ProbeEnded(probed));
                }
                _ => {}
            }
        }
    }

    fn report(&self, engine: EngineId) -> Option<LoadReport> {
        let own = &self.engines[engine as usize];
        Some(LoadReport {
            in_flight: Some(own.threads / 1.15),
            ..LoadReport::default()
        })
    }

    /// The first attempt at an engine dials; a third of the dials come up late.
    fn sends(&mut self, gateway: usize, request: RequestId, engine: EngineId) {
        let late = !self.without.late_dials && self.rng.random_bool(1.0 / 3.0);
        let own = &mut self.gateways[gateway];
        let Some(asked) = own.requests.get_mut(&request) else {
            return;
        };
        let attempt = asked.attempts;
        (asked.attempts, asked.sent_at) = (attempt + 1, self.now);
        let dialled = own.dials.contains_key(&engine);
        let waits = own
            .dials
            .get(&engine)
            .is_some_and(|waiting| !waiting.is_empty());
        if waits || late && !dialled {
            own.dials
                .entry(engine)
                .or_default()
                .push((request, attempt));
            if !dialled {
                let (life, up) = (
                    own.life,
                    self.now + self.rng.random_range(100_000..1_500_000),
                );
                self.at(
                    up,
                    What::DialUp {
                        gateway,
                        life,
                        engine,
                    },
                );
            }
            return;
        }
        own.dials.entry(engine).or_default();
        self.begins(gateway, request, attempt, engine);
    }

    fn begins(&mut self, gateway: usize, request: RequestId, attempt: usize, engine: EngineId) {
        let own = &mut self.gateways[gateway];
        if !self.without.asking && !own.module.may_begin(self.now, request, attempt) {
            return self.told_end(gateway, request, attempt, Outcome::NotSent);
        }
        let Some(asked) = own.requests.get(&request) else {
            return;
        };
        let (threads, work, life) = (THREADS[asked.class], asked.work, own.life);
        let at = &mut self.engines[engine as usize];
        at.calls.push((self.now, work));
        at.threads += threads;
        let warm = warmth(&self.set, at.born, self.now);
        let crowd = (at.threads / (at.cores * warm)).max(1.0);
        let until = self.now + (work / threads * crowd) as Micros + 1;
        self.at(
            until,
            What::Ends {
                gateway,
                life,
                request,
                attempt,
                engine,
            },
        );
    }

    fn ended(&mut self, gateway: usize, request: RequestId, attempt: usize, engine: EngineId) {
        let Some(asked) = self.gateways[gateway].requests.get_mut(&request) else {
            return;
        };
        if !asked.over && self.now <= asked.due {
            self.worth.0 += WORTH[asked.class];
        }
        asked.over = true;
        let _ = engine;
        self.told_end(gateway, request, attempt, Outcome::Answered);
    }

    fn told_end(&mut self, gateway: usize, request: RequestId, attempt: usize, outcome: Outcome) {
        let Some(asked) = self.gateways[gateway].requests.get(&request) else {
            return;
        };
        let bill = (outcome == Outcome::Answered).then_some(ResourceUsage {
            work: asked.work,
            memory_mb: 50.0,
        });
        let spent = self.now.saturating_sub(asked.sent_at);
        let is_request_complete = asked.over;
        let ended = AttemptEnded {
            request,
            attempt,
            outcome,
            spent,
            is_request_complete,
            is_already_reported: false,
            usage: bill,
            report: None,
        };
        self.tell(gateway, Event::AttemptEnded(ended));
    }

    fn sum(&self) -> Sum {
        let mean = self.work.0 / self.work.1.max(1.0);
        let served = self.worth.0 / self.worth.1.max(1.0);
        let mut sum = Sum {
            served,
            decisions: self.decisions.finish(),
            ..Sum::default()
        };
        for engine in &self.engines[..self.cold] {
            sum.calls += engine.calls.len();
            let (mut from, mut work) = (0, 0.0);
            for &(at, own) in &engine.calls {
                work += own;
                while engine.calls[from].0 + self.set.overload_window <= at {
                    work -= engine.calls[from].1;
                    from += 1;
                }
                // What it can do in the window, by how warm it was at the window's start.
                let start = at.saturating_sub(self.set.overload_window);
                let able = engine.cores * warmth(&self.set, engine.born, start);
                let allowed =
                    self.set.overload_multiple * able * self.set.overload_window as f64 / mean;
                let sent = work / mean;
                sum.over_budget = sum.over_budget.max(sent / allowed);
                sum.over_bound = sum
                    .over_bound
                    .max(sent / (allowed + 2.0 * allowed.sqrt() + 2.0));
            }
        }
        sum
    }
}
