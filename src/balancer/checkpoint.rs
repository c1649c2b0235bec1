//! Checkpoint: what is kept of the learned state, and how far a restored one is trusted.

use super::outlier_detection::MAX_BAD_SHARE;
use super::Balancer;
use crate::engine_state::EngineState;
use crate::interface::{EngineEstimates, LearnedState, Micros};

/// Warm-up durations over which a checkpoint's weight fades.
const CHECKPOINT_FADE_WARM_UPS: f64 = 20.0;
/// Weight below which a checkpoint is dropped.
const MIN_CHECKPOINT_WEIGHT: f64 = 0.05;

impl Balancer {
    /// What a later process of this gateway may restore.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState {
            classes: self.class_estimates.to_checkpoint(),
            engines: self.engines.listed().map(EngineState::estimates).collect(),
            baseline_load: self.load_estimates.baseline_load(),
        }
    }

    /// Restores what was learned `age` ago. Its weight against the defaults falls with age. What
    /// concerns another process of an engine, or what was learned anew already, is left out.
    pub(super) fn restore_checkpoint(&mut self, stored: &LearnedState, age: Micros) {
        let warm_up_duration = self.settings.warm_up_duration.max(1) as f64;
        let weight = (-(age as f64) / (CHECKPOINT_FADE_WARM_UPS * warm_up_duration)).exp();
        if weight < MIN_CHECKPOINT_WEIGHT {
            return;
        }
        let fade = |default: f64, stored: f64| default + weight * (stored - default);
        self.class_estimates.restore(&stored.classes, fade);
        for estimates in &stored.engines {
            if let Some(engine) = self.engines.get_mut(&estimates.engine) {
                restore_engine(engine, estimates, fade, self.now, age);
            }
        }
        let stored_load = stored.baseline_load.max(0.0);
        let baseline_load = fade(self.load_estimates.baseline_load(), stored_load);
        self.load_estimates.restore_baseline_load(baseline_load);
    }
}

fn restore_engine(
    engine: &mut EngineState,
    stored: &EngineEstimates,
    fade: impl Fn(f64, f64) -> f64,
    now: Micros,
    age: Micros,
) {
    let is_same_process = engine.is_listed && engine.endpoint.booted_at == stored.booted_at;
    if !is_same_process || engine.ideal_sum != 0.0 {
        return;
    }
    engine.best_slowdown = fade(1.0, stored.best_slowdown.clamp(0.0, 1.0));
    let slowdown = stored.slowdown.max(engine.best_slowdown);
    engine.slowdown = fade(engine.best_slowdown, slowdown);
    engine.bad_share = fade(0.0, stored.bad_outcome_share.clamp(0.0, MAX_BAD_SHARE));
    engine.observed_at = now;
    engine.foreign_load = stored.foreign_load.max(0.0);
    engine.reported_at = now.saturating_sub(age);
}
