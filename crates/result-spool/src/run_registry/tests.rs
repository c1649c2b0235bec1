//! Tests of this module, on small inputs.

use super::*;

#[test]
fn whoever_comes_again_gets_the_answer_of_the_one_run() {
    let mut run_registry: RunRegistry<u32, &str> = RunRegistry::new();
    assert_eq!(run_registry.register("a", 1), Arrival::First);
    assert_eq!(run_registry.register("a", 2), Arrival::Attached);
    assert_eq!(run_registry.register("b", 3), Arrival::First);
    assert!(
        !run_registry.detach("a", &1),
        "the first connection broke, the second waits"
    );
    assert_eq!(run_registry.finish("a", "result 7"), [2]);
    assert_eq!(
        run_registry.finish("a", "result 8"),
        [] as [u32; 0],
        "it ends once"
    );
    assert_eq!(run_registry.register("a", 4), Arrival::Answered("result 7"));
    run_registry.drop_answer("a");
    assert_eq!(run_registry.register("a", 5), Arrival::Gone);
    assert!(run_registry.detach("b", &3), "nobody waits, it runs on");
    assert_eq!(run_registry.register("b", 6), Arrival::Attached);
    assert_eq!(run_registry.withdraw("b"), [6]);
    assert_eq!(
        run_registry.register("b", 7),
        Arrival::First,
        "what never ran may run"
    );
}

#[test]
fn what_is_remembered_has_bounds() {
    let mut run_registry: RunRegistry<u32, ()> = RunRegistry::new();
    for number in 0..100_000 {
        let name = format!("{number}");
        run_registry.register(&name, number);
        run_registry.finish(&name, ());
        run_registry.drop_answer(&name);
    }
    assert_eq!(run_registry.len(), (0, MAX_GONE));
    assert_eq!(run_registry.register("99999", 0), Arrival::Gone);
    let crowded = (0..100)
        .filter(|who| run_registry.register("one", *who) == Arrival::TooManyWaiters)
        .count();
    assert_eq!(crowded, 100 - MAX_WAITING);
}
