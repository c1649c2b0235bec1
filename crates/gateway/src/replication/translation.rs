//! Peers, places and earlier runs, as the links, the replicas and the module each name them.

use super::*;

pub(super) fn of_end(end: End) -> Peer {
    match end {
        End::Keeper(keeper) => Peer::Keeper(keeper),
        End::Asker(link) => Peer::Asker(link),
    }
}

pub(super) fn to_end(peer: Peer) -> End {
    match peer {
        Peer::Keeper(keeper) => End::Keeper(keeper),
        Peer::Asker(link) => End::Asker(link),
    }
}

/// As the module is told: nothing is known of one that may have run at several places.
pub fn earlier(told: &Told) -> Vec<Earlier> {
    let of = |(place, since): &(Option<Place>, Micros)| match place {
        Some(place) => Earlier {
            zone: place.zone,
            cell: place.cell,
            since: (*since).max(NO_ZERO),
        },
        None => Earlier {
            zone: 0,
            cell: 0,
            since: 0,
        },
    };
    told.iter().map(of).collect()
}

pub(super) fn told(earlier: &[Earlier]) -> Told {
    let place = |own: &Earlier| {
        (own.since > 0).then_some(Place {
            zone: own.zone,
            cell: own.cell,
        })
    };
    earlier.iter().map(|own| (place(own), own.since)).collect()
}

pub(super) fn place_of(intent: &Intent) -> Option<Place> {
    (intent.since > 0).then_some(intent.place)
}
