//! What a record holds, entry by entry.

pub use crate::totals::AnswerKind;
use crate::totals::Tally;
use eideryard::interface::{end_tag, Action, EngineId, Event, Micros, RequestId};
use std::net::IpAddr;

/// Names by the places that the module numbers them with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Threads that a query of each class runs on.
    pub threads: Vec<f64>,
}

impl Names {
    /// Threads that a query of a class runs on; one where that isn't told.
    pub fn of_class(&self, class: usize) -> f64 {
        self.threads.get(class).copied().unwrap_or(1.0)
    }
}

/// An engine as the list tells of it, with its name and address.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEngine {
    pub engine: EngineId,
    pub name: String,
    pub address: String,
    pub zone: u32,
    pub kind: u32,
    pub phase: eideryard::interface::Phase,
    pub booted_at: Micros,
}

/// Why something that a client sent never became a request with a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// It can't be used.
    Invalid,
    /// Statements of open requests filled their part of the memory; it was refused.
    NoRoom,
    /// Its connection had ended.
    Gone,
    /// The ledger of intents is full; it was refused.
    LedgerFull,
    /// The store has not written for too long; it was refused.
    StoreStalled,
    /// No majority of keepers could hold its intent; it was refused.
    NoMajority,
}

impl RejectReason {
    pub const ALL: [RejectReason; 6] = [
        RejectReason::Invalid,
        RejectReason::NoRoom,
        RejectReason::Gone,
        RejectReason::LedgerFull,
        RejectReason::StoreStalled,
        RejectReason::NoMajority,
    ];

    /// As answers, records and pages name it.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::Invalid => "invalid",
            RejectReason::NoRoom => "no room",
            RejectReason::Gone => "gone",
            RejectReason::LedgerFull => "ledger full",
            RejectReason::StoreStalled => "store stalled",
            RejectReason::NoMajority => "no majority",
        }
    }
}

/// What the record says of the fleet that a gateway is of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// How a peer does: `up`, `slow`, `silent` or `gone`.
    Peer { name: String, state: String },
    /// A peer was turned away, or turned this one away.
    Turned { name: String, why: String },
    /// Whether this gateway votes as a keeper.
    Votes { votes: bool },
    /// Whether a majority of keepers can be asked.
    Majority { stands: bool },
    /// This gateway owns a task from now on, or no more.
    Owns { task: u32, term: u64, owns: bool },
    /// An owner's work came here: it counts, or a fence turned it away.
    Work {
        task: u32,
        term: u64,
        owner: u64,
        counts: bool,
    },
}

/// Why the gateway ended a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    Malformed,
    Silent,
    Hoarding,
    Deaf,
    Evicted,
}

impl CloseReason {
    pub const ALL: [CloseReason; 5] = [
        CloseReason::Malformed,
        CloseReason::Silent,
        CloseReason::Hoarding,
        CloseReason::Deaf,
        CloseReason::Evicted,
    ];
}

/// A request as its client sent it, beside what the module is told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    pub request: RequestId,
    /// The id that its client gave it.
    pub id: u64,
    /// The connection it came on, as a number that [`Host::Connected`] gave.
    pub connection: u64,
}

/// A request that was open when a segment began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenRequest {
    pub offer: Offer,
    pub class: usize,
    pub tenant: usize,
    pub arrived_at: Micros,
    pub deadline: Micros,
    pub attempts: u64,
    /// Where its last attempt runs, and since when.
    pub out: Option<(EngineId, Micros)>,
}

/// What a host knows beside the module's events and actions.
#[derive(Clone, Debug, PartialEq)]
pub enum Host {
    /// A segment begins: the state that follows, up to `StateWhole`, is what was known then.
    Begin {
        name: String,
        epoch: Micros,
        segment: u64,
    },
    Names(Names),
    Engine(ListedEngine),
    Open(OpenRequest),
    /// All that was counted since the start of the gateway.
    Tally(Box<Tally>),
    StateWhole,
    Connected {
        connection: u64,
        address: IpAddr,
    },
    /// This side ends it; `Disconnected` follows when it has.
    Ending {
        connection: u64,
        why: CloseReason,
    },
    Disconnected {
        connection: u64,
    },
    Offered(Offer),
    /// A request that comes again waits for the answer of its one run; `Answered` with number 0
    /// tells its own end.
    Attached {
        class: usize,
        tenant: usize,
    },
    NotTaken {
        how: RejectReason,
        class: Option<usize>,
        tenant: Option<usize>,
    },
    /// A request that was taken has had its end. Late: after its client's time.
    Answered {
        request: RequestId,
        class: usize,
        tenant: usize,
        how: AnswerKind,
        late: bool,
    },
    /// The link to the bulletin is up, or broke off.
    Link {
        up: bool,
    },
    /// An event of the bulletin was taken in.
    ListEvent {
        number: u64,
    },
    /// Why a request that was taken is refused, where it is for want of something that intents
    /// need.
    Because {
        request: RequestId,
        why: RejectReason,
    },
    Fleet(FleetEvent),
    Reloaded {
        done: bool,
    },
    /// Nothing else has happened for a while: the gateway lives and is idle.
    Alive,
    Stopping,
    /// The gateway ended by itself, with its own counters at that time.
    Ended {
        counters: Vec<(String, u64)>,
    },
    /// Entries that could not be written: how many, from when to when, and what they had counted.
    Gap {
        from: Micros,
        to: Micros,
        entries: u64,
        counted: Box<Tally>,
    },
}

#[derive(Clone, Debug)]
pub enum Entry {
    /// What the module was told.
    In(Event),
    /// What it answered.
    Out(Action),
    Host(Host),
}

/// The same, borrowed: what is recorded is only looked at.
#[derive(Clone, Copy, Debug)]
pub enum EntryRef<'a> {
    In(&'a Event),
    Out(&'a Action),
    Host(&'a Host),
}

impl Entry {
    /// The request that it is about, if it is about one.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Entry::In(event) => match event {
                Event::Arrived(request) => Some(request.id),
                Event::AttemptEnded(ended) => Some(ended.request),
                Event::StreamBegan { request }
                | Event::PriorAttempts { request, .. }
                | Event::ProgressReported { request, .. }
                | Event::ClientLeft { request } => Some(*request),
                Event::Timer { tag } => tag
                    .checked_sub(end_tag(0))
                    .filter(|request| request >> 32 != 0),
                _ => None,
            },
            Entry::Out(action) => match action {
                Action::Grant { request, .. }
                | Action::Send { request, .. }
                | Action::Cancel { request, .. }
                | Action::Refuse { request, .. }
                | Action::Fail { request } => Some(*request),
                Action::SetTimer { tag, .. } => tag
                    .checked_sub(end_tag(0))
                    .filter(|request| request >> 32 != 0),
                _ => None,
            },
            Entry::Host(host) => match host {
                Host::Offered(offer) => Some(offer.request),
                Host::Open(open) => Some(open.offer.request),
                Host::Answered { request, .. } | Host::Because { request, .. } => Some(*request),
                _ => None,
            },
        }
    }

    pub fn as_ref(&self) -> EntryRef<'_> {
        match self {
            Entry::In(event) => EntryRef::In(event),
            Entry::Out(action) => EntryRef::Out(action),
            Entry::Host(host) => EntryRef::Host(host),
        }
    }
}
