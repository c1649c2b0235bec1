//! Peers, places and prior attempts, as the links, the replicas and the balancer each name them.

use eideryard::interface::{Micros, PriorAttempt};
use eideryard_intent_log::{Intent, Location};
use eideryard_peer_transport::Peer as TransportPeer;
use eideryard_replication::{Peer, PriorRun, PriorRuns};

/// Time zero means "unknown" to the balancer, so a known time is at least this.
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

/// Prior attempts as the balancer knows them. An attempt that may have run in several places has an
/// unknown place and time.
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

/// Prior attempts as voters know them.
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

/// Where an intent's attempt runs, if it is known.
pub(super) fn known_location(intent: &Intent) -> Option<Location> {
    (intent.since > 0).then_some(intent.location)
}
