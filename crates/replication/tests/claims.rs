//! Ages in claims as voters receive them. A claim that understates the age of an earlier attempt
//! lets a retry run after the engine has forgotten that attempt.

use eideryard_replication::claims::CLAIM_TIMEOUT;
use eideryard_replication::core::ClaimRequest;
use eideryard_replication::replica_set::Limits;
use eideryard_replication::{Config, Core, Message, Micros, Origin, Output, Peer};

const RETENTION: Micros = 20_000_000;

fn requester_core() -> Core {
    let config = Config {
        voters: 1,
        voter_index: None,
        max_retention: RETENTION,
        limits: Limits { max_keys: 9 },
        transfer_bytes_per_s: 1 << 20,
        send_without_majority: false,
    };
    let origin = Origin {
        identity: 1,
        start: 1,
    };
    let mut core = Core::start(config, origin, true, std::iter::empty(), 0);
    core.on_link(0, Peer::Voter(0), true);
    core
}

fn claimed_age(core: &mut Core, now: Micros, since: Micros) -> Micros {
    let request = ClaimRequest {
        number: now,
        key: b"key",
        location: None,
        since,
        retention: RETENTION,
        known_runs: Vec::new(),
    };
    match core.claim(now, request).as_slice() {
        [Output::Send(Peer::Voter(0), Message::Claim { record, .. })] => record.age,
        outputs => panic!("expected one claim, got {outputs:?}"),
    }
}

#[test]
fn a_claim_of_a_request_in_flight_adds_the_claim_timeout_to_its_age() {
    let mut core = requester_core();
    assert_eq!(claimed_age(&mut core, 1_000, 1_000), 0);
    assert_eq!(claimed_age(&mut core, 3_000, 2_500), 2_000 + CLAIM_TIMEOUT);
}

#[test]
fn a_new_claim_of_a_key_keeps_the_first_start_and_adds_no_timeout() {
    let mut core = requester_core();
    assert_eq!(claimed_age(&mut core, 1_000, 1_000), 0);
    assert_eq!(claimed_age(&mut core, 3_000, 3_000), 2_000);
}
