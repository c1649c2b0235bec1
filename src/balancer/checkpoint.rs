//! Checkpoint: exports the learned state and restores it with a weight that falls with its age.

use super::outlier_detection::MAX_BAD_SHARE;
use super::Balancer;
use crate::engine_state::EngineState;
use crate::interface::{EngineEstimates, LearnedState, Micros};

/// Time constant with which the weight of a checkpoint decays, in warm-up durations.
const CHECKPOINT_DECAY_WARM_UPS: f64 = 20.0;
/// A checkpoint with less weight than this is ignored.
const MIN_CHECKPOINT_WEIGHT: f64 = 0.05;

impl Balancer {
    /// Exports the learned estimates. A later process of this gateway passes them to its balancer
    /// in `Event::CheckpointRestored`.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState {
            classes: self.class_estimates.to_checkpoint(),
            engines: self.engines.listed().map(EngineState::estimates).collect(),
            baseline_load: self.load_estimates.baseline_load(),
        }
    }

    /// Restores estimates that were stored `age` ago. Their weight against the defaults decays with
    /// age. Ignored are estimates for another process of an engine, and estimates for classes and
    /// engines that have been observed since this process started.
    pub(super) fn restore_checkpoint(&mut self, stored: &LearnedState, age: Micros) {
        let warm_up_duration = self.settings.warm_up_duration.max(1) as f64;
        let weight = (-(age as f64) / (CHECKPOINT_DECAY_WARM_UPS * warm_up_duration)).exp();
        if weight < MIN_CHECKPOINT_WEIGHT {
            return;
        }
        let blend = |default: f64, stored: f64| default + weight * (stored - default);
        self.class_estimates.restore(&stored.classes, blend);
        for estimates in &stored.engines {
            if let Some(engine) = self.engines.get_mut(&estimates.engine) {
                restore_engine(engine, estimates, blend, self.now, age);
            }
        }
        let stored_load = stored.baseline_load.max(0.0);
        let baseline_load = blend(self.load_estimates.baseline_load(), stored_load);
        self.load_estimates.restore_baseline_load(baseline_load);
    }
}

/// Restores the estimates of one engine. `blend` returns the weighted mean of a default and a
/// stored value.
fn restore_engine(
    engine: &mut EngineState,
    stored: &EngineEstimates,
    blend: impl Fn(f64, f64) -> f64,
    now: Micros,
    age: Micros,
) {
    let is_same_process = engine.is_listed && engine.endpoint.booted_at == stored.booted_at;
    if !is_same_process || engine.ideal_sum != 0.0 {
        return;
    }
    engine.best_slowdown = blend(1.0, stored.best_slowdown.clamp(0.0, 1.0));
    let slowdown = stored.slowdown.max(engine.best_slowdown);
    engine.slowdown = blend(engine.best_slowdown, slowdown);
    engine.bad_share = blend(0.0, stored.bad_outcome_share.clamp(0.0, MAX_BAD_SHARE));
    engine.observed_at = now;
    engine.foreign_load = stored.foreign_load.max(0.0);
    engine.reported_at = now.saturating_sub(age);
}
