//! Tests of the task ownership simulation, with small fleets.

use super::*;

/// Guards against work of a former owner that is applied after that of its successor, and against
/// tasks that stay without an owner after gateways are lost.
#[test]
fn stale_work_is_rejected_and_lost_tasks_get_new_owners() {
    let size = Size {
        gateways: 9,
        voters: 3,
        tasks: 4,
        faults: 12,
        lost_one_in: 0,
    };
    let (sum, broken_seeds) = play(size, 0..60);
    assert!(
        broken_seeds.is_empty() && sum.applied > 1000,
        "{broken_seeds:?} {sum:?}"
    );
    assert!(sum.fenced > 0, "no work was fenced: {sum:?}");
    let large = Size {
        gateways: 60,
        voters: 5,
        tasks: 20,
        faults: 0,
        lost_one_in: 3,
    };
    let (sum, broken_seeds) = play(large, 0..2);
    assert!(broken_seeds.is_empty() && sum.again_after_ms > 0, "{sum:?}");
    assert_eq!(
        sum.moved_percent, 0,
        "only tasks of lost gateways may change owner"
    );
    assert!(
        sum.tasks_lost > 0 && sum.lost_for_ms > 0 && sum.owned_late == 0,
        "{sum:?}"
    );
    // A loss is noticed only when the lease of 2 s expires, which was renewed at most 0.5 s before
    // the loss.
    assert!(
        (1_500..=sum.lost_for_ms).contains(&sum.noticed_ms),
        "{sum:?}"
    );
    let parts = sum.noticed_ms + sum.vote_ms + sum.first_work_ms;
    assert!(
        sum.vote_ms > 0 && parts + 3 >= sum.lost_for_ms,
        "the three phases must add up to lost_for_ms, within 3 ms of rounding: {sum:?}"
    );
}
