//! The fleet's state at an instant, for each start of each gateway, and the facts that entries tell
//! of.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::IpAddr;

use eideryard::interface::{Action, EngineId, Event, Micros, Outcome, Phase, RequestId};
use eideryard_event_log::reader::ReadContent;
use eideryard_event_log::tally::RunningTally;
use eideryard_event_log::totals::Tally;
use eideryard_event_log::{
    AnswerKind, Entry, FleetEvent, HostEvent, ListedEngine, Names, RejectReason, Source,
};
use hdrhistogram::Histogram;

/// Open requests of one gateway that are kept; a gateway's own limits are far below.
const MAX_OPEN: usize = 1 << 17;
/// Attempts of one request that are kept.
const MAX_ATTEMPTS: usize = 32;
/// Attempts of an ended request that are told.
pub const SHOWN: usize = 3;
/// Outcomes of an engine that are shown.
pub const RECENT: usize = 12;
/// Latencies from 1 ms to an hour, in milliseconds, to two digits.
const LONGEST_MS: u64 = 3_600_000;
/// Classes that latencies are kept of.
const MAX_CLASSES: usize = 256;

/// Peers of one gateway that are told of.
const MAX_PEERS: usize = 400;

/// Something that happened, in words that need no state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fact {
    Began {
        restart_of: Option<usize>,
    },
    Taken {
        class: usize,
        tenant: usize,
        from: Option<IpAddr>,
    },
    /// Ended; the time is since it was taken, where that is known.
    Ended {
        request: RequestId,
        id: Option<u64>,
        class: usize,
        tenant: usize,
        how: AnswerKind,
        late: bool,
        took: Option<Micros>,
        attempts: usize,
        /// The last of them.
        last: [Option<Attempt>; SHOWN],
    },
    Refused {
        class: Option<usize>,
        tenant: Option<usize>,
    },
    Sent {
        engine: EngineId,
        class: usize,
        again: bool,
    },
    Out {
        engine: EngineId,
        outcome: Outcome,
        spent: Micros,
    },
    Listed {
        engine: EngineId,
        phase: Phase,
        started_anew: bool,
    },
    Quarantine {
        engine: EngineId,
        begins: bool,
    },
    Roster {
        heard: bool,
    },
    RosterEvent {
        number: u64,
    },
    Stopping,
    Over,
    /// Entries are missing from then on, up to now; how many, where that is known.
    Missing {
        from: Micros,
        entries: Option<u64>,
    },
    /// The record stops here without an end.
    Breaks,
}

#[derive(Clone, Copy, Debug)]
pub struct LoggedText {
    pub source: usize,
    pub at: Micros,
    pub fact: Fact,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Attempt {
    pub engine: EngineId,
    pub sent_at: Micros,
    pub ended: Option<(Outcome, Micros)>,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    pub class: usize,
    pub tenant: usize,
    pub from: Option<IpAddr>,
    pub arrived_at: Micros,
    pub grant_mb: f64,
    pub rank: u8,
    pub attempts: Vec<Attempt>,
    /// Attempts of before a segment began, of which only the number is known.
    pub earlier: usize,
    /// The module was told of it: its class is known.
    arrived: bool,
    answered: bool,
}

impl Request {
    pub fn tries(&self) -> usize {
        self.earlier + self.attempts.len()
    }
}

#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub name: String,
    pub address: String,
    pub phase: Phase,
    pub booted_at: Micros,
    pub in_flight: usize,
    pub granted_mb: f64,
    /// What the engine's last report counted as running there, of all gateways.
    pub reported: Option<f64>,
    /// Threads of what is out there.
    pub threads: f64,
    /// What is out there by rank.
    pub ranks: [u32; 4],
    pub quarantined: bool,
    /// Ended attempts by outcome, in the order of the tally.
    pub outcomes: [u64; 8],
    pub sent: u64,
    pub recent: VecDeque<Outcome>,
    pub last_answer: Option<Micros>,
}

pub struct Start {
    pub name: String,
    pub epoch: Micros,
    pub names: Names,
    pub counted: RunningTally,
    pub engines: BTreeMap<EngineId, Engine>,
    pub open: HashMap<RequestId, Request>,
    /// Those that were open before the segment that begins; what it doesn't tell again has ended
    /// unseen.
    before: HashMap<RequestId, Request>,
    connections: HashMap<u64, IpAddr>,
    /// Latency of served requests by class, in milliseconds.
    pub latency: Vec<Histogram<u64>>,
    pub heard_roster: bool,
    /// How its peers do, by name; whether it votes as a keeper, and whether a majority can be
    /// asked, where it said so.
    pub peers: BTreeMap<String, String>,
    pub votes: Option<bool>,
    pub majority: Option<bool>,
    /// Peers that were turned away, and why.
    pub turned: BTreeMap<String, String>,
    /// Tasks that it owns, by the engine that they are for, with their terms; and work that its
    /// fence turned away.
    pub owns: BTreeMap<EngineId, u64>,
    pub fenced: u64,
    pub stopping: bool,
    /// The counters that it ended with.
    pub own: Option<Vec<(String, u64)>>,
    pub first_at: Micros,
    pub last_at: Micros,
    /// Totals hold, up to the last entry: nothing was skipped since the last tally.
    pub exact: bool,
    pub left_out: u64,
    pub entries: u64,
    damaged_since: Option<Micros>,
    /// It neither ended nor told more.
    pub broke_off: bool,
    /// What was counted before the time that is looked at.
    base: Option<Tally>,
}

impl Start {
    fn new(source: &Source, at: Micros) -> Self {
        Start {
            name: source.name.clone(),
            epoch: source.epoch,
            names: Names::default(),
            counted: RunningTally::default(),
            engines: BTreeMap::new(),
            open: HashMap::new(),
            before: HashMap::new(),
            connections: HashMap::new(),
            latency: Vec::new(),
            heard_roster: false,
            peers: BTreeMap::new(),
            votes: None,
            majority: None,
            turned: BTreeMap::new(),
            owns: BTreeMap::new(),
            fenced: 0,
            stopping: false,
            own: None,
            first_at: at,
            last_at: at,
            exact: true,
            left_out: 0,
            entries: 0,
            damaged_since: None,
            broke_off: false,
            base: None,
        }
    }

    /// What was counted in the time that is looked at.
    pub fn tally(&self) -> Tally {
        match &self.base {
            Some(base) => self.counted.tally.since(base),
            None => self.counted.tally.clone(),
        }
    }

    pub fn class(&self, at: usize) -> String {
        self.names
            .classes
            .get(at)
            .cloned()
            .unwrap_or_else(|| format!("class {at}"))
    }

    pub fn tenant(&self, at: usize) -> String {
        self.names
            .tenants
            .get(at)
            .cloned()
            .unwrap_or_else(|| format!("tenant {at}"))
    }

    pub fn engine(&self, engine: EngineId) -> String {
        let name = self
            .engines
            .get(&engine)
            .map(|own| own.name.clone())
            .filter(|name| !name.is_empty());
        name.unwrap_or_else(|| format!("engine {engine:08x}"))
    }
}

#[derive(Default)]
pub struct Fleet {
    /// One for each source, in the order of the records; nothing where it has told nothing yet.
    pub starts: Vec<Option<Start>>,
    /// The latest time told by any.
    pub now: Micros,
}

type Tell<'a> = &'a mut dyn FnMut(LoggedText);

impl Fleet {
    pub fn start(&self, source: usize) -> Option<&Start> {
        self.starts.get(source).and_then(Option::as_ref)
    }

    pub fn known(&self) -> impl Iterator<Item = (usize, &Start)> {
        self.starts
            .iter()
            .enumerate()
            .filter_map(|(at, start)| Some((at, start.as_ref()?)))
    }

    /// Of each gateway the last start.
    pub fn latest(&self) -> impl Iterator<Item = (usize, &Start)> {
        self.known().filter(|(_, start)| !self.superseded(start))
    }

    /// Starts that run as far as the records tell: of each gateway the last, unless it has ended.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Start)> {
        self.latest().filter(|(_, start)| start.own.is_none())
    }

    /// The name of an engine, as any of the gateways knows it: all number engines alike, by their
    /// names.
    pub fn engine(&self, engine: EngineId) -> String {
        let names = self
            .known()
            .filter_map(|(_, start)| start.engines.get(&engine));
        let name = names
            .map(|own| &own.name)
            .find(|name| !name.is_empty())
            .cloned();
        name.unwrap_or_else(|| format!("engine {engine:08x}"))
    }

    /// The name of a class or tenant: gateways of one fleet have the same settings.
    pub fn class(&self, at: usize) -> String {
        let mut starts = self
            .known()
            .filter(|(_, start)| at < start.names.classes.len());
        starts
            .next()
            .map_or_else(|| format!("class {at}"), |(_, start)| start.class(at))
    }

    pub fn tenant(&self, at: usize) -> String {
        let mut starts = self
            .known()
            .filter(|(_, start)| at < start.names.tenants.len());
        starts
            .next()
            .map_or_else(|| format!("tenant {at}"), |(_, start)| start.tenant(at))
    }

    /// What a source counted and took up to now is the past.
    pub(crate) fn count_from_here(&mut self, source: usize, from: Micros) {
        let start = self.starts.get_mut(source).and_then(Option::as_mut);
        if let Some(start) = start.filter(|start| start.base.is_none() && start.first_at < from) {
            start.base = Some(start.counted.tally.clone());
            start.latency.clear();
        }
    }

    fn superseded(&self, start: &Start) -> bool {
        self.known()
            .any(|(_, other)| other.name == start.name && other.epoch > start.epoch)
    }

    pub fn take(
        &mut self,
        sources: &[Source],
        source: usize,
        at: Micros,
        what: &ReadContent,
        tell: Tell<'_>,
    ) {
        if self.starts.len() < sources.len() {
            self.starts.resize_with(sources.len(), || None);
        }
        self.now = self.now.max(at);
        if self.starts[source].is_none() {
            let new = &sources[source];
            let mut restart_of = None;
            for (number, start) in self.starts.iter_mut().enumerate() {
                let Some(start) = start.as_mut().filter(|start| start.name == new.name) else {
                    continue;
                };
                restart_of = Some(number);
                if start.own.is_none() && !std::mem::replace(&mut start.broke_off, true) {
                    tell(LoggedText {
                        source: number,
                        at: start.last_at,
                        fact: Fact::Breaks,
                    });
                    let fact = Fact::Missing {
                        from: start.last_at,
                        entries: None,
                    };
                    tell(LoggedText {
                        source: number,
                        at,
                        fact,
                    });
                }
            }
            self.starts[source] = Some(Start::new(new, at));
            tell(LoggedText {
                source,
                at,
                fact: Fact::Began { restart_of },
            });
        }
        let Some(start) = &mut self.starts[source] else {
            return;
        };
        match what {
            ReadContent::Damaged => {
                start.exact = false;
                start.damaged_since.get_or_insert(start.last_at);
            }
            ReadContent::Entry(entry) => {
                if let Some(from) = start.damaged_since.take() {
                    tell(LoggedText {
                        source,
                        at,
                        fact: Fact::Missing {
                            from,
                            entries: None,
                        },
                    });
                }
                start.last_at = start.last_at.max(at);
                start.entries += 1;
                start.take(source, at, entry, tell);
            }
        }
    }

    /// What has neither ended nor been told of for a while before the end of all records has broken
    /// off.
    pub fn finish(&mut self, tell: Tell<'_>) {
        let now = self.now;
        for (source, start) in self.starts.iter_mut().enumerate() {
            let Some(start) = start else { continue };
            if start.own.is_none() && !start.broke_off && start.last_at + BREAK < now {
                start.broke_off = true;
                tell(LoggedText {
                    source,
                    at: start.last_at,
                    fact: Fact::Breaks,
                });
                let fact = Fact::Missing {
                    from: start.last_at,
                    entries: None,
                };
                tell(LoggedText {
                    source,
                    at: now,
                    fact,
                });
            }
        }
    }
}

/// A gateway's record tells something three times as often as this, if only that it lives.
const BREAK: Micros = 3_000_000;

impl Start {
    fn take(&mut self, source: usize, at: Micros, entry: &Entry, tell: Tell<'_>) {
        let in_state = self.counted.is_in_state();
        self.counted.add(entry.as_ref());
        let mut say = |fact| tell(LoggedText { source, at, fact });
        match entry {
            Entry::Event(event) => self.event(at, event, &mut say),
            Entry::Action(action) => self.action(at, action, &mut say),
            Entry::Host(host) => self.host(at, host, in_state, &mut say),
        }
    }

    fn event(&mut self, at: Micros, event: &Event, say: &mut dyn FnMut(Fact)) {
        match event {
            Event::Arrived(arrived) => {
                let from = self.open.get(&arrived.id).and_then(|open| open.from);
                say(Fact::Taken {
                    class: arrived.class,
                    tenant: arrived.tenant,
                    from,
                });
                if let Some(open) = self.open.get_mut(&arrived.id) {
                    (open.class, open.tenant, open.arrived) = (arrived.class, arrived.tenant, true);
                    if open.answered {
                        self.close(arrived.id);
                    }
                }
            }
            Event::AttemptEnded(ended) => {
                let Some(open) = self.open.get_mut(&ended.request) else {
                    return;
                };
                let place = ended.attempt.checked_sub(open.earlier);
                let Some(tried) = place.and_then(|place| open.attempts.get_mut(place)) else {
                    return;
                };
                tried.ended = Some((ended.outcome, at));
                let (engine, rank, grant) = (tried.engine, open.rank, open.grant_mb);
                let threads = self.names.threads_of_class(open.class);
                let done =
                    open.answered && open.attempts.iter().all(|attempt| attempt.ended.is_some());
                if done {
                    self.open.remove(&ended.request);
                }
                if let Some(own) = self.engines.get_mut(&engine) {
                    own.leave(rank, grant, threads);
                    own.outcomes[ended.outcome as usize] += 1;
                    own.recent.push_back(ended.outcome);
                    if own.recent.len() > RECENT {
                        own.recent.pop_front();
                    }
                    if ended.outcome == Outcome::Answered {
                        own.last_answer = Some(at);
                    }
                    own.reported = ended
                        .report
                        .and_then(|report| report.in_flight)
                        .or(own.reported);
                }
                say(Fact::Out {
                    engine,
                    outcome: ended.outcome,
                    spent: ended.spent,
                });
            }
            _ => {}
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn action(&mut self, at: Micros, action: &Action, say: &mut dyn FnMut(Fact)) {
        match action {
            Action::Grant {
                request,
                grant_mb,
                rank,
            } => {
                let Some(open) = self.open.get_mut(request) else {
                    return;
                };
                let (old_rank, old_grant) = (open.rank, open.grant_mb);
                let threads = self.names.threads_of_class(open.class);
                (open.rank, open.grant_mb) = (*rank, *grant_mb);
                let out = open
                    .attempts
                    .iter()
                    .filter(|attempt| attempt.ended.is_none());
                for engine in out.map(|attempt| attempt.engine) {
                    if let Some(own) = self.engines.get_mut(&engine) {
                        own.leave(old_rank, old_grant, threads);
                        own.enter(*rank, *grant_mb, threads);
                    }
                }
            }
            Action::Send {
                request, engine, ..
            } => {
                let own = self.engines.entry(*engine).or_default();
                own.sent += 1;
                let Some(open) = self.open.get_mut(request) else {
                    return;
                };
                own.enter(
                    open.rank,
                    open.grant_mb,
                    self.names.threads_of_class(open.class),
                );
                let again = open.tries() > 0;
                if open.attempts.len() >= MAX_ATTEMPTS {
                    open.attempts.remove(0);
                    open.earlier += 1;
                }
                open.attempts.push(Attempt {
                    engine: *engine,
                    sent_at: at,
                    ended: None,
                });
                say(Fact::Sent {
                    engine: *engine,
                    class: open.class,
                    again,
                });
            }
            Action::Log(text) => {
                // The module tells of quarantines in words: `engine N quarantined: ...`, `engine N
                // is back ...`.
                let mut words = text.split(' ');
                let engine = (words.next() == Some("engine"))
                    .then(|| words.next()?.parse().ok())
                    .flatten();
                let begins = match words.next() {
                    Some("quarantined:") => true,
                    Some("is" | "speaks") => false,
                    _ => return,
                };
                let Some(engine) = engine else { return };
                if let Some(own) = self.engines.get_mut(&engine) {
                    own.quarantined = begins;
                    say(Fact::Quarantine { engine, begins });
                }
            }
            _ => {}
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn host(&mut self, at: Micros, host: &HostEvent, in_state: bool, say: &mut dyn FnMut(Fact)) {
        match host {
            HostEvent::SegmentStarted { .. } => {
                self.before = std::mem::take(&mut self.open);
                self.connections.clear();
                for own in self.engines.values_mut() {
                    (own.in_flight, own.granted_mb, own.threads, own.ranks) = (0, 0.0, 0.0, [0; 4]);
                }
            }
            HostEvent::StateComplete => {
                // Answered ones stay while attempts of theirs are out: the state doesn't tell of
                // them.
                let late = std::mem::take(&mut self.before)
                    .into_iter()
                    .filter(|(_, request)| request.answered);
                for (key, request) in late {
                    let threads = self.names.threads_of_class(request.class);
                    for attempt in request
                        .attempts
                        .iter()
                        .filter(|attempt| attempt.ended.is_none())
                    {
                        let own = self.engines.entry(attempt.engine).or_default();
                        own.enter(request.rank, request.grant_mb, threads);
                    }
                    self.open.insert(key, request);
                }
            }
            HostEvent::Names(names) => self.names = names.clone(),
            HostEvent::Tally(_) => self.exact = true,
            HostEvent::Engine(listed) => self.listed(listed, in_state, say),
            HostEvent::OpenRequest(told) => {
                let known = self.before.remove(&told.client_request.request);
                let (grant_mb, rank) = known
                    .as_ref()
                    .map_or((0.0, 0), |own| (own.grant_mb, own.rank));
                let attempts = match known {
                    Some(known) => known.attempts,
                    None => {
                        let out = told.running.into_iter();
                        out.map(|running| Attempt {
                            engine: running.engine,
                            sent_at: running.sent_at,
                            ended: None,
                        })
                        .collect()
                    }
                };
                for attempt in attempts.iter().filter(|attempt| attempt.ended.is_none()) {
                    let threads = self.names.threads_of_class(told.class);
                    self.engines
                        .entry(attempt.engine)
                        .or_default()
                        .enter(rank, grant_mb, threads);
                }
                let request = Request {
                    id: told.client_request.id,
                    class: told.class,
                    tenant: told.tenant,
                    from: self
                        .connections
                        .get(&told.client_request.connection)
                        .copied(),
                    arrived_at: told.arrived_at,
                    grant_mb,
                    rank,
                    earlier: (told.attempts as usize).saturating_sub(attempts.len()),
                    attempts,
                    arrived: true,
                    answered: false,
                };
                self.keep(told.client_request.request, request);
            }
            HostEvent::Connected {
                connection,
                address,
            } => {
                if self.connections.len() < MAX_OPEN {
                    self.connections.insert(*connection, *address);
                }
            }
            HostEvent::Disconnected { connection } => _ = self.connections.remove(connection),
            HostEvent::RequestReceived(offer) => {
                let request = Request {
                    id: offer.id,
                    class: 0,
                    tenant: 0,
                    from: self.connections.get(&offer.connection).copied(),
                    arrived_at: at,
                    grant_mb: 0.0,
                    rank: 0,
                    attempts: Vec::new(),
                    earlier: 0,
                    arrived: false,
                    answered: false,
                };
                self.keep(offer.request, request);
            }
            HostEvent::RequestRejected {
                reason: how,
                class,
                tenant,
            } => {
                if !matches!(
                    how,
                    RejectReason::Invalid | RejectReason::ClientDisconnected
                ) {
                    say(Fact::Refused {
                        class: *class,
                        tenant: *tenant,
                    });
                }
            }
            HostEvent::Answered {
                request,
                class,
                tenant,
                kind: how,
                is_late: late,
            } => {
                let open = self.open.get_mut(request);
                let took = open.as_ref().map(|open| at.saturating_sub(open.arrived_at));
                let (id, attempts) = open
                    .as_ref()
                    .map_or((None, 0), |open| (Some(open.id), open.tries()));
                if *how == AnswerKind::Served && *class < MAX_CLASSES {
                    while self.latency.len() <= *class {
                        // The bounds are constants that fit.
                        self.latency
                            .extend(Histogram::new_with_bounds(1, LONGEST_MS, 2).ok());
                    }
                    for took in took.into_iter() {
                        self.latency[*class].saturating_record(took / 1000);
                    }
                }
                let (class, tenant, how, late) = (*class, *tenant, *how, *late);
                let mut last = [None; SHOWN];
                let tried = open.as_ref().map_or(&[][..], |open| &open.attempts[..]);
                let shown = &tried[tried.len().saturating_sub(SHOWN)..];
                last.iter_mut()
                    .zip(shown)
                    .for_each(|(place, attempt)| *place = Some(*attempt));
                say(Fact::Ended {
                    request: *request,
                    id,
                    class,
                    tenant,
                    how,
                    late,
                    took,
                    attempts,
                    last,
                });
                if let Some(open) = open {
                    open.answered = true;
                    // The module is told of one that was given back at once only after its end.
                    if open.arrived {
                        self.close(*request);
                    }
                }
            }
            HostEvent::DiscoveryLink { is_up: up } => {
                if self.heard_roster != *up || in_state {
                    self.heard_roster = *up;
                    if !in_state {
                        say(Fact::Roster { heard: *up });
                    }
                }
            }
            HostEvent::DiscoveryEvent { number } => say(Fact::RosterEvent { number: *number }),
            HostEvent::Stopping => {
                self.stopping = true;
                say(Fact::Stopping);
            }
            HostEvent::Ended { counters } => {
                self.own = Some(counters.clone());
                say(Fact::Over);
            }
            HostEvent::Gap { from, entries, .. } => {
                self.left_out += entries;
                say(Fact::Missing {
                    from: *from,
                    entries: Some(*entries),
                });
            }
            HostEvent::RetryAttached { class, tenant } => say(Fact::Taken {
                class: *class,
                tenant: *tenant,
                from: None,
            }),
            HostEvent::Fleet(word) => self.fleet_word(word),
            HostEvent::ConfigReloaded { .. }
            | HostEvent::ConnectionClosing { .. }
            | HostEvent::Heartbeat
            | HostEvent::RefusalExplained { .. } => {}
        }
    }

    fn fleet_word(&mut self, word: &FleetEvent) {
        match word {
            FleetEvent::PeerState { name, state } => {
                if self.peers.len() < MAX_PEERS || self.peers.contains_key(name) {
                    self.peers.insert(name.clone(), state.clone());
                }
                self.turned.remove(name);
            }
            FleetEvent::PeerRejected { name, reason: why } if self.turned.len() < MAX_PEERS => {
                self.turned.insert(name.clone(), why.clone());
            }
            FleetEvent::PeerRejected { .. } => {}
            FleetEvent::VotingChanged { is_voter: votes } => self.votes = Some(*votes),
            FleetEvent::MajorityChanged {
                is_reachable: stands,
            } => self.majority = Some(*stands),
            FleetEvent::LeaseChanged {
                task,
                term,
                is_held: true,
            } if self.owns.len() < MAX_PEERS => {
                self.owns.insert(*task, *term);
            }
            FleetEvent::LeaseChanged { task, .. } => _ = self.owns.remove(task),
            FleetEvent::WorkReceived {
                is_accepted: counts,
                ..
            } => self.fenced += u64::from(!counts),
        }
    }

    fn listed(&mut self, listed: &ListedEngine, in_state: bool, say: &mut dyn FnMut(Fact)) {
        let known = self.engines.get(&listed.engine);
        let started_anew = known.is_some_and(|own| {
            listed.booted_at > own.booted_at
                || (!listed.address.is_empty() && own.address != listed.address)
        });
        let changed = known.is_none_or(|own| own.phase != listed.phase || own.name != listed.name);
        let own = self.engines.entry(listed.engine).or_default();
        if started_anew {
            // Another process: what its predecessor did is not held against it.
            own.recent.clear();
            own.quarantined = false;
        }
        own.name.clone_from(&listed.name);
        if !listed.address.is_empty() {
            own.address.clone_from(&listed.address);
        }
        (own.phase, own.booted_at) = (listed.phase, listed.booted_at);
        if (changed || started_anew) && !in_state {
            say(Fact::Listed {
                engine: listed.engine,
                phase: listed.phase,
                started_anew,
            });
        }
    }

    fn keep(&mut self, key: RequestId, request: Request) {
        if self.open.len() < MAX_OPEN {
            self.open.insert(key, request);
        }
    }

    /// Forgets a request that was answered, unless an attempt of it is still out.
    fn close(&mut self, key: RequestId) {
        let out = |request: &Request| {
            request
                .attempts
                .iter()
                .any(|attempt| attempt.ended.is_none())
        };
        if self.open.get(&key).is_some_and(|request| !out(request)) {
            self.open.remove(&key);
        }
    }

    /// Requests that wait for their answer.
    pub fn unanswered(&self) -> impl Iterator<Item = &Request> {
        self.open.values().filter(|request| !request.answered)
    }
}

impl Engine {
    fn enter(&mut self, rank: u8, grant_mb: f64, threads: f64) {
        self.in_flight += 1;
        self.threads += threads;
        self.granted_mb += grant_mb;
        self.ranks[rank.min(3) as usize] += 1;
    }

    fn leave(&mut self, rank: u8, grant_mb: f64, threads: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.threads = (self.threads - threads).max(0.0);
        self.granted_mb = (self.granted_mb - grant_mb).max(0.0);
        let place = &mut self.ranks[rank.min(3) as usize];
        *place = place.saturating_sub(1);
    }
}
