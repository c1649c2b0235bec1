//! The endpoint list: work with a cached list, a failure of discovery, and subscription after it.

mod common;
use common::*;
use eideryard::interface::*;

#[test]
fn requests_are_sent_by_the_cached_list_before_and_after_discovery_fails() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1), ready_endpoint(2)]);
    assert_eq!(
        sent_attempts(&gateway.submit(lookup_request(1, gateway.now + 4 * SECOND))).len(),
        1
    );
    gateway.handle(Event::DiscoveryFailed);
    assert_eq!(
        sent_attempts(&gateway.submit(lookup_request(2, gateway.now + 4 * SECOND))).len(),
        1
    );
}

#[test]
fn failed_subscription_is_retried_after_a_delay() {
    let settings = Settings {
        discovery: Discovery::Poll,
        ..settings()
    };
    let mut gateway = TestGateway::new(settings, &[ready_endpoint(1)]);
    assert!(gateway.last_actions.contains(&Action::Subscribe));
    assert!(!gateway
        .handle(Event::DiscoveryFailed)
        .contains(&Action::Subscribe));
    assert!(gateway.advance(5 * SECOND).contains(&Action::Subscribe));
}
