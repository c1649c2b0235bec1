//! Settings of a drawn fleet.

use super::*;
use crate::classes::safe_class;

pub(super) fn settings(rng: &mut StdRng, gateways: usize, cores: f64) -> Settings {
    Settings {
        classes: vec![
            safe_class(800_000, THREADS[0]),
            safe_class(3 * S, THREADS[1]),
        ],
        tenants: Vec::new(),
        kinds: vec![Kind {
            cores,
            memory_mb: 16_000.0,
        }],
        peers: gateways as f64,
        index: None,
        zone: 0,
        tick: 5_000,
        discovery: Discovery::Push,
        note_period: 500_000,
        largest_share: 0.4,
        max_attempts: 4,
        may_cancel: rng.random(),
        may_duplicate: false,
        may_probe: rng.random(),
        counts_by_probe: rng.random_bool(0.3),
        may_advise: true,
        max_advice: S,
        fall_multiple: rng.random_range(2.0..3.0),
        fall_window: rng.random_range(1..=3) * S,
        start_capacity: rng.random_range(0.31..0.5),
        warm_within: rng.random_range(8..=15) * S,
        order_pause: 0,
        attempt_budget: None,
        ask_every: 10 * S,
        over_share_worth: 0.2,
        cross_zone_tariff: 0.0,
        probe_tariff: 0.01,
    }
}

/// The part of its capacity that an engine has by now.
pub(super) fn warmth(set: &Settings, born: Option<Micros>, now: Micros) -> f64 {
    let Some(born) = born else { return 1.0 };
    let age = now.saturating_sub(born) as f64 / set.warm_within as f64;
    set.start_capacity + (1.0 - set.start_capacity) * age.min(1.0)
}
