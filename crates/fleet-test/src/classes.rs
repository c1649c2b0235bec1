//! Request classes of the simulated fleets.

use eideryard::interface::{Class, Effect, Micros, Scope};

/// A class whose requests are safe to repeat and may run on any engine. `aim`: latency objective in
/// microseconds; `threads`: threads that one query runs on.
pub fn safe_class(aim: Micros, threads: f64) -> Class {
    Class {
        latency_objective: aim,
        latency_objective_per_work: 2.0,
        priority_weight: 1.0,
        effect: Effect::Idempotent,
        scope: Scope::All,
        window: 0,
        is_ordered: false,
        zones_only: None,
        kinds_only: None,
        threads,
        is_load: false,
        waits_for_load: false,
    }
}
