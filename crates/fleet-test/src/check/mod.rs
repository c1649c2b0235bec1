//! Holds a whole history against the rules. Pure: what happened in, breaks and figures out.
//!
//! Each rule has a file; [`History`] is what they all look things up in. A rule that was broken
//! names the key or the engine it was broken for, and [`story`] tells from all sides what led to
//! it.

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

use eideryard_emulators::history::{Happened, How, Micros, Name, Process, Try, What};
use eideryard_emulators::scenario::{ClassSpec, EngineSpec, Scenario};

pub use records::{read_requests, Recorded};

/// Breaks of one rule that are kept; all are counted.
pub const MAX_BREAKS: usize = 100;
/// What the machine and the wire may add to any time: as the protocol page grants.
pub const SLACK: Micros = 50_000;

/// What every run has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Exactly one answer from a living gateway.
    OneAnswer,
    /// No effect twice.
    EffectOnce,
    /// No new work at an engine that drains.
    Drains,
    /// No engine in slow start gets more than it bears.
    ColdEngines,
    /// Requests of one key in the order taken.
    Order,
    /// All that was asked has an end, and each loss a cause.
    Conservation,
    /// What records say is what clients saw.
    Records,
    /// What keepers hold of a key is the same once nothing new comes.
    Copies,
    /// Of each task one owner's work counts at a time.
    Owners,
    /// A gateway ended though nobody told it to.
    Crash,
}

impl Rule {
    /// Its name in reports.
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

/// What a break is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A key.
    Key(Name),
    /// A try of a request.
    Request(u64),
    /// An engine.
    Engine(Name),
    /// The clients of a load.
    Load(Name),
    /// A gateway.
    Gateway(Name),
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
    /// The rule.
    pub rule: Rule,
    /// What it was broken for.
    pub subject: Subject,
    /// From when to when it happened.
    pub from: Micros,
    /// The end of that time.
    pub to: Micros,
    /// What happened, in words.
    pub text: String,
}

/// What the rules need to know of a scenario.
#[derive(Clone, Debug)]
pub struct Facts {
    /// Classes of requests.
    pub classes: Vec<ClassSpec>,
    /// Engines, as the scenario names them.
    pub engines: Vec<EngineSpec>,
    /// How many gateways there are.
    pub gateways: usize,
    /// Work may begin at an engine for so long after its drain.
    pub drain_grace: Duration,
    /// Part of its capacity that a cold engine has.
    pub start_capacity: f64,
    /// Multiple of its capacity of the time that a cold engine bears.
    pub fall_multiple: f64,
    /// The time over which that is counted.
    pub fall_window: Duration,
}

impl Facts {
    /// Those of a scenario.
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

    /// The class of a name, if there is one.
    pub fn class(&self, name: &str) -> Option<&ClassSpec> {
        self.classes.iter().find(|class| class.name == name)
    }
}

/// A stretch of time in which something was wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    /// Its beginning.
    pub from: Micros,
    /// Its end.
    pub to: Micros,
    /// What was wrong.
    pub what: &'static str,
}

impl Span {
    /// Whether it shares a moment with a time.
    pub fn meets(&self, from: Micros, to: Micros) -> bool {
        self.from <= to && from <= self.to
    }
}

/// A history with what the rules look up in it.
pub struct History<'a> {
    /// All that happened, by time.
    pub events: &'a [Happened],
    /// Tries by id, with when they were asked.
    pub tries: HashMap<u64, (Micros, &'a Try)>,
    /// Ends of tries by id.
    pub ends: HashMap<u64, Vec<(Micros, How)>>,
    /// When gateways were not there or stood still, by name.
    pub gateways: BTreeMap<Name, Vec<Span>>,
    /// Faults of links, by their ends.
    pub links: BTreeMap<(Name, Name), Vec<Span>>,
    /// When the last event happened.
    pub last: Micros,
}

impl<'a> History<'a> {
    /// Looks through a history once.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn new(events: &'a [Happened]) -> Self {
        let last = events.last().map_or(0, |last| last.at);
        let mut history = History {
            events,
            tries: HashMap::new(),
            ends: HashMap::new(),
            gateways: BTreeMap::new(),
            links: BTreeMap::new(),
            last,
        };
        let mut absent: BTreeMap<Name, (Micros, &'static str)> = BTreeMap::new();
        let mut paused: BTreeMap<Name, Micros> = BTreeMap::new();
        // Several faults of one kind may lie on a link at once.
        let mut faulty: BTreeMap<(Name, Name, &'static str), Vec<Micros>> = BTreeMap::new();
        for Happened { at, what } in events {
            match what {
                What::Asked(tried) => _ = history.tries.insert(tried.id, (*at, tried)),
                What::Over { id, how, .. } => {
                    history.ends.entry(*id).or_default().push((*at, *how));
                }
                What::Gateway { gateway, how } => {
                    let spans = history.gateways.entry(gateway.clone()).or_default();
                    match how {
                        Process::Killed => _ = absent.insert(gateway.clone(), (*at, "killed")),
                        Process::Stopping => {
                            _ = absent.entry(gateway.clone()).or_insert((*at, "stopped"));
                        }
                        Process::Ended => {
                            _ = absent.entry(gateway.clone()).or_insert((*at, "ended"));
                        }
                        Process::Started(_) => {
                            if let Some((from, what)) = absent.remove(gateway) {
                                spans.push(Span {
                                    from,
                                    to: *at,
                                    what,
                                });
                            }
                        }
                        Process::Paused => _ = paused.entry(gateway.clone()).or_insert(*at),
                        Process::Continued => {
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
                What::Link {
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

    /// When a gateway was not there or stood still.
    pub fn of_gateway(&self, gateway: &str) -> &[Span] {
        self.gateways.get(gateway).map_or(&[], Vec::as_slice)
    }

    /// Faults of the link between two ends.
    pub fn of_link(&self, from: &str, to: &str) -> &[Span] {
        self.links
            .get(&(from.into(), to.into()))
            .map_or(&[], Vec::as_slice)
    }

    /// What was wrong between a client and a gateway in a time, if anything was.
    pub fn cause(&self, gateway: &str, from: Micros, to: Micros) -> Option<&'static str> {
        let link = self.of_link(crate::links::CLIENTS, gateway);
        let mut spans = self.of_gateway(gateway).iter().chain(link);
        spans
            .find(|span| span.meets(from, to))
            .map(|span| span.what)
    }

    /// A gateway stood still somewhere in a time.
    pub fn paused_within(&self, gateway: &str, from: Micros, to: Micros) -> bool {
        self.of_gateway(gateway)
            .iter()
            .any(|span| span.what == "paused" && span.meets(from, to))
    }
}

/// Breaks and figures of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The first breaks of each rule, [`MAX_BREAKS`] at the most.
    pub breaks: Vec<Break>,
    /// All breaks, counted.
    pub counts: BTreeMap<Rule, u64>,
    /// Figures by name.
    pub figures: BTreeMap<String, u64>,
}

impl Verdict {
    /// Counts a break, and keeps it while there is room.
    pub fn add(&mut self, found: Break) {
        let count = self.counts.entry(found.rule).or_default();
        *count += 1;
        if *count <= MAX_BREAKS as u64 {
            self.breaks.push(found);
        }
    }

    /// Breaks of a rule.
    pub fn count(&self, rule: Rule) -> u64 {
        self.counts.get(&rule).copied().unwrap_or(0)
    }

    /// Sets a figure.
    pub fn set_figure(&mut self, name: &str, value: u64) {
        self.figures.insert(name.to_string(), value);
    }

    /// Adds to a figure, which begins at nothing.
    pub fn add_to_figure(&mut self, name: &str, value: u64) {
        *self.figures.entry(name.to_string()).or_default() += value;
    }

    /// Whether no rule was broken.
    pub fn is_kept(&self) -> bool {
        self.counts.is_empty()
    }
}

/// The verdict on a history, with what the records of its gateways say.
pub fn check(
    facts: &Facts,
    events: &[Happened],
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
        let text = format!("{name} ended though nobody told it to, or didn't when it was told");
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
