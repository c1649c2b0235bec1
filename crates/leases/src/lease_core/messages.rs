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
        /// Task in the [`Message::VoteRequest`].
        task: Task,
        /// Token in the [`Message::VoteRequest`].
        token: FencingToken,
    },
    /// A voter has denied its vote.
    VoteDenied {
        /// Task in the [`Message::VoteRequest`].
        task: Task,
        /// Token in the [`Message::VoteRequest`].
        token: FencingToken,
        /// Highest token of the task that the voter knows.
        greatest: FencingToken,
        /// Time until the lease of that token's owner expires, by the voter's clock.
        remaining: Micros,
    },
    /// An owner gives up its lease, or a candidate withdraws its vote request.
    Release {
        /// Task whose lease is given up or whose vote request is withdrawn.
        task: Task,
        /// Token of that lease or vote request.
        token: FencingToken,
    },
    /// Work from an owner. Voters forward the work that their fences admit.
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
        /// Task that the rejected work belongs to.
        task: Task,
        /// Token that the rejected work carried.
        token: FencingToken,
        /// Highest token of the task that the fence knows.
        greatest: FencingToken,
    },
    /// All tokens that the sender knows.
    Tokens {
        /// Each task with its highest known token.
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
        /// ID of the link that the gateway opened.
        requester: u64,
        /// Message to send.
        message: Message,
    },
    /// Send a message to all gateways that have connected to this one.
    ToAllRequesters {
        /// ID of a link on which not to send, because the message arrived there; `None` to send on
        /// all links.
        except: Option<u64>,
        /// Message to send.
        message: Message,
    },
    /// Make the highest token of a task durable, and only afterwards perform `then`.
    StoreToken {
        /// Task that the token belongs to.
        task: Task,
        /// Token to store, the highest known one of the task.
        token: FencingToken,
        /// Actions that have to wait until the token is durable.
        then: Vec<Output>,
    },
    /// Remove the stored token of a task.
    RemoveToken(Task),
    /// Call [`super::LeaseCore::on_own_vote`], because this voter votes for itself.
    VoteForSelf {
        /// Task whose lease this voter requests for itself.
        task: Task,
        /// Token for which this voter votes.
        token: FencingToken,
    },
    /// Apply work that the fence has admitted.
    Apply {
        /// Task that the work belongs to.
        task: Task,
        /// Token that the work carried.
        token: FencingToken,
        /// The work itself.
        payload: Vec<u8>,
    },
    /// Record that this gateway's fence has rejected work.
    Fenced {
        /// Task that the work belongs to.
        task: Task,
        /// Token that the work carried.
        token: FencingToken,
        /// Highest token of the task that the fence knows.
        greatest: FencingToken,
    },
    /// Record that this gateway owns a task from now on.
    LeaseAcquired {
        /// Task that this gateway owns from now on.
        task: Task,
        /// Token under which the task is owned.
        token: FencingToken,
    },
    /// Record that this gateway no longer owns a task.
    LeaseLost {
        /// Task that this gateway owned until now.
        task: Task,
        /// Token under which it owned the task.
        token: FencingToken,
    },
}
