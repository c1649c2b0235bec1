//! Every decision of one gateway. The types, events and actions are in `src/interface.rs`,
//! what is remembered in `src/state.rs`.
//! A request passes through the parts of this file in order: take, admit, choose engine, grant and rank,
//! send, outcome, end. Then come health, overload and the list of engines. The mechanism is that of the
//! BI Batch Manager paper for many gateways and engines; docs/design.md says what was kept and what changed.

use crate::interface::*;
use crate::state::*;
use std::collections::{BTreeMap, VecDeque};

// Tuned values. Each is a ratio of something told in the settings or learned, or a count of observations.

const START_ROOM: f64 = 3.0; // Memories of an engine at the start: so far a gradient keeps pace (paper, 4.2)
const START_BOUND: f64 = 2.0; // Threads a core of this gateway's share at the start: gains end there
const START_LEVEL: f64 = 1.0; // Threads a core that others are held to have until a report tells; it fades
const LESSON_SPAN: f64 = 20.0; // Times to warm up over which what an earlier life learned fades
const LEAST_LESSON: f64 = 0.05; // Part of it that is left, under which it is void
const LEAST_BOUND: f64 = 0.7; // Part of its start that pressure leaves of a bound: it must not choke
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
const MOST_QUARANTINED: f64 = 0.5; // Share of engines in quarantine beyond which the cause must be shared
const BAD_PLAN: f64 = 3.0; // Remaining time over that of a fresh attempt that shows a bad plan
const COLD_MARGIN: f64 = 0.6; // Part of the cold budget in use: estimates scatter, others round up as well
const CHANCE: f64 = 3.0; // Deviations of chance that the cold budget leaves room for
const CAPACITY_BUSY: f64 = 0.85; // Capacity is counted at this part of busy cores
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

impl Engine {
    fn under_pressure(&self, now: Micros) -> bool {
        now < self.pressed_until || now >= self.vouched_until && self.stretch > PRESSURE * self.best
    }

    /// Stretch is time spent over ideal time, of what ended lately and of what is out: a jam shows in what
    /// does not end. What no note tells of is held to have run at its ideal pace so far.
    fn observe(&mut self, now: Micros, memory: f64, ended: Option<(f64, f64)>) {
        let kept = (-((now - self.stretch_at) as f64) / memory).exp();
        self.stretch_at = now;
        let (spent, ideal) = ended.unwrap_or((0.0, 0.0));
        self.spent = self.spent * kept + spent.min(CLIP * ideal * self.stretch);
        self.ideal = self.ideal * kept + ideal;
        let (mut spent, mut ideal) = (self.spent, self.ideal);
        for charge in self.out.values().filter(|charge| !charge.waited) {
            let age = (now - charge.sent_at) as f64;
            let (elapsed, done) = charge.noted.unwrap_or((age, age.min(charge.ideal)));
            spent += elapsed.min(CLIP * done * self.stretch);
            ideal += done;
        }
        // Without evidence a bad figure fades: it must not outlive its cause.
        self.stretch =
            if ideal > 1.0 { spent / ideal } else { self.best + (self.stretch - self.best) * kept };
        self.best = self.best.min(self.stretch);
    }

    fn widen(&mut self, steps: f64) {
        self.width = (self.width * (1.0 + steps * BOUND_STEP)).clamp(LEAST_BOUND, 1.0);
    }
}

/// One gateway: all it knows comes from its settings and the events it was handed.
pub struct Gateway {
    set: Settings,
    rng: fastrand::Rng,
    now: Micros,
    engines: BTreeMap<EngineId, Engine>,
    requests: BTreeMap<RequestId, Held>,
    queue: BTreeMap<(Micros, RequestId), usize>, // Class of each that is held, by due time
    /// For each key of an ordered class: its requests in the order taken, and until when it rests.
    keys: BTreeMap<String, (VecDeque<RequestId>, Micros)>,
    learned: Vec<Learned>,
    traffic: Traffic,
    thin: bool, // This gateway's share of an engine is under one query: the whole of it is looked at
    share: f64, // What both bounds are a part of: 1/peers of an engine, or all of it where that is thin
    tokens: Vec<(f64, Micros)>, // Tokens left to each tenant, and when they were last filled
    beating: bool,
    subscribe_at: Option<Micros>,
    latency: f64,  // Time constant of latency memory
    pause: Micros, // For which an engine that refused as full or failed a probe is closed
    actions: Vec<Action>,
}

impl Gateway {
    pub fn new(set: Settings, seed: u64, now: Micros) -> Self {
        let cores = set.kinds.iter().map(|kind| kind.cores).fold(0.0, f64::max);
        let widest = set.classes.iter().map(|class| class.threads).fold(1.0, f64::max);
        let thin = START_BOUND * cores / set.peers < widest;
        let latency = (STRETCH_MEMORY * set.warm_within as f64).max(1.0);
        // A stranger takes no engine for idle that none told of, and asks at once, where others are many.
        let (level, probes) = if thin { (START_LEVEL, SAVED) } else { (0.0, 0.0) };
        let fresh = Learned { work_ratio: 1.0, memory_ratio: 1.0, work: 0.0, memory: None };
        Gateway {
            rng: fastrand::Rng::with_seed(seed),
            now,
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            queue: BTreeMap::new(),
            keys: BTreeMap::new(),
            learned: vec![fresh; set.classes.len()],
            traffic: Traffic { last: now, level, probes, ..Default::default() },
            share: if thin { 1.0 } else { 1.0 / set.peers },
            thin,
            tokens: set.tenants.iter().map(|t| (t.quota_per_s / set.peers, now)).collect(),
            beating: false,
            subscribe_at: (set.discovery == Discovery::Ask).then_some(now),
            latency,
            pause: (latency * if thin { 1.0 } else { FULL_PAUSE }) as Micros,
            actions: Vec::new(),
            set,
        }
    }

    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        let quiet = matches!(event, Event::Arrived(_) | Event::Noted { .. } | Event::StreamBegan { .. });
        match event {
            Event::Arrived(request) => self.take(request),
            Event::Ended(ended) => self.outcome(ended),
            Event::RanBefore { request, earlier } => {
                let held = self.requests.get_mut(&request).into_iter();
                held.for_each(|held| held.req.earlier.extend(earlier.iter().copied()));
            }
            Event::Noted { request, attempt, note } => self.noted(request, attempt, note),
            Event::StreamBegan { request } => _ = self.requests.get_mut(&request).map(|h| h.streaming = true),
            Event::Probed(probed) => self.probed(probed),
            Event::ClientLeft { request } => self.close(request),
            Event::Timer { tag: BEAT } => self.beat(),
            Event::Timer { tag } => self.end(tag - 1, 0),
            Event::FullList(entries) => self.full_list(entries),
            Event::ListChanges(entries) => entries.into_iter().for_each(|entry| self.listed(entry)),
            Event::Remembered { lessons, age } => self.remember(lessons, age),
            Event::ListFailed => self.subscribe_at = Some(now + self.set.ask_every / 8),
        }
        if self.subscribe_at.take_if(|at| *at <= now).is_some() {
            self.actions.push(Action::Subscribe);
        }
        // A note or an arrival frees no room, so only what else happens is worth a look at the whole queue.
        if !quiet {
            self.release();
        }
        let awake = !self.requests.is_empty() || self.subscribe_at.is_some();
        if awake && !std::mem::replace(&mut self.beating, awake) {
            self.actions.push(Action::SetTimer { after: BEAT_TICKS * self.set.tick, tag: BEAT });
        }
        actions.append(&mut self.actions);
    }

    // ---- Take ----

    fn take(&mut self, req: Request) {
        let class = self.set.classes[req.class].clone();
        let known = &self.learned[req.class];
        let usual = if known.work > 0.0 { known.work } else { class.aim as f64 * class.threads / 2.0 };
        let work = req.work.map_or(usual, |estimate| estimate * known.work_ratio);
        let memory = req.memory_mb.map_or(known.memory.unwrap_or(0.0), |mb| mb * known.memory_ratio);
        let (id, class_id, group, ideal) = (req.id, req.class, req.group, work / class.threads);
        // Early, so that the answer is in the client's hands before it gives up, also where both were held
        // up.
        let margin =
            2 * self.set.tick + (ANSWER_MARGIN * req.deadline.saturating_sub(self.now) as f64) as Micros;
        let end_by = req.deadline.saturating_sub(margin).max(self.now);
        // A client may be less patient than its class: after it has gone, the aim is worth nothing.
        let due = (self.now + class.aim + (class.aim_stretch * ideal) as Micros).min(end_by);
        let worth = class.worth * if self.within_share(req.tenant) { 1.0 } else { self.set.over_share_worth };
        if let Some(key) = req.key.as_ref().filter(|_| class.ordered) {
            self.keys.entry(key.clone()).or_default().0.push_back(req.id);
        }
        self.traffic.taken.push_back(self.now);
        self.actions.push(Action::SetTimer { after: end_by - self.now, tag: end_tag(req.id) });
        self.queue.insert((due, req.id), req.class);
        let held = Held { req, work, ideal, memory, due, end_by, worth, ..Default::default() };
        let over = !self.may_repeat(&held); // It may have run before, when or where none may repeat it
        self.requests.insert(id, held);
        // Work that cannot end in time only holds what others need, for long where no cancel is heeded.
        if over || self.now as f64 + ideal > end_by as f64 {
            return self.end(id, 0);
        }
        let known = &mut self.learned[class_id].work;
        *known = if *known > 0.0 { *known + LEARN * (work - *known) } else { work };
        self.count(group, work, ideal, memory);
        self.draw(id);
        self.choose(id).into_iter().for_each(|engine| self.send(id, engine));
    }

    /// Each arrival adds to what is known of the traffic, and pays for probes and draws.
    fn count(&mut self, group: u64, work: f64, ideal: f64, memory: f64) {
        let seen = &mut self.traffic;
        seen.arrivals += 1.0;
        let weight = (LEARN / 2.0).max(1.0 / seen.arrivals);
        seen.gap += weight * ((self.now - seen.last) as f64 - seen.gap);
        seen.last = self.now;
        seen.work += weight * (work - seen.work);
        seen.ideal += weight * (ideal - seen.ideal);
        seen.hold += weight * (ideal * memory - seen.hold);
        let (count, at) = seen.groups.entry(group).or_insert((0.0, seen.arrivals));
        *count = 1.0 + *count * ((*at - seen.arrivals) / GROUP_MEMORY).exp();
        *at = seen.arrivals;
        seen.probes = SAVED.min(seen.probes + (PROBE_SPEND / self.set.probe_tariff).min(2.0 * ASKED as f64));
        seen.redraws = (seen.redraws + REDRAWS).min(SAVED);
    }

    /// A tenant's own bucket on this gateway, filled at its quota over the gateways, one second deep.
    fn within_share(&mut self, tenant: usize) -> bool {
        let Some(set) = self.set.tenants.get(tenant) else { return true };
        let quota = set.quota_per_s / self.set.peers;
        let (tokens, filled) = &mut self.tokens[tenant];
        *tokens = (*tokens + quota * (self.now - *filled) as f64 / 1e6).min(quota.max(1.0));
        *filled = self.now;
        let within = *tokens >= 1.0;
        *tokens -= if within { 1.0 } else { 0.0 };
        within
    }

    fn is_dashboard(&self, class: usize) -> bool {
        !self.set.classes[class].is_load && self.learned[class].work < DASHBOARD_WORK * self.traffic.work
    }

    // ---- Admit ----

    /// Held requests leave earliest due first; one that can't leave doesn't block others that can.
    fn release(&mut self) {
        // The least memory that found no room, for each class and, where loads hold it back, group.
        let mut no_room: BTreeMap<(usize, u64), f64> = BTreeMap::new();
        let mut full = self.full_classes();
        let passable = self.queue.iter().filter(|(_, &class)| !full[class]);
        for (id, class) in passable.map(|(&(_, id), &class)| (id, class)).collect::<Vec<_>>() {
            let held = &self.requests[&id];
            let memory = held.memory;
            let like = (class, if self.concerned(class) { held.req.group } else { 0 });
            if full[class] || !self.is_drawn(held) || no_room.get(&like).is_some_and(|&least| memory >= least)
            {
                continue;
            }
            let plain = held.attempts.is_empty() && !self.set.classes[class].ordered;
            let least = if self.is_dashboard(class) { 0.0 } else { memory };
            match self.choose(id) {
                Some(engine) => {
                    self.send(id, engine);
                    full = self.full_classes();
                }
                // Without room among the engines drawn, it waits to be drawn for again.
                None if self.thin => _ = self.requests.entry(id).and_modify(|held| held.asked.clear()),
                None if plain => _ = no_room.insert(like, least),
                None => {}
            }
        }
    }

    /// Classes whose lightest query has no room anywhere: most of a long queue needs no closer look.
    fn full_classes(&self) -> Vec<bool> {
        let full = |(class, set): (usize, &Class)| {
            let req = Request { class, group: u64::MAX, ..Default::default() };
            let held = Held { req, memory: f64::MIN_POSITIVE, ..Default::default() };
            let takes = |e: &Engine| e.open() && may_place(set, &e.entry) && self.has_room(&held, e);
            !self.thin && !self.engines.values().any(takes)
        };
        self.set.classes.iter().enumerate().map(full).collect()
    }

    /// Both bounds, binding only while the engine shows pressure; an idle gateway may send one of any size.
    fn has_room(&self, held: &Held, engine: &Engine) -> bool {
        if !self.may_take(held, engine) {
            return false;
        }
        let cores = self.kind(engine).cores * self.warmth(engine) * self.share;
        let others = if self.thin { self.others(engine) } else { 0.0 };
        let before = engine.threads + others;
        let threads = before + self.set.classes[held.req.class].threads;
        // Latency shows seconds after the sends that cause it; threads over cores imply it at once.
        let pressure = self.thin || engine.under_pressure(self.now) || threads > IMPLIED * cores;
        // Where shares are thin every gateway is idle on most engines, so being idle there excuses nothing.
        if !pressure || engine.out.is_empty() && !self.thin {
            return true;
        }
        // The last one in may pass the bound: a small share would else stay partly unused.
        let dashboard = self.is_dashboard(held.req.class);
        let thin_bound = if dashboard { IMPLIED } else { THIN_BOUND };
        let bound = if self.thin { thin_bound } else { START_BOUND };
        if before >= bound * engine.width * cores {
            return false;
        }
        let memory = engine.memory + others * self.traffic.hold / self.traffic.work.max(1.0);
        let (charge, room) = (self.charged_memory(held, engine), self.room(engine));
        dashboard || memory + charge <= room || engine.out.is_empty() && charge > room
    }

    /// Where shares are thin they are pooled: what this gateway has out on all engines is held against its
    /// share of them all. In a jam nothing comes back, so the pool stays taken and no gateway adds to it.
    fn pool_has_room(&self, held: &Held) -> bool {
        let (mut threads, mut memory, mut cores, mut room) = (0.0, held.memory, 0.0, 0.0);
        for engine in self.engines.values().filter(|engine| engine.open()) {
            (threads, memory) = (threads + engine.threads, memory + engine.memory);
            cores += POOL * self.kind(engine).cores / self.set.peers;
            room += START_ROOM * self.kind(engine).memory_mb / self.set.peers;
        }
        threads == 0.0 || threads < cores && (memory <= room || self.is_dashboard(held.req.class))
    }

    /// Held requests are drawn for again, earliest due first, at a rate that follows arrivals: reports are
    /// late, and a backlog that looks at every one would rush as one into the first engine that shows room.
    fn draw_again(&mut self) {
        let idle = |id: &RequestId| !self.waits_for_reports(&self.requests[id]);
        let due: Vec<RequestId> = self.queue.keys().map(|&(_, id)| id).filter(idle).collect();
        for id in due.into_iter().take(self.traffic.redraws as usize) {
            self.traffic.redraws -= 1.0;
            self.draw(id);
        }
    }

    /// Threads of others there: what a report told fades to what engines hold on the whole.
    fn others(&self, engine: &Engine) -> f64 {
        let kept = (-((self.now - engine.reported_at) as f64) / self.latency).exp();
        let usual = self.traffic.level * self.kind(engine).cores;
        let told = usual + (engine.others - usual) * kept;
        // A jammed engine has idle cores: a report that doesn't count queries shows none emptier than usual,
        // and latency far over the best tells what an engine holds.
        let counted = self.traffic.counted;
        let jam = engine.stretch > if counted { CLIP } else { PRESSURE } * engine.best;
        let held = if jam { engine.stretch * self.kind(engine).cores } else { usual };
        told.max(if self.thin && (jam || !counted) { held } else { 0.0 })
    }

    fn room(&self, engine: &Engine) -> f64 {
        START_ROOM * engine.width * self.kind(engine).memory_mb * self.share
    }

    fn charged_memory(&self, held: &Held, engine: &Engine) -> f64 {
        Some(held.memory).filter(|&known| known > 0.0).unwrap_or(UNKNOWN_MEMORY * self.room(engine))
    }

    fn kind(&self, engine: &Engine) -> &Kind {
        &self.set.kinds[(engine.entry.kind as usize).min(self.set.kinds.len() - 1)]
    }

    /// The part of its capacity that an engine is held to have: it grows from a cold start on.
    fn warmth(&self, engine: &Engine) -> f64 {
        let left = engine.cold_until.saturating_sub(self.now) as f64 / self.set.warm_within.max(1) as f64;
        1.0 - (1.0 - self.set.start_capacity) * left.min(1.0)
    }

    // ---- Choose engine ----

    /// The engine with the least expected cost among those that may take the request now.
    fn choose(&self, id: RequestId) -> Option<EngineId> {
        let held = Some(&self.requests[&id]).filter(|held| self.is_drawn(held))?;
        if self.thin && !self.pool_has_room(held) {
            return None;
        }
        let (order, homes) = self.homes(held);
        // An engine that erred on it isn't asked for it again while there are others.
        let erred = |id: &EngineId| held.erred_at().any(|other| other == *id);
        let others = order.iter().any(|id| !erred(id));
        let among = |id: &EngineId| (!self.thin || held.asked.contains(id)) && !(others && erred(id));
        let able = |e: &Engine| e.asked_at == 0 && self.rules_allow(held, e) && self.has_room(held, e);
        let able = self.engines.iter().filter(|(id, e)| among(id) && able(e));
        let priced = able.map(|(&id, e)| (self.cost(held, e, &order[..homes]), id));
        priced.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, id)| id)
    }

    fn waits_for_reports(&self, held: &Held) -> bool {
        let asked = |id| self.engines.get(id).is_some_and(|e| e.asked_at > 0);
        self.now <= held.asked_at + BEAT_TICKS * self.set.tick && held.asked.iter().any(asked)
    }

    /// Whether a request may be placed now; where shares are thin it has its engines, and they were heard.
    fn is_drawn(&self, held: &Held) -> bool {
        !self.thin || !held.asked.is_empty() && !self.waits_for_reports(held)
    }

    /// Draws the few engines that a request is placed among, and probes those with no fresh report. Reports
    /// are late, so the best engine by them would draw every gateway at once: choice among few bounds that.
    fn draw(&mut self, id: RequestId) {
        if !self.thin {
            return;
        }
        let lots = [(); ASKED].map(|_| self.rng.f64());
        let held = &self.requests[&id];
        let (mut order, homes) = self.homes(held);
        let away = self.keeps_away(held.req.class);
        order.drain(..if away && order.len() > homes { homes } else { 0 });
        order
            .retain(|id| self.rules_allow(held, &self.engines[id]) && self.may_take(held, &self.engines[id]));
        let (mut asked, first) = (Vec::new(), held.asked_at == 0);
        for (turn, lot) in lots.into_iter().enumerate().take(order.len()) {
            // Once the homes had no room the last one is any engine.
            let near = !away && (first || turn + 1 < ASKED);
            let among = if near { (homes - turn.min(homes - 1)).min(order.len()) } else { order.len() };
            asked.push(order.remove((lot * among as f64) as usize));
        }
        for id in &asked {
            let fresh = (self.now - self.engines[id].reported_at) as f64 <= FRESH * self.latency;
            let wanted = !fresh && self.traffic.probes >= 1.0;
            let may_ask = |e: &&mut Engine| self.set.may_probe && wanted && e.asked_at == 0;
            let Some(engine) = self.engines.get_mut(id).filter(may_ask) else { continue };
            engine.asked_at = self.now;
            self.traffic.probes -= 1.0;
            self.actions.push(Action::Probe { engine: *id });
        }
        let Some(held) = self.requests.get_mut(&id) else { return };
        (held.asked, held.asked_at) = (asked, self.now);
    }

    /// All open engines, highest hash of group and engine first, and how many of them are home to the group:
    /// every gateway finds the same without talking. Where shares are thin, a hot group has more homes.
    fn homes(&self, held: &Held) -> (Vec<EngineId>, usize) {
        let (group, class) = (held.req.group, &self.set.classes[held.req.class]);
        let open = self.engines.iter().filter(|(_, e)| e.open() && may_place(class, &e.entry));
        let mut order: Vec<_> = open.map(|(&id, _)| (mix(group ^ mix(id as u64)), id)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        let seen = GROUP_MEMORY * (1.0 + GROUP_PRIOR - (-self.traffic.arrivals / GROUP_MEMORY).exp());
        let part = self.traffic.groups.get(&group).map_or(0.0, |(count, _)| count / seen);
        let hot = if self.thin { part * order.len() as f64 * HOT_SPREAD } else { 0.0 };
        let homes = (hot as usize).max(HOMES).min(order.len());
        (order.into_iter().map(|(_, id)| id).collect(), homes)
    }

    fn cost(&self, held: &Held, engine: &Engine, homes: &[EngineId]) -> f64 {
        let class = &self.set.classes[held.req.class];
        let cores = self.kind(engine).cores * self.warmth(engine);
        let crowd = (engine.threads + self.others(engine) + class.threads) / cores;
        let mut cost = held.ideal * (0.5 + crowd);
        if homes.contains(&engine.entry.engine) != self.keeps_away(held.req.class) {
            cost *= 1.0 - HOME_GAIN;
        }
        if engine.entry.zone != self.set.zone {
            cost *= 1.0 + CROSSING * self.set.cross_zone_tariff;
        }
        // An engine on probation is tried at once: nothing else would tell that it is well again.
        let good = (1.0 - engine.bad) * (1.0 - BAD_WEIGHT).powi(engine.doubts);
        cost * if engine.probation > 0 { 0.0 } else { 1.0 / good.max(LEARN) }
    }

    /// Not in quarantine; on probation an engine gets one safe request at a time.
    fn may_take(&self, held: &Held, engine: &Engine) -> bool {
        let safe = self.set.classes[held.req.class].effect == Effect::Safe;
        let well = engine.probation == 0 || safe && engine.out.is_empty();
        self.now >= engine.quarantined_until && well && !self.load_holds(held, engine)
    }

    /// Whether a load holds the group there, this gateway's own or one that a note told of lately: what would
    /// only stand still there, keeping its memory, may as well leave later or go elsewhere.
    fn load_holds(&self, held: &Held, engine: &Engine) -> bool {
        let own = |c: &Charge| c.group == held.req.group && self.set.classes[c.class].is_load;
        let held_back = engine.loading.contains_key(&held.req.group) || engine.out.values().any(own);
        held_back && self.concerned(held.req.class)
    }

    fn concerned(&self, class: usize) -> bool {
        self.set.classes[class].is_load || self.set.classes[class].waits_for_load
    }

    /// A load would stop the reading of its group where that is read, so it keeps away from the homes.
    fn keeps_away(&self, class: usize) -> bool {
        self.set.classes[class].is_load && self.set.classes.iter().any(|c| c.waits_for_load && !c.is_load)
    }

    // ---- Grant and rank ----

    /// A quarter over the corrected estimate, never under the engine's default, within the largest grant.
    fn grant(&self, held: &Held, engine: &Engine) -> f64 {
        let estimate = held.memory.max(held.req.memory_mb.unwrap_or(0.0));
        (GRANT_MARGIN * estimate).min(self.set.largest_share * self.kind(engine).memory_mb)
    }

    /// Largest report or load on the engine at 2, next 1, others 0; dashboards at 3. Told where it changes.
    fn rerank(&mut self, engine_id: EngineId) {
        let Some(engine) = self.engines.get(&engine_id) else { return };
        let mut sized: Vec<(f64, RequestId, usize)> =
            engine.out.iter().map(|(&(id, _), charge)| (charge.memory, id, charge.class)).collect();
        sized.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut next = TOP_RANK;
        for (_, id, class) in sized {
            let dashboard = self.is_dashboard(class);
            let rank = if dashboard { TOP_RANK + 1 } else { next };
            next = if dashboard { next } else { next.saturating_sub(1) };
            let Some(held) = self.requests.get_mut(&id) else { continue };
            if held.rank != Some(rank) && !held.ended {
                held.rank = Some(rank);
                self.actions.push(Action::Terms { request: id, grant_mb: held.grant, rank });
            }
        }
    }

    // ---- Send ----

    /// All rules on sending, in one place.
    fn rules_allow(&self, held: &Held, engine: &Engine) -> bool {
        let class = &self.set.classes[held.req.class];
        // Drains are kept by `open`: from the moment this gateway is told, whatever the grace.
        engine.open()
            && may_place(class, &engine.entry)
            && !held.ended
            && self.now < held.end_by
            && held.attempts.len() < self.set.max_attempts
            && (held.attempts.is_empty() || self.budget_allows_further())
            && self.effect_allows(held, class, engine)
            && self.order_allows(held, class)
            && self.cold_budget_allows(held, engine)
    }

    /// Effects: whether any engine at all may still be sent this.
    fn may_repeat(&self, held: &Held) -> bool {
        let class = &self.set.classes[held.req.class];
        let first = held.may_have_run().map(|ran| ran.since).min();
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => first.is_none(),
            Effect::Keyed => first.is_none_or(|at| self.now + 2 * self.set.tick < at + class.window),
        }
    }

    /// Effects: what an earlier attempt may have done decides where a further one may go.
    fn effect_allows(&self, held: &Held, class: &Class, engine: &Engine) -> bool {
        let same = |ran: Earlier| match class.scope {
            Scope::All => true,
            Scope::Zone => ran.zone == engine.entry.zone,
            Scope::Cell => ran.cell == engine.entry.cell,
        };
        let out = held.attempts.iter().any(|a| a.state == State::Out);
        (!out || self.set.may_duplicate)
            && self.may_repeat(held)
            && (class.effect != Effect::Keyed || held.may_have_run().all(same))
    }

    /// Order: only the first of its key that is not over, and after the pause that its forerunner left.
    fn order_allows(&self, held: &Held, class: &Class) -> bool {
        let Some(key) = held.req.key.as_ref().filter(|_| class.ordered) else { return true };
        let Some((line, rests_until)) = self.keys.get(key) else { return false };
        line.front() == Some(&held.req.id) && (self.now >= *rests_until || !held.attempts.is_empty())
    }

    fn budget_allows_further(&self) -> bool {
        let Some(budget) = self.set.attempt_budget else { return true };
        let since = self.now.saturating_sub(budget.span);
        let taken = self.traffic.taken.iter().rev().take_while(|&&at| at > since).count() as f64;
        let further = self.traffic.further.iter().rev().take_while(|&&at| at >= since).count() as f64;
        further + 1.0 <= budget.spare + budget.ratio * taken
    }

    /// Cold engines: this gateway's share of the budget, in usual work of the classes sent.
    fn cold_budget_allows(&self, held: &Held, engine: &Engine) -> bool {
        let usual = self.learned[held.req.class].work;
        let capacity = self.set.start_capacity * CAPACITY_BUSY * self.kind(engine).cores;
        let window = self.set.fall_window as f64;
        let whole = self.set.fall_multiple * capacity * window;
        if self.now >= engine.cold_until {
            return true;
        }
        if self.thin {
            // A share of less than a query is given by lot: each request may go there with the chance that
            // makes the sum over all gateways fit, less what chance may add to it.
            let safe = ((CHANCE * CHANCE * usual + 4.0 * whole).sqrt() - CHANCE * usual.sqrt()) / 2.0;
            let asked = self.traffic.work * window / self.traffic.gap.max(1.0) * self.set.peers;
            return chance(held.req.id ^ mix(engine.entry.engine as u64)) < COLD_MARGIN * safe * safe / asked;
        }
        let since = self.now.saturating_sub(self.set.fall_window);
        let sent: f64 = engine.cold_sends.iter().filter(|(at, _)| *at >= since).map(|(_, work)| work).sum();
        sent + usual <= COLD_MARGIN * whole / self.set.peers
    }

    /// The only place that sends.
    fn send(&mut self, id: RequestId, engine_id: EngineId) {
        let (held, engine) = (&self.requests[&id], &self.engines[&engine_id]);
        if !self.rules_allow(held, engine) {
            return;
        }
        let class = held.req.class;
        let memory = if self.is_dashboard(class) { held.memory } else { self.charged_memory(held, engine) };
        let (threads, group) = (self.set.classes[class].threads, held.req.group);
        let (ideal, sent_at) = (held.ideal, self.now);
        let charge = Charge { class, group, memory, threads, ideal, sent_at, waited: false, noted: None };
        let grant = self.grant(held, engine);
        let usual = self.learned[class].work;
        let Some(engine) = self.engines.get_mut(&engine_id) else { return };
        let Some(held) = self.requests.get_mut(&id) else { return };
        if !held.attempts.is_empty() {
            self.traffic.further.push_back(self.now);
        }
        if self.now < engine.cold_until {
            engine.cold_sends.push_back((self.now, usual));
        }
        if engine.out.is_empty() {
            engine.last_heard = self.now;
        }
        engine.out.insert((id, held.attempts.len()), charge);
        engine.tally();
        held.attempts.push(Attempt {
            entry: engine.entry,
            sent_at,
            state: State::Out,
            cancelled: false,
            erred: false,
        });
        self.queue.remove(&(held.due, id));
        (held.grant, held.rank) = (grant, None);
        let give_up_at = held.end_by;
        self.rerank(engine_id);
        self.actions.push(Action::Send { request: id, engine: engine_id, give_up_at });
    }

    // ---- Outcome ----

    fn outcome(&mut self, end: Ended) {
        let Some(held) = self.requests.get_mut(&end.request) else { return };
        let Some(tried) = held.attempts.get_mut(end.attempt) else { return };
        let never_ran = matches!(end.outcome, Outcome::Full | Outcome::NoConnection | Outcome::Unsent);
        tried.state = if never_ran { State::NeverRan } else { State::MayHaveRun };
        tried.erred = end.outcome == Outcome::Error;
        let engine_id = tried.entry.engine;
        held.ended |= end.complete;
        let unusable = held.erred_at_several();
        let (ended, class) = (held.ended, held.req.class);
        let (estimate, key) = ((held.req.work, held.req.memory_mb), held.req.key.clone());
        let rests_until = self.now + self.set.order_pause + self.set.tick;
        let charge = self.uncharge(engine_id, &end);
        if let Some(charge) = charge.filter(|_| end.outcome == Outcome::Answered) {
            end.bill.into_iter().for_each(|bill| self.learn(class, estimate, bill));
            self.learn_stretch(engine_id, &charge, end.spent, end.bill);
        }
        // Whose fault an error is shows when the request is over, in `close`.
        if end.outcome != Outcome::Error && !end.told {
            self.judge(engine_id, end.outcome);
        }
        end.report.into_iter().for_each(|report| self.heed_report(engine_id, report));
        if matches!(end.outcome, Outcome::TimedOut | Outcome::Broken | Outcome::Cancelled) {
            // What may still run holds its key back a while longer.
            let line = key.and_then(|key| self.keys.get_mut(&key));
            line.into_iter().for_each(|line| line.1 = rests_until);
        }
        self.rerank(engine_id);
        match ended {
            true => self.close(end.request),
            false if unusable => self.end(end.request, self.set.max_advice),
            false => self.further_or_end(end.request),
        }
    }

    /// Takes the charge off; a refusal as full also closes the engine for a while.
    fn uncharge(&mut self, engine: EngineId, end: &Ended) -> Option<Charge> {
        let engine = self.engines.get_mut(&engine)?;
        let charge = engine.out.remove(&(end.request, end.attempt))?;
        engine.doubts += (end.outcome == Outcome::Error) as i32;
        if end.outcome == Outcome::Full {
            // What refuses at once frees its charges at once and would draw the whole queue.
            let pause_ends = self.now + self.pause;
            engine.quarantined_until = engine.quarantined_until.max(pause_ends);
            engine.pressed_until = pause_ends + self.latency as Micros / 3;
            engine.widen(-BOUND_CUT);
        }
        engine.tally();
        Some(charge)
    }

    /// Estimates are scaled by the class's mean true-to-estimated ratio, where answers tell the truth.
    fn learn(&mut self, class: usize, estimate: (Option<f64>, Option<f64>), bill: Bill) {
        let known = &mut self.learned[class];
        known.work_ratio = nudged(known.work_ratio, estimate.0.map(|work| bill.work / work));
        known.memory_ratio = nudged(known.memory_ratio, estimate.1.map(|memory| bill.memory_mb / memory));
        let mean = known.memory.unwrap_or(bill.memory_mb);
        known.memory = Some(mean + LEARN * (bill.memory_mb - mean));
    }

    fn learn_stretch(&mut self, engine: EngineId, charge: &Charge, spent: Micros, bill: Option<Bill>) {
        let ideal = bill.map_or(charge.ideal, |bill| bill.work / charge.threads);
        let Some(engine) = self.engines.get_mut(&engine) else { return };
        engine.observe(self.now, self.latency, (!charge.waited).then_some((spent as f64, ideal)));
        engine.widen(if engine.under_pressure(self.now) { -BOUND_CUT } else { 1.0 });
    }

    /// Cores, disks or memory that are all in use are held to be at the thread bound.
    fn heed_report(&mut self, engine: EngineId, report: LoadReport) {
        let threads_each = self.traffic.work / self.traffic.ideal.max(1.0);
        let cores = self.engines.get(&engine).map_or(1.0, |engine| self.kind(engine).cores);
        let Some(engine) = self.engines.get_mut(&engine) else { return };
        let shares = [report.cores_busy, report.disks_busy, report.memory_granted];
        let busy = shares.into_iter().flatten().reduce(f64::max);
        if report.waiting_for_memory > Some(1.0) || busy.is_some_and(|share| share > BUSY_REPORT) {
            engine.pressed_until = engine.pressed_until.max(self.now + BEAT_TICKS * self.set.tick);
        }
        let counted = report.in_flight.map(|in_flight| in_flight * threads_each);
        // Latency also swings with what queries find warm, so where threads are counted their number tells.
        let vouched = counted.is_some_and(|threads| threads <= START_BOUND * cores);
        engine.vouched_until = if vouched { self.now + self.latency as Micros } else { 0 };
        let implied = busy.map(|share| share * START_BOUND * cores);
        let Some(threads) = counted.into_iter().chain(implied).reduce(f64::max) else { return };
        engine.others = (threads - engine.threads).max(0.0);
        engine.reported_at = self.now;
        self.traffic.counted |= counted.is_some();
        self.traffic.heard = true;
        self.traffic.level += LEARN * (engine.others / cores - self.traffic.level);
    }

    /// A probe's answer: the report in it counts, a failure closes the engine for a while. That the process
    /// runs proves nothing of what it makes of queries, so it is no good outcome.
    fn probed(&mut self, probed: Probed) {
        let Some(engine) = self.engines.get_mut(&probed.engine) else { return };
        engine.asked_at = 0;
        if matches!(probed.outcome, Outcome::NoConnection | Outcome::Broken | Outcome::TimedOut) {
            engine.quarantined_until = engine.quarantined_until.max(self.now + self.pause);
        }
        probed.report.into_iter().for_each(|report| self.heed_report(probed.engine, report));
    }

    /// A word on an attempt that is out: the engine lives, and a plan may prove bad.
    fn noted(&mut self, id: RequestId, attempt: usize, note: Note) {
        let Some(held) = self.requests.get(&id) else { return };
        let Some(engine_id) = held.attempts.get(attempt).map(|a| a.entry.engine) else { return };
        let end_by = held.end_by;
        self.heard(engine_id);
        let warmth = self.engines.get(&engine_id).map_or(1.0, |engine| self.warmth(engine));
        let Some(engine) = self.engines.get_mut(&engine_id) else { return };
        // A cold engine is slow for all: that is no bad plan.
        let stretch = engine.stretch.max(1.0) / warmth;
        let Some(charge) = engine.out.get_mut(&(id, attempt)) else { return };
        match note {
            Note::Progress(share) => {
                let elapsed = (self.now - charge.sent_at) as f64;
                let remaining = elapsed * (1.0 - share).max(0.0) / share.max(1e-6);
                let fresh = charge.ideal * stretch;
                charge.noted = Some((elapsed, share * charge.ideal));
                let bad_plan = !charge.waited && remaining > BAD_PLAN * fresh;
                engine.observe(self.now, self.latency, None);
                // Far slower than its own estimate where others run well: the plan is drawn anew elsewhere.
                if bad_plan && self.now + fresh as Micros <= end_by {
                    self.take_back(id, attempt);
                }
            }
            Note::WaitsForMemory => charge.waited = true,
            // Nothing is done yet, so nothing is lost elsewhere; one attempt is kept for worse.
            Note::WaitsForLoad => {
                charge.waited = true;
                engine.loading.insert(charge.group, self.now);
                if attempt + 2 < self.set.max_attempts {
                    self.take_back(id, attempt);
                }
            }
            Note::Spilling(_) => {}
        }
    }

    /// Another attempt where rules, time and the fleet's health allow one; else the end.
    fn further_or_end(&mut self, id: RequestId) {
        let Some(held) = self.requests.get(&id) else { return };
        if held.attempts.iter().any(|a| a.state == State::Out) {
            return;
        }
        // No retry storm: the sicker the fleet, the fewer further attempts; own cancels don't count.
        let tried = held.attempts.iter().filter(|a| !a.cancelled).count();
        let sick = self.traffic.fleet_bad > SICK_FLEET;
        let most = if sick { (1.0 / self.traffic.fleet_bad) as usize } else { usize::MAX };
        let left = held.attempts.len() < self.set.max_attempts && tried <= most;
        match left && self.may_repeat(held) && self.now < held.end_by && self.budget_allows_further() {
            true => _ = self.queue.insert((held.due, id), held.req.class),
            false => self.end(id, 0),
        }
    }

    // ---- End ----

    /// The only place that ends a request: refused where that is allowed, else failed.
    fn end(&mut self, id: RequestId, retry_after: Micros) {
        let Some(held) = self.requests.get_mut(&id).filter(|held| !held.ended && !held.streaming) else {
            return;
        };
        held.ended = true;
        let class = &self.set.classes[held.req.class];
        let ran = held.may_have_run().next().is_some();
        let known_to_all = class.effect == Effect::Keyed && class.scope == Scope::All;
        let may_refuse = !ran || class.effect == Effect::Safe || known_to_all;
        let retry_after = if self.set.may_advise { retry_after.min(self.set.max_advice) } else { 0 };
        self.actions.push(match may_refuse {
            true => Action::Refuse { request: id, retry_after },
            false => Action::Fail { request: id },
        });
        self.close(id);
    }

    /// The request is over: it leaves the queue, and is forgotten once no attempt of it is out.
    fn close(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.ended = true;
        self.queue.remove(&(held.due, id));
        let running = |(_, a): &(usize, &mut Attempt)| a.state == State::Out;
        let heeded = self.set.may_cancel && !held.streaming;
        for (attempt, tried) in held.attempts.iter_mut().enumerate().filter(running) {
            if heeded && !std::mem::replace(&mut tried.cancelled, true) {
                self.actions.push(Action::Cancel { request: id, attempt });
            }
        }
        if held.attempts.iter().all(|a| a.state != State::Out) {
            let Some(held) = self.requests.remove(&id) else { return };
            // Errors are an engine's fault where no other engine made one of the same request. This guards
            // against requests that no engine can use, which would shut out one after the other.
            for engine_id in held.erred_at() {
                self.engines.get_mut(&engine_id).into_iter().for_each(|e| e.doubts = (e.doubts - 1).max(0));
                if !held.erred_at_several() {
                    self.judge(engine_id, Outcome::Error);
                }
            }
            let line = held.req.key.and_then(|key| self.keys.get_mut(&key));
            line.into_iter().for_each(|line| line.0.retain(|&other| other != id));
        }
    }

    // ---- Health ----

    fn heard(&mut self, engine_id: EngineId) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&engine_id) else { return };
        engine.last_heard = now;
        if std::mem::take(&mut engine.silent) {
            (engine.quarantined_until, engine.probation, engine.strikes) = (now, 0, 0);
            self.actions.push(Action::Log(format!("engine {engine_id} speaks again")));
        }
    }

    /// Health by symptoms: the share of bad outcomes, whatever makes them bad.
    fn judge(&mut self, engine_id: EngineId, outcome: Outcome) {
        let bad = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Error | Outcome::NoConnection | Outcome::Broken => 1.0,
            Outcome::Full | Outcome::TimedOut | Outcome::Cancelled | Outcome::Unsent => return,
        };
        if bad == 0.0 || outcome == Outcome::Error {
            self.heard(engine_id);
        }
        self.traffic.fleet_bad += LEARN * (bad - self.traffic.fleet_bad);
        let Some(engine) = self.engines.get_mut(&engine_id) else { return };
        engine.bad += BAD_WEIGHT * (bad - engine.bad);
        engine.lost_connection |= matches!(outcome, Outcome::NoConnection | Outcome::Broken);
        if bad > 0.0 {
            if engine.bad > BAD_SHARE || engine.probation > 0 {
                self.quarantine(engine_id, "bad outcomes");
            }
            return;
        }
        // It lost its connections and answers again: a restart that nobody told of, maybe, so it is cold.
        if engine.probation > 0 && std::mem::take(&mut engine.lost_connection) {
            engine.cold_until = engine.cold_until.max(self.now + self.set.warm_within);
        }
        engine.probation = engine.probation.saturating_sub(1);
        if engine.probation == 0 && engine.strikes > 0 {
            (engine.bad, engine.strikes) = (0.0, 0);
            self.actions.push(Action::Log(format!("engine {engine_id} is back from probation")));
        }
    }

    /// Shuts an engine out for a while, longer at each relapse; then it is on probation.
    fn quarantine(&mut self, engine_id: EngineId, symptom: &str) {
        let listed = self.engines.values().filter(|e| e.listed);
        let away = listed.clone().filter(|e| e.probation > 0).count();
        // When most engines look bad at once the cause is shared: shutting them out would leave nothing.
        let shared = (away + 1) as f64 > MOST_QUARANTINED * listed.count() as f64;
        let (now, memory) = (self.now, self.latency);
        let Some(engine) = self.engines.get_mut(&engine_id) else { return };
        if now < engine.quarantined_until {
            return;
        }
        if engine.probation == 0 && shared {
            // Yet what answers next to nothing must not draw the queue by failing fast.
            let pause = if engine.bad > (1.0 + BAD_SHARE) / 2.0 { FULL_PAUSE * memory } else { 0.0 };
            engine.quarantined_until = now + pause as Micros;
            return;
        }
        let part = (QUARANTINE * 2f64.powi(engine.strikes)).min(LONGEST_QUARANTINE);
        engine.quarantined_until = now + (part * self.set.warm_within as f64) as Micros;
        engine.strikes += 1;
        engine.probation = PROBATION;
        if engine.strikes == 1 {
            self.actions.push(Action::Log(format!("engine {engine_id} quarantined: {symptom}")));
        }
    }

    /// Silence: attempts are out, yet no note and no outcome comes while other engines speak.
    fn watch_silence(&mut self) {
        let limit = |e: &Engine| match self.set.note_period {
            0 => e.out.values().map(|c| c.ideal).fold(0.0, f64::max) * e.stretch,
            period => period as f64,
        };
        let busy = self.engines.iter().filter(|(_, e)| !e.out.is_empty());
        let quiet = |e: &Engine| (self.now - e.last_heard) as f64 > SILENCE * limit(e);
        let mute = busy.clone().filter(|(_, e)| quiet(e));
        if mute.clone().count() as f64 > MOST_QUARANTINED * busy.count() as f64 {
            return;
        }
        for engine_id in mute.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.quarantine(engine_id, "silent");
            let Some(engine) = self.engines.get_mut(&engine_id).filter(|e| e.probation > 0) else { continue };
            engine.silent = true;
            // What it holds is taken back, where cancels are allowed and a repeat is safe.
            let held_there: Vec<(RequestId, usize)> = engine.out.keys().copied().collect();
            held_there.into_iter().for_each(|(id, attempt)| self.take_back(id, attempt));
        }
    }

    /// Cancels an attempt so that its request can go elsewhere.
    fn take_back(&mut self, id: RequestId, attempt: usize) {
        let Some(held) = self.requests.get(&id) else { return };
        let again = self.may_repeat(held) && held.attempts.len() < self.set.max_attempts && !held.streaming;
        let Some(held) = self.requests.get_mut(&id) else { return };
        if self.set.may_cancel && again && !held.attempts[attempt].cancelled {
            held.attempts[attempt].cancelled = true;
            self.actions.push(Action::Cancel { request: id, attempt });
        }
    }

    // ---- Overload ----

    /// What can't meet its aim gives way: when a request would be late, the one worth least per work goes.
    fn shed(&mut self) {
        // Work a microsecond that this gateway's share of the usable engines gets done.
        let usable = self.engines.values().filter(|e| e.open() && self.now >= e.quarantined_until);
        let cores = |e: &Engine| self.kind(e).cores * self.warmth(e) / self.set.peers;
        let rate = usable.map(|e| e.threads.max(cores(e)) / e.stretch.max(0.5)).sum::<f64>().max(LEARN);
        let mut ahead = 0.0;
        // Worth per work, a positive figure: its bits sort as it does.
        let mut kept: BTreeMap<(u64, RequestId), f64> = BTreeMap::new();
        let mut gone = Vec::new();
        for &(due, id) in self.queue.keys() {
            let held = &self.requests[&id];
            let latest = due as f64 + SHED_SLACK * due.saturating_sub(self.now) as f64;
            ahead += held.work;
            let place = ((held.worth / held.work.max(1.0)).to_bits(), id);
            kept.insert(place, held.work);
            while kept.contains_key(&place) && self.now as f64 + ahead / rate + held.ideal > latest {
                let Some(((_, victim), work)) = kept.pop_first() else { break };
                ahead -= work;
                gone.push(victim);
            }
        }
        for id in gone {
            let advice = (self.set.max_advice as f64 * (0.5 + 0.5 * self.rng.f64())) as Micros;
            self.end(id, advice);
        }
    }

    // ---- Beat ----

    fn beat(&mut self) {
        self.beating = false;
        self.watch_silence();
        self.release();
        self.draw_again();
        self.shed();
        let (now, memory) = (self.now, self.latency);
        // Where nobody reports, what a stranger assumes must not outlive its start.
        let kept = (-((BEAT_TICKS * self.set.tick) as f64) / memory).exp();
        self.traffic.level *= if self.traffic.heard { 1.0 } else { kept };
        self.keys.retain(|_, (line, rests_until)| !line.is_empty() || *rests_until > now);
        let since = now.saturating_sub(self.set.attempt_budget.map_or(0, |budget| budget.span));
        self.traffic.taken.retain(|&at| at >= since);
        self.traffic.further.retain(|&at| at >= since);
        self.traffic.groups.retain(|_, (_, at)| self.traffic.arrivals - *at < GROUP_FADED * GROUP_MEMORY);
        let since = now.saturating_sub(self.set.fall_window);
        for engine in self.engines.values_mut() {
            engine.observe(now, memory, None);
            engine.loading.retain(|_, at| *at + memory as Micros > now);
            engine.cold_sends.retain(|(at, _)| *at >= since);
        }
        self.engines.retain(|_, engine| engine.listed || !engine.out.is_empty());
    }

    // ---- Earlier lives ----

    /// What a later life of this gateway may want to know.
    pub fn lessons(&self) -> Lessons {
        let class = |own: &Learned| ClassLesson {
            work_ratio: own.work_ratio,
            memory_ratio: own.memory_ratio,
            work: own.work,
            memory_mb: own.memory,
        };
        let engine = |(&engine, own): (&EngineId, &Engine)| EngineLesson {
            engine,
            booted_at: own.entry.booted_at,
            stretch: own.stretch,
            best: own.best,
            bad: own.bad,
            others: own.others,
        };
        Lessons {
            classes: self.learned.iter().map(class).collect(),
            engines: self.engines.iter().filter(|(_, own)| own.listed).map(engine).collect(),
            level: self.traffic.level,
        }
    }

    /// Doubt grows with age: what was learned moves back to what a stranger holds. Of another process than
    /// the one that runs now, or where this life has learned already, nothing is taken back.
    fn remember(&mut self, lessons: Lessons, age: Micros) {
        let kept = (-(age as f64) / (LESSON_SPAN * self.set.warm_within.max(1) as f64)).exp();
        if kept < LEAST_LESSON {
            return;
        }
        let doubted = |stranger: f64, learned: f64| stranger + kept * (learned - stranger);
        for (own, told) in self.learned.iter_mut().zip(&lessons.classes).filter(|(own, _)| own.work == 0.0) {
            own.work_ratio = doubted(own.work_ratio, told.work_ratio.clamp(1.0 / CLIP, CLIP));
            own.memory_ratio = doubted(own.memory_ratio, told.memory_ratio.clamp(1.0 / CLIP, CLIP));
            (own.work, own.memory) = (told.work, told.memory_mb);
        }
        for told in &lessons.engines {
            let same =
                |own: &&mut Engine| own.listed && own.entry.booted_at == told.booted_at && own.ideal == 0.0;
            let Some(own) = self.engines.get_mut(&told.engine).filter(same) else { continue };
            own.best = doubted(1.0, told.best.clamp(0.0, 1.0));
            own.stretch = doubted(own.best, told.stretch.max(own.best));
            own.bad = doubted(0.0, told.bad.clamp(0.0, BAD_SHARE));
            (own.stretch_at, own.others) = (self.now, told.others.max(0.0));
            own.reported_at = self.now.saturating_sub(age);
        }
        self.traffic.level = doubted(self.traffic.level, lessons.level.max(0.0));
    }

    // ---- List of engines ----

    fn full_list(&mut self, entries: Vec<Entry>) {
        self.engines.values_mut().for_each(|e| e.listed = entries.iter().any(|n| n.engine == e.entry.engine));
        entries.into_iter().for_each(|entry| self.listed(entry));
    }

    fn listed(&mut self, entry: Entry) {
        let warm_at = entry.booted_at + self.set.warm_within;
        let engine = self.engines.entry(entry.engine).or_insert_with(|| Engine::new(entry));
        if entry.booted_at > engine.entry.booted_at {
            // A restart: what was learned of the process before it is void, what it is charged with is not.
            let out = std::mem::take(&mut engine.out);
            *engine = Engine { out, threads: engine.threads, memory: engine.memory, ..Engine::new(entry) };
        }
        if entry.booted_at > 0 {
            engine.cold_until = engine.cold_until.max(warm_at);
        }
        engine.entry = entry;
        engine.listed = entry.phase != Phase::Gone;
    }
}

/// Placement, also when all allowed engines are down or full.
fn may_place(class: &Class, entry: &Entry) -> bool {
    class.zones_only.as_ref().is_none_or(|zones| zones.contains(&entry.zone))
        && class.kinds_only.as_ref().is_none_or(|kinds| kinds.contains(&entry.kind))
}

/// A ratio moved toward an observation, which counts as at most `CLIP` times off.
fn nudged(ratio: f64, seen: Option<f64>) -> f64 {
    seen.map_or(ratio, |seen| ratio + LEARN * (seen.clamp(ratio / CLIP, ratio * CLIP) - ratio))
}
