//! Simulates the total load that all gateways of a fleet send to engines that have just started.
//! Each gateway is an instance of the real balancer, in virtual time, and gateways don't
//! communicate. Engines are simple queues. The result compares the calls at each cold engine with
//! the limits of the settings, and reports the value of the requests answered in time.
//!
//! Each seed draws the fleet's size, the slow-start settings, unequal traffic per gateway, a burst,
//! the time at which each gateway receives the endpoint list, gateway restarts while the engines
//! are cold, and dials that take long to connect.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use eideryard::balancer::Balancer;
use eideryard::interface::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

mod settings;

use settings::{draw_settings, warmth};

/// One second in virtual time.
const S: Micros = 1_000_000;
/// When the cold engines start. The simulation begins [`LEAD_TIME`] before that and ends
/// [`OBSERVED_FOR`] after it.
const STARTED_AT: Micros = 1_000 * S;
const LEAD_TIME: Micros = 2 * S;
const OBSERVED_FOR: Micros = 7 * S;
/// Share of requests that are reports; the others are look-ups. [`REQUEST_VALUE`] and
/// [`REQUEST_THREADS`] are indexed by class: 0 is look-ups, 1 is reports.
const REPORT_SHARE: f64 = 0.15;
const REQUEST_VALUE: [f64; 2] = [1.0, 8.0];
const REQUEST_THREADS: [f64; 2] = [1.0, 2.0];

/// Parts of the mechanism that are switched off, to show that the check fails without them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Disabled {
    /// Gateways send on a connection without first asking the balancer whether the attempt may
    /// begin.
    pub start_checks: bool,
    /// Every dial connects immediately.
    pub slow_dials: bool,
    /// The endpoint list omits the engines' start times, so gateways treat cold engines as warm.
    pub start_times: bool,
}

/// What the simulation of one seed measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct SeedResult {
    /// Highest load of a cold engine in any window, in requests of mean work, divided by
    /// N + 2 root N + 2, where N is the number that the settings allow. Above 1 the engine is
    /// overloaded.
    pub load_over_bound: f64,
    /// The same load divided by N alone.
    pub load_over_budget: f64,
    /// Value of the requests answered within their latency objective, as a fraction (0 to 1) of
    /// the value of all.
    pub served_share: f64,
    /// Calls that reached cold engines over the whole simulation.
    pub calls: usize,
    /// Hash of every action of every gateway, with its time: equal decisions give equal hashes.
    pub decisions: u64,
}

#[derive(Clone, Debug)]
enum SimEvent {
    RequestArrives(usize),
    CallEnds {
        gateway: usize,
        incarnation: u32,
        request: RequestId,
        attempt: usize,
        engine: EngineId,
    },
    Timer {
        gateway: usize,
        incarnation: u32,
        tag: u64,
    },
    ListUpdated {
        gateway: usize,
    },
    GatewayRestarts(usize),
    DialConnects {
        gateway: usize,
        incarnation: u32,
        engine: EngineId,
    },
}

struct Gateway {
    balancer: Balancer,
    incarnation: u32,
    weight: f64,
    is_list_current: bool,
    sequence: u64,
    /// Attempts that wait for the connection to an engine. The list stays empty once connected.
    dials: HashMap<EngineId, Vec<(RequestId, usize)>>,
    requests: HashMap<RequestId, OpenRequest>,
}

struct OpenRequest {
    class: usize,
    work: f64,
    objective_at: Micros,
    attempts: usize,
    has_ended: bool,
    sent_at: Micros,
}

#[derive(Default)]
struct Engine {
    cores: f64,
    started_at: Option<Micros>,
    threads: f64,
    /// Start time and work of each call.
    calls: Vec<(Micros, f64)>,
}

struct Simulation {
    rng: StdRng,
    settings: Settings,
    seed: u64,
    disabled: Disabled,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, SimEvent>,
    event_count: u64,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    /// Number of cold engines; they are the first of `engines`.
    cold: usize,
    rate: f64,
    /// How long the burst lasts, and the factor by which it raises the request rate.
    burst: (Micros, f64),
    /// Mean work of a request, by class.
    means: [f64; 2],
    /// Value of the requests answered in time, and of all requests.
    value: (f64, f64),
    /// Total work of all requests, and their number.
    work: (f64, f64),
    decisions: DefaultHasher,
}

/// Simulates one seed with a fleet of `gateways` gateways.
pub fn play(seed: u64, gateways: usize, disabled: Disabled) -> SeedResult {
    let mut simulation = Simulation::new(seed, gateways, disabled);
    simulation.run();
    simulation.result()
}

impl Simulation {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn new(seed: u64, gateways: usize, disabled: Disabled) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ (gateways as u64) << 40);
        let engines = rng.random_range(6..=6 + gateways / 4);
        let cold = 1 + engines / 8;
        let cores = [8.0, 12.0, 16.0][rng.random_range(0..3)];
        let settings = draw_settings(&mut rng, gateways, cores);
        let means = [
            rng.random_range(0.1..0.26) * 1e6,
            rng.random_range(1.7..5.0) * 1e6,
        ];
        let mean_work = (1.0 - REPORT_SHARE) * means[0] + REPORT_SHARE * means[1];
        let capacity = (engines - cold) as f64 * cores / mean_work;
        let burst = (rng.random_range(2..6) * S, rng.random_range(1.0..2.4));
        let mut simulation = Simulation {
            rate: capacity * rng.random_range(0.5..0.9),
            rng,
            settings,
            seed,
            disabled,
            now: STARTED_AT - LEAD_TIME,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            event_count: 0,
            gateways: Vec::new(),
            engines: Vec::new(),
            cold,
            burst,
            means,
            value: (0.0, 0.0),
            work: (0.0, 0.0),
            decisions: DefaultHasher::new(),
        };
        for number in 0..engines {
            let started_at = (number < cold).then_some(STARTED_AT);
            simulation.engines.push(Engine {
                cores,
                started_at,
                ..Engine::default()
            });
        }
        for index in 0..gateways {
            let weight = if simulation.rng.random_bool(0.2) {
                4.0
            } else {
                simulation.rng.random_range(0.3..1.3)
            };
            let balancer = simulation.new_balancer(index, 0);
            let (dials, requests) = Default::default();
            simulation.gateways.push(Gateway {
                balancer,
                incarnation: 0,
                weight,
                is_list_current: false,
                sequence: 0,
                dials,
                requests,
            });
            simulation.send_endpoint_list(index);
            simulation.schedule_arrival(index);
            // Most gateways receive the new list within 2.4 s; one in ten is 5 s later, as if its
            // discovery stream had to reconnect.
            let delay = if simulation.rng.random_bool(0.1) {
                5 * S
            } else {
                0
            };
            let at = STARTED_AT + 400_000 + delay + simulation.rng.random_range(0..2 * S);
            simulation.schedule(at, SimEvent::ListUpdated { gateway: index });
            if simulation.rng.random_bool(0.3) {
                let at = STARTED_AT + simulation.rng.random_range(0..4 * S);
                simulation.schedule(at, SimEvent::GatewayRestarts(index));
            }
        }
        simulation
    }

    /// Creates a gateway's balancer. Its settings contain the gateway's index on even seeds only.
    fn new_balancer(&mut self, index: usize, incarnation: u32) -> Balancer {
        let knows_index = self.seed.is_multiple_of(2);
        let settings = Settings {
            gateway_index: knows_index.then_some(index as f64),
            ..self.settings.clone()
        };
        Balancer::new(
            settings,
            self.rng.random::<u64>() ^ u64::from(incarnation),
            self.now,
        )
    }

    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.event_count += 1;
        self.events.insert(self.event_count, event);
        self.queue.push(Reverse((at, self.event_count)));
    }

    fn schedule_arrival(&mut self, gateway: usize) {
        let gateway_count: f64 = if self.gateways.len() == 1 {
            1.0
        } else {
            self.gateways.len() as f64
        };
        let (length, factor) = self.burst;
        let in_burst = (STARTED_AT + S..STARTED_AT + S + length).contains(&self.now);
        let rate = self.rate * self.gateways[gateway].weight / gateway_count
            * if in_burst { factor } else { 1.0 };
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(
            self.now + wait as Micros + 1,
            SimEvent::RequestArrives(gateway),
        );
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > STARTED_AT + OBSERVED_FOR {
                return;
            }
            self.now = at;
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            self.on_event(event);
        }
    }

    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    fn on_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::RequestArrives(gateway) => {
                self.schedule_arrival(gateway);
                self.on_arrival(gateway);
            }
            SimEvent::ListUpdated { gateway } => {
                self.gateways[gateway].is_list_current = true;
                self.send_endpoint_list(gateway);
            }
            SimEvent::GatewayRestarts(gateway) => {
                let incarnation = self.gateways[gateway].incarnation + 1;
                let balancer = self.new_balancer(gateway, incarnation);
                let state = &mut self.gateways[gateway];
                (state.balancer, state.incarnation, state.sequence) = (balancer, incarnation, 0);
                (state.dials, state.requests) = Default::default();
                self.send_endpoint_list(gateway);
            }
            SimEvent::Timer {
                gateway,
                incarnation,
                tag,
            } if incarnation == self.gateways[gateway].incarnation => {
                self.handle(gateway, Event::Timer { tag });
            }
            SimEvent::DialConnects {
                gateway,
                incarnation,
                engine,
            } if incarnation == self.gateways[gateway].incarnation => {
                let waiting = self.gateways[gateway]
                    .dials
                    .insert(engine, Vec::new())
                    .unwrap_or_default();
                for (request, attempt) in waiting {
                    self.begin_call(gateway, request, attempt, engine);
                }
            }
            SimEvent::CallEnds {
                gateway,
                incarnation,
                request,
                attempt,
                engine,
            } => {
                let class = self.gateways[gateway]
                    .requests
                    .get(&request)
                    .map(|open| open.class);
                self.engines[engine as usize].threads -= REQUEST_THREADS[class.unwrap_or(0)];
                if incarnation == self.gateways[gateway].incarnation {
                    self.on_call_end(gateway, request, attempt, engine);
                }
            }
            SimEvent::Timer { .. } | SimEvent::DialConnects { .. } => {}
        }
    }

    fn send_endpoint_list(&mut self, gateway: usize) {
        let is_list_current = self.gateways[gateway].is_list_current;
        let entry = |(number, engine): (usize, &Engine)| Endpoint {
            engine: number as EngineId,
            phase: if engine.started_at.is_none() || is_list_current {
                Phase::Ready
            } else {
                Phase::Removed
            },
            booted_at: engine
                .started_at
                .filter(|_| !self.disabled.start_times)
                .unwrap_or(0),
            ..Endpoint::default()
        };
        let list = self.engines.iter().enumerate().map(entry).collect();
        self.handle(gateway, Event::EndpointSnapshot(list));
    }

    fn on_arrival(&mut self, gateway: usize) {
        let class = self.rng.random_bool(REPORT_SHARE) as usize;
        // Log-normal, with a standard deviation equal to the mean.
        let (a, b): (f64, f64) = (1.0 - self.rng.random::<f64>(), self.rng.random());
        let spread = (2f64).ln().sqrt();
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let work = self.means[class] * (spread * normal - spread * spread / 2.0).exp();
        let class_settings = &self.settings.classes[class];
        let objective_at = self.now
            + class_settings.latency_objective
            + (class_settings.latency_objective_per_work * work / REQUEST_THREADS[class]) as Micros;
        let state = &mut self.gateways[gateway];
        state.sequence += 1;
        // The same form as a gateway's request ids: generation and slot, which repeat across
        // processes.
        let id = state.sequence << 32;
        let open_request = OpenRequest {
            class,
            work,
            objective_at,
            attempts: 0,
            has_ended: false,
            sent_at: 0,
        };
        state.requests.insert(id, open_request);
        self.value.1 += REQUEST_VALUE[class];
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
        self.handle(gateway, Event::Arrived(request));
    }

    fn handle(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        let state = &mut self.gateways[gateway];
        state.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            (self.now, gateway, format!("{action:?}")).hash(&mut self.decisions);
            let incarnation = self.gateways[gateway].incarnation;
            match action {
                Action::Send {
                    request, engine, ..
                } => self.start_attempt(gateway, request, engine),
                Action::SetTimer { after, tag } => {
                    self.schedule(
                        self.now + after.max(1),
                        SimEvent::Timer {
                            gateway,
                            incarnation,
                            tag,
                        },
                    );
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    let open_request = self.gateways[gateway].requests.get_mut(&request);
                    for open_request in open_request.into_iter() {
                        open_request.has_ended = true;
                    }
                }
                Action::Probe { engine } => {
                    let report = self.load_report(engine);
                    let probed = ProbeEnded {
                        engine,
                        outcome: Outcome::Answered,
                        report,
                    };
                    self.handle(gateway, Event::ProbeEnded(probed));
                }
                _ => {}
            }
        }
    }

    fn load_report(&self, engine: EngineId) -> Option<LoadReport> {
        let engine = &self.engines[engine as usize];
        Some(LoadReport {
            in_flight: Some(engine.threads / 1.15),
            ..LoadReport::default()
        })
    }

    /// Sends an attempt. The first one to an engine dials it; a third of the dials take 0.1 to
    /// 1.5 s to connect, and attempts wait until then.
    fn start_attempt(&mut self, gateway: usize, request: RequestId, engine: EngineId) {
        let is_slow = !self.disabled.slow_dials && self.rng.random_bool(1.0 / 3.0);
        let state = &mut self.gateways[gateway];
        let Some(open_request) = state.requests.get_mut(&request) else {
            return;
        };
        let attempt = open_request.attempts;
        (open_request.attempts, open_request.sent_at) = (attempt + 1, self.now);
        let has_dialled = state.dials.contains_key(&engine);
        let is_dialling = state
            .dials
            .get(&engine)
            .is_some_and(|waiting| !waiting.is_empty());
        if is_dialling || is_slow && !has_dialled {
            state
                .dials
                .entry(engine)
                .or_default()
                .push((request, attempt));
            if !has_dialled {
                let (incarnation, up) = (
                    state.incarnation,
                    self.now + self.rng.random_range(100_000..1_500_000),
                );
                self.schedule(
                    up,
                    SimEvent::DialConnects {
                        gateway,
                        incarnation,
                        engine,
                    },
                );
            }
            return;
        }
        state.dials.entry(engine).or_default();
        self.begin_call(gateway, request, attempt, engine);
    }

    fn begin_call(&mut self, gateway: usize, request: RequestId, attempt: usize, engine: EngineId) {
        let state = &mut self.gateways[gateway];
        if !self.disabled.start_checks && !state.balancer.may_begin(self.now, request, attempt) {
            return self.report_attempt_end(gateway, request, attempt, Outcome::NotSent);
        }
        let Some(open_request) = state.requests.get(&request) else {
            return;
        };
        let (threads, work, incarnation) = (
            REQUEST_THREADS[open_request.class],
            open_request.work,
            state.incarnation,
        );
        let target = &mut self.engines[engine as usize];
        target.calls.push((self.now, work));
        target.threads += threads;
        let warm = warmth(&self.settings, target.started_at, self.now);
        let slowdown = (target.threads / (target.cores * warm)).max(1.0);
        let until = self.now + (work / threads * slowdown) as Micros + 1;
        self.schedule(
            until,
            SimEvent::CallEnds {
                gateway,
                incarnation,
                request,
                attempt,
                engine,
            },
        );
    }

    fn on_call_end(
        &mut self,
        gateway: usize,
        request: RequestId,
        attempt: usize,
        engine: EngineId,
    ) {
        let Some(open_request) = self.gateways[gateway].requests.get_mut(&request) else {
            return;
        };
        if !open_request.has_ended && self.now <= open_request.objective_at {
            self.value.0 += REQUEST_VALUE[open_request.class];
        }
        open_request.has_ended = true;
        let _ = engine;
        self.report_attempt_end(gateway, request, attempt, Outcome::Answered);
    }

    fn report_attempt_end(
        &mut self,
        gateway: usize,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
    ) {
        let Some(open_request) = self.gateways[gateway].requests.get(&request) else {
            return;
        };
        let usage = (outcome == Outcome::Answered).then_some(ResourceUsage {
            work: open_request.work,
            memory_mb: 50.0,
        });
        let spent = self.now.saturating_sub(open_request.sent_at);
        let is_request_complete = open_request.has_ended;
        let ended = AttemptEnded {
            request,
            attempt,
            outcome,
            spent,
            is_request_complete,
            is_already_reported: false,
            usage,
            report: None,
        };
        self.handle(gateway, Event::AttemptEnded(ended));
    }

    fn result(&self) -> SeedResult {
        let mean = self.work.0 / self.work.1.max(1.0);
        let served_share = self.value.0 / self.value.1.max(1.0);
        let mut result = SeedResult {
            served_share,
            decisions: self.decisions.finish(),
            ..SeedResult::default()
        };
        for engine in &self.engines[..self.cold] {
            result.calls += engine.calls.len();
            let (mut from, mut work) = (0, 0.0);
            for &(at, call_work) in &engine.calls {
                work += call_work;
                while engine.calls[from].0 + self.settings.overload_window <= at {
                    work -= engine.calls[from].1;
                    from += 1;
                }
                // The limit follows from the engine's capacity at the start of the window.
                let start = at.saturating_sub(self.settings.overload_window);
                let capacity = engine.cores * warmth(&self.settings, engine.started_at, start);
                let allowed = self.settings.overload_multiple
                    * capacity
                    * self.settings.overload_window as f64
                    / mean;
                let sent = work / mean;
                result.load_over_budget = result.load_over_budget.max(sent / allowed);
                result.load_over_bound = result
                    .load_over_bound
                    .max(sent / (allowed + 2.0 * allowed.sqrt() + 2.0));
            }
        }
        result
    }
}
