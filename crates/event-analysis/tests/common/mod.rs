//! Builds event logs from scripts: the entries that gateways log, at times in seconds after
//! [`START`].
#![allow(dead_code)]

use eideryard::interface::{self, Action, Event, Micros, Outcome, Phase};
use eideryard_event_analysis::View;
use eideryard_event_log::reader::ReadContent;
use eideryard_event_log::tally::RunningTally;
use eideryard_event_log::*;
use std::path::PathBuf;

/// Number of entries in the state at the start of a segment if no request is open.
const STATE_ENTRIES: usize = 11;

/// Time at which all scripts start, in microseconds since 1970: 05:00:00 UTC.
pub const START: Micros = 1_796_187_600_000_000;

pub fn at(seconds: f64) -> Micros {
    START + (seconds * 1e6).round() as Micros
}

/// How and when a request ends.
#[derive(Clone, Copy)]
pub struct Ending {
    pub kind: AnswerKind,
    /// Seconds from the arrival to the final answer.
    pub after_seconds: f64,
    pub is_late: bool,
}

/// A request that is served after 50 ms, before its deadline.
pub const SERVED: Ending = Ending {
    kind: AnswerKind::Served,
    after_seconds: 0.05,
    is_late: false,
};

/// Returns the event of a gap in which the log lost this number of entries.
pub fn gap(from: f64, to: f64, entries: u64) -> HostEvent {
    HostEvent::Gap {
        from: at(from),
        to: at(to),
        entries,
        counted: Box::default(),
    }
}

/// The entries of several gateways' logs, added in any order.
pub struct Script {
    names: Vec<String>,
    entries: Vec<(usize, Micros, Entry)>,
    requests: u64,
    /// Engines that requests are sent to in turn.
    pub engines: Vec<u32>,
    /// Connection that all requests come from; `None` if it depends on the tenant.
    pub connection: Option<u64>,
}

impl Script {
    /// Creates a script with one source for each name of a gateway. Each source has four engines,
    /// two classes and three tenants.
    pub fn new(names: &[&str]) -> Self {
        let names = names.iter().map(|name| name.to_string()).collect();
        Script {
            names,
            entries: Vec::new(),
            requests: 0,
            engines: vec![1, 2, 3, 4],
            connection: None,
        }
    }

    pub fn add_entry(&mut self, source: usize, time: Micros, entry: Entry) {
        self.entries.push((source, time, entry));
    }

    pub fn add_host_event(&mut self, source: usize, seconds: f64, host: HostEvent) {
        self.add_entry(source, at(seconds), Entry::Host(host));
    }

    fn engine(engine: u32, phase: Phase, booted_at: Micros, address: &str) -> HostEvent {
        let (name, address) = (format!("e-{engine}"), address.to_string());
        HostEvent::Engine(ListedEngine {
            engine,
            name,
            address,
            zone: 0,
            kind: 0,
            phase,
            booted_at,
        })
    }

    fn address(engine: u32) -> String {
        format!("127.0.0.1:{}", 7000 + engine)
    }

    pub fn list_engine(
        &mut self,
        source: usize,
        seconds: f64,
        engine: u32,
        phase: Phase,
        booted_at: Micros,
    ) {
        self.add_host_event(
            source,
            seconds,
            Self::engine(engine, phase, booted_at, &Self::address(engine)),
        );
    }

    pub fn move_engine(&mut self, source: usize, seconds: f64, engine: u32, address: &str) {
        self.add_host_event(
            source,
            seconds,
            Self::engine(engine, Phase::Ready, 0, address),
        );
    }

    /// Adds a request that is received, granted memory and sent to an engine, and returns its ID.
    pub fn open_request(
        &mut self,
        source: usize,
        seconds: f64,
        class: usize,
        tenant: usize,
        engine: u32,
    ) -> u64 {
        self.requests += 1;
        let (request, time) = ((self.requests << 32) | (self.requests % 50), at(seconds));
        let connection = self
            .connection
            .unwrap_or(if tenant == 2 { 2 << 32 } else { 1 << 32 });
        self.add_entry(
            source,
            time,
            Entry::Host(HostEvent::RequestReceived(ClientRequest {
                request,
                id: self.requests,
                connection,
            })),
        );
        let arrived = interface::Request {
            id: request,
            class,
            tenant,
            deadline: time + 5_000_000,
            ..interface::Request::default()
        };
        self.add_entry(source, time, Entry::Event(Event::Arrived(arrived)));
        self.add_entry(
            source,
            time,
            Entry::Action(Action::Grant {
                request,
                grant_mb: 64.0,
                rank: 1,
            }),
        );
        self.add_entry(
            source,
            time,
            Entry::Action(Action::Send {
                request,
                engine,
                attempt_deadline: time + 5_000_000,
            }),
        );
        request
    }

    pub fn end_request(&mut self, source: usize, seconds: f64, request: u64, end: Ending) {
        let outcome = if end.kind == AnswerKind::Served {
            Outcome::Answered
        } else {
            Outcome::AtCapacity
        };
        self.end_request_with_outcome(source, seconds, request, end, outcome);
    }

    fn end_request_with_outcome(
        &mut self,
        source: usize,
        seconds: f64,
        request: u64,
        end: Ending,
        outcome: Outcome,
    ) {
        let (time, Ending { kind, is_late, .. }) = (at(seconds), end);
        let arrived = self
            .entries
            .iter()
            .rev()
            .find_map(|(_, _, entry)| match entry {
                Entry::Event(Event::Arrived(arrived)) if arrived.id == request => {
                    Some((arrived.class, arrived.tenant))
                }
                _ => None,
            });
        let (class, tenant) = arrived.unwrap_or_default();
        let answered = HostEvent::Answered {
            request,
            class,
            tenant,
            kind,
            is_late,
        };
        self.add_entry(source, time, Entry::Host(answered));
        let ended = interface::AttemptEnded {
            request,
            attempt: 0,
            outcome,
            spent: 0,
            is_request_complete: true,
            is_already_reported: false,
            usage: None,
            report: None,
        };
        self.add_entry(source, time, Entry::Event(Event::AttemptEnded(ended)));
    }

    pub fn add_request(
        &mut self,
        source: usize,
        seconds: f64,
        class: usize,
        tenant: usize,
        end: Ending,
    ) {
        let engine = self.engines[self.requests as usize % self.engines.len()];
        let request = self.open_request(source, seconds, class, tenant, engine);
        self.end_request(source, seconds + end.after_seconds, request, end);
    }

    /// Adds `rate` requests a second, which are all served at the first attempt.
    pub fn add_steady_requests(&mut self, source: usize, from: u64, to: u64, rate: u64) {
        for number in 0..(to - from) * rate {
            let seconds = from as f64 + number as f64 / rate as f64;
            self.add_request(
                source,
                seconds,
                (number % 2) as usize,
                (number % 2) as usize,
                SERVED,
            );
        }
    }

    pub fn add_tenant_flood(
        &mut self,
        source: usize,
        from: u64,
        to: u64,
        rate: u64,
        tenant: usize,
    ) {
        for number in 0..(to - from) * rate {
            let seconds = from as f64 + number as f64 / rate as f64;
            self.add_request(source, seconds, 0, tenant, SERVED);
        }
    }

    fn add_attempt_with_outcome(
        &mut self,
        source: usize,
        seconds: f64,
        engine: u32,
        outcome: Outcome,
    ) {
        let request = self.open_request(source, seconds, 0, 0, engine);
        let kind = if outcome == Outcome::Answered {
            AnswerKind::Served
        } else {
            AnswerKind::Failed
        };
        self.end_request_with_outcome(source, seconds, request, Ending { kind, ..SERVED }, outcome);
    }

    pub fn refuse_connection(&mut self, source: usize, seconds: f64, engine: u32) {
        self.add_attempt_with_outcome(source, seconds, engine, Outcome::NoConnection);
    }

    pub fn break_connection(&mut self, source: usize, seconds: f64, engine: u32) {
        self.add_attempt_with_outcome(source, seconds, engine, Outcome::Broken);
    }

    pub fn answer_attempt(&mut self, source: usize, seconds: f64, engine: u32) {
        self.add_attempt_with_outcome(source, seconds, engine, Outcome::Answered);
    }

    /// Starts a segment, to which [`Script::into_entries`] adds the state. Returns the index of its
    /// first entry there.
    pub fn start_segment(&mut self, source: usize, seconds: f64) -> usize {
        self.add_entry(
            source,
            at(seconds),
            Entry::Host(HostEvent::SegmentStarted {
                name: String::new(),
                epoch: 0,
                segment: 2,
            }),
        );
        self.sort();
        self.entries
            .iter()
            .position(|(_, _, entry)| {
                matches!(entry, Entry::Host(HostEvent::SegmentStarted { .. }))
            })
            .unwrap()
            + STATE_ENTRIES
    }

    fn sort(&mut self) {
        self.entries.sort_by_key(|(source, at, _)| (*at, *source));
    }

    /// Returns all entries by time, including the state at the start of each source and segment,
    /// and the sources.
    #[expect(
        clippy::too_many_lines,
        reason = "one pass over all entries with the state that it needs"
    )]
    pub fn into_entries(mut self) -> (Vec<(usize, Micros, Entry)>, Vec<Source>) {
        self.sort();
        let mut entries: Vec<(usize, Micros, Entry)> = Vec::new();
        let mut epochs = vec![None; self.names.len()];
        let mut tallies: Vec<RunningTally> =
            self.names.iter().map(|_| RunningTally::default()).collect();
        let mut open: std::collections::BTreeMap<(usize, u64), OpenRequest> = Default::default();
        for (source, time, entry) in std::mem::take(&mut self.entries) {
            let starts_segment = matches!(entry, Entry::Host(HostEvent::SegmentStarted { .. }));
            if epochs[source].is_none() || starts_segment {
                let epoch = *epochs[source].get_or_insert(time);
                let segment = 1 + starts_segment as u64;
                let strings = |list: &[&str]| list.iter().map(|name| name.to_string()).collect();
                let names = Names {
                    classes: strings(&["report", "booking"]),
                    tenants: strings(&["acme", "harbor", "rival"]),
                    ..Names::default()
                };
                let mut state = vec![
                    HostEvent::SegmentStarted {
                        name: self.names[source].clone(),
                        epoch,
                        segment,
                    },
                    HostEvent::Names(names),
                ];
                state.extend(
                    (1..=4).map(|engine| {
                        Self::engine(engine, Phase::Ready, 0, &Self::address(engine))
                    }),
                );
                state.extend([1u64, 2].map(|number| HostEvent::Connected {
                    connection: number << 32,
                    address: [127, 0, 0, if number == 2 { 9 } else { 1 }].into(),
                }));
                let open_here = open
                    .iter()
                    .filter(|((request_source, _), _)| *request_source == source);
                state.extend(open_here.map(|(_, request)| HostEvent::OpenRequest(*request)));
                state.push(HostEvent::DiscoveryLink { is_up: true });
                state.push(HostEvent::Tally(Box::new(tallies[source].tally.clone())));
                state.push(HostEvent::StateComplete);
                entries.extend(
                    state
                        .into_iter()
                        .map(|host| (source, time, Entry::Host(host))),
                );
            }
            if starts_segment {
                continue;
            }
            match &entry {
                Entry::Action(Action::Send {
                    request, engine, ..
                }) => {
                    let client_request = ClientRequest {
                        request: *request,
                        id: request >> 32,
                        connection: 1 << 32,
                    };
                    let running = RunningAttempt {
                        engine: *engine,
                        sent_at: time,
                    };
                    let open_request = OpenRequest {
                        client_request,
                        class: 0,
                        tenant: 2,
                        arrived_at: time,
                        deadline: time + 5_000_000,
                        attempts: 1,
                        running: Some(running),
                    };
                    open.insert((source, *request), open_request);
                }
                Entry::Host(HostEvent::Answered { request, .. }) => {
                    open.remove(&(source, *request));
                }
                _ => {}
            }
            tallies[source].add(entry.as_ref());
            entries.push((source, time, entry));
        }
        let source = |(number, name): (usize, &String)| Source {
            name: name.clone(),
            epoch: epochs[number].unwrap_or(START) + number as u64,
            directory: PathBuf::new(),
            bytes: 0,
        };
        let sources = self.names.iter().enumerate().map(source).collect();
        (entries, sources)
    }

    pub fn finish(self) -> View {
        let (entries, sources) = self.into_entries();
        let mut view = View::new();
        for (source, time, entry) in entries {
            view.add(&sources, source, time, &ReadContent::Entry(entry));
        }
        view.finish(false);
        view
    }
}
