//! The list of engines: a cached one, one that fails, and when it is subscribed to again.

mod common;
use common::*;
use eideryard::interface::*;

#[test]
fn cached_list_serves_a_restarted_gateway_and_a_failed_discovery_changes_nothing() {
    let mut bench = Bench::new(settings(), &[ready(1), ready(2)]);
    assert_eq!(sent(&bench.request(lookup(1, bench.now + 4 * S))).len(), 1);
    bench.handle(Event::DiscoveryFailed);
    assert_eq!(sent(&bench.request(lookup(2, bench.now + 4 * S))).len(), 1);
}

#[test]
fn failed_subscription_is_retried() {
    let settings = Settings {
        discovery: Discovery::Poll,
        ..settings()
    };
    let mut bench = Bench::new(settings, &[ready(1)]);
    assert!(bench.last.contains(&Action::Subscribe));
    assert!(!bench
        .handle(Event::DiscoveryFailed)
        .contains(&Action::Subscribe));
    assert!(bench.advance(5 * S).contains(&Action::Subscribe));
}
