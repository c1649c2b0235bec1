//! The sum of what all gateways send to engines that have just started, on a few seeds of each
//! size; the command `cold_sum` plays many.

use eideryard_fleet_test::cold_sum::{play, Without};

#[test]
fn no_sum_of_gateways_pushes_a_cold_engine_over() {
    let (mut calls, mut served) = (0, 0.0);
    for gateways in [5, 20, 30, 300] {
        let seeds = if gateways > 100 { 2 } else { 8 };
        for seed in 0..seeds {
            let sum = play(seed, gateways, Without::default());
            assert!(
                sum.over_bound <= 1.0,
                "{gateways} gateways, seed {seed}: {sum:?}"
            );
            calls += sum.calls;
            served += sum.served / f64::from(seeds as u32) / 4.0;
        }
    }
    assert!(
        calls > 500 && served > 0.5,
        "{calls} calls came to cold engines, {served} was served"
    );
}

/// A budget that is many times too large shows as a fall: the count can tell.
#[test]
fn gateways_that_believe_a_cold_engine_warm_push_it_over() {
    let fell = |seed| {
        play(
            seed,
            20,
            Without {
                cold: true,
                ..Without::default()
            },
        )
        .over_bound
            > 1.0
    };
    assert!((0..16).any(fell), "nothing fell without the budget");
}
