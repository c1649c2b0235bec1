//! The number of buckets of a long log, and the precision of percentiles.

use super::*;

#[test]
fn buckets_of_a_whole_day_are_merged_to_stay_within_their_limit() {
    let mut series = Series::new();
    let fact = Fact::RequestReceived {
        class: 0,
        tenant: 0,
        address: None,
    };
    for second in 0..86_400 {
        series.add(&TimedFact {
            source: 0,
            at: second * 1_000_000,
            fact,
        });
    }
    assert!(series.buckets.len() <= MAX_BUCKETS && series.width > INITIAL_WIDTH);
    assert_eq!(
        series
            .buckets
            .iter()
            .map(|bucket| bucket.total(|class| class.received))
            .sum::<u32>(),
        86_400
    );
}

#[test]
fn percentiles_of_a_sketch_have_an_error_below_a_fifth() {
    let mut sketch = LatencySketch::default();
    for ms in 1..=1000 {
        sketch.add(ms * 1000);
    }
    for share in [0.1, 0.5, 0.9, 0.99] {
        let (estimated_ms, true_ms) = (sketch.percentile(share).unwrap(), 1000.0 * share);
        assert!(
            (estimated_ms / true_ms - 1.0).abs() < 0.2,
            "{share}: {estimated_ms}"
        );
    }
    assert_eq!(LatencySketch::default().percentile(0.5), None);
}
