//! Settings of a gateway: classes, tenants, kinds of machine, limits and rules.

use super::Micros;

/// Whether a request may be attempted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat anywhere, any time.
    Idempotent,
    /// Engines of one scope drop a repeat for a while.
    IdempotentWithKey,
    /// Never repeated unless every earlier attempt is known not to have run.
    NonIdempotent,
}

/// The engines among which a repeated key is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All engines.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// How the list of engines comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes of the list arrive unasked.
    Push,
    /// The list must be subscribed to.
    Poll,
}

/// A class of requests, as the settings name it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Answers within this time, plus `latency_objective_per_work` times the true work per thread,
    /// count in full.
    pub latency_objective: Micros,
    /// Part of the work per thread that is added to `latency_objective`.
    pub latency_objective_per_work: f64,
    /// Weight of a request that is answered in time.
    pub priority_weight: f64,
    /// Whether it may be attempted again.
    pub effect: Effect,
    /// The engines that drop a repeat of a keyed request.
    pub scope: Scope,
    /// How long engines of the scope remember a keyed request.
    pub window: Micros,
    /// Requests that carry the same key run one at a time, in the order taken.
    pub ordered: bool,
    /// The only zones that may serve it, where it is bound to some.
    pub zones_only: Option<Vec<u32>>,
    /// The only machine kinds that may serve it, where it is bound to some.
    pub kinds_only: Option<Vec<u32>>,
    /// Threads that a query runs on.
    pub threads: f64,
    /// It holds its table group on its engine while it runs.
    pub is_load: bool,
    /// It waits while a load holds its group on its engine.
    pub waits_for_load: bool,
}

/// A tenant, as the settings name it.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all gateways, that count as within its share.
    pub quota_per_s: f64,
}

/// A kind of machine.
#[derive(Clone, Debug)]
pub struct MachineKind {
    /// Cores of one engine.
    pub cores: f64,
    /// Memory of one engine in megabytes.
    pub memory_mb: f64,
}

/// How many retries a gateway may make.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// The time over which attempts are counted.
    pub span: Micros,
    /// Retries for each request taken in that time.
    pub ratio: f64,
    /// Retries beside these.
    pub spare: f64,
}

/// Settings of a gateway, fixed while it runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes, by their numbers.
    pub classes: Vec<Class>,
    /// Tenants, by their numbers.
    pub tenants: Vec<Tenant>,
    /// Machine kinds, by their numbers.
    pub kinds: Vec<MachineKind>,
    /// Gateways in this tier, this one included.
    pub peers: f64,
    /// This gateway's number among them, from 0, where it is known.
    pub index: Option<f64>,
    /// The zone of this gateway.
    pub zone: u32,
    /// The time unit of the platform's own timers.
    pub tick: Micros,
    /// How the list of engines comes.
    pub discovery: Discovery,
    /// Interval of progress notes; 0 where there are none.
    pub progress_interval: Micros,
    /// Share of an engine's memory that one query gets at most.
    pub largest_share: f64,
    /// Attempts of one request at the most.
    pub max_attempts: usize,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Two attempts of a request may be in flight at once.
    pub may_hedge: bool,
    /// Engines may be probed.
    pub may_probe: bool,
    /// Only probes report how many queries an engine has in flight.
    pub counts_by_probe: bool,
    /// Refusals may say when to retry.
    pub may_send_retry_after: bool,
    /// The longest such time.
    pub max_retry_after: Micros,
    /// A cold engine that is sent more than this multiple of its present capacity over
    /// `overload_window` falls over.
    pub overload_multiple: f64,
    /// The time over which work sent to a cold engine is counted.
    pub overload_window: Micros,
    /// Part of its capacity that a cold engine has at its start.
    pub start_capacity: f64,
    /// Time from its start until an engine is warm.
    pub warm_up_duration: Micros,
    /// Pause of an ordered key after an attempt that may still run.
    pub ordering_delay: Micros,
    /// The retry budget, if there is one.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// Interval of subscriptions to service discovery.
    pub poll_interval: Micros,
    /// Part of its weight that a request over its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// Part of all worth that crossing zones costs.
    pub cross_zone_tariff: f64,
    /// Part of all worth that one probe a request costs.
    pub probe_tariff: f64,
}
