//! Messages about leases between gateways, and the actions that the core returns to its caller.

use serde::{Deserialize, Serialize};

use crate::fencing_token::{FencingToken, Task};
use crate::Micros;

/// A message between a gateway and a voter. It is encoded with postcard, so the order of variants
/// and of their fields is part of the wire format and must not change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote, or renews a lease.
    VoteRequest {
        /// Task whose lease is requested.
        task: Task,
        /// Token under which the requester wants to own the task.
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
        /// Greatest token of the task that the voter knows.
        greatest: FencingToken,
        /// Time until the lease of that token's owner expires, by the voter's clock.
        remaining: Micros,
    },
    /// An owner gives up its lease, or a candidate withdraws its vote request.
    Release {
        /// Task of the lease or the request.
        task: Task,
        /// Token of the lease or the request.
        token: FencingToken,
    },
    /// Work of an owner. Voters forward the work that their fences admit.
    Work {
        /// Task that the work belongs to.
        task: Task,
        /// Token of the owner.
        token: FencingToken,
        /// The work itself, encoded by the sender's caller.
        payload: Vec<u8>,
    },
    /// A fence has rejected work.
    StaleToken {
        /// Task of the work.
        task: Task,
        /// Token of the work.
        token: FencingToken,
        /// Greatest token of the task that the fence knows.
        greatest: FencingToken,
    },
    /// All tokens that the sender knows.
    Tokens {
        /// Each task with its greatest known token.
        tokens: Vec<(Task, FencingToken)>,
    },
}

/// An action that the core's caller has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a voter.
    ToVoter {
        /// Index of the voter.
        voter: usize,
        /// Message to send.
        message: Message,
    },
    /// Send a message to a gateway that has connected to this one.
    ToRequester {
        /// Number of the link from that gateway.
        requester: u64,
        /// Message to send.
        message: Message,
    },
    /// Send a message to all gateways that have connected to this one.
    ToAllRequesters {
        /// Number of a link on which not to send.
        except: Option<u64>,
        /// Message to send.
        message: Message,
    },
    /// Make the greatest token of a task durable, and only afterwards perform `then`.
    StoreToken {
        /// Task of the token.
        task: Task,
        /// Token to store.
        token: FencingToken,
        /// Actions that have to wait until the token is durable.
        then: Vec<Output>,
    },
    /// Remove the stored token of a task.
    RemoveToken(Task),
    /// Call [`super::LeaseCore::on_own_vote`], because this voter votes for itself.
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
    /// Note that this gateway's fence has rejected work.
    Fenced {
        /// Task of the work.
        task: Task,
        /// Token of the work.
        token: FencingToken,
        /// Greatest token of the task that the fence knows.
        greatest: FencingToken,
    },
    /// Note that this gateway owns a task from now on.
    LeaseAcquired {
        /// Task of the lease.
        task: Task,
        /// Token under which the task is owned.
        token: FencingToken,
    },
    /// Note that this gateway no longer owns a task.
    LeaseLost {
        /// Task of the lease.
        task: Task,
        /// Token under which the task was owned.
        token: FencingToken,
    },
}
