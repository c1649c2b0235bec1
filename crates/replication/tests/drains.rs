//! A drain from a peer must override older endpoint lists of the same engine process only.
//! Otherwise a gateway sends requests to a draining engine, or none to a restarted one.

use eideryard_replication::drains::{Drain, Drains, MAX_DRAINS};

#[test]
fn a_drain_overrides_older_lists_of_the_same_process_only() {
    let drain = Drain {
        list_event_number: 7,
        engine: 1,
        booted_at: 100,
        is_removed: false,
    };
    let mut drains = Drains::default();
    assert!(drains.record(drain) && !drains.record(drain));
    assert!(
        !drains.record(Drain {
            list_event_number: 6,
            is_removed: true,
            ..drain
        }),
        "an older event is not new"
    );
    assert_eq!(drains.overriding(1, 100, 6), Some(drain));
    assert_eq!(
        drains.overriding(1, 100, 7),
        None,
        "a gateway follows its own list if it is as new"
    );
    assert_eq!(
        drains.overriding(1, 101, 6),
        None,
        "the engine has been restarted since"
    );
    assert_eq!(drains.overriding(2, 100, 0), None);
    for engine in 0..2 * MAX_DRAINS as u32 {
        drains.record(Drain {
            list_event_number: u64::from(engine),
            engine: 9 + engine,
            booted_at: 1,
            is_removed: true,
        });
    }
    assert_eq!(drains.len(), MAX_DRAINS);
}
