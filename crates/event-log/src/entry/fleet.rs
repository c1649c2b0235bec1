//! Events of the group of gateways that replicate each other's intents.

/// An event of the group of gateways that replicate each other's intents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// The failure detector reports a new state of a peer.
    PeerState {
        /// The name of the peer, as configured.
        name: String,
        /// The new state: `up`, `slow`, `silent` or `gone`.
        state: String,
    },
    /// A peer's handshake was rejected, by this gateway or by the peer.
    PeerRejected {
        /// The name of the peer, as configured.
        name: String,
        /// Why the handshake was rejected, as text for operators.
        reason: String,
    },
    /// This gateway became a voter or stopped being one.
    VotingChanged {
        /// True if this gateway is a voter from now on.
        is_voter: bool,
    },
    /// A majority of voters became reachable or unreachable.
    MajorityChanged {
        /// True if a majority can be reached from now on.
        is_reachable: bool,
    },
    /// This gateway acquired or lost a lease.
    LeaseChanged {
        /// The ID of the engine that the leased task is for.
        task: u32,
        /// The term of the lease, part of the fencing token.
        term: u64,
        /// True if this gateway holds the lease from now on.
        is_held: bool,
    },
    /// Work from a lease holder arrived and was checked against the fencing token.
    WorkReceived {
        /// The ID of the engine that the leased task is for.
        task: u32,
        /// The term of the lease under which the work was sent.
        term: u64,
        /// The ID of the gateway that sent the work.
        owner: u64,
        /// False if the token was stale and the work is ignored.
        is_accepted: bool,
    },
}
