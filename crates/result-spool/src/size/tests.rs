//! Guards against estimates that ignore recent sizes, and against weights that overflow.

use super::*;

#[test]
fn estimates_follow_the_pair_then_the_class_and_old_outcomes_fade() {
    let mut sizes = Sizes::default();
    assert_eq!(sizes.expected(1, 1, 777), 777);
    (0..100).for_each(|n| sizes.learn(1, 1, 10_000 + n * 100));
    let is_near = |estimate: u64, expected: f64| (0.8..1.3).contains(&(estimate as f64 / expected));
    assert!(
        is_near(sizes.expected(1, 1, 0), 19_500.0),
        "{}",
        sizes.expected(1, 1, 0)
    );
    assert!(
        is_near(sizes.expected(1, 2, 0), 19_500.0),
        "the estimate of the class"
    );
    assert_eq!(sizes.expected(2, 1, 5), 5);
    (0..1500).for_each(|_| sizes.learn(1, 1, 50_000_000));
    assert!(is_near(sizes.expected(1, 1, 0), 50e6));
    (0..3000).for_each(|n| sizes.learn(3, n, 1));
    assert!(sizes.pairs.len() <= MAX_PAIRS);
}

#[test]
fn weights_stay_finite_over_a_million_outcomes() {
    let mut sketch = Sketch::new();
    (0..1_000_000u64).for_each(|n| sketch.learn(if n % 2 == 0 { 4096 } else { 1 << 20 }));
    let (low, high) = (sketch.quantile(0.4).unwrap(), sketch.quantile(0.9).unwrap());
    assert!(
        (4096..6000).contains(&low) && (1 << 20..2_000_000).contains(&high),
        "{low} {high}"
    );
}
