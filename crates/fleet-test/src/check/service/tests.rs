//! Tests of the figures on service.

use super::*;

#[test]
fn service_has_recovered_when_a_whole_window_is_served_as_before() {
    // Ten tries a second: all served for 5 s, none for 3 s, then all again.
    let tries = (0..150u64).map(|number| (number * 100_000, !(50..80).contains(&number)));
    let firsts: FirstTries = tries.collect();
    assert_eq!(served_share(&firsts, 0, 5_000_000), Some(1.0));
    assert_eq!(
        served_share(&firsts, 0, 300_000),
        None,
        "three tries are too few"
    );
    assert_eq!(
        recovery_time(&firsts, 1.0, 6_000_000, 15_000_000),
        Some(2_000_000)
    );
    let never_recovered: FirstTries = firsts
        .iter()
        .map(|(at, _)| (*at, *at < 5_000_000))
        .collect();
    assert_eq!(
        recovery_time(&never_recovered, 1.0, 6_000_000, 15_000_000),
        None
    );
}
