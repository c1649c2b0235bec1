//! Estimates per class, learned from requests and their outcomes: the mean work and memory, and
//! factors that correct the clients' estimates.

use crate::interface::{ClassEstimates, Request, ResourceUsage};

/// Weight of a new observation in an exponential moving average.
pub(super) const LEARNING_RATE: f64 = 0.05;
/// An observation is clamped to within this factor of the estimate, so that an outlier doesn't
/// distort the mean.
pub(super) const MAX_DEVIATION: f64 = 3.0;
/// Upper limit on the ratios of a class; their lower limit is its inverse. Without limits, repeated
/// observations against a tiny estimate would lead to an infinite ratio.
const MAX_RATIO: f64 = 1e6;

#[derive(Clone)]
struct ClassEstimate {
    /// Mean ratio of actual work to the clients' estimates.
    work_ratio: f64,
    /// Mean ratio of actual memory to the clients' estimates.
    memory_ratio: f64,
    /// Mean corrected work of a request in microseconds of thread time, summed over its threads; 0
    /// before the first request.
    mean_work: f64,
    /// Mean actual memory; `None` until an answer has reported it.
    mean_memory_mb: Option<f64>,
}

impl ClassEstimate {
    fn has_requests(&self) -> bool {
        self.mean_work > 0.0
    }

    fn restore(&mut self, stored: &ClassEstimates, blend: impl Fn(f64, f64) -> f64) {
        let clamp_ratio = |ratio: f64| ratio.clamp(1.0 / MAX_DEVIATION, MAX_DEVIATION);
        self.work_ratio = blend(self.work_ratio, clamp_ratio(stored.work_ratio));
        self.memory_ratio = blend(self.memory_ratio, clamp_ratio(stored.memory_ratio));
        self.mean_work = stored.work;
        self.mean_memory_mb = stored.memory_mb;
    }
}

/// Estimates of all classes, indexed by class ID.
pub(super) struct ClassEstimator {
    classes: Vec<ClassEstimate>,
}

impl ClassEstimator {
    pub(super) fn new(class_count: usize) -> Self {
        let initial_estimate = ClassEstimate {
            work_ratio: 1.0,
            memory_ratio: 1.0,
            mean_work: 0.0,
            mean_memory_mb: None,
        };
        ClassEstimator {
            classes: vec![initial_estimate; class_count],
        }
    }

    /// Returns the mean corrected work of a class in microseconds of thread time, summed over the
    /// threads of a request; 0 before the class's first request.
    pub(super) fn mean_work(&self, class: usize) -> f64 {
        self.classes[class].mean_work
    }

    /// Returns the corrected work of a request: the client's estimate times the class's ratio, else
    /// the mean of the class, else `fallback`.
    pub(super) fn estimate_work(&self, request: &Request, fallback: f64) -> f64 {
        let class = &self.classes[request.class];
        match request.work {
            Some(estimate) => estimate * class.work_ratio,
            None if class.has_requests() => class.mean_work,
            None => fallback,
        }
    }

    /// Returns the corrected memory of a request in megabytes: the client's estimate times the
    /// class's ratio, else the mean of the class, else 0.
    pub(super) fn estimate_memory(&self, request: &Request) -> f64 {
        let class = &self.classes[request.class];
        match request.memory_mb {
            Some(estimate) => estimate * class.memory_ratio,
            None => class.mean_memory_mb.unwrap_or(0.0),
        }
    }

    /// Adds the corrected work of an arrived request to the mean of its class.
    pub(super) fn record_request(&mut self, class: usize, work: f64) {
        let class = &mut self.classes[class];
        class.mean_work = if class.has_requests() {
            class.mean_work + LEARNING_RATE * (work - class.mean_work)
        } else {
            work
        };
    }

    /// Updates ratios and mean memory with the work and memory that an answer reported.
    pub(super) fn record_usage(&mut self, request: &Request, usage: &ResourceUsage) {
        let class = &mut self.classes[request.class];
        if let Some(estimate) = request.work {
            class.work_ratio = blend_ratio(class.work_ratio, usage.work / estimate);
        }
        if let Some(estimate) = request.memory_mb {
            class.memory_ratio = blend_ratio(class.memory_ratio, usage.memory_mb / estimate);
        }
        let previous_mean = class.mean_memory_mb.unwrap_or(usage.memory_mb);
        class.mean_memory_mb =
            Some(previous_mean + LEARNING_RATE * (usage.memory_mb - previous_mean));
    }

    /// Exports the estimates for a checkpoint.
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

    /// Restores the estimates of classes that have had no request yet. `blend` returns the weighted
    /// mean of the current value, its first argument, and the stored one.
    pub(super) fn restore(
        &mut self,
        stored: &[ClassEstimates],
        blend: impl Fn(f64, f64) -> f64 + Copy,
    ) {
        for (class, stored) in self.classes.iter_mut().zip(stored) {
            if class.mean_work == 0.0 {
                class.restore(stored, blend);
            }
        }
    }
}

/// Returns `ratio` updated with one observation, which is clamped to within a factor of
/// `MAX_DEVIATION`.
fn blend_ratio(ratio: f64, observed: f64) -> f64 {
    let bounded = observed.clamp(ratio / MAX_DEVIATION, ratio * MAX_DEVIATION);
    let blended = ratio + LEARNING_RATE * (bounded - ratio);
    blended.clamp(1.0 / MAX_RATIO, MAX_RATIO)
}
