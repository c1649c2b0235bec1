//! Records as scripts: what gateways tell, at times in seconds.
#![allow(dead_code)]

use eideryard::interface::{self as i, Action, Event, Micros, Outcome, Phase};
use eideryard_event_analysis::View;
use eideryard_event_log::reader::ReadContent;
use eideryard_event_log::tally::RunningTally;
use eideryard_event_log::*;
use std::path::PathBuf;

/// Entries of the state that a source begins with, where nothing is open.
const STATE: usize = 11;

pub const START: Micros = 1_796_187_600_000_000;

pub fn at(seconds: f64) -> Micros {
    START + (seconds * 1e6).round() as Micros
}

#[derive(Clone, Copy)]
pub struct Ending {
    pub how: AnswerKind,
    pub took: f64,
    pub late: bool,
}

pub const SERVED: Ending = Ending {
    how: AnswerKind::Served,
    took: 0.05,
    late: false,
};

pub fn gap(from: f64, to: f64, entries: u64) -> HostEvent {
    HostEvent::Gap {
        from: at(from),
        to: at(to),
        entries,
        counted: Box::default(),
    }
}

pub struct Script {
    names: Vec<String>,
    told: Vec<(usize, Micros, Entry)>,
    requests: u64,
    /// Those that requests go to, in turn.
    pub engines: Vec<u32>,
    /// Where requests come from, where that isn't by their tenant.
    pub connection: Option<u64>,
}

impl Script {
    /// Sources by the names of their gateways; each has four engines, two classes and three
    /// tenants.
    pub fn new(names: &[&str]) -> Self {
        let names = names.iter().map(|name| name.to_string()).collect();
        Script {
            names,
            told: Vec::new(),
            requests: 0,
            engines: vec![1, 2, 3, 4],
            connection: None,
        }
    }

    pub fn tell(&mut self, source: usize, time: Micros, entry: Entry) {
        self.told.push((source, time, entry));
    }

    pub fn host(&mut self, source: usize, seconds: f64, host: HostEvent) {
        self.tell(source, at(seconds), Entry::Host(host));
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

    pub fn listed(
        &mut self,
        source: usize,
        seconds: f64,
        engine: u32,
        phase: Phase,
        booted_at: Micros,
    ) {
        self.host(
            source,
            seconds,
            Self::engine(engine, phase, booted_at, &Self::address(engine)),
        );
    }

    pub fn moved(&mut self, source: usize, seconds: f64, engine: u32, address: &str) {
        self.host(
            source,
            seconds,
            Self::engine(engine, Phase::Ready, 0, address),
        );
    }

    /// An open request: offered, arrived, sent to an engine.
    pub fn open(
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
        self.tell(
            source,
            time,
            Entry::Host(HostEvent::RequestReceived(ClientRequest {
                request,
                id: self.requests,
                connection,
            })),
        );
        let arrived = i::Request {
            id: request,
            class,
            tenant,
            deadline: time + 5_000_000,
            ..i::Request::default()
        };
        self.tell(source, time, Entry::Event(Event::Arrived(arrived)));
        self.tell(
            source,
            time,
            Entry::Action(Action::Grant {
                request,
                grant_mb: 64.0,
                rank: 1,
            }),
        );
        self.tell(
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

    pub fn ends(&mut self, source: usize, seconds: f64, request: u64, end: Ending) {
        let outcome = if end.how == AnswerKind::Served {
            Outcome::Answered
        } else {
            Outcome::AtCapacity
        };
        self.ends_at(source, seconds, request, end, outcome);
    }

    fn ends_at(
        &mut self,
        source: usize,
        seconds: f64,
        request: u64,
        end: Ending,
        outcome: Outcome,
    ) {
        let (time, Ending { how, late, .. }) = (at(seconds), end);
        let arrived = self
            .told
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
            kind: how,
            is_late: late,
        };
        self.tell(source, time, Entry::Host(answered));
        let ended = i::AttemptEnded {
            request,
            attempt: 0,
            outcome,
            spent: 0,
            is_request_complete: true,
            is_already_reported: false,
            usage: None,
            report: None,
        };
        self.tell(source, time, Entry::Event(Event::AttemptEnded(ended)));
    }

    pub fn request(
        &mut self,
        source: usize,
        seconds: f64,
        class: usize,
        tenant: usize,
        end: Ending,
    ) {
        let engine = self.engines[self.requests as usize % self.engines.len()];
        let request = self.open(source, seconds, class, tenant, engine);
        self.ends(source, seconds + end.took, request, end);
    }

    /// So many requests a second, all served at once, and the beat of the module.
    pub fn calm(&mut self, source: usize, from: u64, to: u64, rate: u64) {
        for number in 0..(to - from) * rate {
            let seconds = from as f64 + number as f64 / rate as f64;
            self.request(
                source,
                seconds,
                (number % 2) as usize,
                (number % 2) as usize,
                SERVED,
            );
        }
    }

    pub fn flood(&mut self, source: usize, from: u64, to: u64, rate: u64, tenant: usize) {
        for number in 0..(to - from) * rate {
            let seconds = from as f64 + number as f64 / rate as f64;
            self.request(source, seconds, 0, tenant, SERVED);
        }
    }

    fn outcome(&mut self, source: usize, seconds: f64, engine: u32, outcome: Outcome) {
        let request = self.open(source, seconds, 0, 0, engine);
        let how = if outcome == Outcome::Answered {
            AnswerKind::Served
        } else {
            AnswerKind::Failed
        };
        self.ends_at(source, seconds, request, Ending { how, ..SERVED }, outcome);
    }

    pub fn fails(&mut self, source: usize, seconds: f64, engine: u32) {
        self.outcome(source, seconds, engine, Outcome::NoConnection);
    }

    pub fn breaks(&mut self, source: usize, seconds: f64, engine: u32) {
        self.outcome(source, seconds, engine, Outcome::Broken);
    }

    pub fn answers(&mut self, source: usize, seconds: f64, engine: u32) {
        self.outcome(source, seconds, engine, Outcome::Answered);
    }

    /// Marks where a segment begins: its state is put there. Gives the place of its first entry.
    pub fn segment(&mut self, source: usize, seconds: f64) -> usize {
        self.tell(
            source,
            at(seconds),
            Entry::Host(HostEvent::SegmentStarted {
                name: String::new(),
                epoch: 0,
                segment: 2,
            }),
        );
        self.sort();
        self.told
            .iter()
            .position(|(_, _, entry)| {
                matches!(entry, Entry::Host(HostEvent::SegmentStarted { .. }))
            })
            .unwrap()
            + STATE
    }

    fn sort(&mut self) {
        self.told.sort_by_key(|(source, at, _)| (*at, *source));
    }

    /// All entries by time, each source and segment with its opening state, and the sources.
    #[expect(
        clippy::too_many_lines,
        reason = "one scenario, told from its beginning to its end"
    )]
    pub fn told(mut self) -> (Vec<(usize, Micros, Entry)>, Vec<Source>) {
        self.sort();
        let mut whole: Vec<(usize, Micros, Entry)> = Vec::new();
        let mut first = vec![None; self.names.len()];
        let mut counted: Vec<RunningTally> =
            self.names.iter().map(|_| RunningTally::default()).collect();
        let mut open: std::collections::BTreeMap<(usize, u64), OpenRequest> = Default::default();
        for (source, time, entry) in std::mem::take(&mut self.told) {
            let marks = matches!(entry, Entry::Host(HostEvent::SegmentStarted { .. }));
            if first[source].is_none() || marks {
                let epoch = *first[source].get_or_insert(time);
                let segment = 1 + marks as u64;
                let words = |list: &[&str]| list.iter().map(|word| word.to_string()).collect();
                let names = Names {
                    classes: words(&["report", "booking"]),
                    tenants: words(&["acme", "harbor", "rival"]),
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
                let own = open.iter().filter(|((of, _), _)| *of == source);
                state.extend(own.map(|(_, request)| HostEvent::OpenRequest(*request)));
                state.push(HostEvent::DiscoveryLink { is_up: true });
                state.push(HostEvent::Tally(Box::new(counted[source].tally.clone())));
                state.push(HostEvent::StateComplete);
                whole.extend(
                    state
                        .into_iter()
                        .map(|host| (source, time, Entry::Host(host))),
                );
            }
            if marks {
                continue;
            }
            match &entry {
                Entry::Action(Action::Send {
                    request, engine, ..
                }) => {
                    let offer = ClientRequest {
                        request: *request,
                        id: request >> 32,
                        connection: 1 << 32,
                    };
                    let running = RunningAttempt {
                        engine: *engine,
                        sent_at: time,
                    };
                    let own = OpenRequest {
                        client_request: offer,
                        class: 0,
                        tenant: 2,
                        arrived_at: time,
                        deadline: time + 5_000_000,
                        attempts: 1,
                        running: Some(running),
                    };
                    open.insert((source, *request), own);
                }
                Entry::Host(HostEvent::Answered { request, .. }) => {
                    open.remove(&(source, *request));
                }
                _ => {}
            }
            counted[source].add(entry.as_ref());
            whole.push((source, time, entry));
        }
        let source = |(number, name): (usize, &String)| Source {
            name: name.clone(),
            epoch: first[number].unwrap_or(START) + number as u64,
            directory: PathBuf::new(),
            bytes: 0,
        };
        let sources = self.names.iter().enumerate().map(source).collect();
        (whole, sources)
    }

    pub fn finish(self) -> View {
        let (told, sources) = self.told();
        let mut view = View::new();
        for (source, time, entry) in told {
            view.add(&sources, source, time, &ReadContent::Entry(entry));
        }
        view.finish(false);
        view
    }
}
