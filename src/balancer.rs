//! All decisions of one gateway: admission, placement, priority, retries and engine health.
//!
//! A host passes events to [`Balancer`] and carries out the actions that it returns. A request
//! passes through `arrival`, `sampling`, `admission`, `engine_selection`, `constraints`,
//! `dispatch`, `outcome` and `completion`. State that only one concern uses is defined in that
//! concern's module: `subsetting`, `load_estimate`, `class_estimates`, `slow_start`,
//! `outlier_detection`, `retry_budget`, `key_ordering`, `tenant_quotas`, `pending_queue`,
//! `sampling`. The algorithm extends that of the BI Batch Manager paper to many gateways and
//! engines; docs/design.md lists the differences.

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
mod reported_figures;
mod retry_budget;
mod sampling;
mod slow_start;
mod subsetting;
mod tenant_quotas;

use crate::engine_table::EngineTable;
use crate::interface::{Action, Discovery, Event, Micros, PriorAttempt, RequestId, Settings};
use crate::request_state::PendingRequest;
use crate::traffic::Traffic;
use affinity::{GROUP_DECAY_REQUESTS, GROUP_EXPIRY};
use class_estimates::ClassEstimator;
use key_ordering::KeyOrdering;
use load_estimate::LoadEstimates;
use outlier_detection::OutlierDetection;
use pending_queue::PendingQueue;
use reported_figures::FigureLimits;
use retry_budget::RetryBudget;
use sampling::SamplingBudget;
use slow_start::SlowStart;
use std::collections::BTreeMap;
use subsetting::Subsetting;
use tenant_quotas::TenantQuotas;

/// Interval of the periodic maintenance, in ticks of `Settings::tick`.
const MAINTENANCE_TICKS: u64 = 10;
/// Tag of the maintenance timer. The timer that ends a request has the tag
/// `request_timer_tag(request)`, which is never 0.
const MAINTENANCE_TAG: u64 = 0;
/// After service discovery failed, the next attempt to subscribe follows after
/// `Settings::poll_interval` divided by this.
const RESUBSCRIBE_DIVISOR: u64 = 8;

/// The decision logic of one gateway. The balancer does no I/O and reads no clock: its state
/// depends only on the settings, the seed, the times and the events that the host passes in.
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
    figure_limits: FigureLimits,
    slow_start: SlowStart,
    outlier_detection: OutlierDetection,
    retry_budget: RetryBudget,
    tenant_quotas: TenantQuotas,
    sampling_budget: SamplingBudget,
    is_maintenance_scheduled: bool,
    resubscribe_at: Option<Micros>,
    /// Actions that the event being handled has led to so far.
    actions: Vec<Action>,
}

impl Balancer {
    /// Creates a balancer without engines, requests or learned estimates. A balancer is
    /// deterministic: equal settings, seeds, times and events lead to equal actions.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ring_position = match settings.gateway_index {
            Some(index) => index / settings.peers,
            None => rng.f64(),
        };
        let should_subscribe = settings.discovery == Discovery::Poll;
        let load_estimates = LoadEstimates::new(settings.warm_up_duration);
        let latency_time_constant = load_estimates.latency_time_constant();
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
            figure_limits: FigureLimits::new(&settings),
            slow_start: SlowStart::new(&settings),
            outlier_detection: OutlierDetection::new(&settings, latency_time_constant),
            retry_budget: RetryBudget::new(settings.retry_budget),
            tenant_quotas: TenantQuotas::new(&settings, now),
            sampling_budget: SamplingBudget::new(settings.probe_tariff),
            is_maintenance_scheduled: false,
            resubscribe_at: should_subscribe.then_some(now),
            actions: Vec::new(),
            settings,
        };
        balancer.update_subsetting();
        balancer
    }

    /// Processes an event that happened at `now` and appends the resulting actions to `actions`, in
    /// the order in which the host has to carry them out.
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

    /// Sets the maintenance timer while any request is known or a subscription is due. An idle
    /// gateway thus has no timer.
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
            .decay_assumed_load(MAINTENANCE_TICKS * self.settings.tick);
        self.remove_expired();
        self.update_active_engines();
    }

    fn remove_expired(&mut self) {
        self.key_ordering.remove_idle(self.now);
        self.retry_budget.remove_expired(self.now);
        let arrivals = self.traffic.arrivals;
        self.traffic
            .groups
            .retain(|_, group| arrivals - group.counted_at < GROUP_EXPIRY * GROUP_DECAY_REQUESTS);
    }

    fn update_active_engines(&mut self) {
        let now = self.now;
        let latency_time_constant = self.load_estimates.latency_time_constant();
        let window_start = self.slow_start.window_start(now);
        self.engines.update_active(now, |engine| {
            engine.update_slowdown(now, latency_time_constant, None);
            engine
                .active_loads
                .retain(|_, at| *at + latency_time_constant as Micros > now);
            engine
                .cold_sends
                .retain(|send| send.sent_at >= window_start);
        });
    }

    /// Returns the number of accesses to engine states so far, a measure of the cost of decisions
    /// that doesn't depend on the machine's speed.
    pub fn engine_visits(&self) -> u64 {
        self.engines.visits()
    }

    /// Returns the number of engines on the endpoint list that aren't removed, draining ones
    /// included.
    pub fn listed_engine_count(&self) -> usize {
        self.engines.listed_count()
    }
}
