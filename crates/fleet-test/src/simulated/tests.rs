//! Simulated fleets keep the rules over many seeds, and break them without a protection.

use super::*;

const SMALL: Size = Size {
    gateways: 20,
    keepers: 3,
    requests: 60,
    faults: 14,
};

/// More faults per gateway than in any real fleet.
const HARD: Size = Size {
    gateways: 12,
    keepers: 3,
    requests: 150,
    faults: 24,
};
const LARGE: Size = Size {
    gateways: 300,
    keepers: 5,
    requests: 200,
    faults: 60,
};

#[test]
fn all_seeds_keep_the_rules_and_end_with_equal_replicas() {
    for (size, seeds) in [(SMALL, 0..200), (HARD, 0..100), (LARGE, 0..3)] {
        let (sum, broken) = play(size, seeds, Without::Nothing);
        assert!(broken.is_empty(), "{size:?}: {broken:?} {sum:?}");
        assert!(sum.effects > sum.requests / 2, "{sum:?}");
    }
}

#[test]
fn without_claims_or_catch_up_the_same_seeds_take_effect_twice() {
    for (without, seeds) in [(Without::Claims, 0..5), (Without::CatchUp, 0..100)] {
        let (sum, _) = play(HARD, seeds, without);
        assert!(sum.effects_twice > 0, "{without:?}: {sum:?}");
    }
}

#[test]
fn a_seed_gives_the_same_figures_again() {
    let play = |_| format!("{:?}", Fleet::new(SMALL, 7, Without::Nothing).run());
    assert_eq!(play(0), play(1));
}
