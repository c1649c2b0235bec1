//! Tests of this module, on small inputs.

use super::*;

#[test]
fn service_is_back_where_a_whole_window_is_served_as_before() {
    // Ten tries a second: all served for 5 s, none for 3 s, then all again.
    let tries = (0..150u64).map(|number| (number * 100_000, !(50..80).contains(&number)));
    let firsts: Firsts = tries.collect();
    assert_eq!(share(&firsts, 0, 5_000_000), Some(1.0));
    assert_eq!(share(&firsts, 0, 300_000), None, "three say nothing");
    assert_eq!(back(&firsts, 1.0, 6_000_000, 15_000_000), Some(2_000_000));
    let dead: Firsts = firsts
        .iter()
        .map(|(at, _)| (*at, *at < 5_000_000))
        .collect();
    assert_eq!(back(&dead, 1.0, 6_000_000, 15_000_000), None);
}
