//! Tests of this module, on small inputs.

use super::*;

#[test]
fn whoever_comes_again_gets_the_answer_of_the_one_run() {
    let mut returns: Returns<u32, &str> = Returns::new();
    assert_eq!(returns.arrives("a", 1), Arrival::First);
    assert_eq!(returns.arrives("a", 2), Arrival::Attached);
    assert_eq!(returns.arrives("b", 3), Arrival::First);
    assert!(
        !returns.leaves("a", &1),
        "the first connection broke, the second waits"
    );
    assert_eq!(returns.ends("a", "result 7"), [2]);
    assert_eq!(
        returns.ends("a", "result 8"),
        [] as [u32; 0],
        "it ends once"
    );
    assert_eq!(returns.arrives("a", 4), Arrival::Answered("result 7"));
    returns.drops("a");
    assert_eq!(returns.arrives("a", 5), Arrival::Gone);
    assert!(returns.leaves("b", &3), "nobody waits, it runs on");
    assert_eq!(returns.arrives("b", 6), Arrival::Attached);
    assert_eq!(returns.refused("b"), [6]);
    assert_eq!(
        returns.arrives("b", 7),
        Arrival::First,
        "what never ran may run"
    );
}

#[test]
fn what_is_remembered_has_bounds() {
    let mut returns: Returns<u32, ()> = Returns::new();
    for number in 0..100_000 {
        let name = format!("{number}");
        returns.arrives(&name, number);
        returns.ends(&name, ());
        returns.drops(&name);
    }
    assert_eq!(returns.len(), (0, MAX_GONE));
    assert_eq!(returns.arrives("99999", 0), Arrival::Gone);
    let crowded = (0..100)
        .filter(|who| returns.arrives("one", *who) == Arrival::Crowded)
        .count();
    assert_eq!(crowded, 100 - MAX_WAITING);
}
