//! The total load that all gateways send to engines that have just started, on a few seeds of each
//! fleet size; the command `cold_sum` simulates many.

use eideryard_fleet_test::cold_sum::{play, Disabled};

/// Each gateway limits only its own calls to a cold engine. Guards against limits whose total over
/// all gateways overloads the engine.
#[test]
fn gateways_together_do_not_overload_a_cold_engine() {
    let (mut calls, mut served) = (0, 0.0);
    for gateways in [5, 20, 30, 300] {
        let seeds = if gateways > 100 { 2 } else { 8 };
        for seed in 0..seeds {
            let result = play(seed, gateways, Disabled::default());
            assert!(
                result.load_over_bound <= 1.0,
                "{gateways} gateways, seed {seed}: {result:?}"
            );
            calls += result.calls;
            served += result.served_share / f64::from(seeds as u32) / 4.0;
        }
    }
    assert!(
        calls > 500 && served > 0.5,
        "cold engines received {calls} calls, expected over 500; \
         the served share of the value is {served}, expected over 0.5"
    );
}

/// Disabled start times in the endpoint list, gateways send far more than a cold engine can take.
/// Guards against a check that can't fail.
#[test]
fn gateways_that_treat_a_cold_engine_as_warm_overload_it() {
    let overloads_engine = |seed| {
        play(
            seed,
            20,
            Disabled {
                start_times: true,
                ..Disabled::default()
            },
        )
        .load_over_bound
            > 1.0
    };
    assert!(
        (0..16).any(overloads_engine),
        "no seed overloaded an engine although the list omitted start times"
    );
}
