//! One gateway's part of the protocol: messages, time and notices of durable writes in, outputs
//! out. The gateway and the simulated fleet carry the outputs out.

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

/// Interval at which updates that voters lack are sent again.
const RESEND_INTERVAL: Micros = 250_000;

/// Other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Peer {
    /// A voter, by its index, over the link that this gateway opened.
    Voter(usize),
    /// A gateway that opened a link to this one, by the link's number.
    Requester(u64),
}

/// Settings of one gateway's part.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Number of voters of the fleet.
    pub voters: usize,
    /// This gateway's index among them, if it is a voter.
    pub voter_index: Option<usize>,
    /// Longest time for which a record is retained: longest wait, window and margin.
    pub max_retention: Micros,
    /// Bounds of the replica set.
    pub limits: Limits,
    /// Bytes a second of state transfers, over all receivers.
    pub transfer_bytes_per_s: u64,
    /// Whether requests are sent without a majority. Otherwise they are refused.
    pub send_without_majority: bool,
}

/// Why a gateway accepts no request that needs a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// Too many of its records are in flight or not at all voters yet; none is forgotten early.
    Full,
    /// No majority of voters can be reached.
    NoMajority,
}

/// A claim of a key, before its request is sent.
#[derive(Clone, Debug)]
pub struct ClaimRequest<'a> {
    /// Number that names the claim in its verdict.
    pub number: u64,
    /// The key.
    pub key: &'a [u8],
    /// Where the request is to run; `None` for several places.
    pub location: Option<Location>,
    /// Earliest time at which it may have run.
    pub since: Micros,
    /// For how long the record is to be retained.
    pub retention: Micros,
    /// Runs that the balancer was told of.
    pub known_runs: PriorRuns,
}

/// End of all attempts at a key.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempts<'a> {
    /// The key.
    pub key: &'a [u8],
    /// Where it may have run; `None` for several places.
    pub location: Option<Location>,
    /// Whether one of the attempts may have run.
    pub may_have_run: bool,
    /// For how long the record is to be retained.
    pub retention: Micros,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send(Peer, Message),
    /// Write a replica record to the store.
    Store {
        /// Its key.
        key: Vec<u8>,
        /// The record; `None` to remove it.
        replica: Option<ReplicaRecord>,
        /// Outputs to carry out once the write is durable, and not before.
        after_durable: Vec<Output>,
    },
    /// Call [`Core::on_local_vote`]: this voter votes on a claim of its own.
    LocalVote {
        /// Number of the claim.
        number: u64,
        /// What other gateways may have done with the key.
        reported_runs: Vec<ReportedRun>,
    },
    /// A claim, by its number, has its verdict.
    Verdict(u64, Verdict),
    /// An engine is drained or removed by a list of another gateway.
    EngineDrained(Drain),
    /// Learned figures of another gateway.
    Hints {
        /// Bytes of a checkpoint.
        checkpoint: Vec<u8>,
        /// Microseconds since it was taken.
        age: Micros,
    },
    /// This voter votes from now on. The store must remember it behind all earlier writes; then all
    /// gateways that opened a link to this one are to be told.
    BecameVoter,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Claims of this gateway.
    pub claims: u64,
    /// Claims that were granted.
    pub granted: u64,
    /// Claims that found runs of other gateways.
    pub prior_runs_found: u64,
    /// Claims that found no majority.
    pub without_majority: u64,
    /// Of these, those that were sent all the same.
    pub sent_without_majority: u64,
    /// Claims of other gateways that were accepted.
    pub accepted: u64,
    /// Claims of other gateways that were rejected.
    pub rejected: u64,
    /// Records that state transfers brought.
    pub repaired: u64,
    /// Bytes of entries that state transfers brought.
    pub transferred_bytes: u64,
    /// Updates that were sent again.
    pub resent: u64,
}

/// One gateway's part of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Core {
    config: Config,
    origin: Origin,
    progress: ReplicationProgress,
    replicas: ReplicaSet,
    claims: Claims,
    /// Links to voters, by their index.
    voters: Vec<VoterLink>,
    /// State transfers to other voters, by the link that they were requested on.
    outgoing_transfers: BTreeMap<u64, OutgoingTransfer>,
    /// Links that other gateways opened.
    requesters: BTreeSet<u64>,
    drains: Drains,
    /// This gateway's last checkpoint, and when it was taken.
    hints: Option<(Vec<u8>, Micros)>,
    transfer_budget: TransferBudget,
    last_request_number: u64,
    last_resend_at: Micros,
    last_scrub_at: Micros,
    scrubs: usize,
    counters: Counters,
}

impl Core {
    /// The state at a start. `is_complete` states that the store has all records that this voter
    /// ever acknowledged, and that it voted; `stored` are the store's replica records.
    pub fn start(
        config: Config,
        origin: Origin,
        is_complete: bool,
        stored: impl Iterator<Item = (Vec<u8>, ReplicaRecord)>,
        now: Micros,
    ) -> Self {
        let progress = match (config.voter_index, is_complete) {
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
            scrubs: 0,
            counters: Counters::default(),
            config,
        }
    }

    /// This gateway's incarnation.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// Whether this gateway is a voter that votes.
    pub fn is_voting(&self) -> bool {
        self.progress.is_voting()
    }

    /// The replica records that this voter holds.
    pub fn replicas(&self) -> &ReplicaSet {
        &self.replicas
    }

    /// This gateway's claims and records.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// A link came up or was closed. A reconnected voter gets the updates that it lacks; a gateway
    /// that opened a link here is told whether this one votes.
    pub fn on_link(&mut self, now: Micros, peer: Peer, is_up: bool) -> Vec<Output> {
        match peer {
            Peer::Voter(voter) => self.on_voter_link(now, voter, is_up),
            Peer::Requester(link) if is_up => {
                self.requesters.insert(link);
                self.greet_requester(now, peer)
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

    /// The other end of an open link stopped answering, or answers again.
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

    /// Indices of voters that have a link which is up.
    fn reachable_voters(&self) -> Vec<usize> {
        (0..self.voters.len())
            .filter(|voter| self.voters[*voter].is_up)
            .collect()
    }

    /// Updates that a voter lacks of those written up to a time.
    fn resend_updates(&mut self, now: Micros, voter: usize, written_until: Micros) -> Vec<Output> {
        let missing = self.claims.missing_records(voter, written_until);
        self.counters.resent += missing.len() as u64;
        missing
            .into_iter()
            .map(|(key, record)| self.update(now, voter, key, record))
            .collect()
    }

    fn update(&self, now: Micros, voter: usize, key: Vec<u8>, record: Record) -> Output {
        let message = Message::Update {
            key,
            origin: self.origin,
            record: record.to_wire(now),
        };
        Output::Send(Peer::Voter(voter), message)
    }

    /// The write of a key's replica record, with what follows once it is durable.
    fn store(&self, key: &[u8], after_durable: Vec<Output>) -> Output {
        Output::Store {
            key: key.to_vec(),
            replica: self.replicas.get(key).cloned(),
            after_durable,
        }
    }

    /// Handles timers: claims past their timeout, expired records, state transfers and updates to
    /// be sent again.
    pub fn poll(&mut self, now: Micros) -> Vec<Output> {
        let mut outputs = Vec::new();
        for (number, verdict) in self.claims.time_out(now) {
            outputs.push(self.decide(number, verdict));
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

    /// When [`Core::poll`] is to be called next.
    pub fn next_deadline(&self) -> Micros {
        let resend_at = self.last_resend_at + RESEND_INTERVAL;
        self.replicas
            .next_deadline()
            .into_iter()
            .chain(self.claims.next_deadline())
            .fold(resend_at, Micros::min)
    }
}
