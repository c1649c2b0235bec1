//! A gateway with small settings, and shorthands to drive it and to look at what it did.
#![allow(dead_code)] // each test file uses its own part

pub mod small_shares;

use eideryard::balancer::Balancer;
use eideryard::interface::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// The classes of `settings()`, by position.
pub const LOOKUP: usize = 0;
pub const REPORT: usize = 1;
pub const LOAD: usize = 2;

pub fn class(effect: Effect, latency_objective: Micros, threads: f64) -> Class {
    Class {
        latency_objective,
        latency_objective_per_work: 2.0,
        priority_weight: 1.0,
        effect,
        scope: Scope::All,
        window: 10 * S,
        ordered: false,
        zones_only: None,
        kinds_only: None,
        threads,
        is_load: false,
        waits_for_load: false,
    }
}

pub fn settings() -> Settings {
    let mut load = class(Effect::IdempotentWithKey, 3 * S, 2.0);
    load.is_load = true;
    Settings {
        classes: vec![
            class(Effect::Idempotent, S, 1.0),
            class(Effect::Idempotent, 3 * S, 2.0),
            load,
        ],
        tenants: Vec::new(),
        kinds: vec![
            MachineKind {
                cores: 8.0,
                memory_mb: 8_000.0,
            },
            MachineKind {
                cores: 8.0,
                memory_mb: 8_000.0,
            },
        ],
        peers: 1.0,
        index: Some(0.0),
        zone: 0,
        tick: 5 * MS,
        discovery: Discovery::Push,
        progress_interval: 500 * MS,
        largest_share: 0.4,
        max_attempts: 4,
        may_cancel: true,
        may_hedge: false,
        may_probe: false,
        counts_by_probe: true,
        may_send_retry_after: true,
        max_retry_after: S,
        overload_multiple: 2.0,
        overload_window: S,
        start_capacity: 0.3,
        warm_up_duration: 15 * S,
        ordering_delay: S,
        retry_budget: None,
        poll_interval: 10 * S,
        over_quota_weight: 0.2,
        cross_zone_tariff: 0.0,
        probe_tariff: 0.0,
    }
}

pub fn ready(engine: EngineId) -> Endpoint {
    Endpoint {
        engine,
        ..Endpoint::default()
    }
}

pub fn lookup(id: RequestId, deadline: Micros) -> Request {
    Request {
        id,
        class: LOOKUP,
        tenant: 0,
        key: None,
        deadline,
        work: Some(100.0 * MS as f64),
        memory_mb: Some(10.0),
        group: 1,
        prior_attempts: Vec::new(),
    }
}

pub fn report(id: RequestId, deadline: Micros, memory_mb: f64) -> Request {
    Request {
        class: REPORT,
        work: Some(2.0 * S as f64),
        memory_mb: Some(memory_mb),
        ..lookup(id, deadline)
    }
}

pub fn load(id: RequestId, deadline: Micros) -> Request {
    Request {
        class: LOAD,
        work: Some(2.0 * S as f64),
        memory_mb: Some(100.0),
        ..lookup(id, deadline)
    }
}

/// A gateway, its clock, the actions of the last event and its timers, which fire as time passes.
pub struct Bench {
    pub balancer: Balancer,
    pub now: Micros,
    pub last: Vec<Action>,
    timers: Vec<(Micros, u64)>,
}

impl Bench {
    pub fn new(settings: Settings, engines: &[Endpoint]) -> Self {
        Self::seeded(settings, 7, engines)
    }

    pub fn seeded(settings: Settings, seed: u64, engines: &[Endpoint]) -> Self {
        let mut bench = Bench {
            balancer: Balancer::new(settings, seed, 1_000 * S),
            now: 1_000 * S,
            last: Vec::new(),
            timers: Vec::new(),
        };
        bench.handle(Event::EndpointSnapshot(engines.to_vec()));
        bench
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { after, tag } = action {
                self.timers.push((self.now + (*after).max(1), *tag));
            }
        }
        self.last = actions.clone();
        actions
    }

    pub fn request(&mut self, request: Request) -> Vec<Action> {
        self.handle(Event::Arrived(request))
    }

    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
        spent: Micros,
    ) -> Vec<Action> {
        self.end_attempt_with(request, attempt, outcome, spent, |_| ())
    }

    /// An end that bears more than its outcome.
    pub fn end_attempt_with(
        &mut self,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
        spent: Micros,
        change: impl FnOnce(&mut AttemptEnded),
    ) -> Vec<Action> {
        let complete = outcome == Outcome::Answered;
        let mut ended = AttemptEnded {
            request,
            attempt,
            outcome,
            spent,
            complete,
            already_reported: false,
            usage: None,
            report: None,
        };
        change(&mut ended);
        self.handle(Event::AttemptEnded(ended))
    }

    pub fn answer_with_usage(
        &mut self,
        request: RequestId,
        spent: Micros,
        usage: ResourceUsage,
    ) -> Vec<Action> {
        self.end_attempt_with(request, 0, Outcome::Answered, spent, |ended| {
            ended.usage = Some(usage);
        })
    }

    pub fn report_progress(
        &mut self,
        request: RequestId,
        attempt: usize,
        progress: Progress,
    ) -> Vec<Action> {
        self.handle(Event::ProgressReported {
            request,
            attempt,
            progress,
        })
    }

    /// Lets time pass; gives all that the timers brought about.
    pub fn advance(&mut self, time: Micros) -> Vec<Action> {
        let until = self.now + time;
        let mut all = Vec::new();
        while let Some(next) = self
            .timers
            .iter()
            .enumerate()
            .min_by_key(|(_, t)| **t)
            .map(|(i, _)| i)
        {
            if self.timers[next].0 > until {
                break;
            }
            let (at, tag) = self.timers.swap_remove(next);
            self.now = self.now.max(at);
            all.extend(self.handle(Event::Timer { tag }));
        }
        self.now = self.now.max(until);
        all
    }
}

pub fn sent(actions: &[Action]) -> Vec<(RequestId, EngineId)> {
    let pick = |action: &Action| match action {
        Action::Send {
            request, engine, ..
        } => Some((*request, *engine)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

pub fn grants(actions: &[Action]) -> Vec<(RequestId, f64, u8)> {
    let pick = |action: &Action| match action {
        Action::Grant {
            request,
            grant_mb,
            rank,
        } => Some((*request, *grant_mb, *rank)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

pub fn refused(actions: &[Action]) -> Vec<RequestId> {
    let pick = |action: &Action| match action {
        Action::Refuse { request, .. } => Some(*request),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

pub fn failed(actions: &[Action]) -> Vec<RequestId> {
    let pick = |action: &Action| match action {
        Action::Fail { request } => Some(*request),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

pub fn cancelled(actions: &[Action]) -> Vec<(RequestId, usize)> {
    let pick = |action: &Action| match action {
        Action::Cancel { request, attempt } => Some((*request, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}
