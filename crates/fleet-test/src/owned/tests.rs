//! Tests of this module, on small inputs.

use super::*;

#[test]
fn no_stale_work_counts_and_tasks_find_owners_again() {
    let size = Size {
        gateways: 9,
        keepers: 3,
        tasks: 4,
        faults: 12,
        goes: 0,
    };
    let (sum, broken) = play(size, 0..60);
    assert!(
        broken.is_empty() && sum.applied > 1000,
        "{broken:?} {sum:?}"
    );
    assert!(sum.fenced > 0, "the fence was never met: {sum:?}");
    let large = Size {
        gateways: 60,
        keepers: 5,
        tasks: 20,
        faults: 0,
        goes: 3,
    };
    let (sum, broken) = play(large, 0..2);
    assert!(broken.is_empty() && sum.again_after_ms > 0, "{sum:?}");
    assert_eq!(sum.moved_percent, 0, "only tasks of those that went move");
    assert!(
        sum.tasks_lost > 0 && sum.lost_for_ms > 0 && sum.owned_late == 0,
        "{sum:?}"
    );
    // Nothing is noticed before a lease of 2 s, renewed up to 0.5 s before, has run out.
    assert!(
        (1_500..=sum.lost_for_ms).contains(&sum.noticed_ms),
        "{sum:?}"
    );
    let parts = sum.noticed_ms + sum.vote_ms + sum.first_work_ms;
    assert!(
        sum.vote_ms > 0 && parts + 3 >= sum.lost_for_ms,
        "the parts make up the whole: {sum:?}"
    );
}
