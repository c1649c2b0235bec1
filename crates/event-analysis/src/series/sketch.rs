//! A small histogram of latencies.

use eideryard::interface::Micros;

const STEPS: usize = 32;
/// Steps while the latency doubles.
const STEPS_PER_DOUBLING: f64 = 2.0;

/// Latencies in steps of the square root of two from 1 ms on, so that percentiles are exact to a
/// fifth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencySketch {
    counts: [u32; STEPS],
}

impl LatencySketch {
    /// Adds a latency.
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

    /// How many latencies were added.
    pub fn count(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// The latency in milliseconds that a share of all don't exceed; `None` if there are none.
    pub fn percentile(&self, share: f64) -> Option<f64> {
        let total = self.count();
        if total == 0 {
            return None;
        }
        let wanted = (f64::from(total) * share).ceil().max(1.0) as u32;
        let mut counted = 0;
        for (step, count) in self.counts.iter().enumerate() {
            counted += count;
            if counted >= wanted {
                return Some(2f64.powf((step as f64 + 0.5) / STEPS_PER_DOUBLING));
            }
        }
        None
    }
}
