//! The history of a run: events of clients, engines, the bulletin, gateways' processes and links,
//! sorted by time. A history is recorded only if it is checked against rules after the run.

use std::rc::Rc;

/// Microseconds, as a duration or as Unix time.
pub type Micros = u64;
/// A name of an engine, gateway, load or class, or an idempotency key. It is reference-counted,
/// since many events contain the same one.
pub type SharedName = Rc<str>;

/// Maximum number of recorded events. A longer run can't be checked and is reported as such; see
/// [`Ledger::events_not_kept`](crate::ledger::Ledger::events_not_kept).
pub const MAX_EVENTS: usize = 4_000_000;

/// An event of the history with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// Unix time.
    pub at: Micros,
    /// The recorded event.
    pub event: Event,
}

/// A try: one attempt by a client to get a request answered, as the client sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Try {
    /// The load whose client sent the try.
    pub load: SharedName,
    /// The class of the request.
    pub class: SharedName,
    /// The request's id on the wire, new with every try.
    pub id: u64,
    /// The idempotency key, the same for all tries of a request. In classes without keys it isn't
    /// sent and only connects the tries.
    pub key: SharedName,
    /// The gateway to which the try was sent.
    pub gateway: SharedName,
    /// Index of the try among the tries of its request, from 0.
    pub number: u64,
    /// Whether the try is marked as a retry (field `r`).
    pub marked: bool,
    /// The client's timeout.
    pub wait: Micros,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TryOutcome {
    /// The result arrived.
    Served,
    /// The gateway rejected the try with `TryLater`.
    Refused,
    /// The gateway answered with another error.
    Failed,
    /// The client cancelled the try.
    Forgotten,
    /// The connection was lost before an answer arrived.
    ConnectionLost,
    /// No answer arrived until 2 s after the client's timeout.
    Unanswered,
}

/// A change in the state of a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessChange {
    /// The process listens; contains the number of starts under its name so far, from 1.
    Started(usize),
    /// The process was killed with SIGKILL.
    Killed,
    /// The process was asked to stop with SIGTERM.
    Stopping,
    /// The process exited.
    Ended,
    /// The process was paused with SIGSTOP.
    Paused,
    /// The process was continued with SIGCONT.
    Continued,
}

/// An event of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client sent a request.
    TrySent(Try),
    /// A client stopped waiting for a try, for one of the reasons in [`TryOutcome`].
    TryEnded {
        /// The id of the try.
        id: u64,
        /// How it ended.
        outcome: TryOutcome,
        /// The retry-after hint in a rejection, in milliseconds; `None` if there was none.
        advice: Option<u64>,
    },
    /// No gateway could be reached, so the try was never sent.
    NoGatewayReachable {
        /// The load whose client tried to connect.
        load: SharedName,
        /// The key of the request.
        key: SharedName,
    },
    /// A client received an answer for which it has no open request, such as a second answer to the
    /// same request.
    UnexpectedAnswer {
        /// The load whose client received the answer.
        load: SharedName,
        /// The gateway that sent the answer.
        gateway: SharedName,
    },
    /// A client received a result that differs from the result that engines produce for the
    /// request.
    WrongResult {
        /// The id of the try.
        id: u64,
    },
    /// An engine started a query.
    QueryStarted {
        /// The engine that runs the query.
        engine: SharedName,
        /// The id of the try.
        id: u64,
        /// The class of its request.
        class: SharedName,
        /// The key of the request, or the id if it was sent without a key.
        key: SharedName,
        /// Work in seconds on one core.
        work: f64,
    },
    /// A query ended: it completed, failed, was cancelled, or its connection or process ended.
    QueryEnded {
        /// The engine that ran the query.
        engine: SharedName,
        /// The id of the try.
        id: u64,
        /// Whether the query ran to its end without an error.
        completed: bool,
    },
    /// A write took effect on an engine.
    Effect {
        /// The engine that ran the write.
        engine: SharedName,
        /// The id of the try.
        id: u64,
        /// The key of the request, or the id if it was sent without a key.
        key: SharedName,
    },
    /// An engine dropped a repeated write because the key of the write was retained.
    RepeatDropped {
        /// The engine that received the repeat.
        engine: SharedName,
        /// The id of the try.
        id: u64,
        /// The key of the request, or the id if it was sent without a key.
        key: SharedName,
    },
    /// An engine's process started or ended.
    Engine {
        /// The engine whose process it is.
        engine: SharedName,
        /// If the process started, the time until the engine has all of its capacity; `None` if the
        /// process ended.
        begins: Option<Micros>,
    },
    /// The bulletin sent the state of an engine to a gateway.
    EngineAnnounced {
        /// The gateway that watches the bulletin.
        gateway: SharedName,
        /// The engine whose state the event contains.
        engine: SharedName,
        /// `up`, `draining` or `removed`.
        health: &'static str,
    },
    /// The state of a gateway's process changed.
    Gateway {
        /// The gateway whose process it is.
        gateway: SharedName,
        /// The change in the state of the process.
        change: ProcessChange,
    },
    /// A fault of a link began or ended.
    Link {
        /// The end of the link that opens connections.
        from: SharedName,
        /// The end of the link that accepts connections.
        to: SharedName,
        /// The name of the fault, such as `cut` or `delay`.
        fault: &'static str,
        /// Whether the fault began; false if it ended.
        begins: bool,
    },
    /// Another action of the fleet test.
    Other {
        /// A description of the action.
        text: String,
    },
}
