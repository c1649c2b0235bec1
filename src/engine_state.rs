//! State of one engine: its endpoint, what this gateway has in flight there, and what was observed.
//!
//! Owned by [`crate::engine_table::EngineTable`]. Nothing here decides anything.

use crate::interface::{Endpoint, EngineEstimates, EngineId, Micros, Phase, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// A slowdown that differs from its best by less counts as equal to it.
const SLOWDOWN_TOLERANCE: f64 = 1e-9;
/// Capacity is never counted as more than this slowdown's.
const MIN_SLOWDOWN: f64 = 0.5;

/// How far an attempt had come at its last progress note.
#[derive(Clone, Copy)]
pub(crate) struct ProgressMark {
    /// Time since it was sent, in microseconds.
    pub(crate) elapsed: f64,
    /// How much of its ideal duration that brought it forward.
    pub(crate) done: f64,
}

/// What an attempt in flight takes on its engine.
pub(crate) struct Reservation {
    pub(crate) class: usize,
    pub(crate) group: u64,
    pub(crate) memory_mb: f64,
    pub(crate) threads: f64,
    pub(crate) ideal_duration: f64,
    pub(crate) sent_at: Micros,
    /// It has waited at the engine for memory or a load, so its time tells nothing of the pace.
    pub(crate) has_waited: bool,
    pub(crate) progress: Option<ProgressMark>,
}

/// Work sent to an engine while it was cold.
pub(crate) struct ColdSend {
    pub(crate) sent_at: Micros,
    pub(crate) work: f64,
    pub(crate) request: RequestId,
}

/// Number of a request and of its attempt.
pub(crate) type AttemptKey = (RequestId, usize);

/// Everything known of one engine.
#[derive(Default)]
pub(crate) struct EngineState {
    pub(crate) endpoint: Endpoint,
    pub(crate) is_listed: bool,
    /// Until when it is warming up.
    pub(crate) cold_until: Micros,
    pub(crate) cold_sends: VecDeque<ColdSend>,
    pub(crate) in_flight: BTreeMap<AttemptKey, Reservation>,
    /// Sum of threads in flight.
    pub(crate) threads: f64,
    /// Sum of memory in flight.
    pub(crate) memory_mb: f64,
    /// Factor on the starting bounds of memory and threads, at most 1.
    pub(crate) bound_factor: f64,
    /// Decaying sum of time spent by attempts that ended.
    pub(crate) spent_sum: f64,
    /// Decaying sum of their ideal durations.
    pub(crate) ideal_sum: f64,
    /// When these sums were last brought up to date.
    pub(crate) observed_at: Micros,
    /// Time spent over ideal time.
    pub(crate) slowdown: f64,
    pub(crate) best_slowdown: f64,
    pub(crate) pressure_until: Micros,
    /// Until then a report counts so few threads that latency shows no pressure.
    pub(crate) latency_ignored_until: Micros,
    /// Threads of other gateways' queries by the last report.
    pub(crate) foreign_load: f64,
    pub(crate) reported_at: Micros,
    /// When the probe that is in flight was sent; 0: none is.
    pub(crate) probe_sent_at: Micros,
    /// Decaying share of bad outcomes.
    pub(crate) bad_share: f64,
    /// Errors of requests that have not ended: not attributed to engine or request yet.
    pub(crate) unattributed_errors: i32,
    pub(crate) quarantined_until: Micros,
    /// Quarantines since it was last healthy.
    pub(crate) quarantine_count: i32,
    /// Good outcomes that it still needs to leave probation; 0: it is not on probation.
    pub(crate) probation_left: u32,
    pub(crate) is_silent: bool,
    pub(crate) has_lost_connection: bool,
    /// Groups that a load was last reported to hold here, and when.
    pub(crate) active_loads: BTreeMap<u64, Micros>,
    /// Last sign of life, or when work was first sent to it while it had none.
    pub(crate) last_activity: Micros,
}

impl EngineState {
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        EngineState {
            endpoint,
            is_listed: true,
            bound_factor: 1.0,
            best_slowdown: 1.0,
            slowdown: 1.0,
            ..Default::default()
        }
    }

    pub(crate) fn id(&self) -> EngineId {
        self.endpoint.engine
    }

    /// What a checkpoint keeps of it.
    pub(crate) fn estimates(&self) -> EngineEstimates {
        EngineEstimates {
            engine: self.endpoint.engine,
            booted_at: self.endpoint.booted_at,
            slowdown: self.slowdown,
            best_slowdown: self.best_slowdown,
            bad_outcome_share: self.bad_share,
            foreign_load: self.foreign_load,
        }
    }

    /// Removes a send that never came about from the slow-start budget.
    pub(crate) fn remove_cold_send(&mut self, request: RequestId, sent_at: Micros) {
        self.cold_sends
            .retain(|send| (send.sent_at, send.request) != (sent_at, request));
    }

    /// Whether the list allows work to be sent to it.
    pub(crate) fn is_open(&self) -> bool {
        self.is_listed && self.endpoint.phase == Phase::Ready
    }

    /// The factor by which work takes longer there, as capacity counts it.
    pub(crate) fn capacity_slowdown(&self) -> f64 {
        self.slowdown.max(MIN_SLOWDOWN)
    }

    /// Whether time alone changes nothing of it: it has no work, is warm and healthy, and its
    /// slowdown is back at its best.
    pub(crate) fn is_at_rest(&self, now: Micros) -> bool {
        let is_idle =
            self.in_flight.is_empty() && self.cold_sends.is_empty() && self.active_loads.is_empty();
        let is_healthy = self.is_listed && self.probation_left == 0 && now >= self.cold_until;
        let has_best_slowdown = (self.slowdown - self.best_slowdown).abs() < SLOWDOWN_TOLERANCE;
        is_idle && is_healthy && self.ideal_sum <= 1.0 && has_best_slowdown
    }

    /// Sums up what is in flight.
    pub(crate) fn update_totals(&mut self) {
        let reservations = || self.in_flight.values();
        self.threads = reservations().map(|reservation| reservation.threads).sum();
        self.memory_mb = reservations()
            .map(|reservation| reservation.memory_mb)
            .sum();
    }
}
