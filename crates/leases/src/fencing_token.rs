//! What is owned, and what an owner's work carries.

use serde::{Deserialize, Serialize};

/// A piece of work on behalf of the fleet: what is done, and for what.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Task {
    pub kind: u8,
    pub number: u32,
}

/// How often a task has been owned, and by which life of which gateway: two owners never have one
/// token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    pub term: u64,
    pub owner: u64,
}

/// Which gateway is to try first: each draws its own weight for a task, so nobody needs a list of
/// the others, and only the tasks of one that goes move.
pub fn weight(task: Task, owner: u64) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(&[task.kind])
        .update(&task.number.to_be_bytes())
        .update(&owner.to_be_bytes());
    let hash = hasher.finalize();
    let number = hash.as_bytes()[..8]
        .iter()
        .fold(0u64, |sum, byte| sum << 8 | u64::from(*byte));
    (number >> 11) as f64 / (1u64 << 53) as f64
}
