//! What entries state, in a form that is complete without the state of the gateway.

use std::net::IpAddr;

use eideryard::interface::{EngineId, Micros, Outcome, Phase, RequestId};
use eideryard_event_log::AnswerKind;

/// Attempts of an ended request that are passed on.
pub const MAX_SHOWN_ATTEMPTS: usize = 3;

/// Something that happened at a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fact {
    /// The gateway started.
    Started {
        /// Index of the gateway's run before this one.
        restart_of: Option<usize>,
    },
    /// A request was received.
    RequestReceived {
        /// Index of its class.
        class: usize,
        /// Index of its tenant.
        tenant: usize,
        /// Address of its client, where that is known.
        address: Option<IpAddr>,
    },
    /// A request got its final answer.
    RequestEnded {
        /// The decision module's id.
        request: RequestId,
        /// The id that its client gave it, if its start was logged.
        id: Option<u64>,
        /// Index of its class.
        class: usize,
        /// Index of its tenant.
        tenant: usize,
        /// How it ended.
        kind: AnswerKind,
        /// Whether that was after its deadline.
        is_late: bool,
        /// Time since its arrival, if that was logged.
        duration: Option<Micros>,
        /// How many attempts were made.
        attempt_count: usize,
        /// The last of them.
        last_attempts: [Option<Attempt>; MAX_SHOWN_ATTEMPTS],
    },
    /// A request was refused before the decision module saw it.
    RequestRefused {
        /// Index of its class, where that is known.
        class: Option<usize>,
        /// Index of its tenant, where that is known.
        tenant: Option<usize>,
    },
    /// An attempt was sent to an engine.
    AttemptSent {
        /// The engine.
        engine: EngineId,
        /// Index of the request's class.
        class: usize,
        /// Whether the request had attempts before.
        is_retry: bool,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The engine.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
    },
    /// The discovery service added or changed an endpoint.
    EndpointChanged {
        /// The engine.
        engine: EngineId,
        /// Its phase from now on.
        phase: Phase,
        /// Whether it is another process than before.
        is_restarted: bool,
    },
    /// An engine's quarantine began or ended.
    QuarantineChanged {
        /// The engine.
        engine: EngineId,
        /// True: it began.
        is_quarantined: bool,
    },
    /// The connection to the discovery service was established or lost.
    DiscoveryLinkChanged {
        /// True: it was established.
        is_up: bool,
    },
    /// A numbered event of the discovery service was applied.
    DiscoveryEvent {
        /// The number that the service gave it.
        number: u64,
    },
    /// The gateway shuts down.
    Stopping,
    /// The gateway ended in order.
    Ended,
    /// Entries are missing up to now.
    EntriesMissing {
        /// Time of the last entry before them.
        from: Micros,
        /// How many, where that is known.
        entries: Option<u64>,
    },
    /// The log ends here although the gateway did not.
    BrokenOff,
}

/// A fact with its source and time.
#[derive(Clone, Copy, Debug)]
pub struct TimedFact {
    /// Index of the gateway's run.
    pub source: usize,
    /// When it happened, by the gateway's clock.
    pub at: Micros,
    /// What happened.
    pub fact: Fact,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Attempt {
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// When it was sent.
    pub sent_at: Micros,
    /// How and when it ended; `None` while it runs.
    pub ended: Option<(Outcome, Micros)>,
}
