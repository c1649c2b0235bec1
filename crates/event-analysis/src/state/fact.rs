//! Facts: what entries state, completed from the gateway's state so that they can be processed
//! without it.

use std::net::IpAddr;

use eideryard::interface::{EngineId, Micros, Outcome, Phase, RequestId};
use eideryard_event_log::AnswerKind;

/// Maximum number of attempts that [`Fact::RequestEnded`] contains.
pub const MAX_SHOWN_ATTEMPTS: usize = 3;

/// Something that happened at a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fact {
    /// The gateway started.
    Started {
        /// Index of the source of the same gateway's previous run; `None` if there is none.
        restart_of: Option<usize>,
    },
    /// A request reached the balancer, or a client's retry was attached to an open request.
    RequestReceived {
        /// Index of the request's class.
        class: usize,
        /// Index of the request's tenant.
        tenant: usize,
        /// Address of the client; `None` if the log doesn't state it.
        address: Option<IpAddr>,
    },
    /// The client of a request got the final answer.
    RequestEnded {
        /// ID that the balancer uses for the request.
        request: RequestId,
        /// ID that the client gave to the request; `None` if the log lacks the request's arrival.
        id: Option<u64>,
        /// Index of the request's class.
        class: usize,
        /// Index of the request's tenant.
        tenant: usize,
        /// Kind of the final answer.
        kind: AnswerKind,
        /// Whether the final answer came after the deadline.
        is_late: bool,
        /// Time since the arrival; `None` if the log lacks the request's arrival.
        duration: Option<Micros>,
        /// Number of attempts made.
        attempt_count: usize,
        /// The last attempts, the oldest first.
        last_attempts: [Option<Attempt>; MAX_SHOWN_ATTEMPTS],
    },
    /// A request was refused before it reached the balancer.
    RequestRefused {
        /// Index of the request's class; `None` if the log doesn't state it.
        class: Option<usize>,
        /// Index of the request's tenant; `None` if the log doesn't state it.
        tenant: Option<usize>,
    },
    /// An attempt was sent to an engine.
    AttemptSent {
        /// Engine that the attempt was sent to.
        engine: EngineId,
        /// Index of the request's class.
        class: usize,
        /// Whether the request had attempts before this one.
        is_retry: bool,
    },
    /// An attempt ended at its engine, or was given up or cancelled by the gateway.
    AttemptEnded {
        /// Engine that the attempt was sent to.
        engine: EngineId,
        /// Outcome of the attempt.
        outcome: Outcome,
    },
    /// The discovery service added or changed an endpoint.
    EndpointChanged {
        /// Engine that the endpoint belongs to.
        engine: EngineId,
        /// New phase of the engine.
        phase: Phase,
        /// Whether the engine's process is not the same as before the change.
        is_restarted: bool,
    },
    /// The quarantine of an engine began or ended.
    QuarantineChanged {
        /// Engine that was put into quarantine or released from it.
        engine: EngineId,
        /// True if the quarantine began, false if it ended.
        is_quarantined: bool,
    },
    /// The connection to the discovery service was established or lost.
    DiscoveryLinkChanged {
        /// True if the connection was established, false if it was lost.
        is_up: bool,
    },
    /// A numbered event of the discovery service was applied.
    DiscoveryEvent {
        /// Number that the discovery service gave to the event, the same for all gateways.
        number: u64,
    },
    /// The gateway began to shut down.
    Stopping,
    /// The gateway completed an orderly shutdown.
    Ended,
    /// Entries before this time are missing from the log.
    EntriesMissing {
        /// Time of the last entry before the missing ones.
        from: Micros,
        /// Number of missing entries; `None` if it is not known.
        entries: Option<u64>,
    },
    /// The log ends here without an orderly shutdown of the gateway.
    BrokenOff,
}

/// A fact with its source and time.
#[derive(Clone, Copy, Debug)]
pub struct TimedFact {
    /// Index of the source, which is one run of a gateway.
    pub source: usize,
    /// Time of the fact, by the gateway's clock.
    pub at: Micros,
    /// What happened at the gateway.
    pub fact: Fact,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Attempt {
    /// Engine that the attempt was sent to.
    pub engine: EngineId,
    /// Time at which the attempt was sent.
    pub sent_at: Micros,
    /// Outcome and time of the end; `None` while the attempt runs.
    pub ended: Option<(Outcome, Micros)>,
}
