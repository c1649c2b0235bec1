//! Tests of the fence.

use super::*;

#[test]
fn work_waits_until_its_token_is_durable_and_the_oldest_tasks_are_dropped() {
    let mut fences = Fences::default();
    let task = |number| Task { kind: 1, number };
    let token = |term| FencingToken { term, owner: 1 };
    assert_eq!(
        fences.admit(task(1), token(5)),
        Admission::AdmittedOnceDurable
    );
    fences.mark_durable(task(1), token(5));
    assert_eq!(fences.admit(task(1), token(5)), Admission::Admitted);
    assert_eq!(
        fences.admit(task(1), token(4)),
        Admission::Stale { greatest: token(5) }
    );
    for number in 2..10 {
        fences.raise(task(number), token(u64::from(number)));
    }
    assert_eq!(fences.trim(6), [2, 3, 4].map(task));
    assert_eq!(fences.len(), 6);
    assert_eq!(fences.greatest(task(1)), token(5));
}
