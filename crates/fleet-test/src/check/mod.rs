//! Checks the history of a run against the rules. No I/O: takes the events, returns the breaks of
//! rules and the figures of the run.
//!
//! Each rule has a file; [`History`] indexes the events for all of them. A break names the key, the
//! engine or another subject, and [`story`] lists the events of all parts that led to it.

mod answers;
mod cold;
pub mod copies;
mod drains;
mod effects;
mod order;
pub mod owners;
mod records;
mod service;
pub mod story;

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

use eideryard_emulators::history::{
    Event, Micros, ProcessChange, SharedName, TimedEvent, Try, TryOutcome,
};
use eideryard_emulators::scenario::{ClassSpec, EngineSpec, Scenario};

pub use records::{read_requests, Recorded};

/// Breaks of one rule that a verdict lists; further ones are only counted.
pub const MAX_BREAKS: usize = 100;
/// Tolerance for delays of the test machine and the network when times are compared, in
/// microseconds, as the protocol page allows.
pub const SLACK: Micros = 50_000;

/// A rule that every run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A running gateway answers each request exactly once.
    OneAnswer,
    /// No request takes effect twice within the window of its class.
    EffectOnce,
    /// No request begins at a draining or removed engine after the grace time.
    Drains,
    /// No engine in slow start is sent more work than its capacity at that time allows.
    ColdEngines,
    /// Requests of an ordered class with one key run one at a time, in the order of arrival.
    Order,
    /// Every request has an end, and every lost answer a fault that explains it.
    Conservation,
    /// The event logs of gateways agree with what clients saw.
    Records,
    /// All voters hold equal replicas of a key once no new requests arrive.
    Copies,
    /// At each receiver, the fencing tokens of accepted work never fall, and a term has one owner.
    Owners,
    /// A gateway process ended without being stopped, or didn't end when it was.
    Crash,
}

impl Rule {
    /// The name in the program's output.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one answer",
            Rule::EffectOnce => "no effect twice",
            Rule::Drains => "drains",
            Rule::ColdEngines => "cold engines",
            Rule::Order => "order",
            Rule::Conservation => "conservation",
            Rule::Records => "records",
            Rule::Copies => "copies agree",
            Rule::Owners => "one owner",
            Rule::Crash => "no crash",
        }
    }
}

/// The object for which a rule was broken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// All tries of the request with this key.
    Key(SharedName),
    /// One try of a request, by its id.
    Request(u64),
    /// An engine, by its name in the scenario.
    Engine(SharedName),
    /// All clients of a load.
    Load(SharedName),
    /// A gateway by its name, or `keepers` for all voters of a group.
    Gateway(SharedName),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Key(key) => write!(f, "key {key}"),
            Subject::Request(id) => write!(f, "request {id:016x}"),
            Subject::Engine(name) => write!(f, "engine {name}"),
            Subject::Load(name) => write!(f, "load {name}"),
            Subject::Gateway(name) => write!(f, "gateway {name}"),
        }
    }
}

/// One break of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    /// The broken rule.
    pub rule: Rule,
    /// The object for which it was broken; selects the events of its story.
    pub subject: Subject,
    /// Start of the time in which it was broken, in Unix microseconds; 0 if it has no time.
    pub from: Micros,
    /// End of that time, in Unix microseconds.
    pub to: Micros,
    /// Description for the report, without rule and subject.
    pub text: String,
}

/// The settings of a scenario that the rules depend on.
#[derive(Clone, Debug)]
pub struct Facts {
    /// Request classes of the scenario.
    pub classes: Vec<ClassSpec>,
    /// Engines under the names that events use.
    pub engines: Vec<EngineSpec>,
    /// Number of gateways in the scenario.
    pub gateways: usize,
    /// Requests may still begin at an engine for this time after its drain was announced.
    pub drain_grace: Duration,
    /// Capacity of an engine at its start, as a part of its full capacity (0 to 1).
    pub start_capacity: f64,
    /// Work per [`Self::fall_window`] that an engine in slow start may be sent, as a multiple of
    /// its capacity at that time.
    pub fall_multiple: f64,
    /// The time over which the work sent to an engine in slow start is summed.
    pub fall_window: Duration,
}

impl Facts {
    /// Takes the engines and classes from a scenario and the rest from [`crate::config`].
    pub fn from_scenario(scenario: &Scenario) -> Self {
        Facts {
            classes: scenario.classes.clone(),
            engines: scenario.engines.clone(),
            gateways: scenario.gateways.len(),
            drain_grace: crate::config::DRAIN_GRACE,
            start_capacity: crate::config::START_CAPACITY,
            fall_multiple: crate::config::FALL_MULTIPLE,
            fall_window: crate::config::FALL_WINDOW,
        }
    }

    /// Finds a class by name.
    pub fn class(&self, name: &str) -> Option<&ClassSpec> {
        self.classes.iter().find(|class| class.name == name)
    }
}

/// The duration of a fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    /// Start, in Unix microseconds.
    pub from: Micros,
    /// End, in Unix microseconds; that of the last event if the fault outlasts the history.
    pub to: Micros,
    /// The kind of fault: `killed`, `stopped`, `ended`, `paused`, or the name of a link fault.
    pub what: &'static str,
}

impl Span {
    /// Whether this span overlaps the time between `from` and `to`, ends included.
    pub fn overlaps(&self, from: Micros, to: Micros) -> bool {
        self.from <= to && from <= self.to
    }
}

/// The events of a run with indexes for the rules.
pub struct History<'a> {
    /// All events, sorted by time.
    pub events: &'a [TimedEvent],
    /// Tries by id, with the times at which clients sent them.
    pub tries: HashMap<u64, (Micros, &'a Try)>,
    /// Ends of tries by id, in order; more than one breaks [`Rule::OneAnswer`].
    pub ends: HashMap<u64, Vec<(Micros, TryOutcome)>>,
    /// Times in which a gateway was down or paused, by its name.
    pub gateways: BTreeMap<SharedName, Vec<Span>>,
    /// Link faults by the ends of the link.
    pub links: BTreeMap<(SharedName, SharedName), Vec<Span>>,
    /// The time of the last event, in Unix microseconds.
    pub last: Micros,
}

impl<'a> History<'a> {
    /// Indexes events, which must be sorted by time.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn new(events: &'a [TimedEvent]) -> Self {
        let last = events.last().map_or(0, |last| last.at);
        let mut history = History {
            events,
            tries: HashMap::new(),
            ends: HashMap::new(),
            gateways: BTreeMap::new(),
            links: BTreeMap::new(),
            last,
        };
        let mut absent: BTreeMap<SharedName, (Micros, &'static str)> = BTreeMap::new();
        let mut paused: BTreeMap<SharedName, Micros> = BTreeMap::new();
        // A link can have several faults of one kind at once.
        let mut faulty: BTreeMap<(SharedName, SharedName, &'static str), Vec<Micros>> =
            BTreeMap::new();
        for TimedEvent { at, event } in events {
            match event {
                Event::TrySent(tried) => _ = history.tries.insert(tried.id, (*at, tried)),
                Event::TryEnded { id, outcome, .. } => {
                    history.ends.entry(*id).or_default().push((*at, *outcome));
                }
                Event::Gateway { gateway, change } => {
                    let spans = history.gateways.entry(gateway.clone()).or_default();
                    match change {
                        ProcessChange::Killed => {
                            _ = absent.insert(gateway.clone(), (*at, "killed"));
                        }
                        ProcessChange::Stopping => {
                            _ = absent.entry(gateway.clone()).or_insert((*at, "stopped"));
                        }
                        ProcessChange::Ended => {
                            _ = absent.entry(gateway.clone()).or_insert((*at, "ended"));
                        }
                        ProcessChange::Started(_) => {
                            if let Some((from, what)) = absent.remove(gateway) {
                                spans.push(Span {
                                    from,
                                    to: *at,
                                    what,
                                });
                            }
                        }
                        ProcessChange::Paused => _ = paused.entry(gateway.clone()).or_insert(*at),
                        ProcessChange::Continued => {
                            if let Some(from) = paused.remove(gateway) {
                                spans.push(Span {
                                    from,
                                    to: *at,
                                    what: "paused",
                                });
                            }
                        }
                    }
                }
                Event::Link {
                    from,
                    to,
                    fault,
                    begins,
                } => {
                    let open = faulty.entry((from.clone(), to.clone(), fault)).or_default();
                    if *begins {
                        open.push(*at);
                    } else if let Some(began) = open.pop() {
                        let spans = history.links.entry((from.clone(), to.clone())).or_default();
                        spans.push(Span {
                            from: began,
                            to: *at,
                            what: fault,
                        });
                    }
                }
                _ => {}
            }
        }
        for (gateway, (from, what)) in absent {
            history.gateways.entry(gateway).or_default().push(Span {
                from,
                to: last,
                what,
            });
        }
        for (gateway, from) in paused {
            history.gateways.entry(gateway).or_default().push(Span {
                from,
                to: last,
                what: "paused",
            });
        }
        for ((a, b, what), open) in faulty {
            let spans = history.links.entry((a, b)).or_default();
            spans.extend(open.into_iter().map(|from| Span {
                from,
                to: last,
                what,
            }));
        }
        history
    }

    /// Times in which a gateway was down or paused.
    pub fn gateway_faults(&self, gateway: &str) -> &[Span] {
        self.gateways.get(gateway).map_or(&[], Vec::as_slice)
    }

    /// Faults of the link that `from` dials to reach `to`.
    pub fn link_faults(&self, from: &str, to: &str) -> &[Span] {
        self.links
            .get(&(from.into(), to.into()))
            .map_or(&[], Vec::as_slice)
    }

    /// The kind of the first fault of a gateway or of its client link between `from` and `to`.
    pub fn find_cause(&self, gateway: &str, from: Micros, to: Micros) -> Option<&'static str> {
        let link = self.link_faults(crate::links::CLIENTS, gateway);
        let mut spans = self.gateway_faults(gateway).iter().chain(link);
        spans
            .find(|span| span.overlaps(from, to))
            .map(|span| span.what)
    }

    /// Whether a gateway was paused at any time between `from` and `to`.
    pub fn was_paused(&self, gateway: &str, from: Micros, to: Micros) -> bool {
        self.gateway_faults(gateway)
            .iter()
            .any(|span| span.what == "paused" && span.overlaps(from, to))
    }
}

/// The result of checking a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The first [`MAX_BREAKS`] breaks of each rule.
    pub breaks: Vec<Break>,
    /// The number of all breaks by rule; rules that were kept are absent.
    pub counts: BTreeMap<Rule, u64>,
    /// Figures by the names under which they are printed.
    pub figures: BTreeMap<String, u64>,
}

impl Verdict {
    /// Counts a break, and lists it unless [`MAX_BREAKS`] of its rule are listed already.
    pub fn add(&mut self, found: Break) {
        let count = self.counts.entry(found.rule).or_default();
        *count += 1;
        if *count <= MAX_BREAKS as u64 {
            self.breaks.push(found);
        }
    }

    /// The number of breaks of a rule.
    pub fn count(&self, rule: Rule) -> u64 {
        self.counts.get(&rule).copied().unwrap_or(0)
    }

    /// Sets a figure, in place of an earlier value.
    pub fn set_figure(&mut self, name: &str, value: u64) {
        self.figures.insert(name.to_string(), value);
    }

    /// Adds to a figure, starting from 0.
    pub fn add_to_figure(&mut self, name: &str, value: u64) {
        *self.figures.entry(name.to_string()).or_default() += value;
    }

    /// Whether no rule was broken.
    pub fn is_kept(&self) -> bool {
        self.counts.is_empty()
    }
}

/// Checks the events of a run and what its gateways recorded against all rules that need no
/// further input. `crashed`: gateways that ended unasked or not at all.
pub fn check(
    facts: &Facts,
    events: &[TimedEvent],
    records: &[Recorded],
    crashed: &[String],
) -> Verdict {
    let history = History::new(events);
    let mut verdict = Verdict::default();
    answers::check(&history, &mut verdict);
    effects::check(facts, &history, &mut verdict);
    drains::check(facts, &history, &mut verdict);
    cold::check(facts, &history, &mut verdict);
    order::check(facts, &history, &mut verdict);
    records::check(&history, records, &mut verdict);
    service::measure(facts, &history, &mut verdict);
    for name in crashed {
        let subject = Subject::Gateway(name.as_str().into());
        let text = format!("{name} ended without a stop request, or didn't end after one");
        verdict.add(Break {
            rule: Rule::Crash,
            subject,
            from: history.last,
            to: history.last,
            text,
        });
    }
    verdict
}

#[cfg(test)]
pub(crate) mod tests;
