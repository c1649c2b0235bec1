//! What gateways send each other about leases, and what the core asks of its caller.

use serde::{Deserialize, Serialize};

use crate::fencing_token::{FencingToken, Task};
use crate::Micros;

/// A message between a gateway and a voter. The order of variants and of their fields is the format
/// on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote, or renews a lease.
    VoteRequest {
        /// Task whose lease is requested.
        task: Task,
        /// Token under which the requester wants to own it.
        token: FencingToken,
    },
    /// A voter has granted its vote.
    VoteGranted {
        /// Task of the request.
        task: Task,
        /// Token of the request.
        token: FencingToken,
    },
    /// A voter has denied its vote.
    VoteDenied {
        /// Task of the request.
        task: Task,
        /// Token of the request.
        token: FencingToken,
        /// Greatest token that the voter knows.
        greatest: FencingToken,
        /// How long the lease of that token's owner still holds.
        remaining: Micros,
    },
    /// The owner gives up its lease, or a candidate its request.
    Release {
        /// Task that is given up.
        task: Task,
        /// Token that is given up.
        token: FencingToken,
    },
    /// Work of an owner; a voter passes on what its fence admits.
    Work {
        /// Task that the work belongs to.
        task: Task,
        /// Token of the owner.
        token: FencingToken,
        /// The work itself, encoded by the caller.
        payload: Vec<u8>,
    },
    /// A fence has rejected work.
    StaleToken {
        /// Task of the work.
        task: Task,
        /// Token of the work.
        token: FencingToken,
        /// Greatest token that the fence knows.
        greatest: FencingToken,
    },
    /// All tokens that a voter has promised or seen.
    Tokens {
        /// Each task with its greatest token.
        tokens: Vec<(Task, FencingToken)>,
    },
}

/// What the core's caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a voter.
    ToVoter {
        /// Index of the voter.
        voter: usize,
        /// What to send.
        message: Message,
    },
    /// Send a message to a gateway that made a link here.
    ToRequester {
        /// Number of its link.
        requester: u64,
        /// What to send.
        message: Message,
    },
    /// Send a message to all gateways that made links here.
    ToAllRequesters {
        /// Number of the link that is left out.
        except: Option<u64>,
        /// What to send.
        message: Message,
    },
    /// Make the greatest token of a task durable; then, and only then, carry out `then`.
    StoreToken {
        /// Task of the token.
        task: Task,
        /// Token to store.
        token: FencingToken,
        /// What depends on the token being durable.
        then: Vec<Output>,
    },
    /// Remove the stored token of a task.
    RemoveToken(Task),
    /// This voter votes for itself: call [`super::LeaseCore::on_own_vote`].
    VoteForSelf {
        /// Task of the vote.
        task: Task,
        /// Token of the vote.
        token: FencingToken,
    },
    /// Apply work that the fence has admitted.
    Apply {
        /// Task of the work.
        task: Task,
        /// Token of the work.
        token: FencingToken,
        /// The work itself.
        payload: Vec<u8>,
    },
    /// The fence has rejected work.
    Fenced {
        /// Task of the work.
        task: Task,
        /// Token of the work.
        token: FencingToken,
        /// Greatest token that the fence knows.
        greatest: FencingToken,
    },
    /// This gateway owns a task from now on.
    LeaseAcquired {
        /// The task.
        task: Task,
        /// Token under which it is owned.
        token: FencingToken,
    },
    /// This gateway owns a task no longer.
    LeaseLost {
        /// The task.
        task: Task,
        /// Token under which it was owned.
        token: FencingToken,
    },
}
