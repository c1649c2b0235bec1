//! Tests of the failure detector: with one timeout for all links, it would report a distant peer as
//! silent, or notice too late that a near one has stopped.

use super::*;

/// Returns the detector of a peer whose frames arrive at `interval` with up to 10% of jitter, and
/// the arrival time of the last frame.
fn detector_of_steady_peer(interval: Micros, count: u64) -> (FailureDetector, Micros) {
    let mut detector = FailureDetector::new(0);
    let mut now = 0;
    for number in 0..count {
        now += interval + (number * 7919) % (interval / 10);
        let heartbeat = detector.take_due_heartbeat(now);
        detector.on_frame(now);
        if let Some(heartbeat) = heartbeat {
            detector.on_heartbeat_reply(now + 2_000, heartbeat);
        }
    }
    (detector, now)
}

#[test]
fn a_steady_peer_is_up_and_one_that_stops_becomes_slow_silent_and_disconnected() {
    let (detector, last) = detector_of_steady_peer(HEARTBEAT_INTERVAL, 100);
    let states: Vec<PeerState> = (0..DISCONNECT_TIMEOUT / 10_000 + 2)
        .map(|step| detector.state(last + step * 10_000))
        .collect();
    assert!(
        states.windows(2).all(|pair| pair[0] <= pair[1]),
        "the state never improves while nothing arrives"
    );
    for state in [
        PeerState::Up,
        PeerState::Slow,
        PeerState::Silent,
        PeerState::Disconnected,
    ] {
        assert!(states.contains(&state), "{state:?}");
    }
    assert_eq!(
        detector.state(last + HEARTBEAT_INTERVAL + SCHEDULING_MARGIN / 2),
        PeerState::Up
    );
}

#[test]
fn a_link_with_long_intervals_has_a_longer_timeout() {
    let silent_after = |interval| {
        let (detector, last) = detector_of_steady_peer(interval, 100);
        (0..)
            .step_by(1_000)
            .find(|silence| detector.state(last + silence) >= PeerState::Silent)
            .expect("the peer becomes silent eventually")
    };
    assert!(
        silent_after(HEARTBEAT_INTERVAL) < silent_after(2 * HEARTBEAT_INTERVAL)
            && silent_after(2 * HEARTBEAT_INTERVAL) < silent_after(4 * HEARTBEAT_INTERVAL)
    );
}

#[test]
fn a_peer_whose_replies_slow_down_is_slow_although_its_frames_arrive() {
    let (mut detector, mut now) = detector_of_steady_peer(HEARTBEAT_INTERVAL, 50);
    assert_eq!(detector.state(now), PeerState::Up);
    for _ in 0..3 {
        now += HEARTBEAT_INTERVAL;
        let heartbeat = detector
            .take_due_heartbeat(now)
            .expect("a heartbeat is due");
        detector.on_frame(now);
        detector.on_heartbeat_reply(now + 250_000, heartbeat);
    }
    assert_eq!(detector.state(now), PeerState::Slow);
}
