//! What goes into the decision module and what comes out of it: settings, events, actions.
//!
//! Nothing here decides anything and nothing here knows a protocol. A host translates its own messages into
//! [`Event`]s, carries out the [`Action`]s in the order given, and may host many gateways side by side.
//! Times are microseconds on one clock that never runs backward; its start means nothing.

/// A time or a duration in microseconds.
pub type Micros = u64;
/// The host's number of a request; it is never used again.
pub type RequestId = u64;
/// The number of an engine, the same at every gateway.
pub type EngineId = u32;

/// The tag of a request's own timer, whose firing ends it.
pub fn end_tag(request: RequestId) -> u64 {
    request + 1
}

/// What a further attempt of a request may do to its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat anywhere, any time.
    Safe,
    /// Engines of one scope drop a repeat for a while.
    Keyed,
    /// Never repeated unless every earlier attempt is known not to have run.
    Unsafe,
}

/// The engines that know each other's keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All engines.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// How the list of engines comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes of the list arrive by themselves.
    Push,
    /// The list must be subscribed to.
    Ask,
}

/// A class of requests, as the settings name it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Answers within `aim` plus `aim_stretch` times the true work per thread earn the full worth.
    pub aim: Micros,
    /// Part of the work a thread that is added to `aim`.
    pub aim_stretch: f64,
    /// What a request is worth when it is answered in time.
    pub worth: f64,
    /// What a further attempt may do.
    pub effect: Effect,
    /// The engines that drop a repeat of a keyed request.
    pub scope: Scope,
    /// How long engines of the scope remember a keyed request.
    pub window: Micros,
    /// Requests that carry the same key run one at a time, in the order taken.
    pub ordered: bool,
    /// The only zones and machine kinds that may serve it, where bound.
    pub zones_only: Option<Vec<u32>>,
    /// The only machine kinds.
    pub kinds_only: Option<Vec<u32>>,
    /// Threads that a query runs on.
    pub threads: f64,
    /// It holds its table group on its engine while it runs.
    pub is_load: bool,
    /// It stands still while a load holds its group there.
    pub waits_for_load: bool,
}

/// A tenant, as the settings name it.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all gateways, that count as within its share.
    pub quota_per_s: f64,
}

/// A kind of machine.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Cores of one engine.
    pub cores: f64,
    /// Memory of one engine.
    pub memory_mb: f64,
}

/// How many further attempts a gateway may make.
#[derive(Clone, Copy, Debug)]
pub struct AttemptBudget {
    /// The time over which attempts are counted.
    pub span: Micros,
    /// Further attempts for each request taken in that time.
    pub ratio: f64,
    /// Further attempts beside these.
    pub spare: f64,
}

/// What the platform tells a gateway before it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes, by their numbers.
    pub classes: Vec<Class>,
    /// Tenants, by their numbers.
    pub tenants: Vec<Tenant>,
    /// Machine kinds, by their numbers.
    pub kinds: Vec<Kind>,
    /// Gateways in this tier, this one included.
    pub peers: f64,
    /// This gateway's number among them, from 0, where it is told.
    pub index: Option<f64>,
    /// The zone of this gateway.
    pub zone: u32,
    /// The time unit of the platform's own timers.
    pub tick: Micros,
    /// How the list of engines comes.
    pub discovery: Discovery,
    /// Time between progress notes; 0 where there are none.
    pub note_period: Micros,
    /// Share of an engine's memory that one query gets at most.
    pub largest_share: f64,
    /// Attempts of one request at the most.
    pub max_attempts: usize,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Two attempts of a request may be out at once.
    pub may_duplicate: bool,
    /// Engines may be probed.
    pub may_probe: bool,
    /// Probes, and they alone, tell how many queries an engine holds.
    pub counts_by_probe: bool,
    /// Refusals may say when to come again.
    pub may_advise: bool,
    /// The longest such advice.
    pub max_advice: Micros,
    /// A cold engine sent more than `fall_multiple` times its present capacity for `fall_window` falls over.
    pub fall_multiple: f64,
    /// The time over which that is counted.
    pub fall_window: Micros,
    /// Part of its capacity that a cold engine has at its start.
    pub start_capacity: f64,
    /// Time from its start until an engine is warm.
    pub warm_within: Micros,
    /// Rest of an ordered key after an attempt that may still run.
    pub order_pause: Micros,
    /// The budget of further attempts, if there is one.
    pub attempt_budget: Option<AttemptBudget>,
    /// Time between two subscriptions to the list.
    pub ask_every: Micros,
    /// Part of its worth that a request over its tenant's quota keeps.
    pub over_share_worth: f64,
    /// Part of all worth that crossing zones costs.
    pub cross_zone_tariff: f64,
    /// Part of all worth that one probe a request costs.
    pub probe_tariff: f64,
}

/// Whether an engine may be sent work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It may.
    #[default]
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Gone,
}

/// An engine as the list tells of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Entry {
    /// Its number.
    pub engine: EngineId,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Whether it may be sent work.
    pub phase: Phase,
    /// When the engine last started; 0: long ago.
    pub booted_at: Micros,
}

/// An attempt that an earlier life of this gateway, or another gateway, may have made of a request: its
/// engine's scope, and since when it may have run. A time of 0 says that neither is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Earlier {
    /// Zone of the engine that may have run it.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Since when it may have run.
    pub since: Micros,
}

/// A request that a client has asked.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// What its order goes by, where its class is ordered.
    pub key: Option<String>,
    /// When its client gives up.
    pub deadline: Micros,
    /// Estimated work of all its threads, as time on one.
    pub work: Option<f64>,
    /// Estimated memory.
    pub memory_mb: Option<f64>,
    /// The group of tables that it reads or loads.
    pub group: u64,
    /// What of it may have run before it came here.
    pub earlier: Vec<Earlier>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered as asked.
    Answered,
    /// The engine answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No reply in time; it may have run, or run still.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Broken,
    /// Withdrawn by this gateway; it may have run.
    Cancelled,
    /// Never sent.
    Unsent,
}

/// What an answer says it cost.
#[derive(Clone, Copy, Debug)]
pub struct Bill {
    /// Work of all its threads.
    pub work: f64,
    /// The most memory that it held.
    pub memory_mb: f64,
}

/// A word on an attempt that is out.
#[derive(Clone, Copy, Debug)]
pub enum Note {
    /// Share done, rough.
    Progress(f64),
    /// Megabytes short: it spills to disk.
    Spilling(f64),
    /// It waits for memory at its engine.
    WaitsForMemory,
    /// It waits for a load of its group at its engine.
    WaitsForLoad,
}

/// What an engine reports of itself; what it doesn't tell is missing.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Queries that it holds.
    pub in_flight: Option<f64>,
    /// Queries that wait for memory.
    pub waiting_for_memory: Option<f64>,
    /// Share of busy cores.
    pub cores_busy: Option<f64>,
    /// Share of memory that is granted.
    pub memory_granted: Option<f64>,
    /// Share of busy disks.
    pub disks_busy: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub spent: Micros,
    /// The request has had its final answer.
    pub complete: bool,
    /// What broke this was one event that another attempt's end has told of.
    pub told: bool,
    /// What it cost, where the answer says so.
    pub bill: Option<Bill>,
    /// What its engine reported with the answer.
    pub report: Option<LoadReport>,
}

/// How a probe of an engine ended; it proves no more than that the process runs.
#[derive(Clone, Copy, Debug)]
pub struct Probed {
    /// The engine.
    pub engine: EngineId,
    /// How the probe ended.
    pub outcome: Outcome,
    /// What the engine reported.
    pub report: Option<LoadReport>,
}

/// What outcomes taught of a class: true over estimated work and memory, and means (work 0: none).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassLesson {
    /// True over estimated work.
    pub work_ratio: f64,
    /// True over estimated memory.
    pub memory_ratio: f64,
    /// Mean work.
    pub work: f64,
    /// Mean memory, once it is known.
    pub memory_mb: Option<f64>,
}

/// What was learned of one process of an engine: time over ideal time now and at its best, its share of bad
/// outcomes, and the threads of others there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLesson {
    /// The engine.
    pub engine: EngineId,
    /// The start of the process of which this was learned.
    pub booted_at: Micros,
    /// Time over ideal time.
    pub stretch: f64,
    /// The least of that ever seen.
    pub best: f64,
    /// Share of bad outcomes.
    pub bad: f64,
    /// Threads of others there.
    pub others: f64,
}

/// What a gateway has learned, to be told to a later life of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lessons {
    /// By class.
    pub classes: Vec<ClassLesson>,
    /// By engine.
    pub engines: Vec<EngineLesson>,
    /// Threads a core that engines hold on the whole.
    pub level: f64,
}

/// What a host tells a gateway.
#[derive(Clone, Debug)]
pub enum Event {
    /// What an earlier life had learned, so long ago.
    Remembered {
        /// What it was.
        lessons: Lessons,
        /// How long ago it was kept.
        age: Micros,
    },
    /// The complete list: an engine that it lacks is gone.
    FullList(Vec<Entry>),
    /// Entries of the list that have changed.
    ListChanges(Vec<Entry>),
    /// The list can't be reached.
    ListFailed,
    /// A client has asked.
    Arrived(Request),
    /// Of a request that was taken: others may have run it, as its keepers told before it was sent.
    RanBefore {
        /// The request.
        request: RequestId,
        /// Where and since when.
        earlier: Vec<Earlier>,
    },
    /// The first part of its answer has gone to its client.
    StreamBegan {
        /// The request.
        request: RequestId,
    },
    /// An engine said something of an attempt.
    Noted {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: usize,
        /// What was said.
        note: Note,
    },
    /// An attempt has ended.
    Ended(Ended),
    /// A probe has ended.
    Probed(Probed),
    /// A client cancelled its request or went.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// A timer that was set has fired.
    Timer {
        /// The tag with which it was set.
        tag: u64,
    },
}

/// What a gateway wants of its host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Grant and rank of a request from now on.
    Terms {
        /// The request.
        request: RequestId,
        /// Memory that it is granted.
        grant_mb: f64,
        /// Its rank; the highest runs first.
        rank: u8,
    },
    /// Send a further attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        engine: EngineId,
        /// When the attempt's time is up.
        give_up_at: Micros,
    },
    /// Ask an engine for a report.
    Probe {
        /// The engine.
        engine: EngineId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: usize,
    },
    /// Answer that it was refused.
    Refuse {
        /// The request.
        request: RequestId,
        /// When to come again; 0: nothing is said.
        retry_after: Micros,
    },
    /// Answer that it failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Set a timer.
    SetTimer {
        /// Time until it fires.
        after: Micros,
        /// The tag that comes back with it.
        tag: u64,
    },
    /// Subscribe to the list of engines.
    Subscribe,
    /// Write a line to the log.
    Log(String),
}
