//! State of one engine: its endpoint, the attempts that this gateway has in flight on it, and the
//! statistics of attempts that have ended.
//!
//! [`crate::engine_table::EngineTable`] owns these states. This module contains no policy.

use crate::interface::{Endpoint, EngineEstimates, EngineId, Micros, Phase, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// Maximum difference at which the slowdown counts as equal to the best slowdown.
const SLOWDOWN_TOLERANCE: f64 = 1e-9;
/// Lower limit on the slowdown from which capacity is computed: an engine never counts as more than
/// twice its cores.
const MIN_SLOWDOWN: f64 = 0.5;

/// Progress of an attempt at its last progress report.
#[derive(Clone, Copy)]
pub(crate) struct ProgressMark {
    /// Time from sending the attempt to the report, in microseconds.
    pub(crate) elapsed: f64,
    /// Ideal duration of the work that was done at the time of the report, in microseconds.
    pub(crate) done: f64,
}

/// Resources that an attempt in flight occupies on its engine, as estimated.
pub(crate) struct Reservation {
    pub(crate) class: usize,
    pub(crate) group: u64,
    pub(crate) memory_mb: f64,
    pub(crate) threads: f64,
    pub(crate) ideal_duration: f64,
    pub(crate) sent_at: Micros,
    /// Whether the attempt has waited on the engine for memory or for a load. If so, its duration
    /// doesn't show how fast the engine runs queries.
    pub(crate) has_waited: bool,
    pub(crate) progress: Option<ProgressMark>,
}

/// A send to a cold engine, which counts in the slow-start budget.
pub(crate) struct ColdSend {
    pub(crate) sent_at: Micros,
    pub(crate) work: f64,
    pub(crate) request: RequestId,
}

/// A request and the index of one of its attempts, from 0.
pub(crate) type AttemptKey = (RequestId, usize);

/// Everything that this gateway knows about one engine.
#[derive(Default)]
pub(crate) struct EngineState {
    pub(crate) endpoint: Endpoint,
    pub(crate) is_listed: bool,
    /// End of the engine's warm-up; until this time the engine is cold.
    pub(crate) cold_until: Micros,
    pub(crate) cold_sends: VecDeque<ColdSend>,
    pub(crate) in_flight: BTreeMap<AttemptKey, Reservation>,
    /// Sum of the threads of this gateway's attempts in flight.
    pub(crate) threads: f64,
    /// Sum of the memory of this gateway's attempts in flight, in megabytes.
    pub(crate) memory_mb: f64,
    /// Factor on the initial bounds of memory and threads, at most 1.
    pub(crate) bound_factor: f64,
    /// Decaying sum of the durations of attempts that ended, in microseconds.
    pub(crate) spent_sum: f64,
    /// Decaying sum of the ideal durations of the same attempts, in microseconds.
    pub(crate) ideal_sum: f64,
    /// When the decay of `spent_sum` and `ideal_sum` was last applied.
    pub(crate) observed_at: Micros,
    /// Duration of attempts divided by their ideal duration, over attempts that ended recently and
    /// attempts in flight.
    pub(crate) slowdown: f64,
    pub(crate) best_slowdown: f64,
    pub(crate) pressure_until: Micros,
    /// Until this time high latency doesn't count as pressure, because the last load report counted
    /// few threads.
    pub(crate) latency_ignored_until: Micros,
    /// Number of threads of other gateways' queries, from the last load report.
    pub(crate) foreign_load: f64,
    pub(crate) reported_at: Micros,
    /// When the probe in flight was sent; 0: no probe is in flight.
    pub(crate) probe_sent_at: Micros,
    /// Decaying share of bad outcomes, from 0 to 1.
    pub(crate) bad_share: f64,
    /// Number of errors of requests that have not ended. Until they end, it is unknown whether the
    /// engine or the request is at fault.
    pub(crate) unattributed_errors: i32,
    pub(crate) quarantined_until: Micros,
    /// Number of quarantines since the engine was last healthy.
    pub(crate) quarantine_count: i32,
    /// Number of good outcomes still needed to leave probation; 0: the engine is not on probation.
    pub(crate) probation_left: u32,
    pub(crate) is_silent: bool,
    pub(crate) has_lost_connection: bool,
    /// Table groups that a load locks on this engine, each with the time at which the load was last
    /// reported.
    pub(crate) active_loads: BTreeMap<u64, Micros>,
    /// Time of the last response, or of the first send to an idle engine if that is later.
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

    /// Returns the part of the state that a checkpoint stores.
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

    /// Removes a withdrawn send from the slow-start budget.
    pub(crate) fn remove_cold_send(&mut self, request: RequestId, sent_at: Micros) {
        self.cold_sends
            .retain(|send| (send.sent_at, send.request) != (sent_at, request));
    }

    /// Returns whether the endpoint list allows sending work to this engine.
    pub(crate) fn is_open(&self) -> bool {
        self.is_listed && self.endpoint.phase == Phase::Ready
    }

    /// Returns the slowdown that capacity is divided by.
    pub(crate) fn capacity_slowdown(&self) -> f64 {
        self.slowdown.max(MIN_SLOWDOWN)
    }

    /// Returns whether the passing of time doesn't change the state: the engine is idle, warm and
    /// healthy, and its slowdown equals its best slowdown.
    pub(crate) fn is_at_rest(&self, now: Micros) -> bool {
        let is_idle =
            self.in_flight.is_empty() && self.cold_sends.is_empty() && self.active_loads.is_empty();
        let is_healthy = self.is_listed && self.probation_left == 0 && now >= self.cold_until;
        let has_best_slowdown = (self.slowdown - self.best_slowdown).abs() < SLOWDOWN_TOLERANCE;
        is_idle && is_healthy && self.ideal_sum <= 1.0 && has_best_slowdown
    }

    /// Recomputes the sums of threads and memory over the attempts in flight.
    pub(crate) fn update_totals(&mut self) {
        let reservations = || self.in_flight.values();
        self.threads = reservations().map(|reservation| reservation.threads).sum();
        self.memory_mb = reservations()
            .map(|reservation| reservation.memory_mb)
            .sum();
    }
}
