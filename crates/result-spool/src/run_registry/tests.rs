//! Guards against a second run of a request that is resent, and against unbounded memory.

use super::*;

#[test]
fn a_request_sent_again_gets_the_answer_of_the_same_run() {
    let mut registry: RunRegistry<u32, &str> = RunRegistry::new();
    assert_eq!(registry.register("a", 1), Arrival::First);
    assert_eq!(registry.register("a", 2), Arrival::Attached);
    assert_eq!(registry.register("b", 3), Arrival::First);
    assert!(registry.remove_waiter("a", &1));
    assert!(
        registry.has_other_waiters("a", &1),
        "the first connection was lost, the second still waits"
    );
    assert!(
        !registry.remove_waiter("a", &1),
        "a request is removed only once"
    );
    assert_eq!(registry.finish("a", "result 7"), [2]);
    assert_eq!(
        registry.finish("a", "result 8"),
        [] as [u32; 0],
        "a run ends only once"
    );
    assert_eq!(registry.register("a", 4), Arrival::Answered("result 7"));
    registry.drop_answer("a");
    assert_eq!(registry.register("a", 5), Arrival::Gone);
    assert!(registry.remove_waiter("b", &3));
    assert!(
        !registry.has_other_waiters("b", &0),
        "nobody waits, but the run continues"
    );
    assert_eq!(registry.register("b", 6), Arrival::Attached);
    assert_eq!(registry.withdraw("b"), [6]);
    assert_eq!(
        registry.register("b", 7),
        Arrival::First,
        "a name that was withdrawn can be used again"
    );
}

#[test]
fn the_numbers_of_dropped_names_and_of_waiters_are_bounded() {
    let mut registry: RunRegistry<u32, ()> = RunRegistry::new();
    for number in 0..100_000 {
        let name = format!("{number}");
        registry.register(&name, number);
        registry.finish(&name, ());
        registry.drop_answer(&name);
    }
    assert_eq!(registry.len(), (0, MAX_DROPPED_NAMES));
    assert_eq!(registry.register("99999", 0), Arrival::Gone);
    let rejected = (0..100)
        .filter(|waiter| registry.register("one", *waiter) == Arrival::TooManyWaiters)
        .count();
    assert_eq!(rejected, 100 - MAX_WAITERS);
}
