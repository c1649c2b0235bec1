//! A balancer with small settings, driven by hand, and helpers that read the actions it returns.
#![allow(dead_code)] // No test file uses all of the helpers.

pub mod small_shares;

use eideryard::balancer::Balancer;
use eideryard::interface::*;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// IDs of the classes in `settings()`.
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
        window: 10 * SECOND,
        is_ordered: false,
        zones_only: None,
        kinds_only: None,
        threads,
        is_load: false,
        waits_for_load: false,
    }
}

pub fn settings() -> Settings {
    let mut load = class(Effect::IdempotentWithKey, 3 * SECOND, 2.0);
    load.is_load = true;
    Settings {
        classes: vec![
            class(Effect::Idempotent, SECOND, 1.0),
            class(Effect::Idempotent, 3 * SECOND, 2.0),
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
        gateway_index: Some(0.0),
        zone: 0,
        tick: 5 * MILLISECOND,
        discovery: Discovery::Push,
        progress_interval: 500 * MILLISECOND,
        largest_share: 0.4,
        max_attempts: 4,
        may_cancel: true,
        may_hedge: false,
        may_probe: false,
        counts_by_probe: true,
        may_send_retry_after: true,
        max_retry_after: SECOND,
        overload_multiple: 2.0,
        overload_window: SECOND,
        start_capacity: 0.3,
        warm_up_duration: 15 * SECOND,
        ordering_delay: SECOND,
        retry_budget: None,
        poll_interval: 10 * SECOND,
        over_quota_weight: 0.2,
        cross_zone_tariff: 0.0,
        probe_tariff: 0.0,
    }
}

pub fn ready_endpoint(engine: EngineId) -> Endpoint {
    Endpoint {
        engine,
        ..Endpoint::default()
    }
}

pub fn lookup_request(id: RequestId, deadline: Micros) -> Request {
    Request {
        id,
        class: LOOKUP,
        tenant: 0,
        key: None,
        deadline,
        work: Some(100.0 * MILLISECOND as f64),
        memory_mb: Some(10.0),
        group: 1,
        prior_attempts: Vec::new(),
    }
}

pub fn report_request(id: RequestId, deadline: Micros, memory_mb: f64) -> Request {
    Request {
        class: REPORT,
        work: Some(2.0 * SECOND as f64),
        memory_mb: Some(memory_mb),
        ..lookup_request(id, deadline)
    }
}

pub fn load_request(id: RequestId, deadline: Micros) -> Request {
    Request {
        class: LOAD,
        work: Some(2.0 * SECOND as f64),
        memory_mb: Some(100.0),
        ..lookup_request(id, deadline)
    }
}

/// A balancer with a simulated clock: `advance` moves the clock and fires the timers that the
/// balancer has started.
pub struct TestGateway {
    pub balancer: Balancer,
    pub now: Micros,
    /// Actions that the last event led to.
    pub last_actions: Vec<Action>,
    timers: Vec<(Micros, u64)>,
}

impl TestGateway {
    pub fn new(settings: Settings, engines: &[Endpoint]) -> Self {
        Self::with_seed(settings, 7, engines)
    }

    pub fn with_seed(settings: Settings, seed: u64, engines: &[Endpoint]) -> Self {
        let mut gateway = TestGateway {
            balancer: Balancer::new(settings, seed, 1_000 * SECOND),
            now: 1_000 * SECOND,
            last_actions: Vec::new(),
            timers: Vec::new(),
        };
        gateway.handle(Event::EndpointSnapshot(engines.to_vec()));
        gateway
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { after, tag } = action {
                self.timers.push((self.now + (*after).max(1), *tag));
            }
        }
        self.last_actions = actions.clone();
        actions
    }

    pub fn submit(&mut self, request: Request) -> Vec<Action> {
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

    /// Ends an attempt; `change` sets fields beyond those that follow from the outcome.
    pub fn end_attempt_with(
        &mut self,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
        spent: Micros,
        change: impl FnOnce(&mut AttemptEnded),
    ) -> Vec<Action> {
        let is_request_complete = outcome == Outcome::Answered;
        let mut ended = AttemptEnded {
            request,
            attempt,
            outcome,
            spent,
            is_request_complete,
            is_already_reported: false,
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

    /// Moves the clock by `time` and returns the actions that the fired timers led to.
    pub fn advance(&mut self, time: Micros) -> Vec<Action> {
        let until = self.now + time;
        let mut actions = Vec::new();
        while let Some(next) = self
            .timers
            .iter()
            .enumerate()
            .min_by_key(|(_, timer)| **timer)
            .map(|(index, _)| index)
        {
            if self.timers[next].0 > until {
                break;
            }
            let (at, tag) = self.timers.swap_remove(next);
            self.now = self.now.max(at);
            actions.extend(self.handle(Event::Timer { tag }));
        }
        self.now = self.now.max(until);
        actions
    }
}

pub fn sent_attempts(actions: &[Action]) -> Vec<(RequestId, EngineId)> {
    let select = |action: &Action| match action {
        Action::Send {
            request, engine, ..
        } => Some((*request, *engine)),
        _ => None,
    };
    actions.iter().filter_map(select).collect()
}

pub fn grants(actions: &[Action]) -> Vec<(RequestId, f64, u8)> {
    let select = |action: &Action| match action {
        Action::Grant {
            request,
            grant_mb,
            rank,
        } => Some((*request, *grant_mb, *rank)),
        _ => None,
    };
    actions.iter().filter_map(select).collect()
}

pub fn refused_requests(actions: &[Action]) -> Vec<RequestId> {
    let select = |action: &Action| match action {
        Action::Refuse { request, .. } => Some(*request),
        _ => None,
    };
    actions.iter().filter_map(select).collect()
}

pub fn failed_requests(actions: &[Action]) -> Vec<RequestId> {
    let select = |action: &Action| match action {
        Action::Fail { request } => Some(*request),
        _ => None,
    };
    actions.iter().filter_map(select).collect()
}

pub fn cancelled_attempts(actions: &[Action]) -> Vec<(RequestId, usize)> {
    let select = |action: &Action| match action {
        Action::Cancel { request, attempt } => Some((*request, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(select).collect()
}
