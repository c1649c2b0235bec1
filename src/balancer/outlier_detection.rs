//! Outlier detection: engines that fail or stop responding are quarantined, then put on probation.
//!
//! Two signs lead to quarantine, whatever their cause: a high share of bad outcomes, and silence,
//! which is the lack of any response while attempts are in flight. `crates/event-analysis` parses
//! the texts that are logged here.

use super::class_estimates::LEARNING_RATE;
use crate::engine_state::EngineState;
use crate::engine_table::EngineTable;
use crate::interface::{Action, EngineId, Micros, Outcome, Settings};

/// Weight of an outcome in an engine's share of bad outcomes. With this weight, five bad outcomes
/// in a row lead to quarantine.
pub(super) const BAD_OUTCOME_WEIGHT: f64 = 0.15;
/// An engine with a larger share of bad outcomes is quarantined.
pub(super) const MAX_BAD_SHARE: f64 = 0.5;
/// Number of good outcomes that end the probation after a quarantine; a bad outcome starts a new
/// quarantine.
const PROBATION_OUTCOMES: u32 = 6;
/// Duration of the first quarantine, as a fraction of the warm-up duration; each relapse doubles
/// it.
const FIRST_QUARANTINE: f64 = 0.07;
/// Longest duration of a quarantine, as a fraction of the warm-up duration.
const MAX_QUARANTINE: f64 = 0.5;
/// A busy engine is silent after this multiple of the expected interval between its responses.
const SILENCE_MULTIPLE: f64 = 3.0;
/// If a larger share of engines would be quarantined, a common cause outside them is assumed.
const MAX_QUARANTINED_SHARE: f64 = 0.5;
/// Pause of an engine that was at capacity, failed a probe or fails nearly all attempts, as a
/// fraction of the latency time constant.
pub(super) const SHORT_PAUSE: f64 = 0.1;

/// Why an engine was quarantined.
#[derive(Clone, Copy)]
pub(super) enum QuarantineReason {
    BadOutcomes,
    Silence,
}

impl QuarantineReason {
    fn log_text(self) -> &'static str {
        match self {
            QuarantineReason::BadOutcomes => "bad outcomes",
            QuarantineReason::Silence => "silent",
        }
    }
}

/// How an outcome counts for an engine's health.
enum HealthSignal {
    Good,
    Bad,
    /// Shows nothing about the engine's health.
    Neutral,
}

fn classify_outcome(outcome: Outcome) -> HealthSignal {
    match outcome {
        Outcome::Answered => HealthSignal::Good,
        Outcome::Error | Outcome::NoConnection | Outcome::Broken => HealthSignal::Bad,
        Outcome::AtCapacity | Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {
            HealthSignal::Neutral
        }
    }
}

/// Detects unhealthy engines and quarantines them.
pub(super) struct OutlierDetection {
    warm_up_duration: Micros,
    /// Interval of progress reports; 0 if engines send none.
    progress_interval: Micros,
    /// Time constant with which observed latency decays, in microseconds.
    latency_time_constant: f64,
    /// Moving average of the share of bad outcomes across all engines.
    fleet_bad_share: f64,
}

impl OutlierDetection {
    pub(super) fn new(settings: &Settings, latency_time_constant: f64) -> Self {
        OutlierDetection {
            warm_up_duration: settings.warm_up_duration,
            progress_interval: settings.progress_interval,
            latency_time_constant,
            fleet_bad_share: 0.0,
        }
    }

    /// Returns the moving average of the share of bad outcomes across all engines.
    pub(super) fn fleet_bad_share(&self) -> f64 {
        self.fleet_bad_share
    }

    /// Records that an engine has responded. If it was quarantined for silence, this ends
    /// quarantine and probation.
    pub(super) fn record_activity(
        &self,
        engines: &mut EngineTable,
        id: EngineId,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(engine) = engines.get_mut(&id) else {
            return;
        };
        engine.last_activity = now;
        if engine.is_silent {
            engine.is_silent = false;
            engine.quarantined_until = now;
            engine.probation_left = 0;
            engine.quarantine_count = 0;
            actions.push(Action::Log(format!("engine {id} speaks again")));
        }
    }

    /// Updates the health of an engine with the outcome of an attempt or of a request.
    pub(super) fn record_outcome(
        &mut self,
        engines: &mut EngineTable,
        id: EngineId,
        outcome: Outcome,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let observed_bad_share = match classify_outcome(outcome) {
            HealthSignal::Good => 0.0,
            HealthSignal::Bad => 1.0,
            HealthSignal::Neutral => return,
        };
        if matches!(outcome, Outcome::Answered | Outcome::Error) {
            self.record_activity(engines, id, now, actions);
        }
        self.fleet_bad_share += LEARNING_RATE * (observed_bad_share - self.fleet_bad_share);
        let Some(engine) = engines.get_mut(&id) else {
            return;
        };
        engine.bad_share += BAD_OUTCOME_WEIGHT * (observed_bad_share - engine.bad_share);
        engine.has_lost_connection |= matches!(outcome, Outcome::NoConnection | Outcome::Broken);
        if outcome == Outcome::Answered {
            self.record_good_outcome(engine, now, actions);
        } else if engine.bad_share > MAX_BAD_SHARE || engine.probation_left > 0 {
            self.quarantine(engines, id, QuarantineReason::BadOutcomes, now, actions);
        }
    }

    fn record_good_outcome(
        &self,
        engine: &mut EngineState,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        // After lost connections the engine may have restarted without service discovery reporting
        // it, so it counts as cold.
        if engine.probation_left > 0 && engine.has_lost_connection {
            engine.has_lost_connection = false;
            engine.cold_until = engine.cold_until.max(now + self.warm_up_duration);
        }
        engine.probation_left = engine.probation_left.saturating_sub(1);
        if engine.probation_left == 0 && engine.quarantine_count > 0 {
            engine.bad_share = 0.0;
            engine.quarantine_count = 0;
            let text = format!("engine {} is back from probation", engine.id());
            actions.push(Action::Log(text));
        }
    }

    /// Excludes an engine for a while, twice as long at each relapse, and puts it on probation. If
    /// most engines would be quarantined at once, the engine is only paused.
    pub(super) fn quarantine(
        &self,
        engines: &mut EngineTable,
        id: EngineId,
        reason: QuarantineReason,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let has_shared_cause = has_shared_cause(engines);
        let Some(engine) = engines.get_mut(&id) else {
            return;
        };
        if now < engine.quarantined_until {
            return;
        }
        if engine.probation_left == 0 && has_shared_cause {
            engine.quarantined_until = now + self.shared_cause_pause(engine);
            return;
        }
        let fraction = (FIRST_QUARANTINE * 2f64.powi(engine.quarantine_count)).min(MAX_QUARANTINE);
        let duration = (fraction * self.warm_up_duration as f64) as Micros;
        engine.quarantined_until = now + duration;
        engine.quarantine_count += 1;
        engine.probation_left = PROBATION_OUTCOMES;
        if engine.quarantine_count == 1 {
            let text = format!("engine {id} quarantined: {}", reason.log_text());
            actions.push(Action::Log(text));
        }
    }

    /// Returns the pause of an engine that isn't quarantined because a cause outside the engines is
    /// assumed. An engine that fails nearly all attempts is paused, because an engine that fails
    /// fast would otherwise attract the whole queue.
    fn shared_cause_pause(&self, engine: &EngineState) -> Micros {
        if engine.bad_share > (1.0 + MAX_BAD_SHARE) / 2.0 {
            (SHORT_PAUSE * self.latency_time_constant) as Micros
        } else {
            0
        }
    }

    /// Returns the engines that have stopped responding while they have attempts in flight. Returns
    /// none unless at least half of the busy engines respond.
    pub(super) fn silent_engines(&self, engines: &EngineTable, now: Micros) -> Vec<EngineId> {
        let busy_engines = engines
            .active()
            .filter(|engine| !engine.in_flight.is_empty());
        let silent_engines = busy_engines
            .clone()
            .filter(|engine| self.is_silent(engine, now));
        let max_silent = MAX_QUARANTINED_SHARE * busy_engines.count() as f64;
        if silent_engines.clone().count() as f64 > max_silent {
            return Vec::new();
        }
        silent_engines.map(EngineState::id).collect()
    }

    /// Returns whether the last response of a busy engine is too long ago. Without progress reports
    /// responses are expected at the rate of its longest attempt in flight.
    fn is_silent(&self, engine: &EngineState, now: Micros) -> bool {
        let expected_interval = if self.progress_interval > 0 {
            self.progress_interval as f64
        } else {
            let reservations = engine.in_flight.values();
            let durations = reservations.map(|reservation| reservation.ideal_duration);
            let longest = durations.fold(0.0, f64::max) * engine.slowdown;
            longest.max(self.latency_time_constant / SILENCE_MULTIPLE)
        };
        (now - engine.last_activity) as f64 > SILENCE_MULTIPLE * expected_interval
    }
}

/// Returns whether one more quarantine would exclude most engines at once. Then a common cause is
/// assumed, and quarantines would leave too few engines.
fn has_shared_cause(engines: &EngineTable) -> bool {
    let on_probation = engines
        .active()
        .filter(|engine| engine.is_listed && engine.probation_left > 0)
        .count();
    (on_probation + 1) as f64 > MAX_QUARANTINED_SHARE * engines.listed_count() as f64
}
