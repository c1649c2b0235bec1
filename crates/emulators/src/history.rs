//! What happened on all sides, by time: clients, engines, the bulletin, gateways' processes, links.
//! It is kept only where somebody holds it against rules afterwards.

use std::rc::Rc;

/// Microseconds.
pub type Micros = u64;
/// A name that many events share.
pub type SharedName = Rc<str>;

/// Entries that are kept; a run that needs more is too long to be checked and says so.
pub const MAX_EVENTS: usize = 4_000_000;

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// Unix microseconds.
    pub at: Micros,
    /// The event.
    pub event: Event,
}

/// One try of a request, as its client sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Try {
    /// Its load.
    pub load: SharedName,
    /// Its class.
    pub class: SharedName,
    /// Its own number.
    pub id: u64,
    /// Its key, in classes that have one; else a number of its own that all its tries share.
    pub key: SharedName,
    /// The gateway that it was sent to.
    pub gateway: SharedName,
    /// From 0 on.
    pub number: u64,
    /// It says that it is a retry.
    pub marked: bool,
    /// How long its client waits.
    pub wait: Micros,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TryOutcome {
    /// With its result.
    Served,
    /// It was refused.
    Refused,
    /// It failed.
    Failed,
    /// Its client took it back.
    Forgotten,
    /// Its connection ended first.
    ConnectionLost,
    /// Nothing came until long after its time.
    Unanswered,
}

/// What becomes of a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessChange {
    /// It listens, for the n-th time under its name.
    Started(usize),
    /// It was killed.
    Killed,
    /// It was asked to end.
    Stopping,
    /// It ended by itself.
    Ended,
    /// It was made to stand still.
    Paused,
    /// It goes on.
    Continued,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client asked.
    TrySent(Try),
    /// A try ended.
    TryEnded {
        /// The number of the try.
        id: u64,
        /// How.
        outcome: TryOutcome,
        /// Milliseconds that a refusal says to stay away.
        advice: Option<u64>,
    },
    /// No gateway could be reached: the try was never sent.
    NoGatewayReachable {
        /// The load.
        load: SharedName,
        /// Its key.
        key: SharedName,
    },
    /// An answer that nothing waited for, or a second one.
    UnexpectedAnswer {
        /// The load.
        load: SharedName,
        /// The gateway.
        gateway: SharedName,
    },
    /// A result that no engine made for it.
    WrongResult {
        /// The number of the try.
        id: u64,
    },
    /// An engine began a query.
    QueryStarted {
        /// The engine.
        engine: SharedName,
        /// The number of the try.
        id: u64,
        /// The class of its request.
        class: SharedName,
        /// Its key.
        key: SharedName,
        /// Seconds on one core.
        work: f64,
    },
    /// A query is no more: done, or ended with an error, cancelled or with its process.
    QueryEnded {
        /// The engine.
        engine: SharedName,
        /// The number of the try.
        id: u64,
        /// Whether it was done.
        completed: bool,
    },
    /// A write took effect.
    Effect {
        /// The engine.
        engine: SharedName,
        /// The number of the try.
        id: u64,
        /// Its key.
        key: SharedName,
    },
    /// A repeat that the engine dropped.
    RepeatDropped {
        /// The engine.
        engine: SharedName,
        /// The number of the try.
        id: u64,
        /// Its key.
        key: SharedName,
    },
    /// An engine's process began or ended.
    Engine {
        /// The engine.
        engine: SharedName,
        /// It began now, and is warm after so long; nothing: it ended.
        begins: Option<Micros>,
    },
    /// The bulletin wrote to a gateway what has become of an engine.
    EngineAnnounced {
        /// The gateway.
        gateway: SharedName,
        /// The engine.
        engine: SharedName,
        /// What was told of it.
        health: &'static str,
    },
    /// A gateway's process changed.
    Gateway {
        /// The gateway.
        gateway: SharedName,
        /// How.
        change: ProcessChange,
    },
    /// A fault of a link begins or ends.
    Link {
        /// The link's one end.
        from: SharedName,
        /// The link's other end.
        to: SharedName,
        /// The fault.
        fault: &'static str,
        /// Whether it begins.
        begins: bool,
    },
    /// Something else that the rig did, in words.
    Other {
        /// What it did.
        text: String,
    },
}
