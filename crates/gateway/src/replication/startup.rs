//! Starts the replication driver from the operator's file and the recovered state.

use std::io;

use eideryard::interface::{Effect, Settings};
use eideryard_intent_log::state::RETENTION_MARGIN;
use eideryard_operator_config::FleetConfig;
use eideryard_peer_transport::{Handshake, VoterAddress};
use eideryard_replication::replica_set::Limits;
use eideryard_replication::Config;
use thiserror::Error;

use super::peers::PeerTable;
use super::*;
use crate::fingerprints::classes_fingerprint;
use crate::recovered_state::RecoveredState;

/// Maximum rate at which a voter sends replicas to peers that are catching up, in bytes per second,
/// summed over all these peers.
const CATCH_UP_BYTES_PER_SECOND: u64 = 2 << 20;

/// The parameters of the gateway that the driver belongs to.
#[derive(Clone, Copy)]
pub struct ReplicationContext<'a> {
    /// Name of the gateway in the platform's configuration; a voter has the same name in the
    /// operator's file.
    pub name: &'a str,
    /// Settings of the balancer, whose classes must be the same at all gateways of the fleet.
    pub settings: &'a Settings,
    /// The longest time that a request may wait, in microseconds.
    pub longest_wait: Micros,
    /// Maximum number of replicas, as limited by a voter's memory.
    pub max_replicas: usize,
    /// Time of the start, in microseconds since the Unix epoch.
    pub now: Micros,
    /// A random number, which must differ between starts.
    pub seed: u64,
}

/// Why the driver can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The gateway is a voter but has no address to listen on, so peers can't reach it.
    #[error("fleet: '{name}' is a keeper but the operator's file has no 'listen' line; add one")]
    NoListenAddress {
        /// Name of the gateway in the platform's configuration.
        name: String,
    },
    /// The thread that serves the links can't be started, or its listen address can't be bound.
    #[error("fleet: can't start links to peers: {0}; check 'listen' in the operator's file")]
    Links(io::Error),
}

impl From<StartError> for io::Error {
    fn from(error: StartError) -> Self {
        let kind = match &error {
            StartError::NoListenAddress { .. } => io::ErrorKind::InvalidInput,
            StartError::Links(cause) => cause.kind(),
        };
        io::Error::new(kind, error.to_string())
    }
}

impl ReplicationDriver {
    /// Starts the driver and the thread that serves its links. The thread calls `wake` when there
    /// are events.
    ///
    /// # Errors
    ///
    /// Returns an error if the gateway is a voter without a `listen` address, or if the links can't
    /// be started.
    pub fn start(
        config: &FleetConfig,
        context: ReplicationContext<'_>,
        recovered: RecoveredState,
        wake: Box<dyn Fn() + Send>,
    ) -> Result<Self, StartError> {
        let voter_names: Vec<String> = config.voters.iter().map(|(name, _)| name.clone()).collect();
        let voter_index = voter_names.iter().position(|name| name == context.name);
        if voter_index.is_some() && config.listen.is_none() {
            return Err(StartError::NoListenAddress {
                name: context.name.to_string(),
            });
        }
        let origin = recovered.origin;
        let replica_count = recovered.replicas.len();
        let core = Core::start(
            core_config(config, &context, voter_index),
            origin,
            may_vote_at_once(&recovered),
            recovered.replicas.into_iter(),
            context.now,
        );
        let links = transport_config(config, &context, &voter_names, origin);
        let hub = Hub::start(links, wake).map_err(StartError::Links)?;
        if let Some(address) = hub.local_address() {
            tracing::info!(
                "fleet {}: peers reach this gateway at {address}",
                config.name
            );
        }
        let can_vote = core.is_voting();
        log_role(config, voter_index, can_vote, replica_count);
        let mut events = Vec::new();
        if voter_index.is_some() {
            events.push(FleetEvent::VotingChanged { is_voter: can_vote });
        }
        let voter_count = voter_names.len();
        let tokens = recovered.tokens;
        let leases = config
            .has_shared_probes
            .then(|| LeaseDriver::new(voter_count, voter_index, origin, tokens, context.now));
        Ok(ReplicationDriver {
            core,
            hub,
            leases,
            pending_tokens: VecDeque::new(),
            pending_outputs: VecDeque::new(),
            verdicts: Vec::new(),
            last_claim_number: 0,
            peers: PeerTable::new(voter_names),
            drains: Vec::new(),
            peer_hint: None,
            events,
            has_majority: false,
            fleet_name: config.name.clone(),
            name: context.name.to_string(),
            next_status_at: 0,
        })
    }
}

/// Returns whether this gateway may vote without catching up first. That requires that its store
/// contains everything that it ever promised as a voter.
fn may_vote_at_once(recovered: &RecoveredState) -> bool {
    let identity = recovered.origin.identity.to_be_bytes();
    recovered.is_complete && recovered.voter_identity.as_deref() == Some(&identity[..])
}

fn core_config(
    config: &FleetConfig,
    context: &ReplicationContext<'_>,
    voter_index: Option<usize>,
) -> Config {
    let durable_classes = context
        .settings
        .classes
        .iter()
        .filter(|class| class.effect != Effect::Idempotent);
    let longest_window = durable_classes.map(|class| class.window).max().unwrap_or(0);
    Config {
        voters: config.voters.len(),
        voter_index,
        max_retention: context.longest_wait + longest_window + RETENTION_MARGIN,
        limits: Limits {
            max_keys: context.max_replicas,
        },
        transfer_bytes_per_s: CATCH_UP_BYTES_PER_SECOND,
        send_without_majority: config.may_send_without_majority,
    }
}

fn transport_config(
    config: &FleetConfig,
    context: &ReplicationContext<'_>,
    voter_names: &[String],
    origin: Origin,
) -> eideryard_peer_transport::Config {
    let handshake = Handshake {
        version: eideryard_peer_transport::VERSION,
        fleet: config.name.clone(),
        name: context.name.to_string(),
        voters: voter_names.to_vec(),
        classes_fingerprint: classes_fingerprint(&context.settings.classes),
        identity: origin.identity,
        start_number: origin.start,
    };
    let mut other_voters = Vec::new();
    for (index, (name, address)) in config.voters.iter().enumerate() {
        if name != context.name {
            other_voters.push(VoterAddress {
                index,
                name: name.clone(),
                address: *address,
            });
        }
    }
    eideryard_peer_transport::Config {
        handshake,
        listen_address: config.listen,
        voters: other_voters,
        seed: context.seed,
    }
}

fn log_role(
    config: &FleetConfig,
    voter_index: Option<usize>,
    can_vote: bool,
    replica_count: usize,
) {
    let fleet = &config.name;
    if voter_index.is_none() {
        let names: Vec<&str> = config
            .voters
            .iter()
            .map(|(name, _)| name.as_str())
            .collect();
        tracing::info!(
            "fleet {fleet}: this gateway is no keeper; its keepers are {}",
            names.join(" ")
        );
    } else if can_vote {
        tracing::info!(
            "fleet {fleet}: this gateway is a keeper with {replica_count} replicas and votes"
        );
    } else {
        tracing::info!(
            "fleet {fleet}: this gateway is a keeper that may have lost replicas; it uses the \
             {replica_count} that it has as hints, and catches up before it votes"
        );
    }
}
