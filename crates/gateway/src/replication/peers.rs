//! The peers of this gateway: open links, health of the voters, and rejected peers.

use std::collections::BTreeMap;

use eideryard::interface::Micros;
use eideryard_peer_transport::{Peer as TransportPeer, PeerState};

/// Maximum number of rejected peers that are stored with the reason.
const MAX_REJECTED_PEERS: usize = 400;

/// The health of a voter, as measured on the link to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct VoterHealth {
    pub(super) state: PeerState,
    /// Mean round-trip time in microseconds.
    pub(super) round_trip: Micros,
}

/// The peers by name, with their links, health and rejections.
pub(super) struct PeerTable {
    voter_names: Vec<String>,
    /// Names of the gateways that have opened links to this one, by link ID.
    requesters: BTreeMap<u64, String>,
    voter_health: BTreeMap<String, VoterHealth>,
    /// The reason for the last rejection of each peer, by peer name.
    rejected: BTreeMap<String, String>,
}

impl PeerTable {
    pub(super) fn new(voter_names: Vec<String>) -> Self {
        PeerTable {
            voter_names,
            requesters: BTreeMap::new(),
            voter_health: BTreeMap::new(),
            rejected: BTreeMap::new(),
        }
    }

    pub(super) fn is_voter(&self, name: &str) -> bool {
        self.voter_names.iter().any(|voter| voter == name)
    }

    /// Returns the name of the peer at the other end of a link, if the link exists.
    pub(super) fn name_of(&self, peer: TransportPeer) -> Option<&String> {
        match peer {
            TransportPeer::Voter(index) => self.voter_names.get(index),
            TransportPeer::Requester(link) => self.requesters.get(&link),
        }
    }

    /// Returns the IDs of the links that other gateways have opened to this one.
    pub(super) fn requester_links(&self) -> impl Iterator<Item = u64> + '_ {
        self.requesters.keys().copied()
    }

    pub(super) fn requester_count(&self) -> usize {
        self.requesters.len()
    }

    pub(super) fn add_requester(&mut self, link: u64, name: String) {
        self.requesters.insert(link, name);
    }

    pub(super) fn remove_requester(&mut self, link: u64) {
        self.requesters.remove(&link);
    }

    /// Sets the health of a voter. Returns whether its state has changed.
    pub(super) fn set_voter_health(&mut self, name: &str, health: VoterHealth) -> bool {
        let previous = self.voter_health.insert(name.to_string(), health);
        previous.is_none_or(|previous| previous.state != health.state)
    }

    pub(super) fn voter_health(&self) -> &BTreeMap<String, VoterHealth> {
        &self.voter_health
    }

    /// Drops the stored rejection of a peer. Called when the peer is accepted.
    pub(super) fn clear_rejection(&mut self, name: &str) {
        self.rejected.remove(name);
    }

    /// Stores the reason why a peer was rejected. Returns false if the reason is the same as for
    /// the peer's previous rejection or the table is full.
    pub(super) fn set_rejection(&mut self, name: &str, reason: &str) -> bool {
        let previous = self.rejected.get(name);
        let has_room = previous.is_some() || self.rejected.len() < MAX_REJECTED_PEERS;
        if !has_room || previous.is_some_and(|previous| previous == reason) {
            return false;
        }
        self.rejected.insert(name.to_string(), reason.to_string());
        true
    }

    pub(super) fn rejections(&self) -> &BTreeMap<String, String> {
        &self.rejected
    }
}
