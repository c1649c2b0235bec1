//! Peers, places and earlier runs, as the links, the replicas and the module each name them.

use eideryard_replication::PriorRun;

use super::*;

pub(super) fn of_end(end: End) -> Peer {
    match end {
        End::Voter(keeper) => Peer::Voter(keeper),
        End::Requester(link) => Peer::Requester(link),
    }
}

pub(super) fn to_end(peer: Peer) -> End {
    match peer {
        Peer::Voter(keeper) => End::Voter(keeper),
        Peer::Requester(link) => End::Requester(link),
    }
}

/// As the module is told: nothing is known of one that may have run at several places.
pub fn earlier(told: &PriorRuns) -> Vec<PriorAttempt> {
    let of = |run: &PriorRun| match run.place {
        Some(place) => PriorAttempt {
            zone: place.zone,
            cell: place.cell,
            since: run.since.max(NO_ZERO),
        },
        None => PriorAttempt {
            zone: 0,
            cell: 0,
            since: 0,
        },
    };
    told.iter().map(of).collect()
}

pub(super) fn told(earlier: &[PriorAttempt]) -> PriorRuns {
    let place = |own: &PriorAttempt| {
        (own.since > 0).then_some(Place {
            zone: own.zone,
            cell: own.cell,
        })
    };
    earlier
        .iter()
        .map(|own| PriorRun {
            place: place(own),
            since: own.since,
        })
        .collect()
}

pub(super) fn place_of(intent: &Intent) -> Option<Place> {
    (intent.since > 0).then_some(intent.place)
}
