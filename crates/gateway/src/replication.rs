//! Joins the fleet's copies to the links among gateways and to the store: carries messages, makes
//! copies durable before they are acknowledged, and tells what became of claims. Off without
//! `fleet` in the operator's file. Decides nothing: `eideryard_replication` does.

use std::collections::{BTreeMap, VecDeque};
use std::io;

use eideryard::interface::{Effect, Micros, PriorAttempt, Settings};
use eideryard_event_log::{FleetEvent, RejectReason};
use eideryard_intent_log::state::RETENTION_MARGIN;
use eideryard_intent_log::{Intent, Place};
use eideryard_leases::VoterReadiness;
use eideryard_operator_config::FleetConfig;
use eideryard_peer_transport::{Handshake, Hub, Peer as End, PeerEvent, PeerState, VoterAddress};
use eideryard_replication::core::{ClaimError, ClaimRequest, EndedRun};
use eideryard_replication::drains::Drain;
use eideryard_replication::replica_set::Limits;
use eideryard_replication::{entry, Config, Core, Message, Output, Peer, PriorRuns, Verdict};
use eideryard_store::worker::Worker;
use eideryard_store::Batch;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::fingerprints::classes_fingerprint;
use crate::intent_durability::Shared;
use crate::leases::{LeaseAction, LeaseDriver, PendingToken};

mod lease_messages;
mod status;
mod translation;

pub use translation::earlier;
use translation::{of_end, place_of, to_end, told};

/// The store's key under which a keeper remembers that it votes, and the identity that it voted
/// under.
const VOTES: &[u8] = b"v";
/// Bytes of catch-up that a keeper sends a second, to all that ask together.
const CATCH_UP: u64 = 2 << 20;
/// The status file is written anew so often.
const STATUS_EVERY: Micros = 250_000;
/// Peers that were turned away and are remembered, with the reason.
const MAX_TURNED: usize = 400;
/// Heard messages that are taken in one look: clients and engines wait no longer than for these.
const LOOK: usize = 512;
/// A gateway's identity is told to peers as its settings' classes are; what else differs does no
/// harm.
const NO_ZERO: Micros = 1;

/// What a gateway is, beside its store.
pub struct About<'a> {
    pub name: &'a str,
    pub settings: &'a Settings,
    pub longest_wait: Micros,
    /// Copies that a keeper has room for.
    pub entries: usize,
    pub now: Micros,
    pub seed: u64,
}

/// What links carry.
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Replicas of intents.
    Replication(Message),
    /// Leases of tasks, and work under them.
    Leases(eideryard_leases::Message),
}

pub struct ReplicationDriver {
    core: Core,
    hub: Hub<PeerMessage>,
    leases: Option<LeaseDriver>,
    /// Fencing tokens that are written but not durable yet, in the order of their tickets.
    pending_tokens: VecDeque<PendingToken>,
    /// What follows once a write of the store is durable, by its ticket.
    then: VecDeque<(u64, Vec<Output>)>,
    verdicts: Vec<(u64, Verdict)>,
    numbers: u64,
    keepers: Vec<String>,
    askers: BTreeMap<u64, String>,
    states: BTreeMap<String, (PeerState, Micros)>,
    turned: BTreeMap<String, String>,
    /// What peers' lists say of engines, and what a peer had learned when this gateway began.
    drains: Vec<Drain>,
    hints: Option<(Vec<u8>, Micros)>,
    /// What the record is to be told.
    words: Vec<FleetEvent>,
    majority: bool,
    fleet: String,
    name: String,
    status_at: Micros,
}

impl ReplicationDriver {
    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn start(
        plan: &FleetConfig,
        about: About<'_>,
        shared: Shared,
        wake: Box<dyn Fn() + Send>,
    ) -> io::Result<Self> {
        let About {
            name,
            settings,
            longest_wait,
            entries,
            now,
            seed,
        } = about;
        let Shared {
            origin,
            whole,
            voted,
            copies,
            tokens,
        } = shared;
        let keepers: Vec<String> = plan.keepers.iter().map(|(name, _)| name.clone()).collect();
        let own = keepers.iter().position(|keeper| keeper == name);
        if own.is_some() && plan.listen.is_none() {
            let what = format!("fleet: '{name}' is a keeper and has no 'listen' line");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, what));
        }
        let kept = settings
            .classes
            .iter()
            .filter(|class| class.effect != Effect::Idempotent);
        let window = kept.map(|class| class.window).max().unwrap_or(0);
        let core = Config {
            voters: keepers.len(),
            voter_index: own,
            max_retention: longest_wait + window + RETENTION_MARGIN,
            limits: Limits { entries },
            transfer_bytes_per_s: CATCH_UP,
            send_without_majority: plan.send_without,
        };
        let whole = whole && voted.as_deref() == Some(&origin.identity.to_be_bytes()[..]);
        let held = copies.len();
        let core = Core::start(core, origin, whole, copies.into_iter(), now);
        let handshake = Handshake {
            version: eideryard_peer_transport::VERSION,
            fleet: plan.name.clone(),
            name: name.to_string(),
            voters: keepers.clone(),
            classes_fingerprint: classes_fingerprint(&settings.classes),
            identity: origin.identity,
            start_number: origin.start,
        };
        let other_voters = plan
            .keepers
            .iter()
            .enumerate()
            .filter(|(_, (voter, _))| voter != name)
            .map(|(index, (voter, address))| VoterAddress {
                index,
                name: voter.clone(),
                address: *address,
            })
            .collect();
        let links = eideryard_peer_transport::Config {
            handshake,
            listen_address: plan.listen,
            voters: other_voters,
            seed,
        };
        let hub = Hub::start(links, wake).map_err(|e| {
            let what = format!("fleet: {e}; see 'listen' in the operator's file");
            io::Error::new(e.kind(), what)
        })?;
        if let Some(address) = hub.local_address() {
            tracing::info!("fleet {}: peers reach this gateway at {address}", plan.name);
        }
        match (own, core.is_voting()) {
            (None, _) => tracing::info!("fleet {}: no keeper; it asks {}", plan.name, keepers.join(" ")),
            (Some(_), true) => tracing::info!("fleet {}: a keeper with {held} copies; it votes", plan.name),
            (Some(_), false) => tracing::info!(
                "fleet {}: a keeper that may lack what it had ({held} copies are hints); it catches up \
                 before it votes",
                plan.name
            ),
        }
        let leases = plan
            .probes
            .then(|| LeaseDriver::new(keepers.len(), own, origin, tokens, now));
        let words = Vec::from_iter(own.map(|_| FleetEvent::VotingChanged {
            is_voter: core.is_voting(),
        }));
        Ok(ReplicationDriver {
            core,
            hub,
            leases,
            pending_tokens: VecDeque::new(),
            then: VecDeque::new(),
            verdicts: Vec::new(),
            numbers: 0,
            keepers,
            askers: BTreeMap::new(),
            states: BTreeMap::new(),
            turned: BTreeMap::new(),
            drains: Vec::new(),
            hints: None,
            words,
            majority: false,
            fleet: plan.name.clone(),
            name: name.to_string(),
            status_at: 0,
        })
    }

    /// What the store's key of a keeper's vote is, for the start.
    pub fn votes_key() -> &'static [u8] {
        VOTES
    }

    /// Why no claim is taken up now, if none is.
    pub fn refuses(&self) -> Option<RejectReason> {
        self.core.claim_error().map(|why| match why {
            ClaimError::Full => RejectReason::IntentLogFull,
            ClaimError::NoMajority => RejectReason::NoMajority,
        })
    }

    /// Claims a key before it is sent; gives the claim's number.
    pub fn claim(
        &mut self,
        now: Micros,
        key: &[u8],
        intent: &Intent,
        keep: Micros,
        known: &[PriorAttempt],
        worker: &mut Worker,
    ) -> u64 {
        self.numbers += 1;
        let since = if intent.since > 0 { intent.since } else { now };
        let (number, place) = (self.numbers, place_of(intent));
        let request = ClaimRequest {
            number,
            key: &key[1..],
            place,
            since,
            retention: keep,
            known: told(known),
        };
        let outputs = self.core.claim(now, request);
        self.perform(now, outputs, worker);
        number
    }

    /// The ledger has the end of all attempts at a key.
    pub fn ended(
        &mut self,
        now: Micros,
        key: &[u8],
        intent: Option<&Intent>,
        keep: Micros,
        worker: &mut Worker,
    ) {
        let (place, ran) = (intent.and_then(place_of), intent.is_some());
        let ended = EndedRun {
            key: &key[1..],
            place,
            may_have_run: ran,
            retention: keep,
        };
        let outputs = self.core.on_ended(now, ended);
        self.perform(now, outputs, worker);
    }

    fn perform(&mut self, now: Micros, outputs: Vec<Output>, worker: &mut Worker) {
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            match output {
                // What a full queue loses is sent again or given up by the core.
                Output::Send(peer, message) => {
                    // Who catches up hears of all promises before it has all copies, and votes.
                    if matches!(
                        message,
                        Message::StatePart { is_last: true, .. } | Message::VoterStatus { .. }
                    ) {
                        let tokens = self.leases.as_ref().and_then(LeaseDriver::tokens_message);
                        if let Some(tokens) = tokens {
                            self.send_lease_message(to_end(peer), tokens);
                        }
                    }
                    self.hub
                        .send(to_end(peer), PeerMessage::Replication(message));
                }
                Output::Store {
                    key,
                    replica,
                    after_durable: then,
                } => {
                    let (mut batch, key) = (Batch::default(), entry::stored_key(&key));
                    match replica {
                        Some(replica) => batch.put(key, entry::to_bytes(&replica), 0),
                        None => batch.remove(key),
                    }
                    // What can't be made durable is never acknowledged.
                    let ticket = worker.write(batch).filter(|_| !then.is_empty());
                    for ticket in ticket.into_iter() {
                        self.then.push_back((ticket, then.clone()));
                    }
                }
                Output::LocalVote { number, views } => {
                    outputs.extend(self.core.on_local_vote(now, number, &views));
                }
                Output::Verdict(number, verdict) => self.verdicts.push((number, verdict)),
                Output::EngineDrained(drain) => self.drains.push(drain),
                Output::Hints { checkpoint, age } => {
                    _ = self.hints.get_or_insert((checkpoint, age));
                }
                Output::BecameVoter => {
                    tracing::info!("fleet {}: caught up; this keeper votes", self.fleet);
                    self.words
                        .push(FleetEvent::VotingChanged { is_voter: true });
                    let mut batch = Batch::default();
                    batch.put(
                        VOTES.to_vec(),
                        self.core.origin().identity.to_be_bytes().to_vec(),
                        0,
                    );
                    let told = self.askers.keys().map(|link| {
                        Output::Send(
                            Peer::Requester(*link),
                            Message::VoterStatus { is_voting: true },
                        )
                    });
                    let told: Vec<Output> = told.collect();
                    worker
                        .write(batch)
                        .into_iter()
                        .for_each(|ticket| self.then.push_back((ticket, told.clone())));
                }
            }
        }
    }

    fn name_of(&self, end: End) -> Option<String> {
        match end {
            End::Voter(keeper) => self.keepers.get(keeper).cloned(),
            End::Requester(link) => self.askers.get(&link).cloned(),
        }
    }

    fn hears(&mut self, now: Micros, heard: PeerEvent<PeerMessage>, worker: &mut Worker) {
        let outputs = match heard {
            PeerEvent::Message {
                peer,
                message: PeerMessage::Leases(message),
            } => {
                let readiness = self.voter_readiness();
                self.run_leases(|leases| match peer {
                    End::Requester(link) => {
                        leases.on_requester_message(now, link, message, readiness, worker)
                    }
                    End::Voter(voter) => leases.on_voter_message(now, voter, message, worker),
                });
                Vec::new()
            }
            PeerEvent::Message {
                peer,
                message: PeerMessage::Replication(message),
            } => self.core.on_message(now, of_end(peer), message),
            PeerEvent::Connected { peer, name } => {
                self.turned.remove(&name);
                match peer {
                    End::Requester(link) => _ = self.askers.insert(link, name),
                    End::Voter(_) => self.does(name, PeerState::Up, 0),
                }
                self.core.on_link(now, of_end(peer), true)
            }
            PeerEvent::State {
                peer,
                state,
                round_trip: trip,
            } => {
                if let (End::Voter(_), Some(name)) = (peer, self.name_of(peer)) {
                    self.does(name, state, trip);
                }
                match (peer, state) {
                    (End::Requester(link), PeerState::Disconnected) => {
                        self.askers.remove(&link);
                        self.core.on_link(now, of_end(peer), false)
                    }
                    (End::Requester(_), _) => Vec::new(),
                    (_, state) => {
                        self.core
                            .on_reachability(now, of_end(peer), state < PeerState::Silent)
                    }
                }
            }
            PeerEvent::Rejected { name, reason: why } => {
                let known = self.turned.contains_key(&name) || self.turned.len() < MAX_TURNED;
                if known && self.turned.get(&name) != Some(&why) {
                    tracing::warn!("fleet {}: no link with '{name}': {why}", self.fleet);
                    self.words.push(FleetEvent::PeerRejected {
                        name: name.clone(),
                        reason: why.clone(),
                    });
                    self.turned.insert(name, why);
                }
                Vec::new()
            }
        };
        self.perform(now, outputs, worker);
    }

    fn does(&mut self, name: String, state: PeerState, trip: Micros) {
        let before = self.states.insert(name.clone(), (state, trip));
        if before.is_none_or(|(before, _)| before != state) {
            tracing::info!("fleet {}: {name} is {}", self.fleet, state.name());
            self.words.push(FleetEvent::PeerState {
                name,
                state: state.name().into(),
            });
        }
    }

    /// What has come, what is durable, and what time brings; gives what became of claims.
    pub fn work(&mut self, now: Micros, worker: &mut Worker) -> Vec<(u64, Verdict)> {
        for _ in 0..LOOK {
            let Some(heard) = self.hub.try_recv() else {
                break;
            };
            self.hears(now, heard, worker);
        }
        let durable = worker.durable();
        while self
            .then
            .front()
            .is_some_and(|(ticket, _)| *ticket <= durable)
        {
            let outputs = self.then.pop_front().map(|(_, outputs)| outputs);
            self.perform(now, outputs.unwrap_or_default(), worker);
        }
        self.continue_durable_tokens(now, durable, worker);
        let readiness = self.voter_readiness();
        self.run_leases(|leases| leases.on_timer(now, readiness, worker));
        if now >= self.core.next_deadline() {
            let outputs = self.core.poll(now);
            self.perform(now, outputs, worker);
        }
        let stands = self.core.has_majority();
        if std::mem::replace(&mut self.majority, stands) != stands {
            self.words.push(FleetEvent::MajorityChanged {
                is_reachable: stands,
            });
            tracing::info!(
                "fleet {}: {} majority of keepers can be asked",
                self.fleet,
                if stands { "a" } else { "NO" }
            );
        }
        self.hub.flush();
        std::mem::take(&mut self.verdicts)
    }

    /// What peers' lists say of engines, since the last call.
    pub fn drains(&mut self) -> Vec<Drain> {
        std::mem::take(&mut self.drains)
    }

    /// The own list says so.
    pub fn drained(&mut self, now: Micros, drains: Vec<Drain>, worker: &mut Worker) {
        let outputs = self.core.on_local_drains(drains);
        self.perform(now, outputs, worker);
        // What this gateway told itself it knows.
        self.drains.clear();
    }

    pub fn binds(&self, engine: u32, booted_at: u64, number: u64) -> Option<Drain> {
        self.core.overriding_drain(engine, booted_at, number)
    }

    pub fn learned(&mut self, now: Micros, lessons: Vec<u8>) {
        self.core.set_hints(now, lessons);
    }

    /// What a peer had learned, once.
    pub fn hints(&mut self) -> Option<(Vec<u8>, Micros)> {
        let taken = self
            .hints
            .as_mut()
            .filter(|(lessons, _)| !lessons.is_empty());
        taken.map(|(lessons, age)| (std::mem::take(lessons), *age))
    }

    /// What was handed over since goes out.
    pub fn flush(&mut self) {
        self.hub.flush();
    }

    pub fn due(&self, now: Micros) -> Micros {
        let leases = self.leases.as_ref();
        let lease_deadline = leases.map_or(Micros::MAX, |leases| leases.deadline(now));
        self.core
            .next_deadline()
            .min(self.status_at)
            .min(lease_deadline)
    }
}
