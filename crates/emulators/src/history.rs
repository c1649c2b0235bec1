//! What happened on all sides, by time: clients, engines, the bulletin, gateways' processes, links.
//! It is kept only where somebody holds it against rules afterwards.

use std::rc::Rc;

/// Microseconds.
pub type Micros = u64;
/// A name that many events share.
pub type Name = Rc<str>;

/// Entries that are kept; a run that needs more is too long to be checked and says so.
pub const MOST: usize = 4_000_000;

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub struct Happened {
    /// Unix microseconds.
    pub at: Micros,
    /// The event.
    pub what: What,
}

/// One try of a request, as its client sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Try {
    /// Its load.
    pub load: Name,
    /// Its class.
    pub class: Name,
    /// Its own number.
    pub id: u64,
    /// Its key, in classes that have one; else a number of its own that all its tries share.
    pub key: Name,
    /// The gateway that it was sent to.
    pub gateway: Name,
    /// From 0 on.
    pub number: u64,
    /// It says that it is a retry.
    pub marked: bool,
    /// How long its client waits.
    pub wait: Micros,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum How {
    /// With its result.
    Served,
    /// It was refused.
    Refused,
    /// It failed.
    Failed,
    /// Its client took it back.
    Forgotten,
    /// Its connection ended first.
    Reset,
    /// Nothing came until long after its time.
    Silence,
}

/// What becomes of a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
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
pub enum What {
    /// A client asked.
    Asked(Try),
    /// A try ended.
    Over {
        /// The number of the try.
        id: u64,
        /// How.
        how: How,
        /// Milliseconds that a refusal says to stay away.
        advice: Option<u64>,
    },
    /// No gateway could be reached: the try was never sent.
    NoDoor {
        /// The load.
        load: Name,
        /// Its key.
        key: Name,
    },
    /// An answer that nothing waited for, or a second one.
    Surplus {
        /// The load.
        load: Name,
        /// The gateway.
        gateway: Name,
    },
    /// A result that no engine made for it.
    Garbled {
        /// The number of the try.
        id: u64,
    },
    /// An engine began a query.
    Began {
        /// The engine.
        engine: Name,
        /// The number of the try.
        id: u64,
        /// The class of its request.
        class: Name,
        /// Its key.
        key: Name,
        /// Seconds on one core.
        work: f64,
    },
    /// A query is no more: done, or ended with an error, cancelled or with its process.
    Left {
        /// The engine.
        engine: Name,
        /// The number of the try.
        id: u64,
        /// Whether it was done.
        done: bool,
    },
    /// A write took effect.
    Effect {
        /// The engine.
        engine: Name,
        /// The number of the try.
        id: u64,
        /// Its key.
        key: Name,
    },
    /// A repeat that the engine dropped.
    Repeat {
        /// The engine.
        engine: Name,
        /// The number of the try.
        id: u64,
        /// Its key.
        key: Name,
    },
    /// An engine's process began or ended.
    Engine {
        /// The engine.
        engine: Name,
        /// It began now, and is warm after so long; nothing: it ended.
        begins: Option<Micros>,
    },
    /// The bulletin wrote to a gateway what has become of an engine.
    Told {
        /// The gateway.
        gateway: Name,
        /// The engine.
        engine: Name,
        /// What was told of it.
        health: &'static str,
    },
    /// A gateway's process changed.
    Gateway {
        /// The gateway.
        gateway: Name,
        /// How.
        how: Process,
    },
    /// A fault of a link begins or ends.
    Link {
        /// The link's one end.
        from: Name,
        /// The link's other end.
        to: Name,
        /// The fault.
        fault: &'static str,
        /// Whether it begins.
        begins: bool,
    },
    /// Something else that the rig did, in words.
    Did {
        /// What it did.
        what: String,
    },
}
