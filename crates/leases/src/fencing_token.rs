//! Tasks, and the fencing tokens that all work of their owners carries.

use serde::{Deserialize, Serialize};

/// Work on behalf of the whole fleet that one gateway at a time does.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Task {
    /// What is done, for example [`crate::probe::PROBE_TASK_KIND`].
    pub kind: u8,
    /// What it is done for, for example an engine.
    pub number: u32,
}

/// Names one ownership of a task. Two owners never have the same token; of two tokens of a task the
/// greater is the later.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// Grows with each owner of the task.
    pub term: u64,
    /// The incarnation of the gateway that requested it.
    pub owner: u64,
}

/// Rank of a gateway among the candidates for a task, in [0, 1): the greatest requests votes first.
///
/// Each gateway computes its own from a hash, so no gateway needs a list of the others, and when
/// one leaves only its own tasks move.
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
    // The upper 53 bits, which a double represents exactly.
    (number >> 11) as f64 / (1u64 << 53) as f64
}
