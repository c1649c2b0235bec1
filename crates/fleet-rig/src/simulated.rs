//! A simulated fleet with the cores that ship: virtual time, links, disks and engines, hundreds of gateways
//! in one thread. Everything comes of a seed. Figures from here are of simulated servers and called so.
//!
//! Clients ask keyed requests at any gateway and come again elsewhere when they hear nothing; gateways die,
//! keepers are killed, wiped and paused, links break; engines of three cells drop repeats of the keys that
//! their own cell has seen. What the module would decide is reduced to its rule on effects.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use eideryard_ledger::Place;
use eideryard_replica::copies::Limits;
use eideryard_replica::core::Counted;
use eideryard_replica::{Copy, Core, Message, Origin, Output, Peer, Plan, Told, Verdict};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::timeline::{self, Micros, Timeline};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const WINDOW: Micros = 5 * S;
const SLACK: Micros = 2 * S;
const WAIT: Micros = 2 * S;
const LONGEST: Micros = WAIT + WINDOW + SLACK;
const CELLS: u32 = 3;
/// Gateways look at what time brings this often.
const LOOK: Micros = 250 * MS;
/// Clients ask within this time; then the fleet comes to rest.
pub const ASKS: Micros = 20 * S;
const RESTS: Micros = 14 * S;

#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    pub keepers: usize,
    pub requests: usize,
    pub faults: usize,
}

/// What is taken out, to show that the checks bite.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Without {
    Nothing,
    /// Gateways send with no word from keepers.
    Claims,
    /// A keeper that lost its disk votes at once.
    CatchUp,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub requests: u64,
    pub effects: u64,
    pub effects_twice: u64,
    pub unanswered: u64,
    pub refused: u64,
    /// Keys whose copies differ between keepers at the end.
    pub differ: u64,
    pub messages: u64,
    pub bytes: u64,
    pub caught_up_bytes: u64,
    pub mended: u64,
    /// Entries at the keeper that held most.
    pub most_held: u64,
    /// The longest that a keeper took to vote again, in milliseconds.
    pub longest_catch_up_ms: u64,
    /// From the first claim to its verdict, at the worst where it was granted.
    pub longest_claim_ms: u64,
}

enum Event {
    Deliver {
        link: (usize, usize),
        epoch: u64,
        to_keeper: bool,
        message: Message,
    },
    Link {
        link: (usize, usize),
        up: bool,
    },
    Look(usize),
    Flush {
        keeper: usize,
        start: u64,
    },
    Ask(usize),
    /// A client has waited for long enough.
    GiveUp {
        request: usize,
        gateway: usize,
        start: u64,
    },
    Run {
        key: usize,
        cell: u32,
    },
    /// An attempt ends at its gateway.
    Over {
        gateway: usize,
        start: u64,
        key: usize,
        cell: u32,
    },
    Kill {
        gateway: usize,
        wiped: bool,
        down: Micros,
    },
    Start(usize),
    Pause {
        gateway: usize,
        until: Micros,
    },
    Cut {
        link: (usize, usize),
        until: Micros,
    },
}

struct Gateway {
    core: Core,
    up: bool,
    paused_until: Micros,
    start: u64,
    identity: u64,
    disk: BTreeMap<Vec<u8>, Copy>,
    voted: bool,
    /// Written and not durable, with what follows.
    unflushed: Vec<(Vec<u8>, Option<Copy>, Vec<Output>)>,
    flushing: bool,
    /// Keys that the store holds as sent or about to be, as the ledger has them.
    local: HashMap<usize, Local>,
    /// Claims under way: the request, its cell, when it was asked, what is known.
    claims: HashMap<u64, (usize, u32, Micros, Told)>,
    numbers: u64,
    voted_at: Option<Micros>,
}

/// A key in a gateway's ledger: where and since when it may run, attempts without an end, and whether one
/// that ended may have run.
#[derive(Clone, Copy)]
struct Local {
    cell: u32,
    since: Micros,
    out: u32,
    ran: bool,
}

#[derive(Clone, Copy, Default)]
struct Request {
    tries: u32,
    done: bool,
    first: Micros,
    at: usize,
}

pub struct Fleet {
    size: Size,
    without: Without,
    rng: StdRng,
    time: Timeline<Event, ((usize, usize), bool)>,
    gateways: Vec<Gateway>,
    /// Which links are up, how often each has been made, and until when it is cut.
    links: BTreeMap<(usize, usize), (bool, u64, Micros)>,
    requests: Vec<Request>,
    /// When each cell first saw a key.
    seen: HashMap<(usize, u32), Micros>,
    effects: HashMap<usize, u64>,
    figures: Figures,
    /// What happens to this key is told, and to keepers.
    traced: Option<usize>,
    pub story: Vec<String>,
}

fn key_of(request: usize) -> Vec<u8> {
    [&[0, 0][..], &(request as u64).to_be_bytes()].concat()
}

impl Fleet {
    pub fn new(size: Size, seed: u64, without: Without) -> Self {
        let mut fleet = Fleet {
            size,
            without,
            rng: StdRng::seed_from_u64(seed),
            time: Timeline::new(S),
            gateways: Vec::new(),
            links: BTreeMap::new(),
            requests: vec![Request::default(); size.requests],
            seen: HashMap::new(),
            effects: HashMap::new(),
            figures: Figures::default(),
            traced: None,
            story: Vec::new(),
        };
        for at in 0..size.gateways {
            let identity = fleet.rng.random();
            let mut gateway = Gateway {
                core: fleet.core(at, identity, 1, true, &BTreeMap::new()),
                up: true,
                paused_until: 0,
                start: 1,
                identity,
                disk: BTreeMap::new(),
                voted: true,
                unflushed: Vec::new(),
                flushing: false,
                local: HashMap::new(),
                claims: HashMap::new(),
                numbers: 0,
                voted_at: None,
            };
            gateway.voted_at = Some(0);
            fleet.gateways.push(gateway);
            let first = fleet.rng.random_range(0..LOOK);
            fleet.at(first, Event::Look(at));
        }
        for gateway in 0..size.gateways {
            for keeper in (0..size.keepers).filter(|keeper| *keeper != gateway) {
                fleet.links.insert((gateway, keeper), (false, 0, 0));
                let after = fleet.rng.random_range(0..100 * MS);
                fleet.at(after, Event::Link { link: (gateway, keeper), up: true });
            }
        }
        for request in 0..size.requests {
            let after = fleet.rng.random_range(S..ASKS);
            fleet.at(after, Event::Ask(request));
        }
        for _ in 0..size.faults {
            fleet.fault();
        }
        fleet
    }

    fn core(
        &self,
        at: usize,
        identity: u64,
        start: u64,
        whole: bool,
        disk: &BTreeMap<Vec<u8>, Copy>,
    ) -> Core {
        let plan = Plan {
            keepers: self.size.keepers,
            own: (at < self.size.keepers).then_some(at),
            longest: LONGEST,
            limits: Limits { entries: 100_000 },
            bytes_per_s: 1 << 20,
            send_without: false,
        };
        let whole = whole || self.without == Without::CatchUp;
        Core::start(plan, Origin { identity, start }, whole, disk.clone().into_iter(), self.time.now)
    }

    fn at(&mut self, after: Micros, event: Event) {
        self.time.at(after, event);
    }

    /// One fault at a drawn time; half of those of processes are of keepers.
    fn fault(&mut self) {
        let after = self.rng.random_range(2 * S..ASKS);
        let any = match self.rng.random_bool(0.5) {
            true => self.rng.random_range(0..self.size.keepers),
            false => self.rng.random_range(0..self.size.gateways),
        };
        let lasts = self.rng.random_range(100 * MS..4 * S);
        let event = match self.rng.random_range(0..8) {
            0 | 1 => Event::Kill { gateway: any, wiped: false, down: lasts },
            2 => Event::Kill { gateway: any, wiped: true, down: lasts },
            3 => Event::Pause { gateway: any, until: self.time.now + after + lasts },
            _ => {
                let keeper = self.rng.random_range(0..self.size.keepers);
                let gateway = if any == keeper { (any + 1) % self.size.gateways } else { any };
                Event::Cut { link: (gateway, keeper), until: self.time.now + after + lasts }
            }
        };
        self.at(after, event);
    }

    /// A line of the story, where this key is told of, or all keys.
    fn tell(&mut self, key: Option<usize>, what: impl FnOnce() -> String) {
        if self.traced.is_some() && (key.is_none() || key == self.traced) {
            self.story.push(format!("{:>9.3} s {}", self.time.now as f64 / 1e6, what()));
        }
    }

    /// What led to the first second effect of a seed, step by step.
    pub fn story_of(size: Size, seed: u64, without: Without) -> Vec<String> {
        let mut first = Fleet::new(size, seed, without);
        first.play();
        let twice = first.effects.iter().filter(|(_, count)| **count > 1).map(|(key, _)| *key).min();
        let Some(key) = twice else { return Vec::new() };
        let mut again = Fleet::new(size, seed, without);
        again.traced = Some(key);
        again.play();
        again.story
    }

    pub fn run(mut self) -> Figures {
        self.play();
        self.sum()
    }

    fn play(&mut self) {
        let until = self.time.now + ASKS + RESTS;
        while let Some(event) = self.time.next(until) {
            self.happens(event);
        }
    }

    fn sum(mut self) -> Figures {
        self.figures.requests = self.requests.len() as u64;
        self.figures.effects = self.effects.values().sum();
        self.figures.effects_twice = self.effects.values().filter(|count| **count > 1).count() as u64;
        self.figures.unanswered = self.requests.iter().filter(|own| !own.done).count() as u64;
        let keepers = &self.gateways[..self.size.keepers];
        let keys: BTreeSet<&Vec<u8>> = keepers.iter().flat_map(|own| own.disk.keys()).collect();
        let print = |own: &Gateway, key: &[u8]| {
            own.core
                .copies()
                .get(key)
                .map_or(0, |copy| eideryard_replica::copies::print_of(key, copy, self.time.now))
        };
        let differs = |key: &&&Vec<u8>| keepers.iter().any(|own| print(own, key) != print(&keepers[0], key));
        self.figures.differ = keys.iter().filter(differs).count() as u64;
        for own in &self.gateways {
            let Counted { caught_up_bytes, mended, .. } = own.core.counted;
            self.figures.caught_up_bytes += caught_up_bytes;
            self.figures.mended += mended;
        }
        self.figures
    }

    fn happens(&mut self, event: Event) {
        // One that stands still does all of it when it goes on.
        let paused = |gateway: usize, fleet: &Self| {
            fleet.gateways[gateway].paused_until.saturating_sub(fleet.time.now)
        };
        match event {
            Event::Deliver { link, epoch, to_keeper, message } => {
                let to = if to_keeper { link.1 } else { link.0 };
                let wait = paused(to, self);
                let stands = self.links.get(&link).is_some_and(|(up, own, _)| *up && *own == epoch);
                if wait > 0 {
                    return self.at(wait, Event::Deliver { link, epoch, to_keeper, message });
                }
                if stands {
                    let from = if to_keeper { Peer::Asker(link.0 as u64) } else { Peer::Keeper(link.1) };
                    let outputs = self.gateways[to].core.hears(self.time.now, from, message);
                    self.perform(to, outputs);
                }
            }
            Event::Link { link, up } => self.link(link, up),
            Event::Look(at) => {
                let wait = paused(at, self);
                if wait > 0 {
                    return self.at(wait, Event::Look(at));
                }
                if self.gateways[at].up {
                    let outputs = self.gateways[at].core.work(self.time.now);
                    self.perform(at, outputs);
                }
                self.at(LOOK, Event::Look(at));
            }
            Event::Flush { keeper, start } => self.flush(keeper, start),
            Event::Ask(request) => self.ask(request),
            Event::GiveUp { request, gateway, start } => {
                let own = &mut self.requests[request];
                if own.done || own.at != gateway || self.gateways[gateway].start != start {
                    return;
                }
                self.again(request);
            }
            Event::Run { key, cell } => {
                // Dropped as a repeat where this cell has seen the key within the window.
                self.tell(Some(key), || format!("runs in cell {cell}"));
                let known = self.seen.get(&(key, cell)).is_some_and(|at| self.time.now < at + WINDOW);
                if !known {
                    self.seen.insert((key, cell), self.time.now);
                    *self.effects.entry(key).or_default() += 1;
                }
            }
            Event::Over { gateway, start, key, cell } => {
                let wait = paused(gateway, self);
                if wait > 0 {
                    return self.at(wait, Event::Over { gateway, start, key, cell });
                }
                if !self.gateways[gateway].up || self.gateways[gateway].start != start {
                    // Its answer finds nobody: the client comes again.
                    return;
                }
                self.ended(gateway, key, cell, true);
                if self.requests[key].at == gateway {
                    self.requests[key].done = true;
                }
            }
            Event::Kill { gateway, wiped, down } => self.kill(gateway, wiped, down),
            Event::Start(gateway) => self.start(gateway),
            Event::Pause { gateway, until } => {
                self.tell(None, || format!("pause {gateway} until {until}"));
                let own = &mut self.gateways[gateway];
                own.paused_until = own.paused_until.max(until);
            }
            Event::Cut { link, until } => {
                if self.links.contains_key(&link) {
                    self.link(link, false);
                    if let Some(own) = self.links.get_mut(&link) {
                        own.2 = own.2.max(until);
                    }
                    let wait = until.saturating_sub(self.time.now);
                    self.at(wait, Event::Link { link, up: true });
                }
            }
        }
    }

    // ---- Links ----

    fn link(&mut self, link: (usize, usize), up: bool) {
        let ends_up = self.gateways[link.0].up && self.gateways[link.1].up;
        let Some(own) = self.links.get_mut(&link) else { return };
        if own.0 == up || (up && (!ends_up || self.time.now < own.2)) {
            return;
        }
        own.0 = up;
        own.1 += u64::from(up);
        let ends = [(link.0, Peer::Keeper(link.1)), (link.1, Peer::Asker(link.0 as u64))];
        for (at, peer) in ends {
            if self.gateways[at].up {
                let outputs = self.gateways[at].core.link(self.time.now, peer, up);
                self.perform(at, outputs);
            }
        }
    }

    fn send(&mut self, link: (usize, usize), to_keeper: bool, message: Message) {
        let about = self.traced.map(key_of).is_some_and(|key| match &message {
            Message::Claim { key: own, .. } | Message::Update { key: own, .. } => *own == key,
            Message::Part { entries, .. } => entries.iter().any(|entry| entry.key == key),
            Message::Claimed { .. } | Message::NotNow { .. } => false,
            _ => false,
        });
        if about {
            self.tell(None, || {
                format!("{link:?} to keeper {to_keeper}: {message:?}").chars().take(400).collect()
            });
        }
        let Some((true, epoch, _)) = self.links.get(&link).copied() else { return };
        self.figures.messages += 1;
        self.figures.bytes += 8 + postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len()) as u64;
        // One in fifty takes long, and what comes behind it as long.
        let delay = match self.rng.random_bool(0.02) {
            true => self.rng.random_range(10 * MS..300 * MS),
            false => self.rng.random_range(200..2 * MS),
        };
        let event = Event::Deliver { link, epoch, to_keeper, message };
        self.time.send((link, to_keeper), delay, event);
    }

    fn perform(&mut self, at: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(Peer::Keeper(keeper), message) => self.send((at, keeper), true, message),
                Output::Send(Peer::Asker(asker), message) => self.send((asker as usize, at), false, message),
                Output::Store { key, copy, then } => {
                    let own = &mut self.gateways[at];
                    own.unflushed.push((key, copy, then));
                    if !std::mem::replace(&mut own.flushing, true) {
                        let start = own.start;
                        let takes = self.rng.random_range(300..4 * MS);
                        self.at(takes, Event::Flush { keeper: at, start });
                    }
                }
                Output::OwnVote { number, seen } => {
                    let verdict = self.gateways[at].core.own_vote(self.time.now, number, &seen);
                    self.perform(at, verdict.into_iter().collect());
                }
                Output::Verdict(number, verdict) => self.decided(at, number, verdict),
                Output::Drained(_) | Output::Hints { .. } => {}
                Output::Votes => {
                    self.tell(None, || format!("{at} votes"));
                    let own = &mut self.gateways[at];
                    own.voted = true;
                    let took = self.time.now - own.voted_at.replace(0).unwrap_or(self.time.now);
                    self.figures.longest_catch_up_ms = self.figures.longest_catch_up_ms.max(took / MS);
                    let askers: Vec<_> =
                        self.links.keys().filter(|(_, keeper)| *keeper == at).copied().collect();
                    askers
                        .into_iter()
                        .for_each(|link| self.send(link, false, Message::Stands { votes: true }));
                }
            }
        }
    }

    fn flush(&mut self, keeper: usize, start: u64) {
        let own = &mut self.gateways[keeper];
        if own.start != start || !own.up {
            return;
        }
        if own.paused_until > self.time.now {
            let wait = own.paused_until - self.time.now;
            return self.at(wait, Event::Flush { keeper, start });
        }
        own.flushing = false;
        let mut outputs = Vec::new();
        for (key, copy, then) in std::mem::take(&mut own.unflushed) {
            match copy {
                Some(copy) => _ = own.disk.insert(key, copy),
                None => _ = own.disk.remove(&key),
            }
            outputs.extend(then);
        }
        self.figures.most_held = self.figures.most_held.max(own.disk.len() as u64);
        self.perform(keeper, outputs);
    }

    // ---- Processes ----

    fn kill(&mut self, gateway: usize, wiped: bool, down: Micros) {
        self.tell(None, || format!("kill {gateway} wiped {wiped} for {} ms", down / MS));
        if !std::mem::replace(&mut self.gateways[gateway].up, false) {
            return;
        }
        let links: Vec<_> =
            self.links.keys().filter(|(a, b)| *a == gateway || *b == gateway).copied().collect();
        links.into_iter().for_each(|link| self.link(link, false));
        let own = &mut self.gateways[gateway];
        (own.unflushed, own.flushing) = (Vec::new(), false);
        own.claims.clear();
        // What was out may run on.
        own.local.values_mut().for_each(|own| (own.ran, own.out) = (own.ran || own.out > 0, 0));
        if wiped {
            own.disk.clear();
            own.local.clear();
            own.identity = self.rng.random();
            own.voted = false;
        }
        for request in 0..self.requests.len() {
            let own = self.requests[request];
            if !own.done && own.tries > 0 && own.at == gateway {
                self.again(request);
            }
        }
        self.at(down, Event::Start(gateway));
    }

    fn start(&mut self, gateway: usize) {
        self.tell(None, || format!("start {gateway}"));
        let own = &self.gateways[gateway];
        let (identity, start, disk) = (own.identity, own.start + 1, own.disk.clone());
        let core = self.core(gateway, identity, start, own.voted, &disk);
        let own = &mut self.gateways[gateway];
        (own.core, own.start, own.up, own.paused_until) = (core, start, true, 0);
        own.voted_at = Some(self.time.now).filter(|_| !own.voted);
        let links: Vec<_> =
            self.links.keys().filter(|(a, b)| *a == gateway || *b == gateway).copied().collect();
        for link in links {
            let after = self.rng.random_range(10 * MS..200 * MS);
            self.at(after, Event::Link { link, up: true });
        }
    }

    // ---- Requests ----

    fn again(&mut self, request: usize) {
        let own = &mut self.requests[request];
        own.at = usize::MAX;
        if own.tries >= 4 {
            // Its client has had enough: an answer all the same, of its own making.
            own.done = true;
            return;
        }
        let after = self.rng.random_range(MS..500 * MS);
        self.at(after, Event::Ask(request));
    }

    fn ask(&mut self, request: usize) {
        let gateway = self.rng.random_range(0..self.size.gateways);
        let own = &mut self.requests[request];
        own.tries += 1;
        if own.tries == 1 {
            own.first = self.time.now;
        }
        if !self.gateways[gateway].up {
            return self.again(request);
        }
        self.requests[request].at = gateway;
        self.tell(Some(request), || format!("asked at {gateway}"));
        let start = self.gateways[gateway].start;
        self.at(WAIT, Event::GiveUp { request, gateway, start });
        let known = match self.gateways[gateway].local.get(&request) {
            Some(own) => vec![(Some(Place { zone: 0, cell: own.cell }), own.since)],
            None => Told::new(),
        };
        self.decide(request, gateway, known);
    }

    /// The module's rule on effects: within the one cell that may have run it, and within its window.
    fn decide(&mut self, request: usize, gateway: usize, known: Told) {
        let mut cells: Vec<_> = known.iter().map(|(place, _)| place.map(|place| place.cell)).collect();
        cells.sort();
        cells.dedup();
        let since = known.iter().map(|(_, since)| *since).min();
        // What an engine would get after the window of the first is not sent.
        let in_time = since.is_none_or(|since| self.time.now + 50 * MS < since + WINDOW);
        let cell = match &cells[..] {
            [] => Some(self.rng.random_range(0..CELLS)),
            [one] if in_time => *one,
            _ => None,
        };
        let Some(cell) = cell else {
            self.requests[request].done = true;
            return;
        };
        if self.without == Without::Claims {
            return self.dispatch(request, gateway, cell, since);
        }
        let own = &mut self.gateways[gateway];
        // As the ledger: it is there before anything goes out.
        let fresh = Local { cell, since: since.unwrap_or(self.time.now), out: 0, ran: false };
        own.local.entry(request).or_insert(fresh).out += 1;
        own.numbers += 1;
        let number = own.numbers;
        own.claims.insert(number, (request, cell, self.time.now, known.clone()));
        let (place, keep) = (Some(Place { zone: 0, cell }), WAIT + WINDOW + SLACK);
        let since = since.unwrap_or(self.time.now);
        let outputs = own.core.claim(self.time.now, number, &key_of(request), place, since, keep, known);
        self.perform(gateway, outputs);
    }

    /// An attempt has its end: keepers hear of a key once none of its attempts is out.
    fn ended(&mut self, gateway: usize, key: usize, cell: u32, ran: bool) {
        let Some(own) = self.gateways[gateway].local.get_mut(&key) else { return };
        own.out = own.out.saturating_sub(1);
        own.ran |= ran;
        let (out, ran) = (own.out, own.ran);
        if out > 0 {
            return;
        }
        if !ran {
            self.gateways[gateway].local.remove(&key);
        }
        let place = Some(Place { zone: 0, cell });
        let outputs =
            self.gateways[gateway].core.ended(self.time.now, &key_of(key), place, ran, WINDOW + SLACK);
        self.perform(gateway, outputs);
    }

    fn decided(&mut self, gateway: usize, number: u64, verdict: Verdict) {
        let Some((request, cell, asked, mut known)) = self.gateways[gateway].claims.remove(&number) else {
            return;
        };
        let waits = self.requests[request].at == gateway && !self.requests[request].done;
        self.tell(Some(request), || {
            format!("{gateway} claim {number} of cell {cell}: {verdict:?}, waits {waits}")
        });
        match verdict {
            Verdict::Granted if waits => {
                let took = (self.time.now - asked) / MS;
                self.figures.longest_claim_ms = self.figures.longest_claim_ms.max(took);
                let since = known.iter().map(|(_, since)| *since).min();
                self.dispatch(request, gateway, cell, since);
            }
            verdict => {
                self.ended(gateway, request, cell, false);
                match verdict {
                    Verdict::Earlier(told) if waits => {
                        known.extend(told);
                        self.decide(request, gateway, known);
                    }
                    _ if waits => {
                        self.figures.refused += 1;
                        self.again(request);
                    }
                    _ => {}
                }
            }
        }
    }

    fn dispatch(&mut self, request: usize, gateway: usize, cell: u32, since: Option<Micros>) {
        if since.is_some_and(|since| self.time.now + 50 * MS >= since + WINDOW) {
            // Time has passed since it was decided.
            self.ended(gateway, request, cell, false);
            self.requests[request].done = true;
            return;
        }
        let own = &mut self.gateways[gateway];
        if self.without == Without::Claims {
            let fresh = Local { cell, since: since.unwrap_or(self.time.now), out: 0, ran: false };
            own.local.entry(request).or_insert(fresh).out += 1;
        }
        let start = own.start;
        let (way, takes) = (self.rng.random_range(200..2 * MS), self.rng.random_range(5 * MS..900 * MS));
        self.at(way, Event::Run { key: request, cell });
        self.at(way + takes, Event::Over { gateway, start, key: request, cell });
    }
}

/// Plays seeds one after the other, and sums what counts and keeps the worst of what lasts.
pub fn play(size: Size, seeds: std::ops::Range<u64>, without: Without) -> (Figures, Vec<u64>) {
    let broken = |own: &Figures| own.effects_twice + own.unanswered + own.differ > 0;
    timeline::over(seeds, |seed| Fleet::new(size, seed, without).run(), broken, Figures::add)
}

impl Figures {
    pub fn add(&mut self, other: &Figures) {
        self.requests += other.requests;
        self.effects += other.effects;
        self.effects_twice += other.effects_twice;
        self.unanswered += other.unanswered;
        self.refused += other.refused;
        self.differ += other.differ;
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.caught_up_bytes += other.caught_up_bytes;
        self.mended += other.mended;
        self.most_held = self.most_held.max(other.most_held);
        self.longest_catch_up_ms = self.longest_catch_up_ms.max(other.longest_catch_up_ms);
        self.longest_claim_ms = self.longest_claim_ms.max(other.longest_claim_ms);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SMALL: Size = Size { gateways: 20, keepers: 3, requests: 60, faults: 14 };

    /// More faults than a fleet should ever see.
    const HARD: Size = Size { gateways: 12, keepers: 3, requests: 150, faults: 24 };
    const LARGE: Size = Size { gateways: 300, keepers: 5, requests: 200, faults: 60 };

    #[test]
    fn some_hundred_seeds_keep_the_rules_and_agree() {
        for (size, seeds) in [(SMALL, 0..200), (HARD, 0..100), (LARGE, 0..3)] {
            let (sum, broken) = play(size, seeds, Without::Nothing);
            assert!(broken.is_empty(), "{size:?}: {broken:?} {sum:?}");
            assert!(sum.effects > sum.requests / 2, "{sum:?}");
        }
    }

    #[test]
    fn without_claims_or_catch_up_the_same_seeds_take_effect_twice() {
        for (without, seeds) in [(Without::Claims, 0..5), (Without::CatchUp, 0..100)] {
            let (sum, _) = play(HARD, seeds, without);
            assert!(sum.effects_twice > 0, "{without:?}: {sum:?}");
        }
    }

    #[test]
    fn a_seed_plays_the_same_fleet() {
        let play = |_| format!("{:?}", Fleet::new(SMALL, 7, Without::Nothing).run());
        assert_eq!(play(0), play(1));
    }
}
