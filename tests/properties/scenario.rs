//! Drives a gateway with random settings by random events and passes its actions to the rule
//! checker.

use super::common::*;
use super::rule_checker::RuleChecker;
use eideryard::interface::*;
use std::collections::VecDeque;

fn random_settings(rng: &mut fastrand::Rng) -> Settings {
    let mut settings = settings();
    let mut non_idempotent_load = class(Effect::NonIdempotent, 3 * SECOND, 2.0);
    non_idempotent_load.is_load = true;
    settings.classes.push(non_idempotent_load);
    settings.classes[LOAD].is_ordered = true;
    settings.peers = [1.0, 3.0, 20.0, 30.0, 90.0][rng.usize(..5)];
    (settings.may_probe, settings.counts_by_probe) = (rng.bool(), rng.bool());
    (settings.may_cancel, settings.may_hedge) = (rng.bool(), rng.bool());
    settings.progress_interval = if rng.bool() { 500 * MILLISECOND } else { 0 };
    settings.ordering_delay = rng.u64(0..2 * SECOND);
    settings.max_attempts = rng.usize(1..7);
    for class in &mut settings.classes {
        class.window = [100 * MILLISECOND, SECOND, 10 * SECOND][rng.usize(..3)];
    }
    for class in &mut settings.classes {
        class.latency_objective = [100 * MILLISECOND, SECOND, 5 * SECOND][rng.usize(..3)];
    }
    settings.overload_window = [SECOND, 3 * SECOND][rng.usize(..2)];
    let ratio = rng.f64() * 0.5;
    settings.retry_budget = rng.bool().then_some(RetryBudgetSettings {
        span: 5 * SECOND,
        ratio,
        spare: 3.0,
    });
    settings
}

/// Number of requests in one scenario.
const REQUESTS: u64 = 250;
const FAILURES: [Outcome; 5] = [
    Outcome::Error,
    Outcome::AtCapacity,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Broken,
];

/// A request and the index of one of its attempts, from 0.
type AttemptKey = (RequestId, usize);

/// A gateway with random settings, its rule checker and its attempts in flight.
pub(super) struct Scenario {
    rng: fastrand::Rng,
    /// Source of the delays of first bytes, separate so that the delays don't change the other
    /// random choices.
    dial_rng: fastrand::Rng,
    gateway: TestGateway,
    checker: RuleChecker,
    engines: Vec<Endpoint>,
    /// Share of attempts that fail.
    failure_rate: f64,
    /// Share of attempts whose first byte is delayed, as if connecting were slow.
    delayed_share: f64,
    in_flight: Vec<AttemptKey>,
    delayed: Vec<AttemptKey>,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = random_settings(&mut rng);
        let engines: Vec<Endpoint> = (1..=rng.u32(2..12)).map(ready_endpoint).collect();
        let delayed_share = [0.0, 0.5][rng.usize(..2)];
        let dial_rng = rng.fork();
        let failure_rate = rng.f64();
        Scenario {
            rng,
            dial_rng,
            gateway: TestGateway::with_seed(settings.clone(), seed, &engines),
            checker: RuleChecker::new(settings),
            engines,
            failure_rate,
            delayed_share,
            in_flight: Vec::new(),
            delayed: Vec::new(),
        }
    }

    /// Runs a scenario to its end and returns its checker.
    pub(super) fn run(seed: u64) -> RuleChecker {
        let mut scenario = Scenario::new(seed);
        for id in 0..REQUESTS {
            let actions = scenario.random_event(id);
            scenario.apply_actions(actions);
            // Time advances in small steps, so that the checker sees the timers' actions at the
            // right time.
            for _ in 0..scenario.rng.u32(..40) {
                let actions = scenario.gateway.advance(5 * MILLISECOND);
                scenario.apply_actions(actions);
            }
        }
        scenario.checker
    }

    fn random_event(&mut self, id: RequestId) -> Vec<Action> {
        let request = self.random_request(id);
        match self.rng.u32(..20) {
            0 => self.disconnect_client(id),
            1 => self.change_endpoint(),
            2..=9 if !self.in_flight.is_empty() => self.end_random_attempt(),
            10..=12 if !self.delayed.is_empty() => {
                let index = self.dial_rng.usize(..self.delayed.len());
                let attempt = self.delayed.swap_remove(index);
                self.begin_attempt(attempt)
            }
            _ => {
                let request = Request {
                    group: self.rng.u64(..30),
                    ..request
                };
                self.checker.on_request(self.gateway.now, &request);
                self.gateway.submit(request)
            }
        }
    }

    fn random_request(&mut self, id: RequestId) -> Request {
        let class = self.rng.usize(..4);
        let wait = if self.rng.bool() {
            self.rng.u64(SECOND..20 * SECOND)
        } else {
            100 * MILLISECOND
        };
        let key = (class == LOAD).then(|| format!("k{}", self.rng.u32(..4)));
        Request {
            class,
            key,
            ..lookup_request(id, self.gateway.now + wait)
        }
    }

    fn disconnect_client(&mut self, last_id: RequestId) -> Vec<Action> {
        let request = self.rng.u64(..last_id + 1);
        if let Some(observed) = self.checker.requests.get_mut(&request) {
            observed.has_ended = true;
        }
        self.gateway.handle(Event::ClientLeft { request })
    }

    fn change_endpoint(&mut self) -> Vec<Action> {
        let mut endpoint = self.engines[self.rng.usize(..self.engines.len())];
        endpoint.phase = [Phase::Ready, Phase::Draining, Phase::Removed][self.rng.usize(..3)];
        if endpoint.phase == Phase::Ready {
            self.checker.closed_engines.remove(&endpoint.engine);
        } else {
            self.checker.closed_engines.insert(endpoint.engine);
        }
        self.gateway.handle(Event::EndpointChanges(vec![endpoint]))
    }

    fn end_random_attempt(&mut self) -> Vec<Action> {
        let index = self.rng.usize(..self.in_flight.len());
        let attempt = self.in_flight.swap_remove(index);
        let outcome = if self.rng.f64() < self.failure_rate {
            FAILURES[self.rng.usize(..FAILURES.len())]
        } else {
            Outcome::Answered
        };
        self.end_attempt(attempt, outcome)
    }

    /// Sends the first byte of an attempt, unless the balancer withdraws the attempt.
    fn begin_attempt(&mut self, attempt: AttemptKey) -> Vec<Action> {
        let (request, number) = attempt;
        let now = self.gateway.now;
        if !self.gateway.balancer.may_begin(now, request, number) {
            return self.end_attempt(attempt, Outcome::NotSent);
        }
        self.checker.on_first_byte(now, attempt);
        self.in_flight.push(attempt);
        Vec::new()
    }

    fn end_attempt(&mut self, attempt: AttemptKey, outcome: Outcome) -> Vec<Action> {
        let (request, number) = attempt;
        let checker = &mut self.checker;
        let is_request_complete =
            outcome == Outcome::Answered || checker.requests[&request].has_ended;
        let now = self.gateway.now;
        self.gateway
            .end_attempt_with(request, number, outcome, SECOND, |ended| {
                ended.is_request_complete = is_request_complete;
                checker.on_attempt_ended(now, ended);
            })
    }

    /// Checks the actions in order and carries them out. Actions that result from carrying them out
    /// are appended to the queue.
    fn apply_actions(&mut self, actions: Vec<Action>) {
        let mut pending = VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            self.checker.on_action(self.gateway.now, &action);
            pending.extend(self.apply_action(&action));
        }
    }

    /// Carries out an action: a cancel takes effect at once, and a probe reports one query in
    /// flight.
    fn apply_action(&mut self, action: &Action) -> Vec<Action> {
        match *action {
            Action::Send { request, .. } => {
                let attempt = (request, self.checker.requests[&request].attempts.len() - 1);
                if self.dial_rng.f64() < self.delayed_share {
                    self.delayed.push(attempt);
                    Vec::new()
                } else {
                    self.begin_attempt(attempt)
                }
            }
            Action::Cancel { request, attempt } => self.cancel_attempt((request, attempt)),
            Action::Probe { engine } => {
                let report = LoadReport {
                    in_flight: Some(1.0),
                    ..LoadReport::default()
                };
                self.gateway.handle(Event::ProbeEnded(ProbeEnded {
                    engine,
                    outcome: Outcome::Answered,
                    report: Some(report),
                }))
            }
            _ => Vec::new(),
        }
    }

    fn cancel_attempt(&mut self, attempt: AttemptKey) -> Vec<Action> {
        if self.in_flight.contains(&attempt) {
            self.in_flight.retain(|other| *other != attempt);
            self.end_attempt(attempt, Outcome::Cancelled)
        } else if self.delayed.contains(&attempt) {
            self.delayed.retain(|other| *other != attempt);
            self.end_attempt(attempt, Outcome::NotSent)
        } else {
            Vec::new()
        }
    }
}
