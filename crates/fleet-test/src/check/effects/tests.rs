//! Tests of this module, on small inputs.

use super::super::tests::*;
use super::*;

#[test]
fn a_second_effect_within_the_window_is_caught_and_one_asked_for_after_it_is_not() {
    let window = 1_000_000;
    let twice = |again: Micros| {
        vec![
            asked(10, 1, "a", "g1", 0),
            effect(20, "e1", 1),
            asked(again, 2, "a", "g2", 1),
            effect(again + 10, "e2", 2),
        ]
    };
    assert_eq!(checked(&twice(30)).count(Rule::EffectOnce), 1);
    assert_eq!(
        checked(&twice(20 + window - SLACK - 1)).count(Rule::EffectOnce),
        1
    );
    let late = checked(&twice(20 + window));
    assert_eq!(
        (
            late.count(Rule::EffectOnce),
            late.figures["effects_after_window"]
        ),
        (0, 1)
    );
    // Other requests' effects are none of this one's, and an effect needs a request.
    let other = vec![
        asked(10, 1, "a", "g1", 0),
        effect(20, "e1", 1),
        asked(30, 2, "b", "g2", 0),
        effect(40, "e2", 2),
    ];
    assert_eq!(checked(&other).count(Rule::EffectOnce), 0);
    assert_eq!(checked(&[effect(5, "e1", 7)]).count(Rule::EffectOnce), 1);
}
