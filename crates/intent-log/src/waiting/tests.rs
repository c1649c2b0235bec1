//! Tests of sends that are waiting for the store or for claims.

use super::*;

#[test]
fn sends_are_ready_when_durable_and_granted_and_never_after_their_timeout() {
    let mut sends = PendingSends::default();
    sends.push(0, 1, None, "store");
    sends.push(0, 2, Some(7), "both");
    sends.push(10, 3, Some(8), "claim");
    sends.push(20, 4, Some(9), "not granted");
    assert_eq!(sends.poll(30, 0).ready, Vec::<&str>::new());
    assert_eq!(sends.poll(30, 1).ready, ["store"]);
    sends.on_claim_granted(7);
    assert_eq!(
        sends.poll(40, 1).ready,
        Vec::<&str>::new(),
        "the claim is granted, but the write is not durable"
    );
    assert_eq!(sends.take_by_claim(9), Some("not granted"));
    assert_eq!(
        sends.poll(50, 3),
        PollResult {
            ready: vec!["both"],
            timed_out: vec![]
        }
    );
    // Claim 8 is granted and ticket 3 durable, but the send has passed its timeout.
    sends.on_claim_granted(8);
    let late = sends.poll(10 + STALL_TIMEOUT, 4);
    assert_eq!(
        (late.ready.len(), late.timed_out),
        (0, vec![("claim", TimeoutReason::Store)])
    );
    sends.push(100, 5, Some(10), "unanswered");
    assert_eq!(
        sends.poll(100 + STALL_TIMEOUT, 5).timed_out,
        [("unanswered", TimeoutReason::Claim)]
    );
    assert!(
        sends.is_empty() && sends.ticket_by_claim.is_empty() && sends.next_deadline().is_none()
    );
}

#[test]
fn a_slow_store_accepts_a_few_sends_and_a_stalled_one_none_until_it_writes() {
    let mut sends = PendingSends::default();
    for ticket in 1..=4 {
        sends.push(0, ticket, None, ticket);
    }
    assert!(
        !sends.should_reject_requests(2 * SLOW_STORE_THRESHOLD, 0),
        "no more sends than may wait for a slow store"
    );
    sends.push(0, 5, None, 5);
    assert!(
        !sends.should_reject_requests(SLOW_STORE_THRESHOLD - 1, 0)
            && sends.should_reject_requests(SLOW_STORE_THRESHOLD, 0)
            && !sends.should_reject_requests(SLOW_STORE_THRESHOLD, 4)
    );
    assert_eq!(sends.poll(STALL_TIMEOUT, 0).timed_out.len(), 5);
    assert!(
        sends.should_reject_requests(STALL_TIMEOUT, 4),
        "no send waits, but the store has not written the stalled ticket"
    );
    sends.poll(STALL_TIMEOUT, 5);
    assert!(!sends.should_reject_requests(STALL_TIMEOUT, 5));
}

#[test]
fn a_send_that_waited_must_reach_its_engine_within_the_window() {
    let attempt = PriorAttempt {
        zone: 0,
        cell: 0,
        since: 1_000,
    };
    assert!(is_within_window(1_000, 2 * DELIVERY_MARGIN, &[attempt]));
    assert!(!is_within_window(
        1_000 + DELIVERY_MARGIN,
        2 * DELIVERY_MARGIN,
        &[attempt]
    ));
}
