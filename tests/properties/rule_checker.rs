//! An observer that knows only a gateway's events and actions, and finds broken rules in them.

use super::NON_IDEMPOTENT;
use eideryard::interface::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub(super) struct ObservedRequest {
    pub(super) class: usize,
    pub(super) key: Option<String>,
    pub(super) has_ended: bool,
    pub(super) deadline: Micros,
    /// How each attempt ended, none while it is out.
    pub(super) attempts: Vec<Option<Outcome>>,
    pub(super) engines: Vec<EngineId>,
    /// When the first byte of each went out.
    pub(super) first_bytes: Vec<Option<Micros>>,
}

/// What an observer of a gateway's events and actions knows, and what it objects to.
pub(super) struct RuleChecker {
    pub(super) settings: Settings,
    pub(super) request_times: Vec<Micros>,
    pub(super) retries: Vec<Micros>,
    pub(super) requests: BTreeMap<RequestId, ObservedRequest>,
    pub(super) paused_keys: BTreeMap<String, Micros>,
    /// Engines that take nothing new, as the gateway was told.
    pub(super) closed_engines: BTreeSet<EngineId>,
    pub(super) violations: Vec<String>,
}

impl RuleChecker {
    pub(super) fn new(settings: Settings) -> Self {
        let (request_times, retries, violations, paused_keys, closed_engines) = Default::default();
        RuleChecker {
            settings,
            request_times,
            retries,
            requests: BTreeMap::new(),
            paused_keys,
            closed_engines,
            violations,
        }
    }

    pub(super) fn on_request(&mut self, now: Micros, request: &Request) {
        self.request_times.push(now);
        let (class, key, deadline) = (request.class, request.key.clone(), request.deadline);
        let observed = ObservedRequest {
            class,
            key,
            deadline,
            ..ObservedRequest::default()
        };
        self.requests.insert(request.id, observed);
    }

    pub(super) fn on_attempt_ended(&mut self, now: Micros, ended: &AttemptEnded) {
        let Some(observed) = self.requests.get_mut(&ended.request) else {
            return;
        };
        observed.attempts[ended.attempt] = Some(ended.outcome);
        observed.has_ended |= ended.complete;
        if matches!(
            ended.outcome,
            Outcome::TimedOut | Outcome::Broken | Outcome::Cancelled
        ) {
            if let Some(key) = &observed.key {
                self.paused_keys
                    .insert(key.clone(), now + self.settings.ordering_delay);
            }
        }
    }

    pub(super) fn on_action(&mut self, now: Micros, action: &Action) {
        match action {
            Action::Send {
                request, engine, ..
            } => self.on_send(now, *request, *engine),
            Action::Refuse { request, .. } => {
                let observed = self
                    .requests
                    .get_mut(request)
                    .expect("a request that was taken");
                if observed.class == NON_IDEMPOTENT
                    && observed.attempts.iter().any(|a| !never_ran(a))
                {
                    self.violations.push(format!(
                        "{request} is called safe to repeat and may have run"
                    ));
                }
                observed.has_ended = true;
            }
            Action::Fail { request } => {
                self.requests
                    .get_mut(request)
                    .expect("a request that was taken")
                    .has_ended = true;
            }
            _ => {}
        }
    }

    fn on_send(&mut self, now: Micros, request: RequestId, engine: EngineId) {
        let observed = &self.requests[&request];
        let mut violated = Vec::new();
        let in_flight = observed.attempts.iter().any(Option::is_none);
        if in_flight && !self.settings.may_hedge {
            violated.push("two attempts are out");
        }
        if observed.class == NON_IDEMPOTENT && observed.attempts.iter().any(|a| !never_ran(a)) {
            violated.push("an effect may come twice");
        }
        if let Some(key) = observed
            .key
            .as_ref()
            .filter(|_| self.settings.classes[observed.class].ordered)
        {
            let before = self
                .requests
                .range(..request)
                .filter(|(_, own)| own.key.as_ref() == Some(key));
            if before
                .clone()
                .any(|(_, own)| !own.has_ended || own.attempts.iter().any(Option::is_none))
            {
                violated.push("an earlier one of its key isn't over");
            }
            if observed.attempts.is_empty()
                && self.paused_keys.get(key).is_some_and(|until| now < *until)
            {
                violated.push("its key rests");
            }
        }
        self.violations.extend(
            violated
                .into_iter()
                .map(|why| format!("send of {request}: {why}")),
        );
        let observed = self.requests.get_mut(&request).unwrap();
        observed.attempts.push(None);
        observed.first_bytes.push(None);
        observed.engines.push(engine);
    }

    /// The first byte of an attempt goes out.
    pub(super) fn on_first_byte(&mut self, now: Micros, (request, attempt): (RequestId, usize)) {
        let observed = self.requests.get_mut(&request).unwrap();
        let mut violated = Vec::new();
        if observed.has_ended || now >= observed.deadline {
            violated.push("its client waits no more");
        }
        if self.closed_engines.contains(&observed.engines[attempt]) {
            violated.push("its engine drains or is gone");
        }
        let class = &self.settings.classes[observed.class];
        let before = observed
            .attempts
            .iter()
            .zip(&observed.first_bytes)
            .filter(|(outcome, _)| !never_ran(outcome));
        let ran = before.filter_map(|(_, first_bytes)| *first_bytes).min();
        if class.effect == Effect::IdempotentWithKey
            && ran.is_some_and(|ran| now >= ran + class.window)
        {
            violated.push("its key is forgotten");
        }
        let again = observed.first_bytes.iter().any(Option::is_some);
        observed.first_bytes[attempt] = Some(now);
        if let Some(budget) = self.settings.retry_budget.filter(|_| again) {
            let lately = |times: &[Micros]| {
                times.iter().filter(|at| **at + budget.span > now).count() as f64
            };
            self.retries.push(now);
            if lately(&self.retries) > budget.spare + budget.ratio * lately(&self.request_times) {
                violated.push("over the budget");
            }
        }
        self.violations.extend(
            violated
                .into_iter()
                .map(|why| format!("first byte of {request}: {why}")),
        );
    }
}

pub(super) fn never_ran(attempt: &Option<Outcome>) -> bool {
    matches!(
        attempt,
        Some(Outcome::AtCapacity | Outcome::NoConnection | Outcome::NotSent)
    )
}
