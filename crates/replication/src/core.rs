//! One gateway's part of the replication protocol, without I/O. Its inputs are messages, the time
//! and notifications of durable writes. The caller, the gateway or the simulated fleet, performs
//! the outputs.

use std::collections::{BTreeMap, BTreeSet};

use eideryard_intent_log::Location;

use crate::anti_entropy::{ReplicationProgress, TransferBudget};
use crate::claims::{Claims, PriorRuns, Verdict};
use crate::drains::{Drain, Drains};
use crate::entry::{Origin, Record, ReplicaRecord, ReportedRun};
use crate::message::Message;
use crate::replica_set::{Limits, ReplicaSet};
use crate::Micros;

mod hints;
mod messages;
mod state_transfer;
mod voting;

use state_transfer::{OutgoingTransfer, VoterLink};

/// Interval at which updates that voters have not acknowledged are resent.
const RESEND_INTERVAL: Micros = 250_000;

/// The other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Peer {
    /// A voter, by its index, on the link that this gateway opened.
    Voter(usize),
    /// A gateway that opened a link to this one, by the ID of the link.
    Requester(u64),
}

/// Configuration of a [`Core`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Number of voters in the fleet.
    pub voters: usize,
    /// Index of this gateway among the voters; `None` if it is not a voter.
    pub voter_index: Option<usize>,
    /// Maximum time for which a record is retained: the longest wait of a request, the longest
    /// window in which engines drop duplicates, and a margin.
    pub max_retention: Micros,
    /// Bounds of the replica set and of this gateway's own records.
    pub limits: Limits,
    /// Budget of outgoing state transfers in bytes per second, shared by all receivers.
    pub transfer_bytes_per_s: u64,
    /// Whether requests may be sent if no majority of the voters accepts the claim. If not, such
    /// requests are refused.
    pub send_without_majority: bool,
}

/// Why a gateway accepts no requests that need a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// [`Limits::max_keys`] records of this gateway are in flight or not acknowledged by all
    /// voters. None of these records may be dropped early.
    Full,
    /// No majority of voters that vote can be reached.
    NoMajority,
}

/// A claim on a key, made before the request with that key is sent.
#[derive(Clone, Debug)]
pub struct ClaimRequest<'a> {
    /// ID of the claim, chosen by the caller; [`Output::Verdict`] refers to it.
    pub number: u64,
    /// Key of the request, without the intent log's prefix.
    pub key: &'a [u8],
    /// Location at which the request is to run; `None` if there are several.
    pub location: Option<Location>,
    /// Earliest time at which the request may have run; `now` for a first attempt.
    pub since: Micros,
    /// Time from now for which the record is to be retained.
    pub retention: Micros,
    /// Runs that the balancer knows of; they do not prevent the claim from being granted.
    pub known_runs: PriorRuns,
}

/// A key whose attempts have all ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempts<'a> {
    /// Key of the request, without the intent log's prefix.
    pub key: &'a [u8],
    /// Location at which the request may have run; `None` if there are several.
    pub location: Option<Location>,
    /// Whether one of the attempts may have run.
    pub may_have_run: bool,
    /// Time from now for which the record is to be retained.
    pub retention: Micros,
}

/// An action that the caller has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message over the link to this peer. The protocol tolerates the loss of messages.
    Send(Peer, Message),
    /// Write a replica record to the store.
    Store {
        /// Key of the record, without the prefix of [`stored_key`](crate::entry::stored_key).
        key: Vec<u8>,
        /// The replica record; `None` to remove it from the store.
        replica: Option<ReplicaRecord>,
        /// Outputs to perform only once the write is durable.
        after_durable: Vec<Output>,
    },
    /// Call [`Core::on_local_vote`]: this gateway, a voter, votes on its own claim.
    LocalVote {
        /// ID from the [`ClaimRequest`].
        number: u64,
        /// Possible earlier runs of the key by other gateways.
        reported_runs: Vec<ReportedRun>,
    },
    /// The outcome of the claim with this ID.
    Verdict(u64, Verdict),
    /// Stop sending new requests to an engine that was drained or removed in the endpoint list of
    /// this gateway or of another one.
    EngineDrained(Drain),
    /// Use what another gateway has learned about the engines as a hint.
    Hints {
        /// Encoded checkpoint of the other gateway's balancer.
        checkpoint: Vec<u8>,
        /// Microseconds since the checkpoint was taken.
        age: Micros,
    },
    /// This voter starts to vote. The caller has to write that to the store after all earlier
    /// writes, and then to inform all gateways that opened a link to this one.
    BecameVoter,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Claims that this gateway has made.
    pub claims: u64,
    /// Claims of this gateway that a majority granted.
    pub granted: u64,
    /// Claims of this gateway that were refused because of unknown runs by other gateways.
    pub prior_runs_found: u64,
    /// Claims of this gateway that no majority accepted.
    pub without_majority: u64,
    /// Claims without a majority whose requests were sent nevertheless; included in
    /// `without_majority`.
    pub sent_without_majority: u64,
    /// Claims by other gateways for which this voter voted.
    pub accepted: u64,
    /// Claims by other gateways for which this voter did not vote.
    pub rejected: u64,
    /// Records that state transfers added or changed.
    pub repaired: u64,
    /// Estimated bytes of the entries received in state transfers.
    pub transferred_bytes: u64,
    /// Updates that were resent to voters.
    pub resent: u64,
}

/// State of one gateway's part of the replication protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Core {
    config: Config,
    origin: Origin,
    progress: ReplicationProgress,
    replicas: ReplicaSet,
    claims: Claims,
    /// Links to the voters, by voter index.
    voters: Vec<VoterLink>,
    /// State transfers to other voters, by the ID of the link on which they were requested.
    outgoing_transfers: BTreeMap<u64, OutgoingTransfer>,
    /// IDs of the open links from other gateways to this one.
    requesters: BTreeSet<u64>,
    drains: Drains,
    /// Last checkpoint of this gateway's balancer, and when it was taken.
    hints: Option<(Vec<u8>, Micros)>,
    transfer_budget: TransferBudget,
    last_request_number: u64,
    last_resend_at: Micros,
    last_scrub_at: Micros,
    scrub_count: usize,
    counters: Counters,
}

impl Core {
    /// Creates the state at the start of a gateway. `has_all_records` says that this voter has
    /// voted with this store before and that the store has all records that the voter ever
    /// acknowledged. `stored` are the replica records in the store.
    pub fn start(
        config: Config,
        origin: Origin,
        has_all_records: bool,
        stored: impl Iterator<Item = (Vec<u8>, ReplicaRecord)>,
        now: Micros,
    ) -> Self {
        let progress = match (config.voter_index, has_all_records) {
            (None, _) => ReplicationProgress::Requester,
            (Some(_), true) => ReplicationProgress::Voting,
            (Some(_), false) => ReplicationProgress::CatchingUp {
                until: now + config.max_retention,
                complete_from: BTreeSet::new(),
            },
        };
        let mut replicas = ReplicaSet::new(config.limits);
        for (key, replica) in stored {
            replicas.restore(key, replica, config.max_retention, now);
        }
        Core {
            origin,
            progress,
            replicas,
            claims: Claims::new(config.voters),
            voters: vec![VoterLink::default(); config.voters],
            outgoing_transfers: BTreeMap::new(),
            requesters: BTreeSet::new(),
            drains: Drains::default(),
            hints: None,
            transfer_budget: TransferBudget::new(config.transfer_bytes_per_s),
            last_request_number: 0,
            last_resend_at: now,
            last_scrub_at: now,
            scrub_count: 0,
            counters: Counters::default(),
            config,
        }
    }

    /// Returns the incarnation of this gateway, which its records name as their origin.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// Returns whether this gateway is a voter that currently votes.
    pub fn is_voting(&self) -> bool {
        self.progress.is_voting()
    }

    /// Returns the replica records that this gateway stores as a voter.
    pub fn replicas(&self) -> &ReplicaSet {
        &self.replicas
    }

    /// Returns the claims of this gateway and the records that it has written.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Handles a link that came up or was closed. A reconnected voter is sent the updates that it
    /// lacks; a gateway that opened a link to this one is sent whether this one votes.
    pub fn on_link(&mut self, now: Micros, peer: Peer, is_up: bool) -> Vec<Output> {
        match peer {
            Peer::Voter(voter) => self.on_voter_link(now, voter, is_up),
            Peer::Requester(link) if is_up => {
                self.requesters.insert(link);
                self.initial_messages(now, peer)
            }
            Peer::Requester(link) => {
                self.outgoing_transfers.remove(&link);
                self.requesters.remove(&link);
                Vec::new()
            }
        }
    }

    fn on_voter_link(&mut self, now: Micros, voter: usize, is_up: bool) -> Vec<Output> {
        let Some(link) = self.voters.get_mut(voter) else {
            return Vec::new();
        };
        *link = VoterLink {
            is_up,
            ..VoterLink::default()
        };
        if !is_up {
            return Vec::new();
        }
        let mut outputs = self.resend_updates(now, voter, now);
        outputs.extend(self.send_known_drains(Peer::Voter(voter)));
        outputs
    }

    /// Handles a peer on an open link that has stopped responding or responds again.
    pub fn on_reachability(&mut self, now: Micros, peer: Peer, is_reachable: bool) -> Vec<Output> {
        let Peer::Voter(voter) = peer else {
            return Vec::new();
        };
        let Some(link) = self.voters.get_mut(voter) else {
            return Vec::new();
        };
        let was_reachable = std::mem::replace(&mut link.is_up, is_reachable);
        if was_reachable || !is_reachable {
            return Vec::new();
        }
        self.resend_updates(now, voter, now)
    }

    /// Returns the indexes of the voters whose link is up.
    fn reachable_voters(&self) -> Vec<usize> {
        (0..self.voters.len())
            .filter(|voter| self.voters[*voter].is_up)
            .collect()
    }

    /// Returns messages with the updates that a voter lacks and that were written at
    /// `written_until` or earlier.
    fn resend_updates(&mut self, now: Micros, voter: usize, written_until: Micros) -> Vec<Output> {
        let missing = self.claims.missing_records(voter, written_until);
        self.counters.resent += missing.len() as u64;
        missing
            .into_iter()
            .map(|(key, record)| self.update_message(now, voter, key, record))
            .collect()
    }

    fn update_message(&self, now: Micros, voter: usize, key: Vec<u8>, record: Record) -> Output {
        let message = Message::Update {
            key,
            origin: self.origin,
            record: record.to_wire(now),
        };
        Output::Send(Peer::Voter(voter), message)
    }

    /// Returns the output that writes the replica record of a key, with the outputs to perform once
    /// the record is durable.
    fn store_output(&self, key: &[u8], after_durable: Vec<Output>) -> Output {
        Output::Store {
            key: key.to_vec(),
            replica: self.replicas.get(key).cloned(),
            after_durable,
        }
    }

    /// Handles everything that depends on time: claims past their timeout, expired records, state
    /// transfers and updates to resend.
    pub fn poll(&mut self, now: Micros) -> Vec<Output> {
        let mut outputs = Vec::new();
        for (number, verdict) in self.claims.time_out(now) {
            outputs.push(self.resolve_verdict(number, verdict));
        }
        self.claims.expire(now);
        for key in self.replicas.expire(now) {
            outputs.push(Output::Store {
                key,
                replica: None,
                after_durable: Vec::new(),
            });
        }
        if self.progress.poll(now) {
            outputs.push(Output::BecameVoter);
        }
        outputs.extend(self.serve_transfers(now));
        if now >= self.last_resend_at + RESEND_INTERVAL {
            self.last_resend_at = now;
            let written_until = now.saturating_sub(RESEND_INTERVAL);
            for voter in self.reachable_voters() {
                outputs.extend(self.resend_updates(now, voter, written_until));
            }
        }
        outputs.extend(self.request_transfers(now));
        outputs
    }

    /// Returns the time at which [`Core::poll`] has to be called next.
    pub fn next_deadline(&self) -> Micros {
        let resend_at = self.last_resend_at + RESEND_INTERVAL;
        self.replicas
            .next_deadline()
            .into_iter()
            .chain(self.claims.next_deadline())
            .fold(resend_at, Micros::min)
    }
}
