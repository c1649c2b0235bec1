//! Tasks of a fleet, and the fencing tokens that all work of their owners carries.

use serde::{Deserialize, Serialize};

/// A task that one gateway at a time does for the whole fleet.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Task {
    /// Kind of the task; today only [`crate::probe::PROBE_TASK_KIND`].
    pub kind: u8,
    /// ID of the object of the task: the engine's ID if the task is to probe an engine.
    pub number: u32,
}

/// Identifies one ownership of a task. Two owners of a task never have the same token, and a later
/// owner has a higher token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// Increases with each owner of the task.
    pub term: u64,
    /// ID of the incarnation of the gateway that requested the token.
    pub owner: u64,
}

/// Returns the weight of a gateway among the candidates for a task: at least 0 and less than 1. The
/// candidate with the highest weight requests votes first.
///
/// The weight is a hash of the task and the gateway, as in rendezvous hashing: no gateway needs a
/// list of the others, and if a gateway leaves, only its own tasks move.
pub fn candidate_weight(task: Task, owner: u64) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(&[task.kind])
        .update(&task.number.to_be_bytes())
        .update(&owner.to_be_bytes());
    let hash = hasher.finalize();
    let mut number = 0u64;
    for byte in &hash.as_bytes()[..8] {
        number = number << 8 | u64::from(*byte);
    }
    // An f64 represents the upper 53 bits exactly.
    (number >> 11) as f64 / (1u64 << 53) as f64
}
