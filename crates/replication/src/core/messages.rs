//! Dispatch of received messages by their sender: requests arrive on links that other gateways
//! opened, replies on links that this gateway opened. Anything else is ignored.

use super::state_transfer::{OutgoingTransfer, ReceivedPart};
use super::voting::RemoteClaim;
use super::{Core, Output, Peer};
use crate::entry::{Origin, Record};
use crate::message::{ClaimRejection, Message};
use crate::replica_set::MergeResult;
use crate::Micros;

impl Core {
    /// Handles a message that a peer has sent.
    pub fn on_message(&mut self, now: Micros, from: Peer, message: Message) -> Vec<Output> {
        match (from, message) {
            (_, Message::Drains { drains }) => self.forward_drains(drains, Some(from)),
            (Peer::Requester(link), message) => self.on_requester_message(now, link, message),
            (Peer::Voter(voter), message) => self.on_voter_message(now, voter, message),
        }
    }

    fn on_requester_message(&mut self, now: Micros, link: u64, message: Message) -> Vec<Output> {
        match message {
            Message::Claim {
                number,
                key,
                origin,
                record,
            } => {
                let claim = RemoteClaim {
                    number,
                    key: &key,
                    origin,
                    record: record.to_record(now, None),
                };
                self.on_claim(now, link, claim)
            }
            Message::Update {
                key,
                origin,
                record,
            } => self.on_update(link, &key, origin, record.to_record(now, None)),
            Message::StateRequest {
                number,
                fingerprints,
            } => {
                let transfer = OutgoingTransfer::new(number, &self.replicas, &fingerprints, now);
                self.outgoing_transfers.insert(link, transfer);
                self.serve_transfers(now)
            }
            _ => Vec::new(),
        }
    }

    fn on_update(&mut self, link: u64, key: &[u8], origin: Origin, record: Record) -> Vec<Output> {
        if self.replicas.merge(key, origin, record) == MergeResult::Full {
            return Vec::new();
        }
        let acknowledgement = Message::UpdateAcknowledged {
            key: key.to_vec(),
            version: record.version,
        };
        let reply = Output::Send(Peer::Requester(link), acknowledgement);
        vec![self.store_output(key, vec![reply])]
    }

    fn on_voter_message(&mut self, now: Micros, voter: usize, message: Message) -> Vec<Output> {
        match message {
            Message::ClaimAccepted {
                number,
                reported_runs,
            } => {
                if let Some((key, version)) = self.claims.pending_version(number) {
                    self.claims.on_acknowledged(voter, &key, version);
                }
                Vec::from_iter(self.on_vote(now, number, voter, &reported_runs))
            }
            Message::ClaimRejected { number, reason } => {
                if reason == ClaimRejection::CatchingUp {
                    self.voters[voter].is_voting = false;
                }
                Vec::from_iter(self.on_rejection(number, voter, reason))
            }
            Message::UpdateAcknowledged { key, version } => {
                self.claims.on_acknowledged(voter, &key, version);
                Vec::new()
            }
            Message::VoterStatus { is_voting } => {
                self.voters[voter].is_voting = is_voting;
                Vec::new()
            }
            Message::RetryLater { delay_ms, .. } => {
                self.voters[voter].postpone_transfer(now + delay_ms * 1000);
                Vec::new()
            }
            Message::Hints { checkpoint, age } => vec![Output::Hints { checkpoint, age }],
            Message::StatePart {
                number,
                entries,
                is_last,
                is_voting,
            } => {
                let part = ReceivedPart {
                    number,
                    entries,
                    is_last,
                    is_voting,
                };
                self.on_state_part(now, voter, part)
            }
            _ => Vec::new(),
        }
    }
}
