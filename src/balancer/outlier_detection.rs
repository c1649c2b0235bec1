//! Outlier detection: engines that fail or fall silent are quarantined, then on probation.
//!
//! An engine's health is judged by symptoms, its share of bad outcomes and its silence, whatever
//! causes them.

use super::class_estimates::LEARNING_RATE;
use crate::engine_state::EngineState;
use crate::engine_table::EngineTable;
use crate::interface::{Action, EngineId, Micros, Outcome, Settings};

/// Weight of a bad outcome in an engine's share: five in a row lead to quarantine.
pub(super) const BAD_OUTCOME_WEIGHT: f64 = 0.15;
/// Share of bad outcomes that leads to quarantine.
pub(super) const MAX_BAD_SHARE: f64 = 0.5;
/// Good outcomes in a row that end the probation after a quarantine.
const PROBATION_OUTCOMES: u32 = 6;
/// The first quarantine, in parts of the warm-up duration; each relapse doubles it.
const FIRST_QUARANTINE: f64 = 0.07;
/// The longest quarantine, in the same parts.
const MAX_QUARANTINE: f64 = 0.5;
/// Times the usual interval of signs of life after which a busy engine is silent.
const SILENCE_MULTIPLE: f64 = 3.0;
/// Share of engines in quarantine beyond which the cause must be shared.
const MAX_QUARANTINED_SHARE: f64 = 0.5;
/// Pause of an engine that refuses or fails everything, in parts of the latency memory.
pub(super) const SHORT_PAUSE: f64 = 0.1;

/// Why an engine was quarantined.
#[derive(Clone, Copy)]
pub(super) enum Symptom {
    BadOutcomes,
    Silence,
}

impl Symptom {
    fn log_text(self) -> &'static str {
        match self {
            Symptom::BadOutcomes => "bad outcomes",
            Symptom::Silence => "silent",
        }
    }
}

/// What an outcome says of an engine's health.
enum Verdict {
    Good,
    Bad,
    Neutral,
}

fn verdict(outcome: Outcome) -> Verdict {
    match outcome {
        Outcome::Answered => Verdict::Good,
        Outcome::Error | Outcome::NoConnection | Outcome::Broken => Verdict::Bad,
        Outcome::AtCapacity | Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {
            Verdict::Neutral
        }
    }
}

/// Judges the health of engines.
pub(super) struct OutlierDetection {
    warm_up_duration: Micros,
    /// Time between progress notes; 0 where there are none.
    progress_interval: Micros,
    /// Time constant of observed latency, in microseconds.
    latency_memory: f64,
    /// Decaying share of bad outcomes on all engines.
    fleet_bad_share: f64,
}

impl OutlierDetection {
    pub(super) fn new(settings: &Settings, latency_memory: f64) -> Self {
        OutlierDetection {
            warm_up_duration: settings.warm_up_duration,
            progress_interval: settings.progress_interval,
            latency_memory,
            fleet_bad_share: 0.0,
        }
    }

    /// Decaying share of bad outcomes on all engines.
    pub(super) fn fleet_bad_share(&self) -> f64 {
        self.fleet_bad_share
    }

    /// Takes in a sign of life of an engine.
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

    /// Takes in how an attempt ended on an engine.
    pub(super) fn record_outcome(
        &mut self,
        engines: &mut EngineTable,
        id: EngineId,
        outcome: Outcome,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let bad = match verdict(outcome) {
            Verdict::Good => 0.0,
            Verdict::Bad => 1.0,
            Verdict::Neutral => return,
        };
        if matches!(outcome, Outcome::Answered | Outcome::Error) {
            self.record_activity(engines, id, now, actions);
        }
        self.fleet_bad_share += LEARNING_RATE * (bad - self.fleet_bad_share);
        let Some(engine) = engines.get_mut(&id) else {
            return;
        };
        engine.bad_share += BAD_OUTCOME_WEIGHT * (bad - engine.bad_share);
        engine.has_lost_connection |= matches!(outcome, Outcome::NoConnection | Outcome::Broken);
        if outcome == Outcome::Answered {
            self.record_good_outcome(engine, now, actions);
        } else if engine.bad_share > MAX_BAD_SHARE || engine.probation_left > 0 {
            self.quarantine(engines, id, Symptom::BadOutcomes, now, actions);
        }
    }

    fn record_good_outcome(
        &self,
        engine: &mut EngineState,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        // After lost connections this may be another process, which nobody announced: it is cold.
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

    /// Shuts an engine out for a while, longer at each relapse; then it is on probation.
    pub(super) fn quarantine(
        &self,
        engines: &mut EngineTable,
        id: EngineId,
        symptom: Symptom,
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
            engine.quarantined_until = now + self.pause_for_shared_cause(engine);
            return;
        }
        let part = (FIRST_QUARANTINE * 2f64.powi(engine.quarantine_count)).min(MAX_QUARANTINE);
        let duration = (part * self.warm_up_duration as f64) as Micros;
        engine.quarantined_until = now + duration;
        engine.quarantine_count += 1;
        engine.probation_left = PROBATION_OUTCOMES;
        if engine.quarantine_count == 1 {
            let text = format!("engine {id} quarantined: {}", symptom.log_text());
            actions.push(Action::Log(text));
        }
    }

    /// An engine that answers next to nothing must not draw the queue by failing fast.
    fn pause_for_shared_cause(&self, engine: &EngineState) -> Micros {
        if engine.bad_share > (1.0 + MAX_BAD_SHARE) / 2.0 {
            (SHORT_PAUSE * self.latency_memory) as Micros
        } else {
            0
        }
    }

    /// Engines with attempts in flight that show no sign of life while most others do.
    pub(super) fn silent_engines(&self, engines: &EngineTable, now: Micros) -> Vec<EngineId> {
        let busy = engines
            .active()
            .filter(|engine| !engine.in_flight.is_empty());
        let silent = busy.clone().filter(|engine| self.is_silent(engine, now));
        let max_silent = MAX_QUARANTINED_SHARE * busy.count() as f64;
        if silent.clone().count() as f64 > max_silent {
            return Vec::new();
        }
        silent.map(EngineState::id).collect()
    }

    fn is_silent(&self, engine: &EngineState, now: Micros) -> bool {
        let limit = if self.progress_interval > 0 {
            self.progress_interval as f64
        } else {
            let reservations = engine.in_flight.values();
            let durations = reservations.map(|reservation| reservation.ideal_duration);
            let longest = durations.fold(0.0, f64::max) * engine.slowdown;
            longest.max(self.latency_memory / SILENCE_MULTIPLE)
        };
        (now - engine.last_activity) as f64 > SILENCE_MULTIPLE * limit
    }
}

/// Whether one more quarantine would shut out most engines at once, so that their cause must be
/// shared and shutting them out would leave nothing.
fn has_shared_cause(engines: &EngineTable) -> bool {
    let on_probation = engines
        .active()
        .filter(|engine| engine.is_listed && engine.probation_left > 0)
        .count();
    (on_probation + 1) as f64 > MAX_QUARANTINED_SHARE * engines.listed_count() as f64
}
