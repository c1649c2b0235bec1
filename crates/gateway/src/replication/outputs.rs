//! Carries out the outputs of the replication core: sends messages over the links and writes
//! replicas to the store.

use super::*;

impl ReplicationDriver {
    pub(super) fn perform_outputs(
        &mut self,
        now: Micros,
        outputs: Vec<Output>,
        worker: &mut Worker,
    ) {
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            match output {
                Output::Send(peer, message) => self.send(peer, message),
                Output::Store {
                    key,
                    replica,
                    after_durable,
                } => {
                    self.store_replica(&key, replica.as_ref(), after_durable, worker);
                }
                Output::LocalVote {
                    number,
                    reported_runs,
                } => {
                    outputs.extend(self.core.on_local_vote(now, number, &reported_runs));
                }
                Output::Verdict(claim, verdict) => self.verdicts.push((claim, verdict)),
                Output::EngineDrained(drain) => self.drains.push(drain),
                Output::Hints { checkpoint, age } => {
                    self.peer_hint.get_or_insert((checkpoint, age));
                }
                Output::BecameVoter => self.begin_voting(worker),
            }
        }
    }

    /// Queues a message to a peer. If the queue is full, the message is dropped: the core resends
    /// it or gives it up.
    fn send(&mut self, peer: Peer, message: Message) {
        let peer = transport_peer(peer);
        // A peer that is catching up must get all fencing tokens before the message that completes
        // its replicas, because it votes from that message on.
        if matches!(
            message,
            Message::StatePart { is_last: true, .. } | Message::VoterStatus { .. }
        ) {
            let tokens = self.leases.as_ref().and_then(LeaseDriver::tokens_message);
            if let Some(tokens) = tokens {
                self.send_lease_message(peer, tokens);
            }
        }
        self.hub.send(peer, PeerMessage::Replication(message));
    }

    fn store_replica(
        &mut self,
        key: &[u8],
        replica: Option<&ReplicaRecord>,
        after_durable: Vec<Output>,
        worker: &mut Worker,
    ) {
        let stored_key = entry::stored_key(key);
        let mut batch = Batch::default();
        match replica {
            Some(replica) => batch.put(stored_key, entry::to_bytes(replica), NO_EXPIRY),
            None => batch.remove(stored_key),
        }
        let ticket = worker.write(batch);
        if after_durable.is_empty() {
            return;
        }
        // If the write is rejected, the replica is not durable and is never acknowledged.
        if let Some(ticket) = ticket {
            let pending = PendingOutputs {
                ticket,
                outputs: after_durable,
            };
            self.pending_outputs.push_back(pending);
        }
    }

    /// Handles that this voter has caught up: saves its identity. Once the identity is durable,
    /// announces to all requesters that this voter votes.
    fn begin_voting(&mut self, worker: &mut Worker) {
        tracing::info!(
            "fleet {}: this keeper has caught up and votes from now on",
            self.fleet_name
        );
        self.events
            .push(FleetEvent::VotingChanged { is_voter: true });
        let identity = self.core.origin().identity.to_be_bytes();
        let mut batch = Batch::default();
        batch.put(VOTER_IDENTITY_KEY.to_vec(), identity.to_vec(), NO_EXPIRY);
        let announce = |link| {
            Output::Send(
                Peer::Requester(link),
                Message::VoterStatus { is_voting: true },
            )
        };
        let outputs = self.peers.requester_links().map(announce).collect();
        if let Some(ticket) = worker.write(batch) {
            self.pending_outputs
                .push_back(PendingOutputs { ticket, outputs });
        }
    }

    /// Carries out the outputs that were waiting for writes that are durable now.
    pub(super) fn perform_durable_outputs(
        &mut self,
        now: Micros,
        durable_ticket: u64,
        worker: &mut Worker,
    ) {
        while let Some(pending) = self.pending_outputs.front() {
            if pending.ticket > durable_ticket {
                break;
            }
            if let Some(pending) = self.pending_outputs.pop_front() {
                self.perform_outputs(now, pending.outputs, worker);
            }
        }
    }
}
