//! Finds violated rules in the events and actions of a gateway, without access to its state.

use super::NON_IDEMPOTENT;
use eideryard::interface::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub(super) struct ObservedRequest {
    pub(super) class: usize,
    pub(super) key: Option<String>,
    pub(super) has_ended: bool,
    pub(super) deadline: Micros,
    /// Outcome of each attempt; `None` while the attempt is in flight.
    pub(super) attempts: Vec<Option<Outcome>>,
    pub(super) engines: Vec<EngineId>,
    /// When the first byte of each attempt was sent; `None` if it has not been sent.
    pub(super) first_bytes: Vec<Option<Micros>>,
}

/// The state that the events and actions so far imply, and the violations found.
pub(super) struct RuleChecker {
    pub(super) settings: Settings,
    pub(super) request_times: Vec<Micros>,
    pub(super) retries: Vec<Micros>,
    pub(super) requests: BTreeMap<RequestId, ObservedRequest>,
    pub(super) paused_keys: BTreeMap<String, Micros>,
    /// Engines that are draining or removed, as reported to the gateway.
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
        observed.has_ended |= ended.is_request_complete;
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
                    .expect("the request was submitted");
                if observed.class == NON_IDEMPOTENT
                    && observed.attempts.iter().any(|a| !never_ran(a))
                {
                    self.violations.push(format!(
                        "request {request} was refused as safe to repeat, but may have run"
                    ));
                }
                observed.has_ended = true;
            }
            Action::Fail { request } => {
                self.requests
                    .get_mut(request)
                    .expect("the request was submitted")
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
            violated.push("another attempt is in flight");
        }
        if observed.class == NON_IDEMPOTENT && observed.attempts.iter().any(|a| !never_ran(a)) {
            violated.push("the non-idempotent request may run twice");
        }
        if let Some(key) = observed
            .key
            .as_ref()
            .filter(|_| self.settings.classes[observed.class].is_ordered)
        {
            let before = self
                .requests
                .range(..request)
                .filter(|(_, earlier)| earlier.key.as_ref() == Some(key));
            if before.clone().any(|(_, earlier)| {
                !earlier.has_ended || earlier.attempts.iter().any(Option::is_none)
            }) {
                violated.push("an earlier request with the same key has not ended");
            }
            if observed.attempts.is_empty()
                && self.paused_keys.get(key).is_some_and(|until| now < *until)
            {
                violated.push("its key is paused");
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

    /// Handles the first byte of an attempt.
    pub(super) fn on_first_byte(&mut self, now: Micros, (request, attempt): (RequestId, usize)) {
        let observed = self.requests.get_mut(&request).unwrap();
        let mut violated = Vec::new();
        if observed.has_ended || now >= observed.deadline {
            violated.push("the request has ended or its client no longer waits");
        }
        if self.closed_engines.contains(&observed.engines[attempt]) {
            violated.push("the engine is draining or removed");
        }
        let class = &self.settings.classes[observed.class];
        let may_have_run = observed
            .attempts
            .iter()
            .zip(&observed.first_bytes)
            .filter(|(outcome, _)| !never_ran(outcome));
        let first_run = may_have_run.filter_map(|(_, first_byte)| *first_byte).min();
        if class.effect == Effect::IdempotentWithKey
            && first_run.is_some_and(|first_run| now >= first_run + class.window)
        {
            violated.push("the window of its idempotency key has passed");
        }
        let is_retry = observed.first_bytes.iter().any(Option::is_some);
        observed.first_bytes[attempt] = Some(now);
        if let Some(budget) = self.settings.retry_budget.filter(|_| is_retry) {
            let count_in_span = |times: &[Micros]| {
                times.iter().filter(|at| **at + budget.span > now).count() as f64
            };
            self.retries.push(now);
            if count_in_span(&self.retries)
                > budget.spare + budget.ratio * count_in_span(&self.request_times)
            {
                violated.push("the retry budget is exceeded");
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
