//! Settings of the simulated fleet, drawn from the seed.

use super::*;
use crate::classes::safe_class;

pub(super) fn draw_settings(rng: &mut StdRng, gateways: usize, cores: f64) -> Settings {
    Settings {
        classes: vec![
            safe_class(800_000, REQUEST_THREADS[0]),
            safe_class(3 * S, REQUEST_THREADS[1]),
        ],
        tenants: Vec::new(),
        kinds: vec![MachineKind {
            cores,
            memory_mb: 16_000.0,
        }],
        peers: gateways as f64,
        gateway_index: None,
        zone: 0,
        tick: 5_000,
        discovery: Discovery::Push,
        progress_interval: 500_000,
        largest_share: 0.4,
        max_attempts: 4,
        may_cancel: rng.random(),
        may_hedge: false,
        may_probe: rng.random(),
        counts_by_probe: rng.random_bool(0.3),
        may_send_retry_after: true,
        max_retry_after: S,
        overload_multiple: rng.random_range(2.0..3.0),
        overload_window: rng.random_range(1..=3) * S,
        start_capacity: rng.random_range(0.31..0.5),
        warm_up_duration: rng.random_range(8..=15) * S,
        ordering_delay: 0,
        retry_budget: None,
        poll_interval: 10 * S,
        over_quota_weight: 0.2,
        cross_zone_tariff: 0.0,
        probe_tariff: 0.01,
    }
}

/// Fraction of its full capacity that an engine has at `now`; an engine without a start time is
/// warm.
pub(super) fn warmth(settings: &Settings, started_at: Option<Micros>, now: Micros) -> f64 {
    let Some(started_at) = started_at else {
        return 1.0;
    };
    let age = now.saturating_sub(started_at) as f64 / settings.warm_up_duration as f64;
    settings.start_capacity + (1.0 - settings.start_capacity) * age.min(1.0)
}
