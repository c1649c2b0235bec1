//! Handles the arrival of a request: corrects its estimates, computes its deadlines and updates the
//! traffic statistics.

use super::affinity::GROUP_DECAY_REQUESTS;
use super::class_estimates::LEARNING_RATE;
use super::Balancer;
use crate::interface::{request_timer_tag, Action, Micros, Request, RequestId};
use crate::request_state::PendingRequest;
use crate::traffic::{GroupCount, Traffic};

/// Fraction of the time until a client's deadline that is reserved for delivering the answer.
const ANSWER_MARGIN: f64 = 0.1;

impl Balancer {
    /// Sends a new request or queues it, or ends it at once if it can't be served.
    pub(super) fn on_arrival(&mut self, request: Request) {
        let id = request.id;
        let pending = self.estimate_request(request);
        self.register_request(&pending);
        let is_servable = self.may_repeat(&pending) && !self.is_deadline_too_close(&pending);
        let class = pending.request.class;
        let work = pending.work;
        if is_servable {
            self.class_estimates.record_request(class, work);
            self.traffic.record_arrival(&pending, self.now);
            self.sampling_budget.record_arrival();
        }
        self.requests.insert(id, pending);
        if is_servable {
            self.place_new_request(id);
        } else {
            self.end_request(id, 0);
        }
    }

    /// Returns whether the request would miss its end deadline even on an idle engine. Running it
    /// would only occupy threads and memory that others need.
    fn is_deadline_too_close(&self, pending: &PendingRequest) -> bool {
        self.now as f64 + pending.ideal_duration > pending.end_deadline as f64
    }

    fn place_new_request(&mut self, id: RequestId) {
        self.draw_candidates(id);
        if let Some(engine) = self.choose_engine(id) {
            self.send(id, engine);
        }
    }

    /// Corrects a request's estimates and computes its deadlines and weight. Takes a token from its
    /// tenant's quota.
    fn estimate_request(&mut self, request: Request) -> PendingRequest {
        let class = &self.settings.classes[request.class];
        let fallback_work = class.latency_objective as f64 * class.threads / 2.0;
        let work = self.class_estimates.estimate_work(&request, fallback_work);
        let ideal_duration = work / class.threads;
        let end_deadline = self.end_deadline(&request);
        let objective =
            class.latency_objective + (class.latency_objective_per_work * ideal_duration) as Micros;
        let quota_weight = if self.tenant_quotas.try_take_token(request.tenant, self.now) {
            1.0
        } else {
            self.settings.over_quota_weight
        };
        PendingRequest {
            work,
            ideal_duration,
            memory_mb: self.class_estimates.estimate_memory(&request),
            // An answer after the client has given up has no value, so the objective must not end
            // later.
            objective_deadline: (self.now + objective).min(end_deadline),
            end_deadline,
            priority_weight: class.priority_weight * quota_weight,
            request,
            ..Default::default()
        }
    }

    /// Returns the time at which a request has to be ended so that the answer reaches its client
    /// before the client's deadline: 2 ticks plus `ANSWER_MARGIN` times the remaining wait before
    /// that deadline.
    fn end_deadline(&self, request: &Request) -> Micros {
        let client_wait = request.deadline.saturating_sub(self.now) as f64;
        let margin = 2 * self.settings.tick + (ANSWER_MARGIN * client_wait) as Micros;
        request.deadline.saturating_sub(margin).max(self.now)
    }

    /// Adds a request to the queue, to the requests with its key and to the retry budget, and sets
    /// the timer that ends it.
    fn register_request(&mut self, pending: &PendingRequest) {
        let request = &pending.request;
        let is_ordered = self.settings.classes[request.class].is_ordered;
        if let Some(key) = request.key.as_ref().filter(|_| is_ordered) {
            self.key_ordering.push(key, request.id);
        }
        self.retry_budget.record_request(self.now);
        self.actions.push(Action::SetTimer {
            after: pending.end_deadline - self.now,
            tag: request_timer_tag(request.id),
        });
        self.queue.insert(pending);
    }
}

impl Traffic {
    fn record_arrival(&mut self, pending: &PendingRequest, now: Micros) {
        self.arrivals += 1.0;
        let weight = (LEARNING_RATE / 2.0).max(1.0 / self.arrivals);
        let gap = (now - self.last_arrival) as f64;
        let memory_time = pending.ideal_duration * pending.memory_mb;
        self.last_arrival = now;
        self.mean_gap += weight * (gap - self.mean_gap);
        self.mean_work += weight * (pending.work - self.mean_work);
        self.mean_ideal_duration += weight * (pending.ideal_duration - self.mean_ideal_duration);
        self.mean_memory_time += weight * (memory_time - self.mean_memory_time);
        self.record_group(pending.request.group);
    }

    fn record_group(&mut self, group: u64) {
        let initial_count = GroupCount {
            count: 0.0,
            counted_at: self.arrivals,
        };
        let group = self.groups.entry(group).or_insert(initial_count);
        let decay = ((group.counted_at - self.arrivals) / GROUP_DECAY_REQUESTS).exp();
        group.count = 1.0 + group.count * decay;
        group.counted_at = self.arrivals;
    }
}
