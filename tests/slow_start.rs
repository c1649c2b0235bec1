//! The slow-start budget of a cold engine, kept by hundreds of gateways together.

mod common;
use common::small_shares::*;
use common::*;
use eideryard::interface::*;

/// Work that all gateways together send a cold engine within one window, over several windows.
fn cold_work_of_all(settings: &Settings) -> f64 {
    let start = 1_000 * S;
    let cold = Endpoint {
        booted_at: start,
        ..ready(1)
    };
    let mut most: f64 = 0.0;
    let mut gateways: Vec<Bench> = (0..settings.peers as u64)
        .map(|seed| Bench::seeded(settings.clone(), seed, &[cold, ready(2)]))
        .collect();
    let mut id = 0;
    for window in 0..4 {
        let mut work = 0.0;
        for tick in 0..20u64 {
            let now =
                start + window * settings.overload_window + tick * settings.overload_window / 20;
            for (number, gateway) in gateways.iter_mut().enumerate() {
                // Two requests a second each, at times of their own.
                if !(number as u64 + tick).is_multiple_of(10) {
                    continue;
                }
                id += 1;
                gateway.now = now;
                // The warm one has no room: all that the rule allows may go to the cold one.
                let load = |engine| if engine == 1 { 0.0 } else { 30.0 };
                let sends = place(
                    gateway,
                    Request {
                        group: id,
                        ..lookup(id, now + 4 * S)
                    },
                    load,
                );
                work += sends.iter().filter(|&&engine| engine == 1).count() as f64 * 0.1;
                gateway.end_attempt(id, 0, Outcome::Answered, 100 * MS);
            }
        }
        most = most.max(work);
    }
    most
}

#[test]
fn hundreds_of_gateways_together_stay_within_the_budget_of_a_cold_engine() {
    let settings = wide();
    let budget = settings.overload_multiple
        * settings.start_capacity
        * 0.85
        * 8.0
        * settings.overload_window as f64
        / 1e6;
    let most = cold_work_of_all(&settings);
    assert!(
        most <= budget,
        "{most} s of work in a window, {budget} allowed"
    );
    assert!(
        most >= 0.2 * budget,
        "{most} s of work in a window, {budget} allowed: it must not starve"
    );
}
