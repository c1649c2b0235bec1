//! Joins the replication core (`eideryard_replication`, which decides) to the links among gateways
//! and to the store: carries messages, makes replicas durable before they are acknowledged, and
//! reports what became of claims. The intent durability owns the driver and calls it from the
//! gateway's loop. Without `fleet` in the operator's file there is none.

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
use eideryard_store::Batch;
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

/// Events of peers that are handled at a time: clients and engines wait no longer than for these.
const MAX_PEER_EVENTS: usize = 512;

/// What links among gateways carry. The order of variants is the format on the wire.
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Replicas of intents.
    Replication(Message),
    /// Leases of tasks, and work under them.
    Leases(eideryard_leases::Message),
}

/// Outputs of the core that wait for a write of the store.
struct PendingOutputs {
    /// Number of the write, as the store's worker counts them.
    ticket: u64,
    outputs: Vec<Output>,
}

/// A claim of a key before its request is sent.
pub struct Claim<'a> {
    /// The key as the store holds it.
    pub stored_key: &'a [u8],
    /// The intent to send.
    pub intent: &'a Intent,
    /// How long the claim's record is kept.
    pub retention: Micros,
    /// Prior attempts that the balancer knows of.
    pub known: &'a [PriorAttempt],
}

/// Replication of one gateway.
pub struct ReplicationDriver {
    core: Core,
    hub: Hub<PeerMessage>,
    leases: Option<LeaseDriver>,
    /// Fencing tokens that are written but not durable yet, in the order of their tickets.
    pending_tokens: VecDeque<PendingToken>,
    /// In the order of their tickets.
    pending_outputs: VecDeque<PendingOutputs>,
    /// What became of claims since the last call, by the claims' numbers.
    verdicts: Vec<(u64, Verdict)>,
    last_claim_number: u64,
    peers: PeerTable,
    /// What peers' endpoint lists say of engines, since the last call.
    drains: Vec<Drain>,
    /// What a peer had learned when this gateway started, and its age.
    peer_hint: Option<(Vec<u8>, Micros)>,
    /// Events for the event log since the last call.
    events: Vec<FleetEvent>,
    has_majority: bool,
    fleet: String,
    name: String,
    status_at: Micros,
}

impl ReplicationDriver {
    /// Why no claim can be made now, if none can.
    pub fn claim_rejection(&self) -> Option<RejectReason> {
        let reason = match self.core.claim_error()? {
            ClaimError::Full => RejectReason::IntentLogFull,
            ClaimError::NoMajority => RejectReason::NoMajority,
        };
        Some(reason)
    }

    /// Claims a key before its request is sent. Returns the claim's number.
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
            known_runs: prior_runs(claim.known),
        };
        let outputs = self.core.claim(now, request);
        self.perform(now, outputs, worker);
        number
    }

    /// All attempts at a key have ended; `intent` is what is left of it, if it ran.
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
        self.perform(now, outputs, worker);
    }

    /// Handles what has arrived, what is durable and what is due. Returns what became of claims.
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
            self.perform(now, outputs, worker);
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
            "fleet {}: {article} majority of keepers can be asked",
            self.fleet
        );
    }

    /// What peers' endpoint lists say of engines, since the last call.
    pub fn take_drains(&mut self) -> Vec<Drain> {
        std::mem::take(&mut self.drains)
    }

    /// Tells peers what this gateway's own endpoint list says of engines.
    pub fn publish_drains(&mut self, now: Micros, drains: Vec<Drain>, worker: &mut Worker) {
        let outputs = self.core.on_local_drains(drains);
        self.perform(now, outputs, worker);
        // What this gateway published itself it knows already.
        self.drains.clear();
    }

    /// A peer's newer endpoint list that closes an engine, if there is one.
    pub fn binding_drain(&self, engine: u32, booted_at: u64, list_number: u64) -> Option<Drain> {
        self.core.overriding_drain(engine, booted_at, list_number)
    }

    /// Sets the learned state that peers get as a hint when they start.
    pub fn set_learned_state(&mut self, now: Micros, checkpoint: Vec<u8>) {
        self.core.set_hints(now, checkpoint);
    }

    /// What a peer had learned when this gateway started, and its age; once.
    pub fn take_peer_hint(&mut self) -> Option<(Vec<u8>, Micros)> {
        let (checkpoint, age) = self.peer_hint.as_mut()?;
        if checkpoint.is_empty() {
            return None;
        }
        // An empty hint stays, so that no second one is taken.
        Some((std::mem::take(checkpoint), *age))
    }

    /// Sends the messages that were queued since.
    pub fn flush(&mut self) {
        self.hub.flush();
    }

    /// When [`ReplicationDriver::poll`] has something to do.
    pub fn deadline(&self, now: Micros) -> Micros {
        let leases = self.leases.as_ref();
        let lease_deadline = leases.map_or(Micros::MAX, |leases| leases.deadline(now));
        self.core
            .next_deadline()
            .min(self.status_at)
            .min(lease_deadline)
    }
}

/// The key that voters know: without the prefix of this gateway's store.
fn replicated_key(stored_key: &[u8]) -> &[u8] {
    &stored_key[1..]
}
