//! Handles events on the links: messages, and peers that connect, change their state or are
//! rejected.

use super::peers::VoterHealth;
use super::*;

impl ReplicationDriver {
    pub(super) fn on_peer_event(
        &mut self,
        now: Micros,
        event: PeerEvent<PeerMessage>,
        worker: &mut Worker,
    ) {
        let outputs = match event {
            PeerEvent::Message { peer, message } => match message {
                PeerMessage::Leases(message) => {
                    return self.on_lease_message(now, peer, message, worker);
                }
                PeerMessage::Replication(message) => {
                    self.core.on_message(now, replication_peer(peer), message)
                }
            },
            PeerEvent::Connected { peer, name } => self.on_connected(now, peer, name),
            PeerEvent::State {
                peer,
                state,
                round_trip,
            } => self.on_peer_state(now, peer, VoterHealth { state, round_trip }),
            PeerEvent::Rejected { name, reason } => return self.on_rejected(name, reason),
        };
        self.perform_outputs(now, outputs, worker);
    }

    fn on_connected(&mut self, now: Micros, peer: TransportPeer, name: String) -> Vec<Output> {
        self.peers.clear_rejection(&name);
        match peer {
            TransportPeer::Requester(link) => self.peers.add_requester(link, name),
            TransportPeer::Voter(_) => {
                let health = VoterHealth {
                    state: PeerState::Up,
                    round_trip: 0,
                };
                self.on_voter_health(name, health);
            }
        }
        self.core.on_link(now, replication_peer(peer), true)
    }

    fn on_peer_state(
        &mut self,
        now: Micros,
        peer: TransportPeer,
        health: VoterHealth,
    ) -> Vec<Output> {
        match peer {
            TransportPeer::Requester(link) => {
                if health.state != PeerState::Disconnected {
                    return Vec::new();
                }
                self.peers.remove_requester(link);
                self.core.on_link(now, replication_peer(peer), false)
            }
            TransportPeer::Voter(_) => {
                if let Some(name) = self.peers.name_of(peer).cloned() {
                    self.on_voter_health(name, health);
                }
                let is_reachable = health.state < PeerState::Silent;
                self.core
                    .on_reachability(now, replication_peer(peer), is_reachable)
            }
        }
    }

    fn on_voter_health(&mut self, name: String, health: VoterHealth) {
        if !self.peers.set_voter_health(&name, health) {
            return;
        }
        let state = health.state.name();
        tracing::info!("fleet {}: peer {name} is {state}", self.fleet_name);
        self.events.push(FleetEvent::PeerState {
            name,
            state: state.into(),
        });
    }

    fn on_rejected(&mut self, name: String, reason: String) {
        if !self.peers.set_rejection(&name, &reason) {
            return;
        }
        tracing::warn!(
            "fleet {}: link with peer '{name}' rejected: {reason}",
            self.fleet_name
        );
        self.events.push(FleetEvent::PeerRejected { name, reason });
    }
}
