//! Every decision of one gateway. Types, events and actions are in `src/interface.rs`, what is
//! remembered in `src/state.rs`. A request passes through arrival, draws, admission, choice, rules
//! and send, outcome, ending; then health, shedding, the list of engines. The mechanism is that of
//! the BI Batch Manager paper for many gateways and engines; docs/design.md says what was kept and
//! what changed.

mod admission;
mod arrival;
mod checkpoint;
mod completion;
mod constraints;
mod dispatch;
mod endpoints;
mod engine_selection;
mod load_estimate;
mod load_shedding;
mod outcome;
mod outlier_detection;
mod sampling;
mod subsetting;

use crate::engines::Engines;
use crate::interface::*;
use crate::state::*;
use constraints::may_place;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// Tuned values. Each is a ratio of something told in the settings or learned, or a count of
// observations.

const START_ROOM: f64 = 3.0; // Memories of an engine at the start: so far a gradient keeps pace (paper, 4.2)
const START_BOUND: f64 = 2.0; // Threads a core of this gateway's share at the start: gains end there
const START_LEVEL: f64 = 1.0; // Threads a core that others are held to have until a report tells; it fades
const LESSON_SPAN: f64 = 20.0; // Times to warm up over which what an earlier life learned fades
const MIN_LESSON: f64 = 0.05; // Part of it that is left, under which it is void
const MIN_BOUND: f64 = 0.7; // Part of its start that pressure leaves of a bound: it must not choke
const BOUND_STEP: f64 = 0.01; // Step by which calm widens the bounds
const BOUND_CUT: f64 = 4.0; // Such steps that an outcome under pressure cuts
const PRESSURE: f64 = 1.2; // Stretch over the engine's best at which it counts as under pressure
const IMPLIED: f64 = 1.6; // Threads a core that imply pressure before latency can show it
const BUSY_REPORT: f64 = 0.95; // Share of busy cores, disks or granted memory in a report that is pressure
const FULL_PAUSE: f64 = 0.1; // Pause after an engine refused as full or failed all, part of latency memory
const UNKNOWN_MEMORY: f64 = 0.125; // Part of the room a query counts as before its class's memory is known
const GRANT_MARGIN: f64 = 1.25; // A grant over the corrected estimate, as the engines' own default does it
const TOP_RANK: u8 = 2; // Rank of the largest report or load; dashboards run one higher
const DASHBOARD_WORK: f64 = 0.5; // A class with mean work under this part of the mean of all is a dashboard
const ANSWER_MARGIN: f64 = 0.1; // Part of a client's wait that is left for its answer to come through
const LEARN: f64 = 0.05; // Weight of one more observation in what is learned: the last twenty or so count
const CLIP: f64 = 3.0; // Times that one observation is held to be off at most: runaways don't bend a ratio
const BAD_WEIGHT: f64 = 0.15; // Weight of a bad outcome in an engine's bad share: five in a row are enough
const BAD_SHARE: f64 = 0.5; // Bad share that leads to quarantine: below it an engine is worth its price
const PROBATION: u32 = 6; // Good answers in a row that end the probation after a quarantine
const QUARANTINE: f64 = 0.07; // The first, in parts of the time to warm up; each relapse doubles it
const LONGEST_QUARANTINE: f64 = 0.5; // The longest, in the same parts
const SILENCE: f64 = 3.0; // Note periods without a word after which an engine that holds work is silent
const MAX_QUARANTINED: f64 = 0.5; // Share of engines in quarantine beyond which the cause must be shared
const BAD_PLAN: f64 = 3.0; // Remaining time over that of a fresh attempt that shows a bad plan
const COLD_MARGIN: f64 = 0.6; // Part of the cold budget in use: estimates scatter, others round up as well
const CHANCE: f64 = 3.0; // Deviations of chance that the cold budget leaves room for
const CAPACITY_BUSY: f64 = 0.85; // Capacity is counted at this part of busy cores
const MIN_ARC: f64 = 0.75; // Part of an arc of homes that must be one's own, in shares that a query fits in
const HOMES: usize = 2; // Engines that are home to a group
const HOME_GAIN: f64 = 0.25; // Part of a query's cost that reading its group warm saves, at the homes
const GROUP_MEMORY: f64 = 100.0; // Requests over which a group's part of all is counted
const GROUP_FADED: f64 = 5.0; // Such memories after which a group that did not come again is forgotten
const GROUP_PRIOR: f64 = 0.2; // Of these, how many count as other groups' before any was seen
const HOT_SPREAD: f64 = 2.0; // Homes of a hot group, in multiples of the engines that its part would fill
const CROSSING: f64 = 10.0; // Cost of crossing zones in multiples of its tariff
const SHED_SLACK: f64 = 0.1; // Part of the aim by which a queue may run late before something is shed
const SICK_FLEET: f64 = 0.3; // Bad share of all outcomes from which attempts fall: to its inverse, three here
const BEAT_TICKS: u64 = 10; // Ticks between two looks at held requests, silent engines and overload
const STRETCH_MEMORY: f64 = 0.2; // Time constant of latency memory, in parts of the time to warm up
const THIN_BOUND: f64 = 1.2; // Threads a core that hold queries back where shares are thin
const PROBE_SPEND: f64 = 0.02; // Part of all worth that probes may cost where shares are thin
const ASKED: usize = 2; // Engines drawn for a query: two choices spread well even by reports that are late
const REDRAWS: f64 = 1.0; // Draws for held requests that each arrival pays for
const POOL: f64 = 3.0; // Threads a core of its share of all engines that a gateway may have out there
const SAVED: f64 = 6.0; // Draws or probes that may be saved up
const FRESH: f64 = 0.1; // Age up to which a report is fresh, in parts of latency memory
const BEAT: u64 = 0; // Timer tag of the beat; a request's own bears `end_tag`

/// One gateway: all it knows comes from its settings and the events it was handed.
pub struct Balancer {
    set: Settings,
    rng: fastrand::Rng,
    now: Micros,
    pub(crate) engines: Engines,
    requests: BTreeMap<RequestId, Held>,
    queue: BTreeMap<(Micros, RequestId), usize>, // Class of each that is held, by due time
    /// For each key of an ordered class: its requests in the order taken, and until when it rests.
    keys: BTreeMap<String, (VecDeque<RequestId>, Micros)>,
    learned: Vec<Learned>,
    traffic: Traffic,
    thin: bool, // This gateway's share of an engine is under one query: the whole of it is looked at
    few: bool, // It keeps to an arc of the engines, so that its share of each of these is none so small
    place: f64, // Where on the ring of engines its arc begins, as a part of the whole
    share: f64, // What both bounds are a part of: 1/peers of an engine, or all of it where that is thin
    tokens: Vec<(f64, Micros)>, // Tokens left to each tenant, and when they were last filled
    beating: bool,
    subscribe_at: Option<Micros>,
    latency: f64,  // Time constant of latency memory
    pause: Micros, // For which an engine that refused as full or failed a probe is closed
    actions: Vec<Action>,
}
impl Balancer {
    /// One that knows its settings and nothing else; equal seeds and events give equal actions.
    pub fn new(set: Settings, seed: u64, now: Micros) -> Self {
        let latency = (STRETCH_MEMORY * set.warm_up_duration as f64).max(1.0);
        let fresh = Learned {
            work_ratio: 1.0,
            memory_ratio: 1.0,
            work: 0.0,
            memory: None,
        };
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut own = Balancer {
            place: set
                .index
                .map_or_else(|| rng.f64(), |index| index / set.peers),
            rng,
            now,
            engines: Engines::new(&set.classes, &set.kinds),
            requests: BTreeMap::new(),
            queue: BTreeMap::new(),
            keys: BTreeMap::new(),
            learned: vec![fresh; set.classes.len()],
            traffic: Traffic {
                last: now,
                ..Default::default()
            },
            share: 1.0,
            thin: false,
            few: false,
            tokens: set
                .tenants
                .iter()
                .map(|t| (t.quota_per_s / set.peers, now))
                .collect(),
            beating: false,
            subscribe_at: (set.discovery == Discovery::Ask).then_some(now),
            latency,
            pause: 0,
            actions: Vec::new(),
            set,
        };
        own.count_shares();
        own
    }

    /// Takes an event in, and puts what comes of it behind `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        let quiet = matches!(
            event,
            Event::Arrived(_) | Event::ProgressReported { .. } | Event::StreamBegan { .. }
        );
        match event {
            Event::Arrived(request) => self.take(request),
            Event::AttemptEnded(ended) => self.outcome(ended),
            Event::PriorAttempts {
                request,
                prior_attempts,
            } => {
                _ = self
                    .requests
                    .get_mut(&request)
                    .map(|held| held.req.prior_attempts.extend(prior_attempts));
            }
            Event::ProgressReported {
                request,
                attempt,
                progress,
            } => self.noted(request, attempt, progress),
            Event::StreamBegan { request } => {
                _ = self.requests.get_mut(&request).map(|h| h.streaming = true);
            }
            Event::Probed(probed) => self.probed(probed),
            Event::ClientLeft { request } => self.close(request),
            Event::Timer { tag: BEAT } => self.beat(),
            Event::Timer { tag } => self.end(tag - 1, 0),
            Event::EndpointSnapshot(entries) => self.full_list(entries),
            Event::EndpointChanges(entries) => self.list_changes(entries),
            Event::CheckpointRestored { learned, age } => self.remember(learned, age),
            Event::DiscoveryFailed => self.subscribe_at = Some(now + self.set.poll_interval / 8),
        }
        self.actions.extend(
            self.subscribe_at
                .take_if(|at| *at <= now)
                .map(|_| Action::Subscribe),
        );
        // A note or an arrival frees no room, so only what else happens is worth a look at the
        // whole queue.
        if !quiet {
            self.release();
        }
        let awake = !self.requests.is_empty() || self.subscribe_at.is_some();
        if awake && !std::mem::replace(&mut self.beating, awake) {
            self.actions.push(Action::SetTimer {
                after: BEAT_TICKS * self.set.tick,
                tag: BEAT,
            });
        }
        actions.append(&mut self.actions);
    }

    fn beat(&mut self) {
        self.beating = false;
        self.watch_silence();
        self.release();
        self.draw_again();
        self.shed();
        let (now, memory) = (self.now, self.latency);
        // Where nobody reports, what a stranger assumes must not outlive its start.
        let kept = (-((BEAT_TICKS * self.set.tick) as f64) / memory).exp();
        self.traffic.baseline_load *= if self.traffic.heard { 1.0 } else { kept };
        self.keys
            .retain(|_, (line, rests_until)| !line.is_empty() || *rests_until > now);
        let since = now.saturating_sub(self.set.attempt_budget.map_or(0, |budget| budget.span));
        self.traffic.forget(since);
        self.traffic
            .groups
            .retain(|_, (_, at)| self.traffic.arrivals - *at < GROUP_FADED * GROUP_MEMORY);
        let since = now.saturating_sub(self.set.overload_window);
        self.engines.pass_time(now, |engine| {
            engine.observe(now, memory, None);
            engine.loading.retain(|_, at| *at + memory as Micros > now);
            engine.cold_sends.retain(|(at, ..)| *at >= since);
        });
    }
}
