//! What the store held for the fleet when the gateway started: read by the intent durability, which
//! owns the store, and handed to the replication driver.

use eideryard_leases::{FencingToken, Task};
use eideryard_replication::{entry, Origin, ReplicaRecord};
use eideryard_store::{RecoveryReport, RecoveryStatus, Store};

use crate::leases::{decode_token, TOKEN_KEY_PREFIX};

/// Key under which a voter stores the identity under which it votes.
pub const VOTER_IDENTITY_KEY: &[u8] = b"v";

/// A replica and its key.
pub type StoredReplica = (Vec<u8>, ReplicaRecord);

/// The fleet's part of a recovered store.
pub struct RecoveredState {
    /// Identity of the store and number of this start.
    pub origin: Origin,
    /// Whether the store lost nothing that it ever acknowledged.
    pub is_complete: bool,
    /// The identity under which this gateway last voted, if it did.
    pub voter_identity: Option<Vec<u8>>,
    /// Replicas of the fleet's intents.
    pub replicas: Vec<StoredReplica>,
    /// Fencing tokens of tasks.
    pub tokens: Vec<(Task, FencingToken)>,
}

impl RecoveredState {
    /// Reads the fleet's part of a store.
    pub fn read(store: &Store, report: &RecoveryReport) -> Self {
        RecoveredState {
            origin: Origin {
                identity: report.identity,
                start: report.start_number,
            },
            is_complete: matches!(report.status, RecoveryStatus::Whole),
            voter_identity: store
                .get(VOTER_IDENTITY_KEY)
                .map(|value| value.bytes.to_vec()),
            replicas: read_replicas(store),
            tokens: store
                .prefix(TOKEN_KEY_PREFIX)
                .filter_map(|(key, value)| decode_token(key, &value.bytes))
                .collect(),
        }
    }
}

fn read_replicas(store: &Store) -> Vec<StoredReplica> {
    let mut replicas = Vec::new();
    for (key, value) in store.prefix(entry::PREFIX) {
        if let Some(replica) = entry::from_bytes(&value.bytes) {
            replicas.push((key[entry::PREFIX.len()..].to_vec(), replica));
        }
    }
    replicas
}
