//! What happened on all sides, by time: clients, engines, the bulletin, gateways' processes, links. It is
//! kept only where somebody holds it against rules afterwards.

use std::rc::Rc;

pub type Micros = u64;
pub type Name = Rc<str>;

/// Entries that are kept; a run that needs more is too long to be checked and says so.
pub const MOST: usize = 4_000_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Happened {
    /// Unix microseconds.
    pub at: Micros,
    pub what: What,
}

/// One try of a request, as its client sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Try {
    pub load: Name,
    pub class: Name,
    pub id: u64,
    /// Its key, in classes that have one; else a number of its own that all its tries share.
    pub key: Name,
    pub gateway: Name,
    /// From 0 on.
    pub number: u64,
    /// It says that it is a retry.
    pub marked: bool,
    pub wait: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum How {
    Served,
    Refused,
    Failed,
    Forgotten,
    /// Its connection ended first.
    Reset,
    /// Nothing came until long after its time.
    Silence,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// It listens, for the n-th time under its name.
    Started(usize),
    Killed,
    /// It was asked to end.
    Stopping,
    /// It ended by itself.
    Ended,
    Paused,
    Continued,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Asked(Try),
    Over {
        id: u64,
        how: How,
        /// Milliseconds that a refusal says to stay away.
        advice: Option<u64>,
    },
    /// No gateway could be reached: the try was never sent.
    NoDoor {
        load: Name,
        key: Name,
    },
    /// An answer that nothing waited for, or a second one.
    Surplus {
        load: Name,
        gateway: Name,
    },
    /// A result that no engine made for it.
    Garbled {
        id: u64,
    },
    Began {
        engine: Name,
        id: u64,
        class: Name,
        key: Name,
        /// Seconds on one core.
        work: f64,
    },
    /// A query is no more: done, or ended with an error, cancelled or with its process.
    Left {
        engine: Name,
        id: u64,
        done: bool,
    },
    Effect {
        engine: Name,
        id: u64,
        key: Name,
    },
    /// A repeat that the engine dropped.
    Repeat {
        engine: Name,
        id: u64,
        key: Name,
    },
    Engine {
        engine: Name,
        /// It began now, and is warm after so long; nothing: it ended.
        begins: Option<Micros>,
    },
    /// The bulletin wrote to a gateway what has become of an engine.
    Told {
        gateway: Name,
        engine: Name,
        health: &'static str,
    },
    Gateway {
        gateway: Name,
        how: Process,
    },
    /// A fault of a link begins or ends.
    Link {
        from: Name,
        to: Name,
        fault: &'static str,
        begins: bool,
    },
    /// Something else that the rig did, in words.
    Did {
        what: String,
    },
}
