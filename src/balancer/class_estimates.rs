//! What outcomes teach about the classes: how far estimates are off, and usual work and memory.

use crate::interface::{ClassEstimates, Request, ResourceUsage};

/// Weight of one more observation in a mean.
pub(super) const LEARNING_RATE: f64 = 0.05;
/// Factor by which one observation counts as off at most, so that a runaway doesn't bend a mean.
pub(super) const MAX_DEVIATION: f64 = 3.0;

/// Estimates of one class.
#[derive(Clone)]
struct ClassEstimate {
    /// True over estimated work.
    work_ratio: f64,
    /// True over estimated memory.
    memory_ratio: f64,
    /// Mean corrected work of requests taken; 0 before the first.
    mean_work: f64,
    mean_memory_mb: Option<f64>,
}

impl ClassEstimate {
    fn has_requests(&self) -> bool {
        self.mean_work > 0.0
    }

    fn restore(&mut self, stored: &ClassEstimates, fade: impl Fn(f64, f64) -> f64) {
        let clamped = |ratio: f64| ratio.clamp(1.0 / MAX_DEVIATION, MAX_DEVIATION);
        self.work_ratio = fade(self.work_ratio, clamped(stored.work_ratio));
        self.memory_ratio = fade(self.memory_ratio, clamped(stored.memory_ratio));
        self.mean_work = stored.work;
        self.mean_memory_mb = stored.memory_mb;
    }
}

/// Estimates of all classes, by their numbers.
pub(super) struct ClassEstimator {
    classes: Vec<ClassEstimate>,
}

impl ClassEstimator {
    pub(super) fn new(class_count: usize) -> Self {
        let unknown = ClassEstimate {
            work_ratio: 1.0,
            memory_ratio: 1.0,
            mean_work: 0.0,
            mean_memory_mb: None,
        };
        ClassEstimator {
            classes: vec![unknown; class_count],
        }
    }

    /// Mean work of a class; 0 before its first request.
    pub(super) fn mean_work(&self, class: usize) -> f64 {
        self.classes[class].mean_work
    }

    /// Corrected work of a request; `fallback` where neither it nor its class has an estimate.
    pub(super) fn estimate_work(&self, request: &Request, fallback: f64) -> f64 {
        let class = &self.classes[request.class];
        match request.work {
            Some(estimate) => estimate * class.work_ratio,
            None if class.has_requests() => class.mean_work,
            None => fallback,
        }
    }

    /// Corrected memory of a request in megabytes; 0 where none is known.
    pub(super) fn estimate_memory(&self, request: &Request) -> f64 {
        let class = &self.classes[request.class];
        match request.memory_mb {
            Some(estimate) => estimate * class.memory_ratio,
            None => class.mean_memory_mb.unwrap_or(0.0),
        }
    }

    /// Counts the corrected work of a request that was taken.
    pub(super) fn record_request(&mut self, class: usize, work: f64) {
        let class = &mut self.classes[class];
        class.mean_work = if class.has_requests() {
            class.mean_work + LEARNING_RATE * (work - class.mean_work)
        } else {
            work
        };
    }

    /// Learns from what a request really took.
    pub(super) fn record_usage(&mut self, request: &Request, usage: &ResourceUsage) {
        let class = &mut self.classes[request.class];
        if let Some(estimate) = request.work {
            class.work_ratio = moved_toward(class.work_ratio, usage.work / estimate);
        }
        if let Some(estimate) = request.memory_mb {
            class.memory_ratio = moved_toward(class.memory_ratio, usage.memory_mb / estimate);
        }
        let mean = class.mean_memory_mb.unwrap_or(usage.memory_mb);
        class.mean_memory_mb = Some(mean + LEARNING_RATE * (usage.memory_mb - mean));
    }

    /// What a checkpoint keeps of the classes.
    pub(super) fn to_checkpoint(&self) -> Vec<ClassEstimates> {
        self.classes
            .iter()
            .map(|class| ClassEstimates {
                work_ratio: class.work_ratio,
                memory_ratio: class.memory_ratio,
                work: class.mean_work,
                memory_mb: class.mean_memory_mb,
            })
            .collect()
    }

    /// Restores classes that have had no request yet; `fade` moves a stored value, its second
    /// argument, toward the present one.
    pub(super) fn restore(
        &mut self,
        stored: &[ClassEstimates],
        fade: impl Fn(f64, f64) -> f64 + Copy,
    ) {
        for (class, stored) in self.classes.iter_mut().zip(stored) {
            if class.mean_work == 0.0 {
                class.restore(stored, fade);
            }
        }
    }
}

/// A ratio moved toward an observed one, which counts as at most `MAX_DEVIATION` times off.
fn moved_toward(ratio: f64, observed: f64) -> f64 {
    let bounded = observed.clamp(ratio / MAX_DEVIATION, ratio * MAX_DEVIATION);
    ratio + LEARNING_RATE * (bounded - ratio)
}
