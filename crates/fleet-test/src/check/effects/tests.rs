//! Tests of the rule on effects.

use super::super::tests::*;
use super::*;

#[test]
fn a_second_effect_is_caught_unless_its_try_was_sent_after_the_window() {
    let window = 1_000_000;
    let twice = |sent_again: Micros| {
        vec![
            try_sent(10, 1, "a", "g1", 0),
            effect(20, "e1", 1),
            try_sent(sent_again, 2, "a", "g2", 1),
            effect(sent_again + 10, "e2", 2),
        ]
    };
    assert_eq!(checked(&twice(30)).count(Rule::EffectOnce), 1);
    assert_eq!(
        checked(&twice(20 + window - SLACK - 1)).count(Rule::EffectOnce),
        1
    );
    let after_window = checked(&twice(20 + window));
    assert_eq!(
        (
            after_window.count(Rule::EffectOnce),
            after_window.figures["effects_after_window"]
        ),
        (0, 1)
    );
    // Effects of different requests are independent, and an effect without a request is a break.
    let two_requests = vec![
        try_sent(10, 1, "a", "g1", 0),
        effect(20, "e1", 1),
        try_sent(30, 2, "b", "g2", 0),
        effect(40, "e2", 2),
    ];
    assert_eq!(checked(&two_requests).count(Rule::EffectOnce), 0);
    assert_eq!(checked(&[effect(5, "e1", 7)]).count(Rule::EffectOnce), 1);
}
