//! Events of the gateway outside the decision module.

use std::net::IpAddr;

use eideryard::interface::{EngineId, Micros, Phase, RequestId};

use super::{AnswerKind, CloseReason, FleetEvent, RejectReason};
use crate::totals::Tally;

/// Names of classes, tenants, zones and kinds by the index that the decision module uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Names of the query classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of engines.
    pub kinds: Vec<String>,
    /// Threads that a query of each class runs on, by class.
    pub threads: Vec<f64>,
}

impl Names {
    /// Threads that a query of a class runs on; 1 where the log doesn't state it.
    pub fn threads_of_class(&self, class: usize) -> f64 {
        self.threads.get(class).copied().unwrap_or(1.0)
    }
}

/// An endpoint of the discovery service, with the engine's name and address.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEngine {
    /// The engine's number.
    pub engine: EngineId,
    /// The engine's name in the discovery service.
    pub name: String,
    /// Host and port; empty where it isn't known.
    pub address: String,
    /// Index of its zone.
    pub zone: u32,
    /// Index of its kind.
    pub kind: u32,
    /// Whether it takes queries, drains or was removed.
    pub phase: Phase,
    /// When the engine's process started.
    pub booted_at: Micros,
}

/// How a request that the decision module handles is known to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// The decision module's id.
    pub request: RequestId,
    /// The id that its client gave it.
    pub id: u64,
    /// The connection it came on, as numbered by [`HostEvent::Connected`].
    pub connection: u64,
}

/// An attempt that was running when a segment began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningAttempt {
    /// The engine that it runs on.
    pub engine: EngineId,
    /// When it was sent there.
    pub sent_at: Micros,
}

/// A request that was open when a segment began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenRequest {
    /// Its ids and its connection.
    pub client_request: ClientRequest,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// When it arrived.
    pub arrived_at: Micros,
    /// When its client stops waiting.
    pub deadline: Micros,
    /// How many attempts were made, the running one included.
    pub attempts: u64,
    /// Its last attempt, if that is running.
    pub running: Option<RunningAttempt>,
}

/// An event of the gateway outside the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum HostEvent {
    /// A segment starts. The entries up to [`HostEvent::StateComplete`] repeat what was known then.
    SegmentStarted {
        /// The gateway's name.
        name: String,
        /// When the gateway started.
        epoch: Micros,
        /// The segment's number, from 1.
        segment: u64,
    },
    /// Names of the indexes that entries use.
    Names(Names),
    /// A new or changed endpoint.
    Engine(ListedEngine),
    /// A request that was open at the start of the segment.
    OpenRequest(OpenRequest),
    /// The totals since the start of the gateway.
    Tally(Box<Tally>),
    /// End of the state at the start of a segment.
    StateComplete,
    /// A client connected.
    Connected {
        /// The number of the connection.
        connection: u64,
        /// The client's address.
        address: IpAddr,
    },
    /// The gateway closes a connection; [`HostEvent::Disconnected`] follows once it is closed.
    ConnectionClosing {
        /// The number of the connection.
        connection: u64,
        /// Why it is closed.
        reason: CloseReason,
    },
    /// A connection is closed.
    Disconnected {
        /// The number of the connection.
        connection: u64,
    },
    /// A request got an id of the decision module.
    RequestReceived(ClientRequest),
    /// A client's retry waits for the answer of the run that is already open. Its own end is an
    /// [`HostEvent::Answered`] of request 0.
    RetryAttached {
        /// Index of its class.
        class: usize,
        /// Index of its tenant.
        tenant: usize,
    },
    /// A message was rejected before the decision module saw it.
    RequestRejected {
        /// Why.
        reason: RejectReason,
        /// Index of its class, where that is known.
        class: Option<usize>,
        /// Index of its tenant, where that is known.
        tenant: Option<usize>,
    },
    /// A request got its final answer.
    Answered {
        /// The decision module's id, or 0 for an attached retry.
        request: RequestId,
        /// Index of its class.
        class: usize,
        /// Index of its tenant.
        tenant: usize,
        /// How it ended.
        kind: AnswerKind,
        /// Whether that was after its client's deadline.
        is_late: bool,
    },
    /// The connection to the discovery service was established or lost.
    DiscoveryLink {
        /// True: it was established.
        is_up: bool,
    },
    /// A numbered event of the discovery service was applied.
    DiscoveryEvent {
        /// The number that the service gave it.
        number: u64,
    },
    /// Why an accepted request is refused, where the reason is its intent.
    RefusalExplained {
        /// The decision module's id.
        request: RequestId,
        /// Why.
        reason: RejectReason,
    },
    /// An event of the group of gateways.
    Fleet(FleetEvent),
    /// The configuration was read again.
    ConfigReloaded {
        /// False: it was invalid and the old one stays.
        succeeded: bool,
    },
    /// Nothing else was logged for [`crate::recorder::HEARTBEAT_INTERVAL`].
    Heartbeat,
    /// The gateway shuts down and accepts no more requests.
    Stopping,
    /// The gateway ended in order.
    Ended {
        /// Its own counters at that time, by name.
        counters: Vec<(String, u64)>,
    },
    /// Entries that could not be written.
    Gap {
        /// Time of the last entry before them.
        from: Micros,
        /// Time of the first entry after them.
        to: Micros,
        /// How many are missing.
        entries: u64,
        /// What they add to the totals.
        counted: Box<Tally>,
    },
}
