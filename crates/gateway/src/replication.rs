//! Connects the replication core (`eideryard_replication`, which makes the decisions) to the links
//! between gateways and to the store: passes messages, makes replicas durable before they are
//! acknowledged, and returns the verdicts on claims. `intent_durability` owns [`ReplicationDriver`]
//! and calls it from the gateway's main loop. The driver exists only if the operator's file
//! contains `fleet`.

use std::collections::VecDeque;

use eideryard::interface::{Micros, PriorAttempt};
use eideryard_event_log::{FleetEvent, RejectReason};
use eideryard_intent_log::Intent;
use eideryard_leases::VoterReadiness;
use eideryard_peer_transport::{Hub, Peer as TransportPeer, PeerEvent, PeerState};
use eideryard_replication::core::{ClaimError, ClaimRequest, EndedAttempts};
use eideryard_replication::drains::Drain;
use eideryard_replication::{entry, Core, Message, Origin, Output, Peer, ReplicaRecord, Verdict};
use eideryard_store::worker::Worker;
use eideryard_store::{Batch, NO_EXPIRY};
use serde::{Deserialize, Serialize};

use crate::leases::{lease_owner, LeaseAction, LeaseDriver, PendingToken};
use crate::recovered_state::VOTER_IDENTITY_KEY;

mod lease_messages;
mod outputs;
mod peer_events;
mod peers;
mod startup;
mod status;
mod translation;

use peers::PeerTable;
pub use startup::ReplicationContext;
pub use translation::prior_attempts;
use translation::{known_location, prior_runs, replication_peer, transport_peer};

/// Maximum number of peer events that are handled in one poll, which limits how long peers can
/// delay clients and engines.
const MAX_PEER_EVENTS: usize = 512;

/// A message on a link between gateways. The order of the variants defines the wire format.
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message about claims, replicas of intents, drains or hints.
    Replication(Message),
    /// A message about leases of tasks, or work done under a lease.
    Leases(eideryard_leases::Message),
}

/// Outputs of the replication core that are carried out once a write to the store is durable.
struct PendingOutputs {
    /// Ticket of the write, assigned by the store's worker in increasing order.
    ticket: u64,
    outputs: Vec<Output>,
}

/// A claim of an idempotency key, made before the request with that key is sent.
pub struct Claim<'a> {
    /// The key in the form that the store uses, with its prefix.
    pub stored_key: &'a [u8],
    /// The intent that was written for the send.
    pub intent: &'a Intent,
    /// How long voters store the claim, in microseconds.
    pub retention: Micros,
    /// Prior attempts of the request that the balancer already knows.
    pub prior_attempts: &'a [PriorAttempt],
}

/// The replication state of one gateway, with its links to peers.
pub struct ReplicationDriver {
    core: Core,
    hub: Hub<PeerMessage>,
    /// `None` unless the operator's file contains `task`.
    leases: Option<LeaseDriver>,
    /// Fencing tokens that were written but are not durable yet, in the order of their tickets.
    pending_tokens: VecDeque<PendingToken>,
    /// Outputs that are waiting for writes, in the order of their tickets.
    pending_outputs: VecDeque<PendingOutputs>,
    /// Verdicts since the last poll, each with the ID of its claim.
    verdicts: Vec<(u64, Verdict)>,
    last_claim_number: u64,
    peers: PeerTable,
    /// Drains of engines that peers have reported, until [`Self::take_drains`] returns them.
    drains: Vec<Drain>,
    /// The first checkpoint that a peer sent, and its age in microseconds. The bytes are empty once
    /// [`Self::take_peer_hint`] has returned them.
    peer_hint: Option<(Vec<u8>, Micros)>,
    /// Events for the event log, until they are taken.
    events: Vec<FleetEvent>,
    has_majority: bool,
    fleet_name: String,
    name: String,
    next_status_at: Micros,
}

impl ReplicationDriver {
    /// Returns the reason why no claim can be made now; `None` if claims can be made.
    pub fn claim_rejection(&self) -> Option<RejectReason> {
        let reason = match self.core.claim_error()? {
            ClaimError::Full => RejectReason::IntentLogFull,
            ClaimError::NoMajority => RejectReason::NoMajority,
        };
        Some(reason)
    }

    /// Claims a key before its request is sent. Returns the ID under which [`Self::poll`] returns
    /// the verdict.
    pub fn claim(&mut self, now: Micros, claim: &Claim<'_>, worker: &mut Worker) -> u64 {
        self.last_claim_number += 1;
        let number = self.last_claim_number;
        let intent = claim.intent;
        let since = if intent.since > 0 { intent.since } else { now };
        let request = ClaimRequest {
            number,
            key: replicated_key(claim.stored_key),
            location: known_location(intent),
            since,
            retention: claim.retention,
            known_runs: prior_runs(claim.prior_attempts),
        };
        let outputs = self.core.claim(now, request);
        self.perform_outputs(now, outputs, worker);
        number
    }

    /// Reports to the voters that all attempts with a key have ended. `intent` is the remaining
    /// intent; `None` if no attempt ran.
    pub fn on_attempts_ended(
        &mut self,
        now: Micros,
        stored_key: &[u8],
        intent: Option<&Intent>,
        retention: Micros,
        worker: &mut Worker,
    ) {
        let ended = EndedAttempts {
            key: replicated_key(stored_key),
            location: intent.and_then(known_location),
            may_have_run: intent.is_some(),
            retention,
        };
        let outputs = self.core.on_attempts_ended(now, ended);
        self.perform_outputs(now, outputs, worker);
    }

    /// Handles messages from peers, durable writes and expired deadlines. Returns the verdicts on
    /// claims, with the IDs of the claims.
    pub fn poll(&mut self, now: Micros, worker: &mut Worker) -> Vec<(u64, Verdict)> {
        for _ in 0..MAX_PEER_EVENTS {
            let Some(event) = self.hub.try_recv() else {
                break;
            };
            self.on_peer_event(now, event, worker);
        }
        let durable_ticket = worker.durable_ticket();
        self.perform_durable_outputs(now, durable_ticket, worker);
        self.continue_durable_tokens(now, durable_ticket, worker);
        let readiness = self.voter_readiness();
        self.run_leases(|leases| leases.on_timer(now, readiness, worker));
        if now >= self.core.next_deadline() {
            let outputs = self.core.poll(now);
            self.perform_outputs(now, outputs, worker);
        }
        self.check_majority();
        self.hub.flush();
        std::mem::take(&mut self.verdicts)
    }

    fn check_majority(&mut self) {
        let has_majority = self.core.has_majority();
        if self.has_majority == has_majority {
            return;
        }
        self.has_majority = has_majority;
        self.events.push(FleetEvent::MajorityChanged {
            is_reachable: has_majority,
        });
        let article = if has_majority { "a" } else { "NO" };
        tracing::info!(
            "fleet {}: {article} majority of keepers is reachable",
            self.fleet_name
        );
    }

    /// Takes the drains of engines that peers have reported since the last call.
    pub fn take_drains(&mut self) -> Vec<Drain> {
        std::mem::take(&mut self.drains)
    }

    /// Reports drains in this gateway's own endpoint list to peers.
    pub fn publish_drains(&mut self, now: Micros, drains: Vec<Drain>, worker: &mut Worker) {
        let outputs = self.core.on_local_drains(drains);
        self.perform_outputs(now, outputs, worker);
        // The core also outputs the drains that this gateway reports itself, which need not be
        // handled again.
        self.drains.clear();
    }

    /// Returns the drain of an engine that a peer has reported from an endpoint list newer than
    /// `list_number`, if there is one.
    pub fn overriding_drain(&self, engine: u32, booted_at: u64, list_number: u64) -> Option<Drain> {
        self.core.overriding_drain(engine, booted_at, list_number)
    }

    /// Sets the checkpoint that peers get as a hint when they start.
    pub fn set_learned_state(&mut self, now: Micros, checkpoint: Vec<u8>) {
        self.core.set_hints(now, checkpoint);
    }

    /// Takes the checkpoint from a peer and its age in microseconds. Returns a checkpoint at most
    /// once.
    pub fn take_peer_hint(&mut self) -> Option<(Vec<u8>, Micros)> {
        let (checkpoint, age) = self.peer_hint.as_mut()?;
        if checkpoint.is_empty() {
            return None;
        }
        // Empty bytes remain in `peer_hint`, so that no further hint is stored.
        Some((std::mem::take(checkpoint), *age))
    }

    /// Sends the queued messages.
    pub fn flush(&mut self) {
        self.hub.flush();
    }

    /// Returns the next time at which [`ReplicationDriver::poll`] must be called even if nothing
    /// arrives.
    pub fn next_deadline(&self, now: Micros) -> Micros {
        let leases = self.leases.as_ref();
        let lease_deadline = leases.map_or(Micros::MAX, |leases| leases.next_deadline(now));
        self.core
            .next_deadline()
            .min(self.next_status_at)
            .min(lease_deadline)
    }
}

/// Returns a key in the form that voters use, which is without the prefix byte of this gateway's
/// store.
fn replicated_key(stored_key: &[u8]) -> &[u8] {
    &stored_key[1..]
}
