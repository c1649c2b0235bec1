//! Events of the gateway outside the decision module.

use std::net::IpAddr;

use eideryard::interface::{EngineId, Micros, Phase, RequestId};

use super::{AnswerKind, CloseReason, FleetEvent, RejectReason};
use crate::totals::Tally;

/// Names of classes, tenants, zones and kinds, by the index that entries use for them.
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
    /// Number of threads that a query of each class runs on. Empty in logs that don't state it.
    pub threads: Vec<f64>,
}

impl Names {
    /// Returns the number of threads that a query of a class runs on; 1 if the log doesn't state
    /// it.
    pub fn threads_of_class(&self, class: usize) -> f64 {
        self.threads.get(class).copied().unwrap_or(1.0)
    }
}

/// An engine as the discovery service lists it, with its name and address.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEngine {
    /// The engine's ID in entries of the decision module.
    pub engine: EngineId,
    /// The engine's name in the discovery service.
    pub name: String,
    /// Host and port; empty if not known.
    pub address: String,
    /// Index of the zone in [`Names::zones`].
    pub zone: u32,
    /// Index of the kind of engine in [`Names::kinds`].
    pub kind: u32,
    /// Whether the engine accepts queries, is draining or was removed.
    pub phase: Phase,
    /// When the engine's process started, as the discovery service reports it.
    pub booted_at: Micros,
}

/// Connects the decision module's ID of a request with the client's ID and connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// The ID that the decision module uses.
    pub request: RequestId,
    /// The ID that the client gave the request.
    pub id: u64,
    /// The ID of the connection on which the request arrived, see [`HostEvent::Connected`].
    pub connection: u64,
}

/// An attempt that was running when a segment began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningAttempt {
    /// The engine that the attempt runs on.
    pub engine: EngineId,
    /// When the attempt was sent, in microseconds since the Unix epoch.
    pub sent_at: Micros,
}

/// A request that was open when a segment began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenRequest {
    /// The IDs of the request and its connection.
    pub client_request: ClientRequest,
    /// Index of the request's class in [`Names::classes`].
    pub class: usize,
    /// Index of the request's tenant in [`Names::tenants`].
    pub tenant: usize,
    /// When the request arrived, in microseconds since the Unix epoch.
    pub arrived_at: Micros,
    /// When the client stops waiting, in microseconds since the Unix epoch.
    pub deadline: Micros,
    /// Number of attempts so far, the running one included.
    pub attempts: u64,
    /// The last attempt, if it is still running.
    pub running: Option<RunningAttempt>,
}

/// An event of the gateway outside the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum HostEvent {
    /// A segment starts. The entries up to [`HostEvent::StateComplete`] repeat the state at that
    /// time.
    SegmentStarted {
        /// The gateway's name.
        name: String,
        /// When the gateway started, in microseconds since the Unix epoch.
        epoch: Micros,
        /// The segment's number within this run of the gateway, from 1.
        segment: u64,
    },
    /// The names of the classes, tenants, zones and kinds that entries refer to by index.
    Names(Names),
    /// An engine that is new or changed in the endpoint list.
    Engine(ListedEngine),
    /// A request that was open at the start of the segment.
    OpenRequest(OpenRequest),
    /// The totals since the start of the gateway, repeated at intervals and in the state of each
    /// segment.
    Tally(Box<Tally>),
    /// The end of the state at the start of a segment.
    StateComplete,
    /// A client connected.
    Connected {
        /// The ID that this gateway gave the connection.
        connection: u64,
        /// The client's IP address.
        address: IpAddr,
    },
    /// The gateway closes a connection; [`HostEvent::Disconnected`] follows once it is closed.
    ConnectionClosing {
        /// The ID of the connection.
        connection: u64,
        /// Why the gateway closes the connection.
        reason: CloseReason,
    },
    /// A connection is closed.
    Disconnected {
        /// The ID of the connection.
        connection: u64,
    },
    /// A request arrived and got an ID for the decision module.
    RequestReceived(ClientRequest),
    /// A client resent a request that is still open, and the retry waits for the answer to the open
    /// request. The retry has no ID in the decision module, so it ends with a
    /// [`HostEvent::Answered`] whose request ID is 0.
    RetryAttached {
        /// Index of the retry's class.
        class: usize,
        /// Index of the retry's tenant.
        tenant: usize,
    },
    /// A client's message was rejected before it reached the decision module.
    RequestRejected {
        /// Why the message was rejected.
        reason: RejectReason,
        /// Index of the request's class; `None` if the message didn't state a valid one.
        class: Option<usize>,
        /// Index of the request's tenant; `None` if the message didn't state a valid one.
        tenant: Option<usize>,
    },
    /// A request ended: it was answered, or its client cancelled it or disconnected.
    Answered {
        /// The ID that the decision module uses, or 0 for an attached retry.
        request: RequestId,
        /// Index of the request's class.
        class: usize,
        /// Index of the request's tenant.
        tenant: usize,
        /// How the request ended.
        kind: AnswerKind,
        /// Whether the request ended after the client's deadline.
        is_late: bool,
    },
    /// The connection to the discovery service was established or lost.
    DiscoveryLink {
        /// True if it was established, false if it was lost.
        is_up: bool,
    },
    /// An event from the discovery service was applied.
    DiscoveryEvent {
        /// The sequence number that the service gave the event.
        number: u64,
    },
    /// The reason why an accepted request is refused: its intent could not be made durable.
    RefusalExplained {
        /// The ID that the decision module uses.
        request: RequestId,
        /// Why the intent is not durable.
        reason: RejectReason,
    },
    /// An event of the group of gateways.
    Fleet(FleetEvent),
    /// The configuration was reloaded.
    ConfigReloaded {
        /// False if the new configuration was invalid and the old one stays in use.
        succeeded: bool,
    },
    /// Nothing else was logged for [`crate::recorder::HEARTBEAT_INTERVAL`].
    Heartbeat,
    /// The gateway is shutting down and accepts no more requests.
    Stopping,
    /// The gateway ended after a regular shutdown.
    Ended {
        /// The gateway's counters at that time, by name.
        counters: Vec<(String, u64)>,
    },
    /// Entries are missing here because they could not be written.
    Gap {
        /// Time of the last entry before the gap.
        from: Micros,
        /// Time of the first entry after the gap.
        to: Micros,
        /// Number of missing entries.
        entries: u64,
        /// What the missing entries add to the totals.
        counted: Box<Tally>,
    },
}
