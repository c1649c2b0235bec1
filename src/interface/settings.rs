//! Settings of a gateway: request classes, tenants, machine kinds, limits and rules.

use super::Micros;

/// Whether requests of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated on any engine at any time.
    Idempotent,
    /// Carries an idempotency key: the engines in [`Class::scope`] drop a repeat within
    /// [`Class::window`].
    IdempotentWithKey,
    /// Repeated only if every previous attempt is known not to have run.
    NonIdempotent,
}

/// The set of engines that recognise a repeated idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell; see [`Endpoint::cell`](super::Endpoint::cell).
    Cell,
}

/// How a gateway receives the endpoint list from service discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Service discovery sends changes of the list without a subscription.
    Push,
    /// The gateway has to subscribe with [`Action::Subscribe`](super::Action::Subscribe).
    Poll,
}

/// A class of requests, with its latency objective and the rules for its requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer meets its latency objective if it arrives within this time plus
    /// `latency_objective_per_work` times the actual work per thread.
    pub latency_objective: Micros,
    /// Factor on the work per thread, which is added to `latency_objective`.
    pub latency_objective_per_work: f64,
    /// Value of a request that is answered in time, relative to other classes; load shedding
    /// refuses the requests with the lowest weight per work first.
    pub priority_weight: f64,
    /// Whether requests may be repeated.
    pub effect: Effect,
    /// The engines that drop a repeat of a request with an idempotency key.
    pub scope: Scope,
    /// How long the engines in the scope store an idempotency key.
    pub window: Micros,
    /// Whether requests with the same key run one at a time, in the order of their arrival.
    pub is_ordered: bool,
    /// Zones whose engines may serve the class; `None`: all zones.
    pub zones_only: Option<Vec<u32>>,
    /// Machine kinds whose engines may serve the class; `None`: all kinds.
    pub kinds_only: Option<Vec<u32>>,
    /// Threads that one query runs on.
    pub threads: f64,
    /// Whether requests load data: a load locks its table group on its engine while it runs.
    pub is_load: bool,
    /// Whether queries wait on an engine while a load of their table group runs there.
    pub waits_for_load: bool,
}

/// A tenant, on whose behalf clients send requests.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The tenant's quota in requests per second, summed over all gateways. Requests beyond the
    /// quota lose weight; see [`Settings::over_quota_weight`].
    pub quota_per_s: f64,
}

/// Capacity of the engines of one machine kind.
#[derive(Clone, Debug)]
pub struct MachineKind {
    /// Number of cores of an engine.
    pub cores: f64,
    /// Memory of an engine in megabytes.
    pub memory_mb: f64,
}

/// Limit on the retries of a gateway: within any `span`, the gateway makes at most `spare` retries
/// plus `ratio` times the requests received.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Length of the sliding window in which requests and retries are counted.
    pub span: Micros,
    /// Retries allowed per request received in the window.
    pub ratio: f64,
    /// Retries allowed in the window regardless of the number of requests.
    pub spare: f64,
}

/// Settings of a gateway, which stay fixed while it runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes; a class ID is an index into this list.
    pub classes: Vec<Class>,
    /// Tenants; a tenant ID is an index into this list.
    pub tenants: Vec<Tenant>,
    /// Machine kinds; a kind ID is an index into this list.
    pub kinds: Vec<MachineKind>,
    /// Number of gateways in front of the engines, including this one.
    pub peers: f64,
    /// Index of this gateway among `peers`, from 0; `None`: unknown, so this gateway's subset of
    /// the engines starts at a random position.
    pub gateway_index: Option<f64>,
    /// Zone that this gateway runs in.
    pub zone: u32,
    /// Resolution of the platform's timers; margins and the maintenance interval are multiples of
    /// this value.
    pub tick: Micros,
    /// How the gateway receives the endpoint list.
    pub discovery: Discovery,
    /// Interval at which engines report the progress of an attempt; 0: they report none.
    pub progress_interval: Micros,
    /// Maximum share of an engine's memory that one query may be granted, from 0 to 1.
    pub largest_share: f64,
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: usize,
    /// Whether the gateway may cancel attempts in flight.
    pub may_cancel: bool,
    /// Whether a request may be hedged, with two attempts in flight at once.
    pub may_hedge: bool,
    /// Whether the gateway may probe engines.
    pub may_probe: bool,
    /// Whether engines report the number of queries in flight in answers to probes only.
    pub counts_by_probe: bool,
    /// Whether refusals may contain a delay after which to retry.
    pub may_send_retry_after: bool,
    /// Longest delay that a refusal may contain.
    pub max_retry_after: Micros,
    /// A cold engine fails if it is sent more than this multiple of its current capacity over
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Length of the window in which work sent to a cold engine is counted.
    pub overload_window: Micros,
    /// Capacity of an engine at its start, as a fraction of its full capacity.
    pub start_capacity: f64,
    /// Time from the start of an engine until it is warm and has its full capacity.
    pub warm_up_duration: Micros,
    /// Pause of an ordered key after an attempt that may still be running.
    pub ordering_delay: Micros,
    /// Limit on retries; `None`: retries are not limited.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// Interval between subscriptions to service discovery; a failed subscription is repeated after
    /// a fraction of this interval.
    pub poll_interval: Micros,
    /// Factor on the priority weight of a request beyond its tenant's quota, from 0 to 1.
    pub over_quota_weight: f64,
    /// Cost of sending a request to an engine in another zone, as a fraction of the total priority
    /// weight.
    pub cross_zone_tariff: f64,
    /// Cost of sending one probe per request, as a fraction of the total priority weight.
    pub probe_tariff: f64,
}
