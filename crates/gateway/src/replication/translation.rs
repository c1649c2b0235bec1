//! Converts peers, locations and prior attempts between the types that the links, the replication
//! core and the balancer use.

use eideryard::interface::{Micros, PriorAttempt};
use eideryard_intent_log::{Intent, Location};
use eideryard_peer_transport::Peer as TransportPeer;
use eideryard_replication::{Peer, PriorRun, PriorRuns};

/// Lower limit on known times in microseconds, because time 0 means "unknown" to the balancer.
const MIN_KNOWN_TIME: Micros = 1;

pub(super) fn replication_peer(peer: TransportPeer) -> Peer {
    match peer {
        TransportPeer::Voter(index) => Peer::Voter(index),
        TransportPeer::Requester(link) => Peer::Requester(link),
    }
}

pub(super) fn transport_peer(peer: Peer) -> TransportPeer {
    match peer {
        Peer::Voter(index) => TransportPeer::Voter(index),
        Peer::Requester(link) => TransportPeer::Requester(link),
    }
}

/// Converts prior runs to the balancer's type. A run without a location, which may have been at any
/// of several locations, gets an unknown location and time.
pub fn prior_attempts(runs: &PriorRuns) -> Vec<PriorAttempt> {
    let prior_attempt = |run: &PriorRun| match run.location {
        Some(location) => PriorAttempt {
            zone: location.zone,
            cell: location.cell,
            since: run.since.max(MIN_KNOWN_TIME),
        },
        None => PriorAttempt {
            zone: 0,
            cell: 0,
            since: 0,
        },
    };
    runs.iter().map(prior_attempt).collect()
}

/// Converts prior attempts to the type that voters use.
pub(super) fn prior_runs(attempts: &[PriorAttempt]) -> PriorRuns {
    let location = |attempt: &PriorAttempt| {
        (attempt.since > 0).then_some(Location {
            zone: attempt.zone,
            cell: attempt.cell,
        })
    };
    attempts
        .iter()
        .map(|attempt| PriorRun {
            location: location(attempt),
            since: attempt.since,
        })
        .collect()
}

/// Returns the zone and cell of the engine that runs an intent's attempt; `None` if they are
/// unknown.
pub(super) fn known_location(intent: &Intent) -> Option<Location> {
    (intent.since > 0).then_some(intent.location)
}
