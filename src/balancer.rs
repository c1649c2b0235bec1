//! Every decision of one gateway: admission, placement, priority, retries, health of engines.
//!
//! A host hands [`Balancer`] events and carries out the actions that come back. A request passes
//! through `arrival`, `sampling`, `admission`, `engine_selection`, `constraints`, `dispatch`,
//! `outcome` and `completion`. State that one concern owns stands in its part: `subsetting`,
//! `load_estimate`, `class_estimates`, `slow_start`, `outlier_detection`, `retry_budget`,
//! `key_ordering`, `tenant_quotas`, `pending_queue`, `sampling`. The mechanism is that of the BI
//! Batch Manager paper for many gateways and engines; docs/design.md says what was changed.

mod admission;
mod affinity;
mod arrival;
mod checkpoint;
mod class_estimates;
mod completion;
mod constraints;
mod dispatch;
mod endpoints;
mod engine_selection;
mod health;
mod key_ordering;
mod load_estimate;
mod load_shedding;
mod outcome;
mod outlier_detection;
mod pending_queue;
mod progress;
mod queue_release;
mod retry_budget;
mod sampling;
mod slow_start;
mod subsetting;
mod tenant_quotas;

use crate::engine_table::EngineTable;
use crate::interface::{Action, Discovery, Event, Micros, PriorAttempt, RequestId, Settings};
use crate::request_state::PendingRequest;
use crate::traffic::Traffic;
use affinity::{GROUP_EXPIRY, GROUP_MEMORY};
use class_estimates::ClassEstimator;
use key_ordering::KeyOrdering;
use load_estimate::LoadEstimates;
use outlier_detection::OutlierDetection;
use pending_queue::PendingQueue;
use retry_budget::RetryBudget;
use sampling::SamplingBudget;
use slow_start::SlowStart;
use std::collections::BTreeMap;
use subsetting::Subsetting;
use tenant_quotas::TenantQuotas;

/// Ticks between two runs of the maintenance.
const MAINTENANCE_TICKS: u64 = 10;
/// Timer tag of the maintenance; a request's own timer has the tag of `request_timer_tag`.
const MAINTENANCE_TAG: u64 = 0;
/// A failed subscription is tried again after the poll interval divided by this.
const RESUBSCRIBE_DIVISOR: u64 = 8;

/// One gateway: all it knows comes from its settings and the events it was handed.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    engines: EngineTable,
    requests: BTreeMap<RequestId, PendingRequest>,
    queue: PendingQueue,
    key_ordering: KeyOrdering,
    class_estimates: ClassEstimator,
    traffic: Traffic,
    subsetting: Subsetting,
    load_estimates: LoadEstimates,
    slow_start: SlowStart,
    outlier_detection: OutlierDetection,
    retry_budget: RetryBudget,
    tenant_quotas: TenantQuotas,
    sampling_budget: SamplingBudget,
    is_maintenance_scheduled: bool,
    resubscribe_at: Option<Micros>,
    /// Actions of the event that is being handled.
    actions: Vec<Action>,
}

impl Balancer {
    /// A gateway that knows its settings and nothing else; equal seeds and events give equal
    /// actions.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ring_position = match settings.gateway_index {
            Some(index) => index / settings.peers,
            None => rng.f64(),
        };
        let must_subscribe = settings.discovery == Discovery::Poll;
        let load_estimates = LoadEstimates::new(settings.warm_up_duration);
        let latency_memory = load_estimates.latency_memory();
        let mut balancer = Balancer {
            rng,
            now,
            engines: EngineTable::new(&settings.classes, &settings.kinds),
            requests: BTreeMap::new(),
            queue: PendingQueue::default(),
            key_ordering: KeyOrdering::default(),
            class_estimates: ClassEstimator::new(settings.classes.len()),
            traffic: Traffic {
                last_arrival: now,
                ..Default::default()
            },
            subsetting: Subsetting::new(&settings, ring_position),
            load_estimates,
            slow_start: SlowStart::new(&settings),
            outlier_detection: OutlierDetection::new(&settings, latency_memory),
            retry_budget: RetryBudget::new(settings.retry_budget),
            tenant_quotas: TenantQuotas::new(&settings, now),
            sampling_budget: SamplingBudget::new(settings.probe_tariff),
            is_maintenance_scheduled: false,
            resubscribe_at: must_subscribe.then_some(now),
            actions: Vec::new(),
            settings,
        };
        balancer.update_subsetting();
        balancer
    }

    /// Takes an event in and appends what it leads to to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        let may_free_room = !matches!(
            event,
            Event::Arrived(_) | Event::ProgressReported { .. } | Event::StreamBegan { .. }
        );
        self.handle_event(event);
        self.resubscribe_if_needed();
        if may_free_room {
            self.release_queue();
        }
        self.schedule_maintenance();
        actions.append(&mut self.actions);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrived(request) => self.on_arrival(request),
            Event::AttemptEnded(ended) => self.on_attempt_ended(&ended),
            Event::PriorAttempts {
                request,
                prior_attempts,
            } => self.add_prior_attempts(request, prior_attempts),
            Event::ProgressReported {
                request,
                attempt,
                progress,
            } => self.on_progress(request, attempt, progress),
            Event::StreamBegan { request } => self.mark_streaming(request),
            Event::ProbeEnded(probed) => self.on_probed(&probed),
            Event::ClientLeft { request } => self.close_request(request),
            Event::Timer {
                tag: MAINTENANCE_TAG,
            } => self.run_maintenance(),
            Event::Timer { tag } => self.end_request(tag - 1, 0),
            Event::EndpointSnapshot(endpoints) => self.on_endpoint_snapshot(&endpoints),
            Event::EndpointChanges(endpoints) => self.on_endpoint_changes(&endpoints),
            Event::CheckpointRestored { learned, age } => self.restore_checkpoint(&learned, age),
            Event::DiscoveryFailed => {
                let delay = self.settings.poll_interval / RESUBSCRIBE_DIVISOR;
                self.resubscribe_at = Some(self.now + delay);
            }
        }
    }

    fn add_prior_attempts(&mut self, id: RequestId, prior_attempts: Vec<PriorAttempt>) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.request.prior_attempts.extend(prior_attempts);
        }
    }

    fn mark_streaming(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.is_streaming = true;
        }
    }

    fn resubscribe_if_needed(&mut self) {
        if self.resubscribe_at.is_some_and(|at| at <= self.now) {
            self.resubscribe_at = None;
            self.actions.push(Action::Subscribe);
        }
    }

    /// Sets the timer of the maintenance while there is something to maintain.
    fn schedule_maintenance(&mut self) {
        let is_needed = !self.requests.is_empty() || self.resubscribe_at.is_some();
        if is_needed && !self.is_maintenance_scheduled {
            self.is_maintenance_scheduled = true;
            self.actions.push(Action::SetTimer {
                after: MAINTENANCE_TICKS * self.settings.tick,
                tag: MAINTENANCE_TAG,
            });
        }
    }

    fn run_maintenance(&mut self) {
        self.is_maintenance_scheduled = false;
        self.quarantine_silent_engines();
        self.release_queue();
        self.redraw_candidates();
        self.shed_load();
        self.load_estimates
            .fade_assumed_load(MAINTENANCE_TICKS * self.settings.tick);
        self.forget_expired();
        self.update_active_engines();
    }

    fn forget_expired(&mut self) {
        self.key_ordering.forget_idle(self.now);
        self.retry_budget.forget_expired(self.now);
        let arrivals = self.traffic.arrivals;
        self.traffic
            .groups
            .retain(|_, group| arrivals - group.counted_at < GROUP_EXPIRY * GROUP_MEMORY);
    }

    fn update_active_engines(&mut self) {
        let now = self.now;
        let latency_memory = self.load_estimates.latency_memory();
        let window_start = self.slow_start.window_start(now);
        self.engines.update_active(now, |engine| {
            engine.update_slowdown(now, latency_memory, None);
            engine
                .active_loads
                .retain(|_, at| *at + latency_memory as Micros > now);
            engine
                .cold_sends
                .retain(|send| send.sent_at >= window_start);
        });
    }

    /// How often an engine was accessed so far: what decisions cost, as a count.
    pub fn engine_visits(&self) -> u64 {
        self.engines.visits()
    }

    /// Engines that the list names.
    pub fn listed_engines(&self) -> usize {
        self.engines.listed_count()
    }
}
