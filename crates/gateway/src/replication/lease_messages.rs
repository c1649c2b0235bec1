//! Carries out the actions of the lease driver, and passes lease messages between the driver and
//! the links.

use super::*;

impl ReplicationDriver {
    /// Returns whether this voter may vote on leases, which requires that it still has everything
    /// that it ever promised.
    pub(super) fn voter_readiness(&self) -> VoterReadiness {
        if self.core.is_voting() {
            VoterReadiness::Ready
        } else {
            VoterReadiness::Recovering
        }
    }

    pub(super) fn on_lease_message(
        &mut self,
        now: Micros,
        peer: TransportPeer,
        message: eideryard_leases::Message,
        worker: &mut Worker,
    ) {
        let readiness = self.voter_readiness();
        self.run_leases(|leases| match peer {
            TransportPeer::Requester(link) => {
                leases.on_requester_message(now, link, message, readiness, worker)
            }
            TransportPeer::Voter(voter) => leases.on_voter_message(now, voter, message, worker),
        });
    }

    fn perform_lease_actions(&mut self, actions: Vec<LeaseAction>) {
        for action in actions {
            match action {
                LeaseAction::SendToVoter { voter, message } => {
                    self.send_lease_message(TransportPeer::Voter(voter), message);
                }
                LeaseAction::SendToRequester { requester, message } => {
                    self.send_lease_message(TransportPeer::Requester(requester), message);
                }
                LeaseAction::SendToAllRequesters { except, message } => {
                    for link in self.peers.requester_links() {
                        if Some(link) != except {
                            let peer = TransportPeer::Requester(link);
                            self.hub.send(peer, PeerMessage::Leases(message.clone()));
                        }
                    }
                }
                LeaseAction::AwaitDurable(pending) => self.pending_tokens.push_back(pending),
            }
        }
    }

    /// Queues a message to a peer. If the queue is full, the message is dropped: it is requested
    /// again later, or the lease that it concerns expires.
    pub(super) fn send_lease_message(
        &mut self,
        peer: TransportPeer,
        message: eideryard_leases::Message,
    ) {
        self.hub.send(peer, PeerMessage::Leases(message));
    }

    /// Calls the lease driver, if there is one, and carries out the actions that it returns.
    pub fn run_leases(&mut self, call: impl FnOnce(&mut LeaseDriver) -> Vec<LeaseAction>) {
        if let Some(leases) = &mut self.leases {
            let actions = call(leases);
            self.perform_lease_actions(actions);
        }
    }

    /// Returns the lease driver; `None` unless the operator's file contains `task`.
    pub fn leases_mut(&mut self) -> Option<&mut LeaseDriver> {
        self.leases.as_mut()
    }

    /// Passes each token that has become durable to the lease driver.
    pub(super) fn continue_durable_tokens(
        &mut self,
        now: Micros,
        durable_ticket: u64,
        worker: &mut Worker,
    ) {
        while let Some(pending) = self.pending_tokens.front() {
            if pending.ticket > durable_ticket {
                break;
            }
            if let Some(pending) = self.pending_tokens.pop_front() {
                self.run_leases(|leases| leases.on_token_durable(now, pending, worker));
            }
        }
    }
}
