//! The part of the store that replication needs. `intent_durability`, which owns the store, reads
//! it at startup and passes it to the replication driver.

use eideryard_leases::{FencingToken, Task};
use eideryard_replication::{entry, Origin, ReplicaRecord};
use eideryard_store::{RecoveryReport, RecoveryStatus, Store};

use crate::leases::{decode_token, TOKEN_KEY_PREFIX};

/// The store's key under which a voter saves the identity under which it votes.
pub const VOTER_IDENTITY_KEY: &[u8] = b"v";

/// A replica, preceded by its key without the store's prefix.
pub type StoredReplica = (Vec<u8>, ReplicaRecord);

/// Replication state that was recovered from the store.
pub struct RecoveredState {
    /// The identity of the store, and the number of this start of the gateway.
    pub origin: Origin,
    /// Whether the store still contains all writes that it ever acknowledged as durable.
    pub is_complete: bool,
    /// The identity under which this gateway last voted; `None` if it has never voted.
    pub voter_identity: Option<Vec<u8>>,
    /// Replicas of the intents of the whole fleet.
    pub replicas: Vec<StoredReplica>,
    /// The highest fencing token of each task that this gateway has promised or seen.
    pub tokens: Vec<(Task, FencingToken)>,
}

impl RecoveredState {
    /// Reads the state from an opened store.
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
