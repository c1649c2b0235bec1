//! The slow-start budget of a cold engine, shared by hundreds of gateways.

mod common;
use common::small_shares::*;
use common::*;
use eideryard::interface::*;

/// Returns the maximum work, over several windows, that all gateways together send to a cold engine
/// within one window, in thread seconds.
fn max_work_sent_to_cold_engine(settings: &Settings) -> f64 {
    let start = 1_000 * SECOND;
    let cold = Endpoint {
        booted_at: start,
        ..ready_endpoint(1)
    };
    let mut max_work: f64 = 0.0;
    let mut gateways: Vec<TestGateway> = (0..settings.peers as u64)
        .map(|seed| TestGateway::with_seed(settings.clone(), seed, &[cold, ready_endpoint(2)]))
        .collect();
    let mut id = 0;
    for window in 0..4 {
        let mut work = 0.0;
        for tick in 0..20u64 {
            let now =
                start + window * settings.overload_window + tick * settings.overload_window / 20;
            for (number, gateway) in gateways.iter_mut().enumerate() {
                // Each gateway gets two requests per second; the gateways' requests arrive at
                // different times.
                if !(number as u64 + tick).is_multiple_of(10) {
                    continue;
                }
                id += 1;
                gateway.now = now;
                // The warm engine has no room, so only the budget limits sends to the cold one.
                let load = |engine| if engine == 1 { 0.0 } else { 30.0 };
                let sends = place_with_probes(
                    gateway,
                    Request {
                        group: id,
                        ..lookup_request(id, now + 4 * SECOND)
                    },
                    load,
                );
                work += sends.iter().filter(|&&engine| engine == 1).count() as f64 * 0.1;
                gateway.end_attempt(id, 0, Outcome::Answered, 100 * MILLISECOND);
            }
        }
        max_work = max_work.max(work);
    }
    max_work
}

#[test]
fn hundreds_of_gateways_together_stay_within_the_budget_of_a_cold_engine() {
    let settings = small_share_settings();
    let budget = settings.overload_multiple
        * settings.start_capacity
        * 0.85
        * 8.0
        * settings.overload_window as f64
        / 1e6;
    let max_work = max_work_sent_to_cold_engine(&settings);
    assert!(
        max_work <= budget,
        "{max_work} s of work in a window, {budget} allowed"
    );
    assert!(
        max_work >= 0.2 * budget,
        "{max_work} s of work in a window, {budget} allowed: the cold engine is hardly used"
    );
}
