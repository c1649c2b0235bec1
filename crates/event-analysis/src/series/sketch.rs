//! A latency histogram that is small enough to have one per class and bucket.

use eideryard::interface::Micros;

/// Number of steps; latencies beyond the last step are counted in the last step.
const STEPS: usize = 32;
/// Number of steps in which the latency doubles.
const STEPS_PER_DOUBLING: f64 = 2.0;

/// Histogram of latencies from 1 ms on. Each step is wider than the previous one by a factor of the
/// square root of two, so the error of percentiles is less than a fifth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencySketch {
    counts: [u32; STEPS],
}

impl LatencySketch {
    /// Counts one latency in microseconds; those below 1 ms count as 1 ms.
    pub fn add(&mut self, latency: Micros) {
        let milliseconds = (latency as f64 / 1e3).max(1.0);
        let step = (milliseconds.log2() * STEPS_PER_DOUBLING) as usize;
        self.counts[step.min(STEPS - 1)] += 1;
    }

    /// Adds all latencies of another sketch.
    pub fn merge(&mut self, other: &LatencySketch) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count += more;
        }
    }

    /// Returns the number of latencies added.
    pub fn count(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Returns the latency in milliseconds that a `share` (from 0 to 1) of all latencies doesn't
    /// exceed, or `None` if no latency was added.
    pub fn percentile(&self, share: f64) -> Option<f64> {
        let total = self.count();
        if total == 0 {
            return None;
        }
        let target_count = (f64::from(total) * share).ceil().max(1.0) as u32;
        let mut counted = 0;
        for (step, count) in self.counts.iter().enumerate() {
            counted += count;
            if counted >= target_count {
                return Some(2f64.powf((step as f64 + 0.5) / STEPS_PER_DOUBLING));
            }
        }
        None
    }
}
