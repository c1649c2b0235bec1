//! What goes into the decision module and what comes out of it: settings, events, actions.
//!
//! Nothing here decides anything and nothing here knows a protocol. A host translates its own messages into
//! [`Event`]s, carries out the [`Action`]s in the order given, and may host many gateways side by side.
//! Times are microseconds on one clock that never runs backward; its start means nothing.

pub type Micros = u64;
pub type RequestId = u64;
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
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes of the list arrive by themselves.
    Push,
    /// The list must be subscribed to.
    Ask,
}

#[derive(Clone, Debug)]
pub struct Class {
    /// Answers within `aim` plus `aim_stretch` times the true work per thread earn the full worth.
    pub aim: Micros,
    pub aim_stretch: f64,
    pub worth: f64,
    pub effect: Effect,
    pub scope: Scope,
    /// How long engines of the scope remember a keyed request.
    pub window: Micros,
    /// Requests that carry the same key run one at a time, in the order taken.
    pub ordered: bool,
    /// The only zones and machine kinds that may serve it, where bound.
    pub zones_only: Option<Vec<u32>>,
    pub kinds_only: Option<Vec<u32>>,
    /// Threads that a query runs on.
    pub threads: f64,
    /// It holds its table group on its engine while it runs.
    pub is_load: bool,
    /// It stands still while a load holds its group there.
    pub waits_for_load: bool,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all gateways, that count as within its share.
    pub quota_per_s: f64,
}

#[derive(Clone, Debug)]
pub struct Kind {
    pub cores: f64,
    pub memory_mb: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct AttemptBudget {
    pub span: Micros,
    pub ratio: f64,
    pub spare: f64,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    pub kinds: Vec<Kind>,
    /// Gateways in this tier, this one included.
    pub peers: f64,
    /// This gateway's number among them, from 0, where it is told.
    pub index: Option<f64>,
    pub zone: u32,
    pub tick: Micros,
    pub discovery: Discovery,
    /// Time between progress notes; 0 where there are none.
    pub note_period: Micros,
    /// Share of an engine's memory that one query gets at most.
    pub largest_share: f64,
    pub max_attempts: usize,
    pub may_cancel: bool,
    pub may_duplicate: bool,
    pub may_probe: bool,
    /// Probes, and they alone, tell how many queries an engine holds.
    pub counts_by_probe: bool,
    pub may_advise: bool,
    pub max_advice: Micros,
    /// A cold engine sent more than `fall_multiple` times its present capacity for `fall_window` falls over.
    pub fall_multiple: f64,
    pub fall_window: Micros,
    pub start_capacity: f64,
    pub warm_within: Micros,
    pub order_pause: Micros,
    pub attempt_budget: Option<AttemptBudget>,
    pub ask_every: Micros,
    pub over_share_worth: f64,
    pub cross_zone_tariff: f64,
    /// Part of all worth that one probe a request costs.
    pub probe_tariff: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    #[default]
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Entry {
    pub engine: EngineId,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub phase: Phase,
    /// When the engine last started; 0: long ago.
    pub booted_at: Micros,
}

/// An attempt that an earlier life of this gateway, or another gateway, may have made of a request: its
/// engine's scope, and since when it may have run. A time of 0 says that neither is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Earlier {
    pub zone: u32,
    pub cell: u32,
    pub since: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub id: RequestId,
    pub class: usize,
    pub tenant: usize,
    pub key: Option<String>,
    pub deadline: Micros,
    /// Estimated work of all its threads, as time on one.
    pub work: Option<f64>,
    pub memory_mb: Option<f64>,
    pub group: u64,
    /// What of it may have run before it came here.
    pub earlier: Vec<Earlier>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
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
    pub work: f64,
    pub memory_mb: f64,
}

#[derive(Clone, Copy, Debug)]
pub enum Note {
    /// Share done, rough.
    Progress(f64),
    /// Megabytes short: it spills to disk.
    Spilling(f64),
    WaitsForMemory,
    WaitsForLoad,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub in_flight: Option<f64>,
    pub waiting_for_memory: Option<f64>,
    pub cores_busy: Option<f64>,
    pub memory_granted: Option<f64>,
    pub disks_busy: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub request: RequestId,
    pub attempt: usize,
    pub outcome: Outcome,
    pub spent: Micros,
    /// The request has had its final answer.
    pub complete: bool,
    /// What broke this was one event that another attempt's end has told of.
    pub told: bool,
    pub bill: Option<Bill>,
    pub report: Option<LoadReport>,
}

/// How a probe of an engine ended; it proves no more than that the process runs.
#[derive(Clone, Copy, Debug)]
pub struct Probed {
    pub engine: EngineId,
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
}

/// What outcomes taught of a class: true over estimated work and memory, and means (work 0: none).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassLesson {
    pub work_ratio: f64,
    pub memory_ratio: f64,
    pub work: f64,
    pub memory_mb: Option<f64>,
}

/// What was learned of one process of an engine: time over ideal time now and at its best, its share of bad
/// outcomes, and the threads of others there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLesson {
    pub engine: EngineId,
    pub booted_at: Micros,
    pub stretch: f64,
    pub best: f64,
    pub bad: f64,
    pub others: f64,
}

/// What a gateway has learned, to be told to a later life of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lessons {
    pub classes: Vec<ClassLesson>,
    pub engines: Vec<EngineLesson>,
    /// Threads a core that engines hold on the whole.
    pub level: f64,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// What an earlier life had learned, so long ago.
    Remembered {
        lessons: Lessons,
        age: Micros,
    },
    /// The complete list: an engine that it lacks is gone.
    FullList(Vec<Entry>),
    ListChanges(Vec<Entry>),
    ListFailed,
    Arrived(Request),
    /// Of a request that was taken: others may have run it, as its keepers told before it was sent.
    RanBefore {
        request: RequestId,
        earlier: Vec<Earlier>,
    },
    StreamBegan {
        request: RequestId,
    },
    Noted {
        request: RequestId,
        attempt: usize,
        note: Note,
    },
    Ended(Ended),
    Probed(Probed),
    ClientLeft {
        request: RequestId,
    },
    Timer {
        tag: u64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Terms { request: RequestId, grant_mb: f64, rank: u8 },
    Send { request: RequestId, engine: EngineId, give_up_at: Micros },
    Probe { engine: EngineId },
    Cancel { request: RequestId, attempt: usize },
    Refuse { request: RequestId, retry_after: Micros },
    Fail { request: RequestId },
    SetTimer { after: Micros, tag: u64 },
    Subscribe,
    Log(String),
}
