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

/// A fingerprint of the classes that intents are kept for: their places, effects, scopes and windows.
pub fn classes_print(classes: &[Class]) -> u64 {
    let said = classes.iter().enumerate().filter(|(_, class)| class.effect != Effect::Safe);
    let said: Vec<String> = said
        .map(|(at, class)| format!("{at} {:?} {:?} {}", class.effect, class.scope, class.window))
        .collect();
    let hash = blake3::hash(said.join("\n").as_bytes());
    hash.as_bytes()[..8].iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// As the module is told: nothing is known of one that may have run at several places.
pub fn earlier(told: &Told) -> Vec<Earlier> {
    let of = |(place, since): &(Option<Place>, Micros)| match place {
        Some(place) => Earlier { zone: place.zone, cell: place.cell, since: (*since).max(NO_ZERO) },
        None => Earlier { zone: 0, cell: 0, since: 0 },
    };
    told.iter().map(of).collect()
}

pub(super) fn told(earlier: &[Earlier]) -> Told {
    let place = |own: &Earlier| (own.since > 0).then_some(Place { zone: own.zone, cell: own.cell });
    earlier.iter().map(|own| (place(own), own.since)).collect()
}

pub(super) fn place_of(intent: &Intent) -> Option<Place> {
    (intent.since > 0).then_some(intent.place)
}
