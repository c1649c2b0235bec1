//! How large results are, learned from outcomes by class and tenant: a decaying histogram in steps
//! of a quarter of an octave. What is asked for is a high quantile, since who is promised too
//! little fails half way.

use std::collections::BTreeMap;

/// Steps from 1 KB up to over 1 TB.
const STEPS: usize = 124;
const FIRST: f64 = 1024.0;
/// Weight of each further outcome against the one before: about two hundred outcomes are
/// remembered.
const GROWTH: f64 = 1.005;
/// The weights are scaled down when they get this large.
const MAX_WEIGHT: f64 = 1e12;
/// The part of results that are no larger than what is promised.
const QUANTILE: f64 = 0.95;
/// Outcomes that are needed before a class's own, and a pair's own, figures are trusted.
const MIN_SEEN: u32 = 8;
/// One in so many refusals by what was learned is doubted: sizes change, and the cost is one result
/// that fails.
const DOUBTED: u64 = 16;
/// Pairs of class and tenant that are told apart; the one unused for longest goes.
const MAX_PAIRS: usize = 1024;

#[derive(Clone)]
struct Sketch {
    weights: [f32; STEPS],
    seen: u32,
    next: f64,
    used: u64,
}

impl Sketch {
    fn new() -> Self {
        Sketch {
            weights: [0.0; STEPS],
            seen: 0,
            next: 1.0,
            used: 0,
        }
    }

    fn learn(&mut self, bytes: u64) {
        let step = ((bytes as f64 / FIRST).max(1.0).log2() * 4.0).ceil() as usize;
        self.weights[step.min(STEPS - 1)] += self.next as f32;
        self.seen = self.seen.saturating_add(1);
        self.next *= GROWTH;
        if self.next > MAX_WEIGHT {
            self.weights
                .iter_mut()
                .for_each(|weight| *weight /= MAX_WEIGHT as f32);
            self.next /= MAX_WEIGHT;
        }
    }

    /// The size that a share of results don't exceed.
    fn quantile(&self, share: f64) -> Option<u64> {
        if self.seen < MIN_SEEN {
            return None;
        }
        let sum: f64 = self.weights.iter().map(|weight| *weight as f64).sum();
        let mut passed = 0.0;
        for (step, weight) in self.weights.iter().enumerate() {
            passed += *weight as f64;
            if passed >= share * sum * (1.0 - 1e-6) {
                return Some((FIRST * 2f64.powf(step as f64 / 4.0)).ceil() as u64);
            }
        }
        None
    }
}

#[derive(Default)]
pub struct Sizes {
    classes: BTreeMap<usize, Sketch>,
    pairs: BTreeMap<(usize, usize), Sketch>,
    clock: u64,
    /// Refusals by what was learned, since the last that was doubted.
    refused: u64,
}

impl Sizes {
    pub fn learn(&mut self, class: usize, tenant: usize, bytes: u64) {
        self.clock += 1;
        self.classes
            .entry(class)
            .or_insert_with(Sketch::new)
            .learn(bytes);
        if self.pairs.len() >= MAX_PAIRS && !self.pairs.contains_key(&(class, tenant)) {
            let oldest = self
                .pairs
                .iter()
                .min_by_key(|(_, sketch)| sketch.used)
                .map(|(pair, _)| *pair);
            oldest.map(|pair| self.pairs.remove(&pair));
        }
        let pair = self
            .pairs
            .entry((class, tenant))
            .or_insert_with(Sketch::new);
        pair.used = self.clock;
        pair.learn(bytes);
    }

    /// Whether a refusal by what was learned is to be doubted: nothing more is learned of what is
    /// refused, so one in some goes through.
    pub fn should_bypass_rejection(&mut self) -> bool {
        self.refused = (self.refused + 1) % DOUBTED;
        self.refused == 0
    }

    /// What a result is to be promised: by its class and tenant, else its class, else what is
    /// usual.
    pub fn expected(&self, class: usize, tenant: usize, usual: u64) -> u64 {
        let pair = self
            .pairs
            .get(&(class, tenant))
            .and_then(|sketch| sketch.quantile(QUANTILE));
        let of_class = || {
            self.classes
                .get(&class)
                .and_then(|sketch| sketch.quantile(QUANTILE))
        };
        pair.or_else(of_class).unwrap_or(usual)
    }
}

#[cfg(test)]
mod tests;
