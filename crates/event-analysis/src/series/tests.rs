//! Sums over long times and percentiles.

use super::*;

#[test]
fn a_day_keeps_its_sums_in_as_many_buckets_as_ten_minutes() {
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
fn a_sketch_tells_percentiles_to_a_fifth() {
    let mut sketch = LatencySketch::default();
    for ms in 1..=1000 {
        sketch.add(ms * 1000);
    }
    for share in [0.1, 0.5, 0.9, 0.99] {
        let (told, true_ms) = (sketch.percentile(share).unwrap(), 1000.0 * share);
        assert!((told / true_ms - 1.0).abs() < 0.2, "{share}: {told}");
    }
    assert_eq!(LatencySketch::default().percentile(0.5), None);
}
