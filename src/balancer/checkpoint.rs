//! What a later life of a gateway may know of this one, and what an earlier one is believed.

use super::*;

impl Balancer {
    /// What a later life of this gateway may want to know.
    pub fn learned_state(&self) -> LearnedState {
        let classes = self.learned.iter().map(Learned::lesson).collect();
        let engines = self.engines.listed().map(Engine::lesson).collect();
        LearnedState {
            classes,
            engines,
            baseline_load: self.traffic.baseline_load,
        }
    }

    /// Doubt grows with age: what was learned moves back to what a stranger holds. Of another
    /// process than the one that runs now, or where this life has learned already, nothing is taken
    /// back.
    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    pub(super) fn remember(&mut self, lessons: LearnedState, age: Micros) {
        let kept = (-(age as f64) / (LESSON_SPAN * self.set.warm_up_duration.max(1) as f64)).exp();
        if kept < MIN_LESSON {
            return;
        }
        let doubted = |stranger: f64, learned: f64| stranger + kept * (learned - stranger);
        for (own, told) in self
            .learned
            .iter_mut()
            .zip(&lessons.classes)
            .filter(|(own, _)| own.work == 0.0)
        {
            own.work_ratio = doubted(own.work_ratio, told.work_ratio.clamp(1.0 / CLIP, CLIP));
            own.memory_ratio = doubted(own.memory_ratio, told.memory_ratio.clamp(1.0 / CLIP, CLIP));
            (own.work, own.memory) = (told.work, told.memory_mb);
        }
        for told in &lessons.engines {
            let same =
                |e: &&mut Engine| e.listed && e.entry.booted_at == told.booted_at && e.ideal == 0.0;
            let Some(own) = self.engines.get_mut(&told.engine).filter(same) else {
                continue;
            };
            own.best_slowdown = doubted(1.0, told.best_slowdown.clamp(0.0, 1.0));
            own.slowdown = doubted(own.best_slowdown, told.slowdown.max(own.best_slowdown));
            own.bad = doubted(0.0, told.bad.clamp(0.0, BAD_SHARE));
            (own.stretch_at, own.foreign_load) = (self.now, told.foreign_load.max(0.0));
            own.reported_at = self.now.saturating_sub(age);
        }
        self.traffic.baseline_load =
            doubted(self.traffic.baseline_load, lessons.baseline_load.max(0.0));
    }
}
