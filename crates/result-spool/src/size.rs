//! Learns how large results are, by class and tenant, from completed results: a decaying histogram
//! with four bins per octave. The estimate is a high quantile, since a result that is larger than
//! expected may fail halfway.

use std::collections::BTreeMap;

/// Number of bins, from 1 KB up to over 1 TB.
const BINS: usize = 124;
/// Upper bound of the first bin, in bytes.
const FIRST_BIN: f64 = 1024.0;
/// Weight of each outcome relative to the one before. With this factor, about the last two hundred
/// outcomes determine the estimate.
const WEIGHT_GROWTH: f64 = 1.005;
/// All weights are scaled down when the weight of the next outcome exceeds this.
const MAX_WEIGHT: f64 = 1e12;
/// Fraction of results that are no larger than the estimate.
const QUANTILE: f64 = 0.95;
/// Minimum number of outcomes for a class, or for a class and tenant, before it gets its own
/// estimate.
const MIN_OUTCOMES: u32 = 8;
/// One in this many rejections based on learned sizes is bypassed: sizes change, and the cost of a
/// wrong guess is one result that fails.
const REJECTIONS_PER_BYPASS: u64 = 16;
/// Maximum number of pairs of class and tenant; when it is exceeded, the pair unused for longest is
/// dropped.
const MAX_PAIRS: usize = 1024;

/// A histogram of result sizes.
#[derive(Clone)]
struct Sketch {
    weights: [f32; BINS],
    outcomes: u32,
    /// Weight of the next outcome.
    next_weight: f64,
    /// [`Sizes::outcome_count`] at the last outcome.
    last_used: u64,
}

impl Sketch {
    fn new() -> Self {
        Sketch {
            weights: [0.0; BINS],
            outcomes: 0,
            next_weight: 1.0,
            last_used: 0,
        }
    }

    fn learn(&mut self, bytes: u64) {
        let bin = ((bytes as f64 / FIRST_BIN).max(1.0).log2() * 4.0).ceil() as usize;
        self.weights[bin.min(BINS - 1)] += self.next_weight as f32;
        self.outcomes = self.outcomes.saturating_add(1);
        self.next_weight *= WEIGHT_GROWTH;
        if self.next_weight > MAX_WEIGHT {
            self.weights
                .iter_mut()
                .for_each(|weight| *weight /= MAX_WEIGHT as f32);
            self.next_weight /= MAX_WEIGHT;
        }
    }

    /// Returns the size in bytes that the given fraction of results don't exceed, or `None` if
    /// there are too few outcomes.
    fn quantile(&self, share: f64) -> Option<u64> {
        if self.outcomes < MIN_OUTCOMES {
            return None;
        }
        let total_weight: f64 = self.weights.iter().map(|weight| *weight as f64).sum();
        let mut weight_below = 0.0;
        for (bin, weight) in self.weights.iter().enumerate() {
            weight_below += *weight as f64;
            if weight_below >= share * total_weight * (1.0 - 1e-6) {
                return Some((FIRST_BIN * 2f64.powf(bin as f64 / 4.0)).ceil() as u64);
            }
        }
        None
    }
}

/// Learned sizes of results.
#[derive(Default)]
pub struct Sizes {
    classes: BTreeMap<usize, Sketch>,
    pairs: BTreeMap<(usize, usize), Sketch>,
    outcome_count: u64,
    /// Rejections based on learned sizes since the last one that was bypassed.
    rejections: u64,
}

impl Sizes {
    /// Adds the size of a completed result.
    pub fn learn(&mut self, class: usize, tenant: usize, bytes: u64) {
        self.outcome_count += 1;
        self.classes
            .entry(class)
            .or_insert_with(Sketch::new)
            .learn(bytes);
        if self.pairs.len() >= MAX_PAIRS && !self.pairs.contains_key(&(class, tenant)) {
            let oldest = self
                .pairs
                .iter()
                .min_by_key(|(_, sketch)| sketch.last_used)
                .map(|(pair, _)| *pair);
            oldest.map(|pair| self.pairs.remove(&pair));
        }
        let pair = self
            .pairs
            .entry((class, tenant))
            .or_insert_with(Sketch::new);
        pair.last_used = self.outcome_count;
        pair.learn(bytes);
    }

    /// Counts a rejection based on learned sizes and returns whether the request should be admitted
    /// nevertheless. Rejected requests give no new outcomes, so without these bypasses the estimate
    /// could never fall again.
    pub fn should_bypass_rejection(&mut self) -> bool {
        self.rejections = (self.rejections + 1) % REJECTIONS_PER_BYPASS;
        self.rejections == 0
    }

    /// Returns the expected size of a result in bytes: the estimate for its class and tenant, else
    /// the one for its class, else `default_bytes`.
    pub fn expected(&self, class: usize, tenant: usize, default_bytes: u64) -> u64 {
        let pair = self
            .pairs
            .get(&(class, tenant))
            .and_then(|sketch| sketch.quantile(QUANTILE));
        let class_estimate = || {
            self.classes
                .get(&class)
                .and_then(|sketch| sketch.quantile(QUANTILE))
        };
        pair.or_else(class_estimate).unwrap_or(default_bytes)
    }
}

#[cfg(test)]
mod tests;
