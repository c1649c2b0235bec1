//! Tests of the check on counters.

use super::*;

#[test]
fn a_gateway_that_counts_fewer_ends_than_requests_is_caught() {
    let ending = |taken| Ending {
        name: "g1#1".into(),
        log: PathBuf::new(),
        cpu: std::time::Duration::ZERO,
        counters: Some(
            [("taken", taken), ("served", 3), ("lost", 1)]
                .map(|(n, v)| (n.into(), v))
                .into(),
        ),
        was_requested: true,
    };
    let count = |taken| {
        let mut verdict = Verdict::default();
        check_counters(&[ending(taken)], &mut verdict);
        verdict.count(Rule::Conservation)
    };
    assert_eq!((count(4), count(5)), (0, 1));
}
