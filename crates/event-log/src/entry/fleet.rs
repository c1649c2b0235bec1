//! Events of the group of gateways.

/// An event of the group of gateways that replicates intents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// The failure detector's state of a peer.
    PeerState {
        /// The peer's name.
        name: String,
        /// `up`, `slow`, `silent` or `gone`.
        state: String,
    },
    /// A peer's handshake was rejected, by this gateway or by the peer.
    PeerRejected {
        /// The peer's name.
        name: String,
        /// The reason as text.
        reason: String,
    },
    /// Whether this gateway votes.
    VotingChanged {
        /// True: it votes from now on.
        is_voter: bool,
    },
    /// Whether a majority of voters can be reached.
    MajorityChanged {
        /// True: it can from now on.
        is_reachable: bool,
    },
    /// This gateway acquired or lost a lease.
    LeaseChanged {
        /// The engine that the leased task is for.
        task: u32,
        /// The term of the lease.
        term: u64,
        /// True: the lease is held from now on.
        is_held: bool,
    },
    /// Work of a lease holder arrived and was checked against the fencing token.
    WorkReceived {
        /// The engine that the leased task is for.
        task: u32,
        /// The term that the work was sent under.
        term: u64,
        /// The gateway that sent the work.
        owner: u64,
        /// False: the token was stale and the work is ignored.
        is_accepted: bool,
    },
}
